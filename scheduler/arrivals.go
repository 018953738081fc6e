package scheduler

// Events of clients: queries and subqueries that arrive, phases, and clients that give up.

import (
	"cmp"
	"math"
	"time"
)

// QueryArrives handles a new query, or a client's retry of one. Its subqueries follow by SubqueryArrives.
func (c *Scheduler) QueryArrives(now time.Duration, arrival QueryArrival) {
	c.clock(now)
	class := &c.classes[arrival.Class]
	clientRetry := c.clientRetries.isRetry(float64(arrival.TimeLeft) / float64(class.deadline))
	quotaKnown := c.unseenLoadFactor <= 1 || c.gossip.heard(now)
	arrived := &query{
		id:                 arrival.ID,
		number:             arrival.Number,
		class:              class,
		tenant:             arrival.Tenant,
		arrivedAt:          now,
		expectedSubqueries: arrival.Subqueries,
		overQuota:          c.quotas.take(arrival.Tenant, quotaKnown),
		touched:            true,
	}
	arrived.setDeadlines(arrival.TimeLeft, arrival.WorkHint, clientRetry)
	if arrived.objectivePassed {
		arrived.overQuota = true
	}
	c.open = append(c.open, arrived)
	c.queriesByID[arrived.id] = arrived
	c.queriesByNumber[arrived.number] = arrived
	c.retries.countArrival(now)
}

// SubqueryArrives handles one subquery of the present phase of a query.
func (c *Scheduler) SubqueryArrives(now time.Duration, arrival SubqueryArrival) {
	c.clock(now)
	query := c.queriesByNumber[arrival.Query]
	if query == nil || !query.callerEndsPhases || query.phase == 0 { // what a later phase asks again is not counted again
		c.retries.countArrival(now)
	}
	if query == nil {
		return
	}
	class := query.class
	arrived := &subquery{
		id:           arrival.ID,
		query:        query,
		shard:        arrival.Shard,
		weight:       arrival.Weight,
		work:         cmp.Or(scale(max(0, arrival.WorkHint), class.workPerHint), class.subqueryWork),
		workPerHint:  class.workPerHint,
		attemptsUsed: query.attemptsUsed[arrival.Shard],
		isRetry:      query.attemptsUsed[arrival.Shard] > 0,
	}
	if query.reservesAttempt && query.phase == 0 {
		arrived.attemptsUsed = 1
	}
	query.subqueries = append(query.subqueries, arrived)
	c.subqueries[arrived.id] = arrived
	c.slowStart.subqueryArrived(arrived.shard)
}

// UsePhases makes a query's phases need all of their subqueries and end by StartNextPhase alone; with reserves,
// the first phase leaves each shard an attempt for the next.
func (c *Scheduler) UsePhases(id RequestID, reserves bool) {
	if query := c.queriesByID[id]; query != nil {
		query.callerEndsPhases = true
		query.reservesAttempt = reserves
	}
}

// StartNextPhase ends a query's present phase and tells how many subqueries the next has; with none the query has
// succeeded.
func (c *Scheduler) StartNextPhase(now time.Duration, id RequestID, subqueries int) {
	c.clock(now)
	query := c.queriesByID[id]
	if query == nil {
		return
	}
	if subqueries == 0 {
		c.end(query, now <= query.objectiveAt)
		return
	}
	c.startPhase(query, subqueries)
}

// ForgetQuery ends a query of which nothing more is wanted: its client has disconnected, or the caller has answered
// it without the scheduler. It does not count as late: that says nothing of the replicas.
func (c *Scheduler) ForgetQuery(now time.Duration, id RequestID) {
	c.clock(now)
	if query := c.queriesByID[id]; query != nil {
		query.judged = true
		c.end(query, false)
	}
}

// Wakeup handles a wakeup that the scheduler asked for.
func (c *Scheduler) Wakeup(now time.Duration, name string) {
	c.clock(now)
	if now >= c.wakeupAt {
		c.wakeupAt = math.MaxInt64
	}
}
