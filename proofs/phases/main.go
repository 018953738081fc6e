// Command phases proves that two-phase queries get the same answer as in one phase or are rejected; see docs/phases.md.
// With -measure it measures what two phases save.
package main

import (
	"flag"
	"fmt"
	"sync"
	"time"

	"terntray/internal/proof"
)

const (
	replicaCount = 6
	deadline     = time.Second
	objective    = deadline / 2

	// settings configure cells of one replica each. The format argument is the maximum number of attempts per subquery.
	settings = `{"balancers":1,"bounds":{"connectTimeout":250000,"idleClose":30000000,"maxAttempts":%d,"maxOpen":200000,
"mayCancel":true,"multiplex":64,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":6,"classFetch":[0],"classNeed":[1.0],"ranges":128,"span":3},
"lanes":[{"name":"report","aim":500000,"deadline":1000000,"effect":"pure"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`
)

// The data of each fleet and its limit on attempts. The selectivity depends on the seed.
const (
	shardCount      = 24
	recordsPerShard = 6
	maxAttempts     = 3
)

var selectivities = []float64{0.1, 0.3, 0.6}

func main() {
	program := flag.String("program", "bin/terntray", "path of the program to test")
	queries := flag.Int("questions", 20_400, "total number of queries")
	firstSeed := flag.Uint64("first", 1, "seed of the first fleet")
	fleets := flag.Int("fleets", 12, "number of fleets, each with its own seed")
	parallel := flag.Int("beside", 4, "maximum number of fleets that run in parallel")
	measureOnly := flag.Bool("measure", false, "measure what two phases save instead")
	flag.Parse()
	if *measureOnly {
		measureSavings(*program)
		return
	}
	total := &total{}
	proof.Parallel(*fleets, *parallel, func(index int) {
		seed := *firstSeed + uint64(index)
		tally, err := runFleet(*program, seed, *queries / *fleets)
		total.add(seed, tally, err)
	})
	total.exit()
}

// runFleet starts a fleet, runs queries against it and returns their tally.
func runFleet(program string, seed uint64, queries int) (*tally, error) {
	fleet, err := newFleet(program, seed, dataset{
		shards:          shardCount,
		recordsPerShard: recordsPerShard,
		selectivity:     selectivities[seed%uint64(len(selectivities))],
	}, maxAttempts)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	verifier := newVerifier(fleet, seed)
	verifier.run(queries)
	counts := fleet.Counters()
	verifier.tally.twoPhase = counts["two_phases"]
	verifier.tally.pruned = counts["pruned"]
	verifier.tally.wronglyPruned = fleet.wronglyPrunedShards()
	return &verifier.tally, nil
}

// tally counts the outcomes of queries.
type tally struct {
	queries       int
	identical     int // answered completely and correctly
	rejected      int
	partial       int
	wrong         int
	unanswered    int
	wronglyPruned int // shards of answered queries that were pruned without a usable summary
	twoPhase      int // queries, as counted by the program
	pruned        int // subqueries that needed no fetch, as counted by the program
	notes         []string
}

// total adds up the tallies of all fleets.
type total struct {
	mu   sync.Mutex
	sum  tally
	errs []error
}

func (t *total) add(seed uint64, tally *tally, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.errs = append(t.errs, err)
		return
	}
	t.sum.queries += tally.queries
	t.sum.identical += tally.identical
	t.sum.rejected += tally.rejected
	t.sum.partial += tally.partial
	t.sum.wrong += tally.wrong
	t.sum.unanswered += tally.unanswered
	t.sum.wronglyPruned += tally.wronglyPruned
	t.sum.twoPhase += tally.twoPhase
	t.sum.pruned += tally.pruned
	for _, note := range tally.notes {
		t.sum.notes = append(t.sum.notes, fmt.Sprintf("seed %d: %s", seed, note))
	}
}

// proved reports whether there were no violations or errors, at least 80% of the queries were answered completely, and
// at least half ran in two phases.
func (t *total) proved() bool {
	sum := &t.sum
	faults := len(t.errs) + sum.partial + sum.wrong + sum.wronglyPruned + sum.unanswered
	enoughAnswered := sum.identical*10 >= sum.queries*8
	enoughTwoPhase := sum.twoPhase*2 >= sum.queries
	return faults == 0 && enoughAnswered && enoughTwoPhase
}

// maxNotes limits the number of notes that are printed.
const maxNotes = 20

// exit prints the notes, the errors and the closing line, and exits.
func (t *total) exit() {
	sum := &t.sum
	for _, note := range sum.notes[:min(len(sum.notes), maxNotes)] {
		fmt.Println(note)
	}
	proof.PrintErrors(t.errs)
	proof.Exit(t.proved(), "phases",
		"questions=%d identical=%d refused=%d partial=%d wrong=%d pruned_unasked=%d unanswered=%d "+
			"two_phases=%d pruned=%d",
		sum.queries, sum.identical, sum.rejected, sum.partial, sum.wrong, sum.wronglyPruned, sum.unanswered,
		sum.twoPhase, sum.pruned)
}
