package scheduler

// Events of clients: queries and subqueries that arrive, phases, and clients that give up.

import (
	"cmp"
	"math"
	"time"
)

// QueryArrives handles a new query, or a client's retry of one. Its subqueries follow by SubqueryArrives.
func (scheduler *Scheduler) QueryArrives(now time.Duration, arrival QueryArrival) {
	scheduler.advanceClock(now)
	class := &scheduler.classes[arrival.Class]
	clientRetry := scheduler.clientRetries.isRetry(float64(arrival.TimeLeft) / float64(class.deadline))
	quotaKnown := !scheduler.parameters.manyCoordinators() || scheduler.gossip.peersHeard(now)
	arrived := &query{
		id:                 arrival.ID,
		number:             arrival.Number,
		class:              class,
		tenant:             arrival.Tenant,
		arrivedAt:          now,
		expectedSubqueries: arrival.Subqueries,
		overQuota:          scheduler.quotas.take(arrival.Tenant, quotaKnown),
		touched:            true,
	}
	arrived.setDeadlines(arrival.TimeLeft, arrival.WorkHint, clientRetry)
	if arrived.objectivePassed {
		arrived.overQuota = true
	}
	scheduler.open = append(scheduler.open, arrived)
	scheduler.queriesByID[arrived.id] = arrived
	scheduler.queriesByNumber[arrived.number] = arrived
	scheduler.retries.countArrival(now)
}

// SubqueryArrives handles one subquery of the present phase of a query.
func (scheduler *Scheduler) SubqueryArrives(now time.Duration, arrival SubqueryArrival) {
	scheduler.advanceClock(now)
	query := scheduler.queriesByNumber[arrival.Query]
	asksAgain := query != nil && query.callerEndsPhases && query.phase > 0
	if !asksAgain { // what a later phase asks again is not counted again
		scheduler.retries.countArrival(now)
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
	scheduler.subqueries[arrived.id] = arrived
	scheduler.slowStart.subqueryArrived(arrived.shard)
}

// UsePhases makes a query's phases need all of their subqueries and end by StartNextPhase alone; with reserves,
// the first phase leaves each shard an attempt for the next.
func (scheduler *Scheduler) UsePhases(id RequestID, reserves bool) {
	if query := scheduler.queriesByID[id]; query != nil {
		query.callerEndsPhases = true
		query.reservesAttempt = reserves
	}
}

// StartNextPhase ends a query's present phase and tells how many subqueries the next has; with none the query has
// succeeded.
func (scheduler *Scheduler) StartNextPhase(now time.Duration, id RequestID, subqueries int) {
	scheduler.advanceClock(now)
	query := scheduler.queriesByID[id]
	if query == nil {
		return
	}
	if subqueries == 0 {
		scheduler.end(query, now <= query.objectiveAt)
		return
	}
	scheduler.startPhase(query, subqueries)
}

// ForgetQuery ends a query of which nothing more is wanted: its client has disconnected, or the caller has answered
// it without the scheduler. It does not count as late: that says nothing of the replicas.
func (scheduler *Scheduler) ForgetQuery(now time.Duration, id RequestID) {
	scheduler.advanceClock(now)
	if query := scheduler.queriesByID[id]; query != nil {
		query.objectiveRecorded = true
		scheduler.end(query, false)
	}
}

// Wakeup handles a wakeup that the scheduler asked for.
func (scheduler *Scheduler) Wakeup(now time.Duration, name string) {
	scheduler.advanceClock(now)
	if now >= scheduler.wakeupAt {
		scheduler.wakeupAt = math.MaxInt64
	}
}
