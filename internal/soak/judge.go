package soak

import (
	"strings"
	"time"
)

// measurementSlack is for this process's own scheduling, on both sides of a measurement.
const measurementSlack = 60 * time.Millisecond

// socketSlack is granted on every limit that a coordinator keeps on sockets: its timers and the kernel's buffers.
const socketSlack = 50 * time.Millisecond

// crossingTime is how soon after a fault's end a judgement still counts as crossed by it.
const crossingTime = 300 * time.Millisecond

// judgement gathers what was judged. It runs once all processes have ended, so that the ledger no longer changes. Time
// during which a process was stopped by a fault is granted on top of each limit.
type judgement struct {
	*Soak
	result        *Result
	requests      map[string]*request // by query
	subqueries    map[string][]*arrival
	notifications map[*coordinator][]notification
}

// judge judges all rules by the ledger.
func (s *Soak) judge() *Result {
	judgement := newJudgement(s)
	for _, request := range s.ledger.requests {
		judgement.judgeAnswer(request)
		judgement.judgeHonesty(request)
	}
	for _, arrival := range s.ledger.arrivals {
		judgement.judgeArrival(arrival)
	}
	for subquery, attempts := range judgement.subqueries {
		judgement.judgeAttempts(subquery, attempts)
	}
	judgement.judgeSlowStart()
	judgement.judgeRetryBudget()
	judgement.countFaults()
	judgement.result.Counts[countFramesNotJudged] = int(s.lateFrames.Load())
	judgement.result.Violations = s.violations
	return judgement.result
}

func newJudgement(soak *Soak) *judgement {
	judgement := &judgement{
		Soak:          soak,
		result:        newResult(soak.seed),
		requests:      map[string]*request{},
		subqueries:    map[string][]*arrival{},
		notifications: map[*coordinator][]notification{},
	}
	for _, request := range soak.ledger.requests {
		judgement.requests[request.id] = request
	}
	for _, coordinator := range soak.coordinators {
		judgement.notifications[coordinator] = coordinator.notifications()
	}
	return judgement
}

// judgeArrival judges an attempt by itself, and notes it with its subquery.
func (j *judgement) judgeArrival(arrival *arrival) {
	request := j.requests[arrival.query]
	if request == nil {
		j.violated(RuleUnsolicited, arrival.query, "%s reached %s, and no client asked for it",
			arrival.subquery, arrival.replica.uid)
		return
	}
	j.subqueries[arrival.subquery] = append(j.subqueries[arrival.subquery], arrival)
	j.judgeTimeout(request, arrival)
	j.judgeClientThere(request, arrival)
	j.judgeDrain(request, arrival)
}

// judged counts that a rule was judged, and which faults were under way at its coordinator meanwhile. An empty name
// stands for no coordinator alone.
func (j *judgement) judged(rule Rule, coordinator string, from, to time.Duration) {
	j.result.Counts[string(rule)]++
	crossed := j.result.ChecksDuringFault[rule]
	if crossed == nil {
		crossed = map[FaultKind]int{}
		j.result.ChecksDuringFault[rule] = crossed
	}
	seen := map[FaultKind]bool{}
	for _, fault := range j.ledger.faults {
		if fault.concerns(coordinator) && fault.crosses(from, to) && !seen[fault.kind] {
			seen[fault.kind] = true
			crossed[fault.kind]++
		}
	}
}

// concerns tells whether a fault struck a coordinator, or no coordinator alone.
func (f faultSpan) concerns(coordinator string) bool {
	return !strings.HasPrefix(f.target, coordinatorPrefix) || f.target == coordinator
}

func (f faultSpan) crosses(from, to time.Duration) bool {
	return f.from <= to && f.to+crossingTime >= from
}

// countFaults counts the faults, and which were under way at the same time.
func (j *judgement) countFaults() {
	faults := j.ledger.faults
	for n, fault := range faults {
		j.result.Counts[FaultKey(fault.kind)]++
		for _, other := range faults[:n] {
			overlap := fault.from <= other.to && other.from <= fault.to
			if overlap && fault.kind != other.kind {
				first := min(fault.kind, other.kind)
				second := max(fault.kind, other.kind)
				j.result.FaultOverlaps[string(first+"+"+second)]++
			}
		}
	}
}
