package soak

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// notifiedShare is the share of a cold replica's arrivals that has to come from coordinators that were notified of its
// start, for an overload to be theirs: who has not heard of it cannot spare it.
const notifiedShare = 2.0 / 3

// replicaProcess is one process of a replica, by its start.
type replicaProcess struct {
	replica *replica
	boot    time.Duration
}

// judgeSlowStart judges that no replica falls while it warms up, over all coordinators together: for each arrival the
// window that ends with it.
func (j *judgement) judgeSlowStart() {
	cold := map[replicaProcess][]*arrival{}
	for _, arrival := range j.ledger.arrivals {
		if arrival.warmUpAllowance > 0 {
			process := replicaProcess{arrival.replica, arrival.boot}
			cold[process] = append(cold[process], arrival)
		}
	}
	for process, arrivals := range cold {
		slices.SortFunc(arrivals, func(a, b *arrival) int { return cmp.Compare(a.complete, b.complete) })
		for last := range arrivals {
			j.judgeWarmUpWindow(process, arrivals[:last+1])
		}
	}
}

// judgeWarmUpWindow judges the overload window that ends with the last of the arrivals, which are in order.
func (j *judgement) judgeWarmUpWindow(process replicaProcess, arrivals []*arrival) {
	last := arrivals[len(arrivals)-1]
	start := last.complete - overloadWindow
	sent := 0
	notified := 0
	for _, arrival := range slices.Backward(arrivals) {
		if arrival.complete <= start {
			break
		}
		sent++
		if j.knewOfStart(process, arrival) {
			notified++
		}
	}
	j.judged(RuleSlowStart, "", start, last.complete)
	limit := warmUpLimit(last.warmUpAllowance)
	percent := int(100 * float64(sent) / limit)
	j.result.Counts[countSlowStartPercent] = max(j.result.Counts[countSlowStartPercent], percent)
	if float64(sent) > limit && float64(notified) > notifiedShare*float64(sent) {
		j.violated(RuleSlowStart, "", "%s, up for %v, gets %d in %v; %.0f are allowed",
			process.replica.uid, last.complete-process.boot, sent, overloadWindow, math.Floor(limit))
	}
}

// knewOfStart tells whether the coordinator that sent an attempt had been notified of the replica's start by then.
func (j *judgement) knewOfStart(process replicaProcess, arrival *arrival) bool {
	request := j.requests[arrival.query]
	if request == nil {
		return false
	}
	return slices.ContainsFunc(j.notifications[request.coordinator], func(n notification) bool {
		return n.uid == process.replica.uid && n.at >= process.boot && n.at <= arrival.begun
	})
}

// budgetEdge is how far a window's ends are moved in the coordinator's favour, and budgetEdgeAttempts how many attempts
// are granted on top: attempts are seen at replicas, so that a few may belong to the window before.
const (
	budgetEdge         = 500 * time.Millisecond
	budgetEdgeAttempts = 1
)

// judgeRetryBudget judges the attempts beyond the first, for each process by itself. A process's first window over the
// budget is a violation; its others are not judged.
func (j *judgement) judgeRetryBudget() {
	extraAttempts := j.extraAttempts()
	taken := j.acceptedWork()
	for process, attempts := range extraAttempts {
		for _, at := range attempts {
			j.result.Counts[string(RuleRetryBudget)]++
			extra := countWithin(attempts, at-budgetSpan+budgetEdge, at)
			work := countWithin(taken[process], at-budgetSpan-budgetEdge, at+budgetEdge)
			if float64(extra) > budgetFree+budgetRatio*float64(work)+budgetEdgeAttempts {
				j.violated(RuleRetryBudget, "", "%d attempts beyond the first in %v, with %d taken", extra, budgetSpan, work)
				break
			}
		}
	}
}

// extraAttempts are the times of attempts beyond the first of each subquery, by process.
func (j *judgement) extraAttempts() map[*process][]time.Duration {
	extra := map[*process][]time.Duration{}
	for _, attempts := range j.subqueries {
		process := j.requests[attempts[0].query].process
		slices.SortFunc(attempts, func(a, b *arrival) int { return cmp.Compare(a.begun, b.begun) })
		for _, attempt := range attempts[1:] {
			extra[process] = append(extra[process], attempt.begun)
		}
	}
	return extra
}

// acceptedWork are the times at which queries and subqueries were taken, by process: each counts by itself.
func (j *judgement) acceptedWork() map[*process][]time.Duration {
	taken := map[*process][]time.Duration{}
	for _, request := range j.ledger.requests {
		for range 1 + len(request.shards) {
			taken[request.process] = append(taken[request.process], request.sent)
		}
	}
	return taken
}

// countWithin counts the times after from, up to and with to.
func countWithin(times []time.Duration, from, to time.Duration) (count int) {
	for _, at := range times {
		if at > from && at <= to {
			count++
		}
	}
	return count
}
