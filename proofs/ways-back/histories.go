package main

import (
	"fmt"
	"runtime"
	"time"

	"terntray/internal/emulator"
	"terntray/internal/proof"
)

// recentTime is how long a completed query is included in the output of a replayed history.
const recentTime = 500 * time.Millisecond

// runHistories runs histories in virtual time on all cores but one.
func (s *summary) runHistories(count int, firstSeed uint64) {
	cores := max(1, runtime.NumCPU()-1)
	proof.Parallel(count, cores, func(index int) { s.runHistory(firstSeed + uint64(index)) })
}

func (s *summary) runHistory(seed uint64) {
	history := emulator.RandomHistory(seed)
	result, err := history.Run()
	s.recordError(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.histories++
	s.rulesViolated += len(result.Violations)
	s.slowestRecovery = max(s.slowestRecovery, result.Recovery)
	if result.Stuck {
		s.stuck++
		fmt.Printf("stuck: -seed %d: %s\n  %s\n", seed, result.StuckReason, history)
	}
	if len(result.Violations) > 0 {
		fmt.Printf("rule violated: -seed %d: %s\n", seed, result.Violations[0])
	}
}

// replayHistory runs one history and prints the estimates of the co-ordinator twice per second of virtual time.
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
		fmt.Printf("%v, healthy in %v: %v\n%+v\n%s\n", fleet.Now, history.HealthyAt-fleet.Now, outcomes,
			fleet.Coordinator.Scheduler.ClassEstimates(), fleet.Coordinator.Scheduler.DescribeReplicas())
	}
	result, err := history.Run()
	fmt.Printf("%+v %v\n", result, err)
}
