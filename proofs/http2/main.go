// Command http2 proves that no subquery is sent more often than it may be and none is wrongly held to have never run,
// whatever replicas do that speak HTTP/2, frames, or either by turns; see docs/http2.md. With -seed it plays one day
// again.
package main

import (
	"flag"
	"fmt"
	"sync"
	"time"

	"terntray/internal/proof"
)

func main() {
	program := flag.String("program", "bin/terntray", "the built program")
	seeds := flag.Int("seeds", 44, "days to play")
	first := flag.Uint64("first", 1, "the first one's seed")
	beside := flag.Int("beside", 4, "days side by side")
	duration := flag.Duration("lasts", 1500*time.Millisecond, "of a day")
	seed := flag.Uint64("seed", 0, "play this day alone, and keep the log in http2.log")
	flag.Parse()
	alone := *seed > 0
	if alone {
		*first = *seed
		*seeds = 1
	}
	total := &total{}
	proof.Parallel(*seeds, *beside, func(index int) {
		day := &day{program: *program, seed: *first + uint64(index), duration: *duration, keepLog: alone}
		err := day.play()
		total.add(day, err)
	})
	total.close(*seeds)
}

// verdict is what became of a day, or of all.
type verdict struct {
	queries      int
	succeeded    int
	unanswered   int
	doubleAnswer int // queries
	executions   int // of subqueries
	overLimit    int // subqueries that were sent more often than they may be
	falseNever   int // attempts that are held to have never run, and ran
	ranTwice     int // non-idempotent subqueries
	notes        []string
}

func (v *verdict) note(format string, args ...any) {
	v.notes = append(v.notes, fmt.Sprintf(format, args...))
}

// total sums the verdicts of all days.
type total struct {
	mu       sync.Mutex
	sum      verdict
	unplayed int
}

// add adds a day's verdict, as far as it was played, and prints its notes.
func (t *total) add(day *day, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.unplayed++
		proof.PrintErrors([]error{err})
	}
	for _, note := range day.verdict.notes {
		fmt.Printf("sh .ci/prove http2 # bin/proofs/http2 -seed %d: %s\n", day.seed, note)
	}
	t.sum.queries += day.verdict.queries
	t.sum.succeeded += day.verdict.succeeded
	t.sum.unanswered += day.verdict.unanswered
	t.sum.doubleAnswer += day.verdict.doubleAnswer
	t.sum.executions += day.verdict.executions
	t.sum.overLimit += day.verdict.overLimit
	t.sum.falseNever += day.verdict.falseNever
	t.sum.ranTwice += day.verdict.ranTwice
}

// proved tells whether nothing went wrong, and seven queries of ten succeeded.
func (t *total) proved() bool {
	sum := &t.sum
	faults := t.unplayed + sum.overLimit + sum.falseNever + sum.ranTwice + sum.unanswered + sum.doubleAnswer
	return faults == 0 && sum.succeeded*10 >= sum.queries*7
}

func (t *total) close(seeds int) {
	sum := &t.sum
	proof.Exit(t.proved(), "http2",
		"seeds=%d retrievals=%d fulfilled=%d ran=%d over_allowance=%d false_never_ran=%d single_use_twice=%d "+
			"unanswered=%d double_answers=%d",
		seeds, sum.queries, sum.succeeded, sum.executions, sum.overLimit, sum.falseNever, sum.ranTwice,
		sum.unanswered, sum.doubleAnswer)
}
