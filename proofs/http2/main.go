// Command http2 proves that no subquery is sent more often than allowed, and that no executed attempt is taken for one
// that was never executed, whatever faults occur in a fleet that uses both HTTP/2 and frames; see docs/http2.md. With
// -seed it runs a single scenario.
package main

import (
	"flag"
	"fmt"
	"sync"
	"time"

	"terntray/internal/proof"
)

func main() {
	program := flag.String("program", "bin/terntray", "path of the program to test")
	seeds := flag.Int("seeds", 44, "number of scenarios")
	firstSeed := flag.Uint64("first", 1, "seed of the first scenario")
	parallel := flag.Int("beside", 4, "maximum number of scenarios that run in parallel")
	duration := flag.Duration("lasts", 1500*time.Millisecond, "duration of the load in each scenario")
	seed := flag.Uint64("seed", 0, "run only the scenario with this seed, and write its log to http2.log")
	flag.Parse()
	single := *seed > 0
	if single {
		*firstSeed = *seed
		*seeds = 1
	}
	total := &total{}
	proof.Parallel(*seeds, *parallel, func(index int) {
		scenario := &scenario{program: *program, seed: *firstSeed + uint64(index), duration: *duration, keepLog: single}
		err := scenario.run()
		total.add(scenario, err)
	})
	total.exit(*seeds)
}

// tally counts the queries and rule violations of one scenario, or of all.
type tally struct {
	queries         int
	succeeded       int
	unanswered      int
	extraAnswers    int // responses that were followed by unexpected bytes
	executions      int // of subqueries
	tooManyAttempts int // subqueries with more than maxAttempts attempts, and logs with one of fatalLogTexts
	falseNeverRan   int // subqueries of which a replica executed more attempts than the trace allows
	ranTwice        int // non-idempotent subqueries that were executed more than once
	notes           []string
}

func (t *tally) note(format string, args ...any) {
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// total adds up the tallies of all scenarios.
type total struct {
	mu         sync.Mutex
	sum        tally
	failedRuns int
}

// add adds the result of a scenario, and prints its error and notes.
func (t *total) add(scenario *scenario, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failedRuns++
		proof.PrintErrors([]error{err})
	}
	for _, note := range scenario.tally.notes {
		fmt.Printf("reproduce with bin/proofs/http2 -seed %d: %s\n", scenario.seed, note)
	}
	t.sum.queries += scenario.tally.queries
	t.sum.succeeded += scenario.tally.succeeded
	t.sum.unanswered += scenario.tally.unanswered
	t.sum.extraAnswers += scenario.tally.extraAnswers
	t.sum.executions += scenario.tally.executions
	t.sum.tooManyAttempts += scenario.tally.tooManyAttempts
	t.sum.falseNeverRan += scenario.tally.falseNeverRan
	t.sum.ranTwice += scenario.tally.ranTwice
}

// proved reports whether there were no violations or errors, and at least 70% of the queries succeeded.
func (t *total) proved() bool {
	sum := &t.sum
	faults := t.failedRuns + sum.tooManyAttempts + sum.falseNeverRan + sum.ranTwice + sum.unanswered + sum.extraAnswers
	return faults == 0 && sum.succeeded*10 >= sum.queries*7
}

// exit prints the closing line and exits.
func (t *total) exit(seeds int) {
	sum := &t.sum
	proof.Exit(t.proved(), "http2",
		"seeds=%d retrievals=%d fulfilled=%d ran=%d over_allowance=%d false_never_ran=%d single_use_twice=%d "+
			"unanswered=%d double_answers=%d",
		seeds, sum.queries, sum.succeeded, sum.executions, sum.tooManyAttempts, sum.falseNeverRan, sum.ranTwice,
		sum.unanswered, sum.extraAnswers)
}
