package soak

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// minNotifiedShare is the share of a cold replica's arrivals that must come from co-ordinators that were notified of
// its start for an overload to be a violation: a co-ordinator that was not notified cannot limit its load.
const minNotifiedShare = 2.0 / 3

// replicaProcess identifies one run of a replica by its start.
type replicaProcess struct {
	replica   *replica
	startedAt time.Duration
}

// checkSlowStart checks that all co-ordinators together do not overload a replica that is warming up. It checks the
// window that ends with each arrival.
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

// checkWarmUpWindow checks the overload window that ends with the last arrival. The arrivals are sorted by lastByteAt.
func (c *checker) checkWarmUpWindow(process replicaProcess, arrivals []*arrival) {
	lastArrival := arrivals[len(arrivals)-1]
	start := lastArrival.lastByteAt - overloadWindow
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
	c.countCheck(RuleSlowStart, "", start, lastArrival.lastByteAt)
	limit := warmUpLimit(lastArrival.warmUpAllowance)
	percent := int(100 * float64(sent) / limit)
	c.result.Counts[countMaxSlowStartPercent] = max(c.result.Counts[countMaxSlowStartPercent], percent)
	if float64(sent) > limit && float64(notified) > minNotifiedShare*float64(sent) {
		c.violated(RuleSlowStart, "", "%s, up for %v, got %d attempts in %v; the limit is %.0f",
			process.replica.uid, lastArrival.lastByteAt-process.startedAt, sent, overloadWindow, math.Floor(limit))
	}
}

// notifiedOfStart reports whether the co-ordinator that sent an attempt had been notified of the replica's start
// before.
func (c *checker) notifiedOfStart(process replicaProcess, arrival *arrival) bool {
	request := c.requests[arrival.query]
	if request == nil {
		return false
	}
	return slices.ContainsFunc(c.notifications[request.coordinator], func(n notification) bool {
		return n.uid == process.replica.uid && n.effectiveAt >= process.startedAt &&
			n.effectiveAt <= arrival.firstByteAt
	})
}

// Attempts are timed at replicas, so a few of them may belong to the previous window. Therefore the ends of a window
// are moved by budgetEdgeSlack in the co-ordinator's favour, and budgetEdgeAttempts more attempts are allowed.
const (
	budgetEdgeSlack    = 500 * time.Millisecond
	budgetEdgeAttempts = 1
)

// checkRetryBudget checks the attempts beyond the first against the retry budget of each process. The first window of a
// process over the budget is a violation; its later windows are not checked.
func (c *checker) checkRetryBudget() {
	extraAttempts := c.extraAttempts()
	requested := c.requestedWork()
	for process, attempts := range extraAttempts {
		for _, at := range attempts {
			c.result.Counts[string(RuleRetryBudget)]++
			extraCount := countWithin(attempts, at-budgetWindow+budgetEdgeSlack, at)
			requestedCount := countWithin(requested[process], at-budgetWindow-budgetEdgeSlack, at+budgetEdgeSlack)
			if float64(extraCount) > minBudget+budgetRatio*float64(requestedCount)+budgetEdgeAttempts {
				c.violated(RuleRetryBudget, "",
					"%d attempts beyond the first in %v, %d queries and subqueries requested",
					extraCount, budgetWindow, requestedCount)
				break
			}
		}
	}
}

// extraAttempts returns the start times of all attempts beyond the first of their subquery, by process.
func (c *checker) extraAttempts() map[*process][]time.Duration {
	extraTimes := map[*process][]time.Duration{}
	for _, attempts := range c.subqueries {
		process := c.requests[attempts[0].query].process
		slices.SortFunc(attempts, func(a, b *arrival) int { return cmp.Compare(a.firstByteAt, b.firstByteAt) })
		for _, attempt := range attempts[1:] {
			extraTimes[process] = append(extraTimes[process], attempt.firstByteAt)
		}
	}
	return extraTimes
}

// requestedWork returns the times at which clients sent queries and their subqueries, by process. It holds the time of
// a query with n subqueries n+1 times. Rejected queries are included, since the retry budget counts them too.
func (c *checker) requestedWork() map[*process][]time.Duration {
	requested := map[*process][]time.Duration{}
	for _, request := range c.ledger.requests {
		for range 1 + len(request.shards) {
			requested[request.process] = append(requested[request.process], request.sentAt)
		}
	}
	return requested
}

// countWithin counts the times after from, up to and including to.
func countWithin(times []time.Duration, from, to time.Duration) (count int) {
	for _, at := range times {
		if at > from && at <= to {
			count++
		}
	}
	return count
}
