package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
)

const (
	playRate         = 160.0 // queries a second
	maxOpenQueries   = 64
	maxShards        = 16 // of a query
	faultlessPercent = 94 // summaries of a hundred that have no fault
)

// What queries are drawn from.
var (
	leastScores = []float64{-10, -2, 0, 2, 4, 9}
	bestCounts  = []int{0, 1, 2, 3, 5, 100}
)

// query asks for records of some shards.
type query struct {
	id     string
	shards []int
	least  float64 // score
	best   *int    // how many, from the highest score down; nil: all
}

// player sends queries to a fleet and compares each answer with the data.
type player struct {
	fleet  *fleet
	random *rand.Rand
	client *client

	mu    sync.Mutex
	tally tally
}

func newPlayer(fleet *fleet, seed uint64) *player {
	fleet.summaryFault = drawSummaryFaults(fake.NewRandom(seed))
	return &player{
		fleet:  fleet,
		random: rand.New(rand.NewPCG(seed, 9)),
		client: newClient(fleet.Addr, maxOpenQueries),
	}
}

// drawSummaryFaults draws a fault now and then, but no false bounds: what those make wrong nobody can tell.
func drawSummaryFaults(random *fake.Random) func() fake.SummaryFault {
	return func() fake.SummaryFault {
		if random.IntN(100) < faultlessPercent {
			return fake.NoFault
		}
		for {
			fault := fake.SummaryFault(random.IntN(int(fake.NumSummaryFaults)))
			if fault != fake.FalseBounds {
				return fault
			}
		}
	}
}

// play sends queries on an open-loop schedule, while the data changes now and then.
func (p *player) play(queries int) {
	var open sync.WaitGroup
	places := make(chan struct{}, maxOpenQueries)
	start := time.Now()
	for n := range queries {
		query := p.draw(n)
		if p.random.IntN(8) == 0 {
			p.fleet.data.AdvanceVersion(p.random.IntN(shardCount))
		}
		time.Sleep(time.Until(dueTime(start, n, playRate)))
		places <- struct{}{}
		open.Go(func() {
			defer func() { <-places }()
			p.send(query)
		})
	}
	open.Wait()
}

// dueTime is when a query is due on an open-loop schedule of so many a second.
func dueTime(start time.Time, n int, rate float64) time.Time {
	return start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
}

func (p *player) draw(n int) query {
	count := 1 + p.random.IntN(maxShards)
	from := p.random.IntN(shardCount - count + 1)
	least := leastScores[p.random.IntN(len(leastScores))]
	var best *int
	if p.random.IntN(3) > 0 {
		best = &bestCounts[p.random.IntN(len(bestCounts))]
	}
	return query{id: fmt.Sprintf("q%d", n), shards: shardRange(from, count), least: least, best: best}
}

func shardRange(from, count int) (shards []int) {
	for n := range count {
		shards = append(shards, from+n)
	}
	return shards
}

// send sends a query and judges its answer.
func (p *player) send(query query) {
	status, body, err := p.client.send(query)
	want := p.fleet.data.ExpectedResponse(query.shards, query.least, query.best)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tally.queries++
	switch {
	case err != nil:
		p.tally.unanswered++
		p.tally.notes = append(p.tally.notes, fmt.Sprintf("%s had no answer: %v", query.id, err))
	case status != http.StatusOK:
		p.tally.rejected++
	case body == want:
		p.tally.identical++
		if query.best == nil || *query.best > 0 {
			p.fleet.checkAsked(query.id, query.shards)
		}
	case !strings.Contains(body, `"all_in":true`):
		p.tally.partial++
	default:
		p.tally.wrong++
		p.tally.notes = append(p.tally.notes, fmt.Sprintf("%s: %s, want %s", query.id, body, want))
	}
}
