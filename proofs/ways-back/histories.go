package main

import (
	"fmt"
	"runtime"
	"time"

	"terntray/internal/emulator"
	"terntray/internal/proof"
)

// recentTime is how long after its end a query counts in what a replayed history prints.
const recentTime = 500 * time.Millisecond

// playHistories plays histories in virtual time, on all cores but one.
func (s *summary) playHistories(count int, first uint64) {
	cores := max(1, runtime.NumCPU()-1)
	proof.Parallel(count, cores, func(index int) { s.playHistory(first + uint64(index)) })
}

func (s *summary) playHistory(seed uint64) {
	history := emulator.Draw(seed)
	verdict, err := history.Run()
	s.failed(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.histories++
	s.rulesBroken += len(verdict.Broken)
	s.slowest = max(s.slowest, verdict.Back)
	if verdict.Stuck {
		s.stuck++
		fmt.Printf("stuck: -seed %d: %s\n  %s\n", seed, verdict.Why, history)
	}
	if len(verdict.Broken) > 0 {
		fmt.Printf("rule broken: -seed %d: %s\n", seed, verdict.Broken[0])
	}
}

// replayHistory plays one history and tells what was estimated twice a second.
func replayHistory(seed uint64) {
	history := emulator.Draw(seed)
	fmt.Println(history)
	history.Spy = func(fleet *emulator.Fleet) {
		outcomes := map[emulator.Final]int{}
		for _, query := range fleet.Node.Ledger.All {
			if query.How == emulator.Open || query.Ended > fleet.Now-recentTime {
				outcomes[query.How]++
			}
		}
		fmt.Printf("%v, sound in %v: %v\n%+v\n%s\n", fleet.Now, history.SoundAt-fleet.Now, outcomes,
			fleet.Node.Module.ClassEstimates(), fleet.Node.Module.DescribeReplicas())
	}
	verdict, err := history.Run()
	fmt.Printf("%+v %v\n", verdict, err)
}
