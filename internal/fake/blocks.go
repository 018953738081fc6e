package fake

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Record is one of a block's.
type Record struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// Shards are the data of a fleet: scored records by block, and each block's version. A question's text is "score>=X".
type Shards struct {
	mu      sync.Mutex
	Records [][]Record
	version []int
	// RecordsRead is what boxes did so far, in records looked at; a summary looks at none but costs one.
	RecordsRead int
	Calls       [2]int // calls: for summaries, for answers
}

// NewShards draws some blocks of up to so many records, with scores in steps so that ties are common. Selectivity is the
// share of blocks that hold anything of score 0 or more; the rest hold only what is below.
func NewShards(seed uint64, blocks, most int, selectivity float64) *Shards {
	rnd := rand.New(rand.NewPCG(seed, 5))
	b := &Shards{version: make([]int, blocks)}
	for n := range blocks {
		var all []Record
		high := rnd.Float64() < selectivity
		for i := range rnd.IntN(most + 1) {
			score := -1 - float64(rnd.IntN(8))/2
			if high {
				score = float64(rnd.IntN(9)) / 2
			}
			all = append(all, Record{fmt.Sprintf("r%d-%d", n, i), score})
		}
		b.Records = append(b.Records, all)
	}
	return b
}

// AdvanceVersion gives a block a new version of the same data.
func (b *Shards) AdvanceVersion(block int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version[block]++
}

type twoPhaseCall struct {
	Ask     string `json:"ask"`
	Best    *int   `json:"best"`
	Version string `json:"version"`
}

// matching is what of a block a question wants, in order.
func (b *Shards) matching(block int, least float64) (all []Record) {
	for _, r := range b.Records[block] {
		if r.Score >= least {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int {
		switch {
		case a.Score > b.Score:
			return -1
		case a.Score < b.Score:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return all
}

// ExpectedResponse is the whole answer as a client gets it: worked out from all blocks, with no phases and no boxes.
func (b *Shards) ExpectedResponse(blocks []int, least float64, best *int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	type hit struct {
		Segment int     `json:"segment"`
		ID      string  `json:"id"`
		Score   float64 `json:"score"`
	}
	hits := []hit{}
	for _, n := range blocks {
		for _, r := range b.matching(n, least) {
			hits = append(hits, hit{n, r.ID, r.Score})
		}
	}
	slices.SortStableFunc(hits, func(a, b hit) int {
		switch {
		case a.Score > b.Score:
			return -1
		case a.Score < b.Score:
			return 1
		}
		return a.Segment - b.Segment
	})
	if best != nil {
		hits = hits[:min(len(hits), *best)]
	}
	body, _ := json.Marshal(struct {
		AllIn bool  `json:"all_in"`
		Hits  []hit `json:"hits"`
	}{true, hits})
	return string(body)
}

// SummaryFault is how a box is about summaries.
type SummaryFault int

// The moods.
const (
	NoFault     SummaryFault = iota
	LooseBounds              // bounds that say little
	NoSummary                // silent
	LateSummary              // slow
	MalformedSummary
	StaleVersion      // of the version before
	FalseBounds       // bounds that are too low
	ResetAfterSummary // its connection ends behind the summary
	NoAnswer
	SummaryFaults
)

// Behavior makes what a box does with the parts of questions; mood is asked for each call, takes for how long it works.
func (b *Shards) Behavior(mood func(*Replica, Call, bool) SummaryFault, takes func(summary bool, records int) time.Duration) func(*Replica, Call) {
	return func(s *Replica, c Call) {
		line, text, _ := strings.Cut(c.Text, "\n")
		var ask twoPhaseCall
		var least float64
		if json.Unmarshal([]byte(line), &ask) != nil {
			s.OnMalformed("replica %s: a call that is no question: %q", s.UID, c.Text)
			return
		}
		fmt.Sscanf(text, "score>=%g", &least)
		summary := ask.Ask == "summary"
		m := mood(s, c, summary)
		b.mu.Lock()
		all := b.matching(c.Shard, least)
		version := b.version[c.Shard]
		if summary {
			b.RecordsRead++
			b.Calls[0]++
		} else {
			b.RecordsRead += 1 + len(b.Records[c.Shard])
			b.Calls[1]++
		}
		b.mu.Unlock()
		value := ""
		if summary {
			value = summaryOf(all, version, m)
		} else {
			if ask.Best != nil {
				all = all[:min(len(all), *ask.Best)]
			}
			if all == nil {
				all = []Record{}
			}
			body, _ := json.Marshal(map[string]any{"version": fmt.Sprint("v", version), "hits": all})
			value = string(body)
		}
		time.AfterFunc(takes(summary, len(b.Records[c.Shard])), func() {
			switch {
			case summary && m == NoSummary || !summary && m == NoAnswer:
			case summary && m == LateSummary:
				time.AfterFunc(400*time.Millisecond, func() { s.Reply(c, "OK", value) })
			default:
				s.Reply(c, "OK", value)
			}
			if m == ResetAfterSummary {
				ResetConnection(s, c)
			}
		})
	}
}

// summaryOf is a block's summary, as a box of a mood words it.
func summaryOf(all []Record, version int, m SummaryFault) string {
	out := map[string]any{"version": fmt.Sprint("v", version), "count": len(all)}
	if len(all) > 0 {
		out["upper"], out["lower"] = all[0].Score, all[len(all)-1].Score
	}
	switch m {
	case LooseBounds:
		delete(out, "lower")
		out["upper"] = 1000
	case StaleVersion:
		out["version"] = fmt.Sprint("v", version-1)
	case FalseBounds:
		if len(all) > 0 {
			out["upper"], out["lower"] = -100, -100
		}
	case MalformedSummary:
		return []string{"{", `{"version":"v1"}`, `{"version":"","count":1}`, `{"version":"v","count":-3}`,
			`{"version":"v","count":1,"upper":1,"lower":2}`, `{"version":"v","count":1,"upper":1e999}`, "[]"}[len(all)%7]
	}
	body, _ := json.Marshal(out)
	return string(body)
}
