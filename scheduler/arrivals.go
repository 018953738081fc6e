package scheduler

// Client events: arriving queries and subqueries, phase changes, and clients that disconnect.

import (
	"cmp"
	"math"
	"time"
)

// QueryArrives handles a new query, or a client's retry of one. Its subqueries follow through SubqueryArrives.
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
	if arrival.AnswerIn > 0 {
		arrived.answerBy(now + arrival.AnswerIn)
	}
	if arrived.objectivePassed {
		arrived.overQuota = true // its objective is now its deadline; admission allows it overQuotaShare of that
	}
	scheduler.open = append(scheduler.open, arrived)
	scheduler.queriesByID[arrived.id] = arrived
	scheduler.queriesByNumber[arrived.number] = arrived
	scheduler.retries.countArrival(now)
}

// SubqueryArrives handles one subquery of a query's current phase.
func (scheduler *Scheduler) SubqueryArrives(now time.Duration, arrival SubqueryArrival) {
	scheduler.advanceClock(now)
	query := scheduler.queriesByNumber[arrival.Query]
	isLaterPhase := query != nil && query.callerEndsPhases && query.phase > 0
	if !isLaterPhase { // a later phase asks shards of the first again, which does not enlarge the retry budget
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

// UsePhases puts the caller in charge of a query's phases: each phase needs all of its subqueries, and only
// StartNextPhase ends it. If reserveAttempt is true, the first phase leaves each shard one attempt for the next, and
// abandoned subqueries of the first phase do not end the query, as the next phase can do without their answers.
func (scheduler *Scheduler) UsePhases(id RequestID, reserveAttempt bool) {
	if query := scheduler.queriesByID[id]; query != nil {
		query.callerEndsPhases = true
		query.reservesAttempt = reserveAttempt
	}
}

// StartNextPhase ends a query's current phase and gives the number of subqueries in the next; with 0 the query has
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

// ForgetQuery ends a query whose answer is no longer needed: its client has disconnected, or the caller has answered it
// without the scheduler. The query does not count as late, since this says nothing about the replicas.
func (scheduler *Scheduler) ForgetQuery(now time.Duration, id RequestID) {
	scheduler.advanceClock(now)
	if query := scheduler.queriesByID[id]; query != nil {
		query.objectiveRecorded = true
		scheduler.end(query, false)
	}
}

// Wakeup handles a wakeup requested through Host.ScheduleWakeup.
func (scheduler *Scheduler) Wakeup(now time.Duration, name string) {
	scheduler.advanceClock(now)
	if now >= scheduler.wakeupAt {
		scheduler.wakeupAt = math.MaxInt64
	}
}
