package soak

import (
	"strings"
	"time"
)

// measurementSlack allows for scheduling delays of this process at the start and the end of a measurement.
const measurementSlack = 60 * time.Millisecond

// socketSlack is added to every time limit that a co-ordinator enforces on sockets, for its timers and the kernel's
// buffers.
const socketSlack = 50 * time.Millisecond

// faultEffectTime is how long after its end a fault still counts as overlapping a check.
const faultEffectTime = 300 * time.Millisecond

// checker checks the rules against the ledger and collects the result. It runs after all processes have ended, so that
// the ledger no longer changes. Time for which a fault stopped a process is added to each time limit.
type checker struct {
	*Soak
	result        *Result
	requests      map[string]*request // by query
	subqueries    map[string][]*arrival
	reached       map[string]bool // queries of which an attempt reached a replica
	notifications map[*coordinator][]notification
}

// check checks all rules against the ledger.
func (s *Soak) check() *Result {
	checker := newChecker(s)
	for _, request := range s.ledger.requests {
		checker.checkAnswer(request)
		checker.checkAnswerContent(request)
	}
	for _, arrival := range s.ledger.arrivals {
		checker.checkArrival(arrival)
	}
	for subquery, attempts := range checker.subqueries {
		checker.checkAttempts(subquery, attempts)
		checker.checkSentAgain(attempts)
	}
	for _, request := range s.ledger.requests {
		checker.checkReplyLost(request)
	}
	checker.countKills()
	checker.checkSlowStart()
	checker.checkRetryBudget()
	checker.countFaults()
	checker.result.Counts[countFramesNotChecked] = int(s.delayedFrames.Load())
	checker.result.Violations = s.violations
	return checker.result
}

func newChecker(soak *Soak) *checker {
	checker := &checker{
		Soak:          soak,
		result:        newResult(soak.seed),
		requests:      map[string]*request{},
		subqueries:    map[string][]*arrival{},
		reached:       map[string]bool{},
		notifications: map[*coordinator][]notification{},
	}
	for _, request := range soak.ledger.requests {
		checker.requests[request.id] = request
	}
	for _, arrival := range soak.ledger.arrivals {
		checker.reached[arrival.query] = true
	}
	for _, coordinator := range soak.coordinators {
		checker.notifications[coordinator] = coordinator.notifications()
	}
	return checker
}

// checkArrival checks the rules for a single attempt, and adds it to its subquery's attempts.
func (c *checker) checkArrival(arrival *arrival) {
	request := c.requests[arrival.query]
	if request == nil {
		c.violated(RuleUnsolicited, arrival.query, "%s reached %s, but no client requested it",
			arrival.subquery, arrival.replica.uid)
		return
	}
	c.subqueries[arrival.subquery] = append(c.subqueries[arrival.subquery], arrival)
	c.checkTimeout(request, arrival)
	c.checkClientConnected(request, arrival)
	c.checkDrain(request, arrival)
}

// countCheck counts a check of a rule, and the kinds of fault that affected the co-ordinator between from and to. An
// empty name means that the check concerns no single co-ordinator; faults of co-ordinators are then left out.
func (c *checker) countCheck(rule Rule, coordinator string, from, to time.Duration) {
	c.result.Counts[string(rule)]++
	overlapping := c.result.ChecksDuringFault[rule]
	if overlapping == nil {
		overlapping = map[FaultKind]int{}
		c.result.ChecksDuringFault[rule] = overlapping
	}
	seen := map[FaultKind]bool{}
	for _, fault := range c.ledger.faults {
		if fault.affects(coordinator) && fault.overlaps(from, to) && !seen[fault.kind] {
			seen[fault.kind] = true
			overlapping[fault.kind]++
		}
	}
}

// affects reports whether a fault's target is the given co-ordinator or is not a co-ordinator.
func (f faultSpan) affects(coordinator string) bool {
	return !strings.HasPrefix(f.target, coordinatorPrefix) || f.target == coordinator
}

func (f faultSpan) overlaps(from, to time.Duration) bool {
	return f.from <= to && f.to+faultEffectTime >= from
}

// countKills counts the processes that were still running at SIGKILL after SIGTERM.
func (c *checker) countKills() {
	for _, coordinator := range c.coordinators {
		for _, process := range coordinator.processes {
			if process.terminatedAt > 0 && process.killedAt > 0 {
				c.result.Counts[countKilledAfterTerm]++
			}
		}
	}
}

// countFaults counts the faults of each kind, and the overlaps of each pair of kinds.
func (c *checker) countFaults() {
	faults := c.ledger.faults
	for n, fault := range faults {
		c.result.Counts[FaultKey(fault.kind)]++
		for _, other := range faults[:n] {
			overlap := fault.from <= other.to && other.from <= fault.to
			if overlap && fault.kind != other.kind {
				first := min(fault.kind, other.kind)
				second := max(fault.kind, other.kind)
				c.result.FaultOverlaps[string(first+"+"+second)]++
			}
		}
	}
}
