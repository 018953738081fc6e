package main

import (
	"fmt"
	"sync"
	"time"

	"terntray/internal/proof"
)

// Thresholds of the proof, as shares.
const (
	minSuccess     = 0.99 // of the queries of a burst at cold start, and of the light load after it
	minGoodputKept = 0.8  // goodput under overload, as a share of that at capacity
)

// notRecovered is the recovery time of a scenario that did not recover in time.
const notRecovered = -1

// summary collects the results of all histories and scenarios.
type summary struct {
	mu sync.Mutex

	histories       int
	stuck           int // histories that did not recover
	rulesViolated   int
	slowestRecovery time.Duration // the longest recovery of a history

	slowRecovery  float64 // recovery from slow replicas in seconds, or notRecovered
	otherRecovery float64 // the longest recovery from other faults in seconds, or notRecovered

	// Shares of queries within the latency objective.
	coldBurst       float64 // of a burst at cold start
	lightAfterBurst float64 // of the light load after it
	longBurst       float64 // of a burst of long subqueries at cold start

	goodputKept      float64 // goodput under overload, as a share of that at capacity
	goodputKeptEarly float64 // the same in the first seconds

	errs []string
}

// recordError records the error of a run; it ignores nil.
func (s *summary) recordError(err error) {
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errs = append(s.errs, err.Error())
	}
}

// runHistoriesAndFaults runs the histories in parallel with the fault scenarios on sockets.
func (s *summary) runHistoriesAndFaults(program string, histories int, firstSeed uint64) {
	var running sync.WaitGroup
	running.Go(func() { s.runFaultScenarios(program) })
	s.runHistories(histories, firstSeed)
	running.Wait()
}

// historiesRecovered reports whether all histories recovered without violations, and no run failed.
func (s *summary) historiesRecovered() bool {
	return s.stuck == 0 && s.rulesViolated == 0 && len(s.errs) == 0
}

func (s *summary) faultScenariosRecovered() bool { return s.slowRecovery >= 0 && s.otherRecovery >= 0 }

func (s *summary) burstsSucceeded() bool {
	return s.coldBurst >= minSuccess && s.lightAfterBurst >= minSuccess && s.longBurst >= minSuccess
}

// exitHistories prints the closing line for the histories alone, and exits.
func (s *summary) exitHistories() {
	proof.Exit(s.historiesRecovered(), "ways-back",
		"histories=%d stuck=%d slowest_back=%.1f rules_broken=%d errors=%q",
		s.histories, s.stuck, s.slowestRecovery.Seconds(), s.rulesViolated, s.errs)
}

// exit prints the errors and the closing line for histories and scenarios, and exits.
func (s *summary) exit() {
	for _, err := range s.errs {
		fmt.Println("run failed:", err)
	}
	goodputHeld := s.goodputKept >= minGoodputKept
	proved := s.historiesRecovered() && s.faultScenariosRecovered() && s.burstsSucceeded() && goodputHeld
	proof.Exit(proved, "ways-back",
		"histories=%d stuck=%d slowest_back=%.1f slow_day_back=%.1f other_days_back=%.1f crowd_back=%.3f "+
			"cold_crowd_fulfilled=%.3f wide_crowd_fulfilled=%.3f core_kept=%.2f core_kept_at_first=%.2f "+
			"rules_broken=%d",
		s.histories, s.stuck, s.slowestRecovery.Seconds(), s.slowRecovery, s.otherRecovery, s.lightAfterBurst,
		s.coldBurst, s.longBurst, s.goodputKept, s.goodputKeptEarly, s.rulesViolated)
}
