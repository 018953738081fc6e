package main

import (
	"fmt"
	"sync"
	"time"

	"terntray/internal/proof"
)

// What proves recovery, as shares.
const (
	minSuccess  = 0.99 // of queries that start cold or follow a burst
	minCoreKept = 0.8  // of what a core does at its limit, when it is asked for more
)

// notRecovered stands for a day that was not over its fault in time.
const notRecovered = -1

// summary gathers the figures of all histories and days.
type summary struct {
	mu sync.Mutex

	histories   int
	stuck       int // histories that did not recover
	rulesBroken int
	slowest     time.Duration // recovery of a history

	slowDay   float64 // seconds that recovery from slow replicas took, or notRecovered
	otherDays float64 // the longest of the other days, or notRecovered

	startBurst   float64 // share that succeeded of a burst at cold start,
	afterBurst   float64 // of the light load that followed,
	wideBurst    float64 // and of a burst of long subqueries
	coreKept     float64 // throughput beyond the core's limit, as a share of that at its limit
	coreKeptSoon float64 // the same, in the first seconds

	errs []string
}

// failed notes an error of what could not be played; nil: none.
func (s *summary) failed(err error) {
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errs = append(s.errs, err.Error())
	}
}

// playBeside plays the histories while the light days go on on sockets.
func (s *summary) playBeside(program string, histories int, first uint64) {
	var days sync.WaitGroup
	days.Go(func() { s.playFaultDays(program) })
	s.playHistories(histories, first)
	days.Wait()
}

// historiesRecovered tells whether all histories recovered, no rule was broken, and all was played.
func (s *summary) historiesRecovered() bool {
	return s.stuck == 0 && s.rulesBroken == 0 && len(s.errs) == 0
}

func (s *summary) daysRecovered() bool { return s.slowDay >= 0 && s.otherDays >= 0 }

func (s *summary) burstsSucceeded() bool {
	return s.startBurst >= minSuccess && s.afterBurst >= minSuccess && s.wideBurst >= minSuccess
}

// closeHistories judges the histories alone.
func (s *summary) closeHistories() {
	proof.Exit(s.historiesRecovered(), "ways-back",
		"histories=%d stuck=%d slowest_back=%.1f rules_broken=%d errors=%q",
		s.histories, s.stuck, s.slowest.Seconds(), s.rulesBroken, s.errs)
}

// close judges histories and days.
func (s *summary) close() {
	for _, err := range s.errs {
		fmt.Println("could not be played:", err)
	}
	coreHeld := s.coreKept >= minCoreKept
	proved := s.historiesRecovered() && s.daysRecovered() && s.burstsSucceeded() && coreHeld
	proof.Exit(proved, "ways-back",
		"histories=%d stuck=%d slowest_back=%.1f slow_day_back=%.1f other_days_back=%.1f crowd_back=%.3f "+
			"cold_crowd_fulfilled=%.3f wide_crowd_fulfilled=%.3f core_kept=%.2f core_kept_at_first=%.2f "+
			"rules_broken=%d",
		s.histories, s.stuck, s.slowest.Seconds(), s.slowDay, s.otherDays, s.afterBurst,
		s.startBurst, s.wideBurst, s.coreKept, s.coreKeptSoon, s.rulesBroken)
}
