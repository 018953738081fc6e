package soak

import (
	"strings"
	"time"
)

// measurementSlack is for this process's own scheduling, on both sides of a measurement.
const measurementSlack = 60 * time.Millisecond

// socketSlack is granted on every limit that a coordinator keeps on sockets: its timers and the kernel's buffers.
const socketSlack = 50 * time.Millisecond

// faultEffectTime is how soon after a fault's end a check still counts as crossed by it.
const faultEffectTime = 300 * time.Millisecond

// checker gathers what was judged. It runs once all processes have ended, so that the ledger no longer changes. Time
// during which a process was stopped by a fault is granted on top of each limit.
type checker struct {
	*Soak
	result        *Result
	requests      map[string]*request // by query
	subqueries    map[string][]*arrival
	notifications map[*coordinator][]notification
}

// check judges all rules by the ledger.
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
	}
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
		notifications: map[*coordinator][]notification{},
	}
	for _, request := range soak.ledger.requests {
		checker.requests[request.id] = request
	}
	for _, coordinator := range soak.coordinators {
		checker.notifications[coordinator] = coordinator.notifications()
	}
	return checker
}

// checkArrival judges an attempt by itself, and notes it with its subquery.
func (c *checker) checkArrival(arrival *arrival) {
	request := c.requests[arrival.query]
	if request == nil {
		c.violated(RuleUnsolicited, arrival.query, "%s reached %s, and no client asked for it",
			arrival.subquery, arrival.replica.uid)
		return
	}
	c.subqueries[arrival.subquery] = append(c.subqueries[arrival.subquery], arrival)
	c.checkTimeout(request, arrival)
	c.checkClientConnected(request, arrival)
	c.checkDrain(request, arrival)
}

// countCheck counts that a rule was checked, and which faults were under way at its coordinator meanwhile. An empty name
// stands for no coordinator alone.
func (c *checker) countCheck(rule Rule, coordinator string, from, to time.Duration) {
	c.result.Counts[string(rule)]++
	crossed := c.result.ChecksDuringFault[rule]
	if crossed == nil {
		crossed = map[FaultKind]int{}
		c.result.ChecksDuringFault[rule] = crossed
	}
	seen := map[FaultKind]bool{}
	for _, fault := range c.ledger.faults {
		if fault.affects(coordinator) && fault.overlaps(from, to) && !seen[fault.kind] {
			seen[fault.kind] = true
			crossed[fault.kind]++
		}
	}
}

// affects tells whether a fault struck a coordinator, or no coordinator alone.
func (f faultSpan) affects(coordinator string) bool {
	return !strings.HasPrefix(f.target, coordinatorPrefix) || f.target == coordinator
}

func (f faultSpan) overlaps(from, to time.Duration) bool {
	return f.from <= to && f.to+faultEffectTime >= from
}

// countFaults counts the faults, and which were under way at the same time.
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
