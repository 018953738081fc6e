// Command phases proves that two-phase queries are answered as in one phase, or rejected; see docs/phases.md. With
// -measure it measures what two phases save.
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

	// settings describe cells of one replica each; the limit on attempts of a subquery is left open.
	settings = `{"balancers":1,"bounds":{"connectTimeout":250000,"idleClose":30000000,"maxAttempts":%d,"maxOpen":200000,
"mayCancel":true,"multiplex":64,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":6,"classFetch":[0],"classNeed":[1.0],"ranges":128,"span":3},
"lanes":[{"name":"report","aim":500000,"deadline":1000000,"effect":"pure"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`
)

// What each fleet of the proof holds. Its selectivity is drawn by its seed.
const (
	shardCount      = 24
	recordsPerShard = 6
	maxAttempts     = 3
)

var selectivities = []float64{0.1, 0.3, 0.6}

func main() {
	program := flag.String("program", "bin/terntray", "the built program")
	queries := flag.Int("questions", 20_400, "to ask in all")
	first := flag.Uint64("first", 1, "the first seed")
	fleets := flag.Int("fleets", 12, "fleets, a seed each")
	beside := flag.Int("beside", 4, "fleets side by side")
	measured := flag.Bool("measure", false, "measure instead")
	flag.Parse()
	if *measured {
		measure(*program)
		return
	}
	total := &total{}
	proof.Parallel(*fleets, *beside, func(index int) {
		seed := *first + uint64(index)
		tally, err := playSeed(*program, seed, *queries / *fleets)
		total.add(seed, tally, err)
	})
	total.close()
}

// playSeed plays a fleet of its own.
func playSeed(program string, seed uint64, queries int) (*tally, error) {
	fleet, err := newFleet(program, seed, dataset{
		shards:          shardCount,
		recordsPerShard: recordsPerShard,
		selectivity:     selectivities[seed%uint64(len(selectivities))],
	}, maxAttempts)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	player := newPlayer(fleet, seed)
	player.play(queries)
	counts := fleet.Counters()
	player.tally.twoPhase = counts["two_phases"]
	player.tally.pruned = counts["pruned"]
	player.tally.unasked = fleet.unaskedShards()
	return &player.tally, nil
}

// tally is what became of queries.
type tally struct {
	queries    int
	identical  int // answered as the data says
	rejected   int
	partial    int
	wrong      int
	unanswered int
	unasked    int // shards of answered queries that were neither summarized in a usable form nor asked
	twoPhase   int // queries, by the program's own count
	pruned     int // subqueries that a summary saved, by the program's own count
	notes      []string
}

// total sums the tallies of all fleets.
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
	t.sum.unasked += tally.unasked
	t.sum.twoPhase += tally.twoPhase
	t.sum.pruned += tally.pruned
	for _, note := range tally.notes {
		t.sum.notes = append(t.sum.notes, fmt.Sprintf("seed %d: %s", seed, note))
	}
}

// proved tells whether nothing went wrong, eight queries of ten were answered in full, and half in two phases.
func (t *total) proved() bool {
	sum := &t.sum
	faults := len(t.errs) + sum.partial + sum.wrong + sum.unasked + sum.unanswered
	enoughAnswered := sum.identical*10 >= sum.queries*8
	enoughTwoPhase := sum.twoPhase*2 >= sum.queries
	return faults == 0 && enoughAnswered && enoughTwoPhase
}

// maxNotes bounds the notes that are printed.
const maxNotes = 20

// close prints the notes and the closing line, and ends the process.
func (t *total) close() {
	sum := &t.sum
	for _, note := range sum.notes[:min(len(sum.notes), maxNotes)] {
		fmt.Println(note)
	}
	proof.PrintErrors(t.errs)
	proof.Exit(t.proved(), "phases",
		"questions=%d identical=%d refused=%d partial=%d wrong=%d pruned_unasked=%d unanswered=%d "+
			"two_phases=%d pruned=%d",
		sum.queries, sum.identical, sum.rejected, sum.partial, sum.wrong, sum.unasked, sum.unanswered, sum.twoPhase,
		sum.pruned)
}
