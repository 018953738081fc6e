package scheduler

// Deadlines: when a query is answered, and with which final outcome. Each query gets exactly one outcome: a complete
// answer, an incomplete answer, failed, or rejected (admission.go). It is answered as soon as the answered subqueries
// have enough weight. Shortly before its deadline, or once no further answer can arrive, the scheduler gives it up, and
// returns the incomplete answer if the class allows that.

import (
	"math"
	"slices"
	"time"
)

const (
	answerMargin = 20 * time.Millisecond // a query is answered or given up this long before its deadline: two ticks

	shareTolerance = 0.01 // of the class's deadline; the network delays of first tries differ by less
	maxShares      = 16   // queries whose shares are kept
)

// clientRetryDetector distinguishes clients' retries from first tries by their remaining time: a client's first tries
// all arrive with the same share of their deadline left, a retry with less, since the first try has used up time.
// Without this, work would be done for objectives that have already passed.
type clientRetryDetector struct {
	shares []float64 // remaining share of the class's deadline, for the last maxShares queries in order of arrival
}

// isRetry reports whether a query with this share of its class's deadline left is a client's retry: among the last
// maxShares queries a larger share occurred at least twice, and no similar share occurred. It records the share.
func (d *clientRetryDetector) isRetry(share float64) bool {
	seenSimilar := false
	largerSeenTwice := false
	for index, other := range d.shares {
		seenSimilar = seenSimilar || sharesMatch(other, share)
		repeated := slices.ContainsFunc(d.shares[:index], func(earlier float64) bool {
			return sharesMatch(earlier, other)
		})
		largerSeenTwice = largerSeenTwice || other > share && repeated
	}
	d.shares = append(d.shares, share)
	if len(d.shares) > maxShares {
		d.shares = d.shares[1:]
	}
	return largerSeenTwice && !seenSimilar
}

func sharesMatch(a, b float64) bool { return math.Abs(a-b) < shareTolerance }

// setDeadlines sets a new query's objective and deadline. A client's retry whose objective has already passed does not
// count towards the share of late queries.
func (q *query) setDeadlines(left, workHint time.Duration, clientRetry bool) {
	class := q.class
	objective := class.objective + scale(workHint, class.objectivePerHint)
	q.deadlineAt = q.arrivedAt + left
	q.objectiveAt = q.arrivedAt + min(objective, class.deadline, left)
	if !clientRetry {
		return
	}
	elapsed := class.deadline - left
	q.objectiveAt = min(q.objectiveAt, q.arrivedAt+objective-elapsed)
	if q.objectiveAt <= q.arrivedAt {
		q.objectiveAt = q.deadlineAt
		q.objectiveRecorded = true
		q.objectivePassed = true
	}
}

// answerBy makes a query end at a time if its deadline is later. Its client waits as long as before, so the earlier deadline
// does not make it look like a client's retry.
func (q *query) answerBy(at time.Duration) {
	q.deadlineAt = min(q.deadlineAt, at)
	q.objectiveAt = min(q.objectiveAt, q.deadlineAt)
}

// givenUpAt returns the time at which the query is given up unless it is answered before. No answer counts after it.
func (q *query) givenUpAt() time.Duration { return q.deadlineAt - answerMargin }

// queryAction is the next step for an open query.
type queryAction int

const (
	continueQuery queryAction = iota
	answerQuery
	giveUpQuery
)

// nextAction decides whether the query continues, is answered or is given up.
func (q *query) nextAction(now time.Duration) queryAction {
	if q.ended {
		return continueQuery
	}
	outOfTime := now >= q.givenUpAt()
	if q.awaitsSubqueries() {
		if outOfTime {
			return giveUpQuery
		}
		return continueQuery
	}
	complete, _ := q.requiredWeights()
	switch {
	case q.answeredWeight >= complete:
		return answerQuery
	case outOfTime || q.isQueryOfDeath():
		return giveUpQuery
	}
	return continueQuery
}

