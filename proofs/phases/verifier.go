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
	queryRate        = 160.0 // queries per second
	maxOpenQueries   = 64
	maxShards        = 16 // per query
	faultlessPercent = 94 // percentage of calls for which no fault is drawn
)

// The values from which queries are drawn at random.
var (
	minScores = []float64{-10, -2, 0, 2, 4, 9}
	limits    = []int{0, 1, 2, 3, 5, 100}
)

// query requests records of some shards.
type query struct {
	id       string
	shards   []int
	minScore float64
	limit    *int // number of records, the highest scores first; nil for all
}

// verifier sends queries to a fleet and compares each answer with the data.
type verifier struct {
	fleet  *fleet
	random *rand.Rand
	client *client

	mu    sync.Mutex
	tally tally
}

func newVerifier(fleet *fleet, seed uint64) *verifier {
	fleet.summaryFault = drawSummaryFaults(fake.NewRandom(seed))
	return &verifier{
		fleet:  fleet,
		random: rand.New(rand.NewPCG(seed, 9)),
		client: newClient(fleet.Addr, maxOpenQueries),
	}
}

// drawSummaryFaults returns a function that draws a fault at random. It never draws false bounds: a co-ordinator cannot
// detect them, so answers may be wrong.
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

// run sends queries on an open-loop schedule while the versions of shards advance at random.
func (v *verifier) run(queries int) {
	var inFlight sync.WaitGroup
	slots := make(chan struct{}, maxOpenQueries)
	start := time.Now()
	for n := range queries {
		query := v.draw(n)
		if v.random.IntN(8) == 0 {
			v.fleet.data.AdvanceVersion(v.random.IntN(shardCount))
		}
		time.Sleep(time.Until(dueTime(start, n, queryRate)))
		slots <- struct{}{}
		inFlight.Go(func() {
			defer func() { <-slots }()
			v.send(query)
		})
	}
	inFlight.Wait()
}

// dueTime returns when query n is due on an open-loop schedule of rate queries per second.
func dueTime(start time.Time, n int, rate float64) time.Time {
	return start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
}

func (v *verifier) draw(number int) query {
	count := 1 + v.random.IntN(maxShards)
	from := v.random.IntN(shardCount - count + 1)
	minScore := minScores[v.random.IntN(len(minScores))]
	var limit *int
	if v.random.IntN(3) > 0 {
		limit = &limits[v.random.IntN(len(limits))]
	}
	return query{id: fmt.Sprintf("q%d", number), shards: shardRange(from, count), minScore: minScore, limit: limit}
}

func shardRange(from, count int) (shards []int) {
	for n := range count {
		shards = append(shards, from+n)
	}
	return shards
}

// send sends a query and checks its answer.
func (v *verifier) send(query query) {
	status, body, err := v.client.send(query)
	want := v.fleet.data.ExpectedResponse(query.shards, query.minScore, query.limit)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tally.queries++
	switch {
	case err != nil:
		v.tally.unanswered++
		v.tally.notes = append(v.tally.notes, fmt.Sprintf("query %s got no answer: %v", query.id, err))
	case status != http.StatusOK:
		v.tally.rejected++
	case body == want:
		v.tally.identical++
		if query.limit == nil || *query.limit > 0 { // with a limit of 0, no shard needs to be called
			v.fleet.checkPruning(query.id, query.shards)
		}
	case !strings.Contains(body, `"all_in":true`):
		v.tally.partial++
	default:
		v.tally.wrong++
		v.tally.notes = append(v.tally.notes, fmt.Sprintf("query %s: got %s, want %s", query.id, body, want))
	}
}
