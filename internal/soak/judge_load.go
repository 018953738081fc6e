package soak

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// minNotifiedShare is the share of a cold replica's arrivals that has to come from coordinators that were notified of its
// start, for an overload to be theirs: who has not heard of it cannot spare it.
const minNotifiedShare = 2.0 / 3

// replicaProcess is one process of a replica, by its start.
type replicaProcess struct {
	replica   *replica
	startedAt time.Duration
}

// checkSlowStart judges that no replica falls while it warms up, over all coordinators together: for each arrival the
// window that ends with it.
func (c *checker) checkSlowStart() {
	cold := map[replicaProcess][]*arrival{}
	for _, arrival := range c.ledger.arrivals {
		if arrival.warmUpAllowance > 0 {
			process := replicaProcess{arrival.replica, arrival.replicaStartedAt}
			cold[process] = append(cold[process], arrival)
		}
	}
	for process, arrivals := range cold {
		slices.SortFunc(arrivals, func(a, b *arrival) int { return cmp.Compare(a.lastByteAt, b.lastByteAt) })
		for last := range arrivals {
			c.checkWarmUpWindow(process, arrivals[:last+1])
		}
	}
}

// checkWarmUpWindow judges the overload window that ends with the last of the arrivals, which are in order.
func (c *checker) checkWarmUpWindow(process replicaProcess, arrivals []*arrival) {
	last := arrivals[len(arrivals)-1]
	start := last.lastByteAt - overloadWindow
	sent := 0
	notified := 0
	for _, arrival := range slices.Backward(arrivals) {
		if arrival.lastByteAt <= start {
			break
		}
		sent++
		if c.notifiedOfStart(process, arrival) {
			notified++
		}
	}
	c.countCheck(RuleSlowStart, "", start, last.lastByteAt)
	limit := warmUpLimit(last.warmUpAllowance)
	percent := int(100 * float64(sent) / limit)
	c.result.Counts[countMaxSlowStartPercent] = max(c.result.Counts[countMaxSlowStartPercent], percent)
	if float64(sent) > limit && float64(notified) > minNotifiedShare*float64(sent) {
		c.violated(RuleSlowStart, "", "%s, up for %v, gets %d in %v; %.0f are allowed",
			process.replica.uid, last.lastByteAt-process.startedAt, sent, overloadWindow, math.Floor(limit))
	}
}

// notifiedOfStart tells whether the coordinator that sent an attempt had been notified of the replica's start by then.
func (c *checker) notifiedOfStart(process replicaProcess, arrival *arrival) bool {
	request := c.requests[arrival.query]
	if request == nil {
		return false
	}
	return slices.ContainsFunc(c.notifications[request.coordinator], func(n notification) bool {
		return n.uid == process.replica.uid && n.effectiveAt >= process.startedAt && n.effectiveAt <= arrival.firstByteAt
	})
}

// budgetEdgeSlack is how far a window's ends are moved in the coordinator's favour, and budgetEdgeAttempts how many attempts
// are granted on top: attempts are seen at replicas, so that a few may belong to the window before.
const (
	budgetEdgeSlack    = 500 * time.Millisecond
	budgetEdgeAttempts = 1
)

// checkRetryBudget judges the attempts beyond the first, for each process by itself. A process's first window over the
// budget is a violation; its others are not judged.
func (c *checker) checkRetryBudget() {
	extraAttempts := c.extraAttempts()
	taken := c.acceptedWork()
	for process, attempts := range extraAttempts {
		for _, at := range attempts {
			c.result.Counts[string(RuleRetryBudget)]++
			extra := countWithin(attempts, at-budgetWindow+budgetEdgeSlack, at)
			work := countWithin(taken[process], at-budgetWindow-budgetEdgeSlack, at+budgetEdgeSlack)
			if float64(extra) > minBudget+budgetRatio*float64(work)+budgetEdgeAttempts {
				c.violated(RuleRetryBudget, "", "%d attempts beyond the first in %v, with %d taken", extra, budgetWindow, work)
				break
			}
		}
	}
}

// extraAttempts are the times of attempts beyond the first of each subquery, by process.
func (c *checker) extraAttempts() map[*process][]time.Duration {
	extra := map[*process][]time.Duration{}
	for _, attempts := range c.subqueries {
		process := c.requests[attempts[0].query].process
		slices.SortFunc(attempts, func(a, b *arrival) int { return cmp.Compare(a.firstByteAt, b.firstByteAt) })
		for _, attempt := range attempts[1:] {
			extra[process] = append(extra[process], attempt.firstByteAt)
		}
	}
	return extra
}

// acceptedWork are the times at which queries and subqueries were taken, by process: each counts by itself.
func (c *checker) acceptedWork() map[*process][]time.Duration {
	taken := map[*process][]time.Duration{}
	for _, request := range c.ledger.requests {
		for range 1 + len(request.shards) {
			taken[request.process] = append(taken[request.process], request.sentAt)
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
