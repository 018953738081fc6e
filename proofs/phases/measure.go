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
	measureBest            = 10
	measureMaxIdle         = 256
	shardRate              = 2000.0 // subqueries a second
	jammedSpeed            = 1.5    // times as many, of replicas that share one core
	callWork               = 50 * time.Microsecond
	recordWork             = 20 * time.Microsecond
)

// measure tells what two phases save: the work of replicas (records looked at, a summary counts as one), attempts, and
// the share of queries answered within their latency objective, two phases against one, by selectivity and number of
// shards, with replicas of a core each and jammed on one core.
func measure(program string) {
	fmt.Println("| blocks | selectivity | fleet | work, two against one | legs, two against one | in time, one | " +
		"in time, two | asked in two phases |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, jammed := range []bool{false, true} {
		for _, shards := range []int{8, 32, 128} {
			for _, selectivity := range []float64{0.01, 0.1, 0.5, 1} {
				if jammed && (shards != 32 || selectivity == 0.01) {
					continue
				}
				if err := compare(program, shards, selectivity, jammed); err != nil {
					fmt.Println("could not be played:", err)
				}
			}
		}
	}
}

// cost is what a load cost, each for one query.
type cost struct {
	work          float64 // records looked at
	attempts      float64
	inTime        float64 // share within the latency objective
	twoPhaseShare float64
}

// compare prints a line of the table: a load in one phase and the same in two.
func compare(program string, shards int, selectivity float64, jammed bool) error {
	data := dataset{shards: shards, recordsPerShard: measureRecordsPerShard, selectivity: selectivity}
	one, err := measureLoad(program, data, 1, jammed) // with one attempt a subquery there can be no first phase
	if err != nil {
		return err
	}
	two, err := measureLoad(program, data, maxAttempts, jammed)
	if err != nil {
		return err
	}
	name := "quiet"
	if jammed {
		name = "jammed"
	}
	fmt.Printf("| %d | %.2f | %s | %.2f | %.2f | %.3f | %.3f | %.2f |\n", shards, selectivity, name,
		two.work/one.work, two.attempts/one.attempts, one.inTime, two.inTime, two.twoPhaseShare)
	return nil
}

func measureLoad(program string, data dataset, maxAttempts int, jammed bool) (cost, error) {
	fleet, err := newFleet(program, measureSeed, data, maxAttempts)
	if err != nil {
		return cost{}, err
	}
	fleet.workTime = recordTime
	rate := shardRate / float64(data.shards)
	if jammed {
		fleet.workTime = onOneCore(recordTime)
		rate *= jammedSpeed
	}
	inTime, sent := fleet.load(rate, data.shards, measureTime)
	counts := fleet.Counters()
	fleet.Close()
	return cost{
		work:          float64(fleet.data.RecordsRead) / float64(sent),
		attempts:      float64(counts["legs"]) / float64(sent),
		inTime:        float64(inTime) / float64(sent),
		twoPhaseShare: float64(counts["two_phases"]) / float64(max(1, counts["questions"])),
	}, nil
}

// recordTime is the time of a core that a call takes.
func recordTime(summary bool, records int) time.Duration {
	if summary {
		return callWork
	}
	return callWork + time.Duration(records)*recordWork
}

// onOneCore has all replicas share one core, which works off its calls one after the other.
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

// load asks for the best records of all shards, on an open-loop schedule; it returns how many queries were answered
// within their latency objective, and how many were sent.
func (f *fleet) load(rate float64, shards int, duration time.Duration) (inTime, sent int) {
	best := measureBest
	client := newClient(f.Addr, measureMaxIdle)
	var mu sync.Mutex
	var open sync.WaitGroup
	start := time.Now()
	sent = int(duration.Seconds() * rate)
	for n := range sent {
		due := dueTime(start, n, rate)
		time.Sleep(time.Until(due))
		open.Go(func() {
			status, _, err := client.send(query{id: fmt.Sprint("m", n), shards: shardRange(0, shards), best: &best})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && status == http.StatusOK && time.Since(due) <= objective {
				inTime++
			}
		})
	}
	open.Wait()
	return inTime, sent
}
