package scheduler

// Deadlines: until when a query is to be answered, and which final outcome it has. Each query gets exactly one:
// complete, an incomplete answer, failed, or rejected (admission.go). It is answered as soon as the subqueries
// answered weigh enough; shortly before its deadline, or once no answer can come any more, it is given up, with what
// there is if the class allows that.

import (
	"math"
	"slices"
	"time"
)

const (
	answerMargin = 20 * time.Millisecond // a final outcome leaves this long before the deadline: two ticks

	sameDeadlineShare = 0.01 // of the class's deadline; first tries differ by less on their way
	keptShares        = 16   // queries whose shares are remembered
)

// clientRetryDetector distinguishes clients' retries from first tries by the time that they have left: first tries
// of a client come with one deadline, a retry with less. A retry has lost the time that the first try took; without
// this, work would be done for objectives that are over.
type clientRetryDetector struct {
	shares []float64 // of their class's deadline that the last keptShares queries came with, in order
}

// isRetry reports whether a query with this share of its class's deadline left is a client's retry: among the last
// keptShares queries some larger share came at least twice, and none came that is alike. It remembers the share.
func (d *clientRetryDetector) isRetry(share float64) bool {
	seenAlike := false
	largerSeenTwice := false
	for index, other := range d.shares {
		seenAlike = seenAlike || alikeShares(other, share)
		repeated := slices.ContainsFunc(d.shares[:index], func(earlier float64) bool {
			return alikeShares(earlier, other)
		})
		largerSeenTwice = largerSeenTwice || other > share && repeated
	}
	d.shares = append(d.shares, share)
	if len(d.shares) > keptShares {
		d.shares = d.shares[1:]
	}
	return largerSeenTwice && !seenAlike
}

func alikeShares(a, b float64) bool { return math.Abs(a-b) < sameDeadlineShare }

// setDeadlines sets the times by which a new query is to be answered. A client's retry whose objective is over
// already is not judged by it.
func (q *query) setDeadlines(left, workHint time.Duration, clientRetry bool) {
	class := q.class
	objective := class.objective + scale(workHint, class.objectivePerHint)
	q.deadlineAt = q.arrivedAt + left
	q.objectiveAt = q.arrivedAt + min(objective, class.deadline, left)
	if !clientRetry {
		return
	}
	passed := class.deadline - left
	q.objectiveAt = min(q.objectiveAt, q.arrivedAt+objective-passed)
	if q.objectiveAt <= q.arrivedAt {
		q.objectiveAt = q.deadlineAt
		q.objectiveRecorded = true
		q.objectivePassed = true
	}
}

// outcome is what is to become of an open query now.
type outcome int

const (
	goesOn outcome = iota
	answersNow
	givesUpNow
)

// outcome decides it.
func (q *query) outcome(now time.Duration) outcome {
	if q.ended {
		return goesOn
	}
	timeIsOver := now >= q.deadlineAt-answerMargin
	if q.awaitsSubqueries() {
		if timeIsOver {
			return givesUpNow
		}
		return goesOn
	}
	complete, _ := q.requiredWeights()
	switch {
	case q.answeredWeight >= complete:
		return answersNow
	case timeIsOver || q.isDeadly():
		return givesUpNow
	}
	return goesOn
}

// isDeadly reports whether a query that is suspected of crashing replicas must end: at a second crash, or as the
// replica that seemed to crash is not in use.
func (q *query) isDeadly() bool {
	return q.suspectedQueryOfDeath() && (q.crashes.count > 1 || !q.crashes.replica.inUse(q.class))
}

// settle ends a query, or its phase, if that is due.
func (scheduler *Scheduler) settle(query *query) {
	next := query.outcome(scheduler.now)
	if query.isActive() && scheduler.now > query.objectiveAt {
		scheduler.admission.recordOutcome(scheduler.now, query, false)
	}
	switch next {
	case answersNow:
		scheduler.answerPhase(query, query.phase == 0 || query.firstPhaseComplete)
	case givesUpNow:
		scheduler.giveUp(query)
	case goesOn:
	}
}

// answerPhase answers the present phase of a query; without a next phase that ends it.
func (scheduler *Scheduler) answerPhase(query *query, isComplete bool) {
	scheduler.host.Complete(query.id, isComplete)
	switch {
	case query.callerEndsPhases:
		query.awaitsNextPhase = true // StartNextPhase comes in the next iteration
	case query.class.fetchSubqueries == 0 || query.phase > 0:
		scheduler.end(query, scheduler.now <= query.objectiveAt)
	default:
		query.firstPhaseComplete = isComplete
		scheduler.startPhase(query, query.class.fetchSubqueries)
	}
}

// giveUp ends a query with an incomplete answer if there is enough for one, else as failed.
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

// giveUpIfHopeless ends a query if too many of its subqueries are abandoned for any answer.
func (scheduler *Scheduler) giveUpIfHopeless(query *query) {
	if query.ended || query.reservesAttempt && query.phase == 0 {
		return
	}
	if !query.reachesMinimum(func(subquery *subquery) bool { return subquery.answered || !subquery.abandoned }) {
		scheduler.giveUp(query)
	}
}

// end closes a query that has its final outcome; inTime tells whether it met its objective.
func (scheduler *Scheduler) end(query *query, inTime bool) {
	query.ended = true
	scheduler.admission.recordOutcome(scheduler.now, query, inTime)
	for _, subquery := range query.subqueries {
		scheduler.stopSending(subquery)
	}
	delete(scheduler.queriesByID, query.id)
	delete(scheduler.queriesByNumber, query.number)
}

// startPhase ends the present phase of a query and awaits the subqueries of the next.
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
	query.answered = 0
	query.latenessSum = 0
	query.attemptsSent = 0
	query.crashes.count = 0
}

// stopSending sends nothing more for a subquery, answered or not, and cancels what is in flight for it. One without
// an answer is abandoned by that.
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
