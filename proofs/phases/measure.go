package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	measureSeed            = 7
	measureTime            = 3 * time.Second
	measureRecordsPerShard = 40
	measureLimit           = 10
	measureMaxIdle         = 256
	subqueryRate           = 2000.0 // subqueries per second
	sharedCoreRateFactor   = 1.5    // applied to the rate when all replicas share one core
	callWork               = 50 * time.Microsecond
	recordWork             = 20 * time.Microsecond
)

// measureSavings prints a Markdown table that compares two phases with one: the work of replicas (records read, where a
// summary counts as one), the number of attempts, and the share of queries answered within their latency objective. It
// varies the selectivity and the number of shards, with a core for each replica and with one core shared by all.
func measureSavings(program string) {
	fmt.Println("| shards | selectivity | cores | work, two phases / one | attempts, two phases / one | " +
		"within objective, one phase | within objective, two phases | queries run in two phases |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, sharedCore := range []bool{false, true} {
		for _, shards := range []int{8, 32, 128} {
			for _, selectivity := range []float64{0.01, 0.1, 0.5, 1} {
				if sharedCore && (shards != 32 || selectivity == 0.01) {
					continue
				}
				if err := compare(program, shards, selectivity, sharedCore); err != nil {
					fmt.Println("run failed:", err)
				}
			}
		}
	}
}

// cost holds the averages of a load per query.
type cost struct {
	work            float64 // records read
	attempts        float64
	withinObjective float64 // share of queries within the latency objective
	twoPhaseShare   float64 // share of queries that ran in two phases
}

// compare prints a line of the table: the same load in one phase and in two.
func compare(program string, shards int, selectivity float64, sharedCore bool) error {
	data := dataset{shards: shards, recordsPerShard: measureRecordsPerShard, selectivity: selectivity}
	// With a limit of one attempt per subquery, no query runs in two phases.
	onePhase, err := measureLoad(program, data, 1, sharedCore)
	if err != nil {
		return err
	}
	twoPhases, err := measureLoad(program, data, maxAttempts, sharedCore)
	if err != nil {
		return err
	}
	cores := "one each"
	if sharedCore {
		cores = "one shared"
	}
	fmt.Printf("| %d | %.2f | %s | %.2f | %.2f | %.3f | %.3f | %.2f |\n", shards, selectivity, cores,
		twoPhases.work/onePhase.work, twoPhases.attempts/onePhase.attempts,
		onePhase.withinObjective, twoPhases.withinObjective, twoPhases.twoPhaseShare)
	return nil
}

func measureLoad(program string, data dataset, maxAttempts int, sharedCore bool) (cost, error) {
	fleet, err := newFleet(program, measureSeed, data, maxAttempts)
	if err != nil {
		return cost{}, err
	}
	fleet.workTime = callTime
	rate := subqueryRate / float64(data.shards)
	if sharedCore {
		fleet.workTime = onOneCore(callTime)
		rate *= sharedCoreRateFactor
	}
	withinObjective, sent := fleet.load(rate, data.shards, measureTime)
	counts := fleet.Counters()
	fleet.Close()
	return cost{
		work:            float64(fleet.data.RecordsRead) / float64(sent),
		attempts:        float64(counts["legs"]) / float64(sent),
		withinObjective: float64(withinObjective) / float64(sent),
		twoPhaseShare:   float64(counts["two_phases"]) / float64(max(1, counts["questions"])),
	}, nil
}

// callTime returns the CPU time of a call.
func callTime(summary bool, records int) time.Duration {
	if summary {
		return callWork
	}
	return callWork + time.Duration(records)*recordWork
}

// onOneCore returns a function that gives the duration of each call when all replicas share one core, which executes
// calls one at a time.
func onOneCore(work func(summary bool, records int) time.Duration) func(summary bool, records int) time.Duration {
	var mu sync.Mutex
	freeAt := time.Now()
	return func(summary bool, records int) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); freeAt.Before(now) {
			freeAt = now
		}
		freeAt = freeAt.Add(work(summary, records))
		return time.Until(freeAt)
	}
}

// load sends queries for the top records of all shards on an open-loop schedule. It returns the number of queries that
// were answered within their latency objective and the number sent.
func (f *fleet) load(rate float64, shards int, duration time.Duration) (withinObjective, sent int) {
	limit := measureLimit
	client := newClient(f.Addr, measureMaxIdle)
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	start := time.Now()
	sent = int(duration.Seconds() * rate)
	for n := range sent {
		due := dueTime(start, n, rate)
		time.Sleep(time.Until(due))
		inFlight.Go(func() {
			status, _, err := client.send(query{id: fmt.Sprint("m", n), shards: shardRange(0, shards), limit: &limit})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && status == http.StatusOK && time.Since(due) <= objective {
				withinObjective++
			}
		})
	}
	inFlight.Wait()
	return withinObjective, sent
}