// isQueryOfDeath reports whether a query that is suspected of crashing replicas must end: after a second crash, or
// because the replica that seemed to crash is not in use.
func (q *query) isQueryOfDeath() bool {
	return q.suspectedQueryOfDeath() && (q.crashes.count > 1 || !q.crashes.replica.inUse(q.class))
}

// endIfDue ends a query, or its current phase, if that is due.
func (scheduler *Scheduler) endIfDue(query *query) {
	action := query.nextAction(scheduler.now)
	if query.isActive() && scheduler.now > query.objectiveAt {
		scheduler.admission.recordOutcome(scheduler.now, query, false)
	}
	switch action {
	case answerQuery:
		scheduler.answerPhase(query, query.phase == 0 || query.firstPhaseComplete)
	case giveUpQuery:
		scheduler.giveUp(query)
	case continueQuery:
	}
}

// answerPhase answers the current phase of a query. Answering the last phase ends the query.
func (scheduler *Scheduler) answerPhase(query *query, isComplete bool) {
	scheduler.host.Complete(query.id, isComplete)
	switch {
	case query.callerEndsPhases:
		query.awaitsNextPhase = true // the caller calls StartNextPhase in the next iteration
	case query.class.fetchSubqueries == 0 || query.phase > 0:
		scheduler.end(query, scheduler.now <= query.objectiveAt)
	default:
		query.firstPhaseComplete = isComplete
		scheduler.startPhase(query, query.class.fetchSubqueries)
	}
}

// giveUp ends a query with an incomplete answer if it has the minimum weight for one, otherwise as failed.
func (scheduler *Scheduler) giveUp(query *query) {
	_, minimum := query.requiredWeights()
	lastPhase := query.class.fetchSubqueries == 0 || query.phase > 0
	if lastPhase && query.answeredWeight >= minimum {
		scheduler.host.Complete(query.id, false)
	} else {
		scheduler.host.Fail(query.id)
	}
	scheduler.end(query, false)
}

// giveUpIfUnanswerable ends a query if too many of its subqueries are abandoned for an answer to be possible.
func (scheduler *Scheduler) giveUpIfUnanswerable(query *query) {
	if query.ended || query.reservesAttempt && query.phase == 0 { // see UsePhases
		return
	}
	if !query.reachesMinimum(func(subquery *subquery) bool { return subquery.answered || !subquery.abandoned }) {
		scheduler.giveUp(query)
	}
}

// end closes a query that has its final outcome; inTime reports whether it met its objective.
func (scheduler *Scheduler) end(query *query, inTime bool) {
	query.ended = true
	scheduler.admission.recordOutcome(scheduler.now, query, inTime)
	for _, subquery := range query.subqueries {
		scheduler.stopSending(subquery)
	}
	delete(scheduler.queriesByID, query.id)
	delete(scheduler.queriesByNumber, query.number)
}

// startPhase ends the current phase of a query and waits for the subqueries of the next.
func (scheduler *Scheduler) startPhase(query *query, subqueries int) {
	if query.attemptsUsed == nil {
		query.attemptsUsed = map[ShardNumber]int{}
	}
	for _, subquery := range query.subqueries {
		scheduler.stopSending(subquery)
		if query.callerEndsPhases {
			query.attemptsUsed[subquery.shard] += len(subquery.attempts)
		}
	}
	query.phase++
	query.awaitsNextPhase = false
	query.expectedSubqueries = subqueries
	query.subqueries = nil
	query.touched = true
	query.answeredWeight = 0
	query.replied = 0
	query.repliedWeight = 0
	query.latenessSum = 0
	query.attemptsSent = 0
	query.crashes.count = 0
}

// stopSending sends no further attempts of a subquery and cancels those in flight. A subquery without an answer is
// abandoned.
func (scheduler *Scheduler) stopSending(subquery *subquery) {
	subquery.unqueue()
	subquery.abandoned = subquery.abandoned || !subquery.answered
	for number, attempt := range subquery.attempts {
		if !attempt.ended && scheduler.parameters.cancelAllowed {
			scheduler.host.CancelAttempt(subquery.id, AttemptNumber(number))
		}
	}
	if !subquery.inFlight() {
		delete(scheduler.subqueries, subquery.id)
	}
}
