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

// Blocks are the data of a fleet: scored records by block, and each block's version. A question's text is "score>=X".
type Blocks struct {
	mu      sync.Mutex
	Records [][]Record
	version []int
	// Work is what boxes did so far, in records looked at; a summary looks at none but costs one.
	Work int
	Asks [2]int // calls: for summaries, for answers
}

// NewBlocks draws some blocks of up to so many records, with scores in steps so that ties are common. Selectivity is the
// share of blocks that hold anything of score 0 or more; the rest hold only what is below.
func NewBlocks(seed uint64, blocks, most int, selectivity float64) *Blocks {
	rnd := rand.New(rand.NewPCG(seed, 5))
	b := &Blocks{version: make([]int, blocks)}
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

// Moves gives a block a new version of the same data.
func (b *Blocks) Moves(block int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version[block]++
}

type askedFor struct {
	Ask     string `json:"ask"`
	Best    *int   `json:"best"`
	Version string `json:"version"`
}

// matching is what of a block a question wants, in order.
func (b *Blocks) matching(block int, least float64) (all []Record) {
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

// Truth is the whole answer as a client gets it: worked out from all blocks, with no phases and no boxes.
func (b *Blocks) Truth(blocks []int, least float64, best *int) string {
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

// Mood is how a box is about summaries.
type Mood int

// The moods.
const (
	Honest    Mood = iota
	Loose          // bounds that say little
	NoSummary      // silent
	Late           // slow
	Malformed
	Stale // of the version before
	Liar  // bounds that are too low
	Dying // its connection ends behind the summary
	NoAnswer
	Moods
)

// Answer makes what a box does with the parts of questions; mood is asked for each call, takes for how long it works.
func (b *Blocks) Answer(mood func(*Replica, Call, bool) Mood, takes func(summary bool, records int) time.Duration) func(*Replica, Call) {
	return func(s *Replica, c Call) {
		line, text, _ := strings.Cut(c.Text, "\n")
		var ask askedFor
		var least float64
		if json.Unmarshal([]byte(line), &ask) != nil {
			s.Odd("replica %s: a call that is no question: %q", s.UID, c.Text)
			return
		}
		fmt.Sscanf(text, "score>=%g", &least)
		summary := ask.Ask == "summary"
		m := mood(s, c, summary)
		b.mu.Lock()
		all := b.matching(c.Shard, least)
		version := b.version[c.Shard]
		if summary {
			b.Work++
			b.Asks[0]++
		} else {
			b.Work += 1 + len(b.Records[c.Shard])
			b.Asks[1]++
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
			case summary && m == Late:
				time.AfterFunc(400*time.Millisecond, func() { s.Reply(c, "OK", value) })
			default:
				s.Reply(c, "OK", value)
			}
			if m == Dying {
				Reset(s, c)
			}
		})
	}
}

// summaryOf is a block's summary, as a box of a mood words it.
func summaryOf(all []Record, version int, m Mood) string {
	out := map[string]any{"version": fmt.Sprint("v", version), "count": len(all)}
	if len(all) > 0 {
		out["upper"], out["lower"] = all[0].Score, all[len(all)-1].Score
	}
	switch m {
	case Loose:
		delete(out, "lower")
		out["upper"] = 1000
	case Stale:
		out["version"] = fmt.Sprint("v", version-1)
	case Liar:
		if len(all) > 0 {
			out["upper"], out["lower"] = -100, -100
		}
	case Malformed:
		return []string{"{", `{"version":"v1"}`, `{"version":"","count":1}`, `{"version":"v","count":-3}`,
			`{"version":"v","count":1,"upper":1,"lower":2}`, `{"version":"v","count":1,"upper":1e999}`, "[]"}[len(all)%7]
	}
	body, _ := json.Marshal(out)
	return string(body)
}
