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
	history := emulator.RandomHistory(seed)
	verdict, err := history.Run()
	s.failed(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.histories++
	s.rulesBroken += len(verdict.Violations)
	s.slowest = max(s.slowest, verdict.Recovery)
	if verdict.Stuck {
		s.stuck++
		fmt.Printf("stuck: -seed %d: %s\n  %s\n", seed, verdict.StuckReason, history)
	}
	if len(verdict.Violations) > 0 {
		fmt.Printf("rule broken: -seed %d: %s\n", seed, verdict.Violations[0])
	}
}

// replayHistory plays one history and tells what was estimated twice a second.
func replayHistory(seed uint64) {
	history := emulator.RandomHistory(seed)
	fmt.Println(history)
	history.Observer = func(fleet *emulator.Fleet) {
		outcomes := map[emulator.QueryOutcome]int{}
		for _, query := range fleet.Coordinator.Ledger.Queries {
			if query.Outcome == emulator.Unanswered || query.EndedAt > fleet.Now-recentTime {
				outcomes[query.Outcome]++
			}
		}
		fmt.Printf("%v, sound in %v: %v\n%+v\n%s\n", fleet.Now, history.HealthyAt-fleet.Now, outcomes,
			fleet.Coordinator.Scheduler.ClassEstimates(), fleet.Coordinator.Scheduler.DescribeReplicas())
	}
	verdict, err := history.Run()
	fmt.Printf("%+v %v\n", verdict, err)
}
