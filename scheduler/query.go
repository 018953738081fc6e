package scheduler

// The state of queries, their subqueries and the attempts at them. It contains no policy.

import (
	"slices"
	"time"

	"terntray/invariant"
)

// weightTolerance is half of the maximum rounding error of a sum of weights.
const weightTolerance = 0.00005

// class is the configuration of a query class and what was learned about it. ClassConfig documents the settings.
type class struct {
	index            int
	objective        time.Duration // latency objective
	objectivePerHint float64       // added to the objective, per unit of a query's work hint
	deadline         time.Duration // from a client's first try
	effect           invariant.Effect
	keyWindow        time.Duration // how long replicas recognise the key of a keyed subquery
	completeWeight   float64       // weight of answered subqueries that makes an answer complete, from 0 to 1
	minimumWeight    float64       // weight below which no answer may be given
	fetchSubqueries  int           // subqueries of the second phase; 0: the class has one phase

	// Learned from replies.
	subqueryWork time.Duration // expected work of a subquery without a hint
	workPerHint  float64       // expected work per unit of hint

	admission classAdmission
}

// query is an open query of a client.
type query struct {
	id                 RequestID
	number             QueryNumber
	class              *class
	tenant             TenantIndex
	arrivedAt          time.Duration
	objectiveAt        time.Duration // end of its latency objective
	deadlineAt         time.Duration // when the client gives up
	objectivePassed    bool          // it is a client's retry that arrived after the objective of the first try
	callerEndsPhases   bool          // only StartNextPhase ends a phase, and each phase needs all of its subqueries
	reservesAttempt    bool          // the first phase leaves each shard one attempt for the next
	overQuota          bool          // its tenant exceeds its quota, or objectivePassed: admission allows it less time
	admissionDecided   bool
	admittedAsTrial    bool // admitted although it is expected to be late
	objectiveRecorded  bool // whether it met its objective has been counted, or is not to be counted
	ended              bool
	touched            bool // an event for it arrived in this iteration
	firstPhaseComplete bool

	// The current phase.
	phase              int  // from 0
	awaitsNextPhase    bool // its phase is answered; StartNextPhase gives the number of subqueries of the next
	expectedSubqueries int
	subqueries         []*subquery
	replied            float64 // number of subqueries with a reply, confirmed or not
	repliedWeight      float64 // weight of those subqueries
	latenessSum        float64 // sum of latency over expected latency of those subqueries
	answeredWeight     float64 // weight of the answered subqueries
	attemptsSent       float64

	attemptsUsed map[ShardNumber]int // attempts of earlier phases, by shard

	crashes crashSuspicion
}

// subquery is one shard's part of a query's current phase.
type subquery struct {
	id           RequestID
	query        *query
	shard        ShardNumber
	weight       float64       // share of the answer that it contributes, from 0 to 1
	work         time.Duration // expected work
	workPerHint  float64       // the class's value when the work was estimated
	queued       bool
	replica      *replicaState // the replica that it is queued for; nil: none yet
	answered     bool
	replied      bool    // it is answered, or a reply to it is unconfirmed
	lateness     float64 // latency over expected latency of that reply
	abandoned    bool    // it gets no further attempt
	attempts     []*attempt
	attemptsUsed int  // of its allowed attempts, those used by earlier phases or reserved for the next
	isRetry      bool // an earlier phase had attempts at its shard, so its first attempt is a retry
}

// attempt is one attempt at a subquery.
type attempt struct {
	subquery      *subquery
	replica       *replicaState
	sentAt        time.Duration
	work          time.Duration // expected work of the subquery
	expected      time.Duration // expected latency at a replica with slowdown 1: its work and that in flight before it
	replied       bool          // its replica has replied; until the attempt ends the reply is unconfirmed
	ended         bool
	mayHaveRun    bool // its outcome does not prove that the replica never ran it
	overtaken     int  // number of later attempts at the replica that have been answered since
	shadowCounted bool // shadow evaluation has counted that the other configuration would hedge it
}

// couldHaveRun reports whether the attempt is in flight, or has ended without proof that it never ran.
func (a *attempt) couldHaveRun() bool { return a.mayHaveRun || !a.ended }

// lastInFlight returns the last attempt that has not ended, or nil. An earlier attempt can be in flight when its hedge
// has failed.
func (s *subquery) lastInFlight() (last *attempt) {
	for _, attempt := range s.attempts {
		if !attempt.ended {
			last = attempt
		}
	}
	return last
}

// inFlight reports whether any attempt has not ended.
func (s *subquery) inFlight() bool { return s.lastInFlight() != nil }

// hasUnconfirmedReply reports whether a reply to the subquery is withheld until its length is confirmed.
func (s *subquery) hasUnconfirmedReply() bool {
	return slices.ContainsFunc(s.attempts, func(attempt *attempt) bool { return attempt.replied && !attempt.ended })
}

// firstThatMayHaveRun returns the first attempt that may have run at its replica, or nil if none can have.
func (s *subquery) firstThatMayHaveRun() *attempt {
	for _, attempt := range s.attempts {
		if attempt.couldHaveRun() {
			return attempt
		}
	}
	return nil
}

// nextIsRetryOrHedge reports whether the next attempt of the subquery is not the first at its shard: it follows an
// attempt of this phase or of an earlier one.
func (s *subquery) nextIsRetryOrHedge() bool { return len(s.attempts) > 0 || s.isRetry }

// triedAt reports whether any attempt was sent to a replica.
func (s *subquery) triedAt(replica *replicaState) bool {
	return slices.ContainsFunc(s.attempts, func(attempt *attempt) bool { return attempt.replica == replica })
}

// mayHaveRunAt reports whether any attempt may have run at a replica.
func (s *subquery) mayHaveRunAt(replica *replicaState) bool {
	return slices.ContainsFunc(s.attempts, func(attempt *attempt) bool {
		return attempt.replica == replica && attempt.couldHaveRun()
	})
}

// queueFor queues the subquery for a replica, or for none yet, and accounts for its expected work there.
func (s *subquery) queueFor(replica *replicaState) {
	s.unqueue()
	s.replica, s.queued = replica, true
	if replica != nil {
		replica.queuedWork += s.work
	}
}

// unqueue removes the subquery from its queue, if any.
func (s *subquery) unqueue() {
	if s.queued && s.replica != nil {
		s.replica.queuedWork -= s.work
	}
	s.replica, s.queued = nil, false
}

// interchangeable reports whether two subqueries without attempts can be sent to the same replicas at the same cost.
func (s *subquery) interchangeable(other *subquery, layout cellLayout) bool {
	unsent := len(s.attempts)+len(other.attempts) == 0
	return unsent && s.work == other.work && layout.cellOf(s.shard) == layout.cellOf(other.shard)
}

// reachesMinimum reports whether the matching subqueries have enough weight for an answer.
func (q *query) reachesMinimum(matches func(*subquery) bool) bool {
	weight := 0.0
	for _, subquery := range q.subqueries {
		if matches(subquery) {
			weight += subquery.weight
		}
	}
	_, minimum := q.requiredWeights()
	return weight >= minimum
}

// withoutReply returns the number of subqueries without a reply.
func (q *query) withoutReply() float64 { return float64(len(q.subqueries)) - q.replied }

// recordReply records the first reply to a subquery, which may be unconfirmed.
func (q *query) recordReply(subquery *subquery, lateness float64) {
	if subquery.replied {
		return
	}
	subquery.replied = true
	subquery.lateness = lateness
	q.replied++
	q.repliedWeight += subquery.weight
	q.latenessSum += lateness
}

// retractReply takes back the reply to a subquery, after it proved to be malformed.
func (q *query) retractReply(subquery *subquery) {
	subquery.replied = false
	q.replied--
	q.repliedWeight -= subquery.weight
	q.latenessSum -= subquery.lateness
}

// isActive reports whether the query is open and the subqueries of its current phase have arrived.
func (q *query) isActive() bool { return !q.ended && !q.awaitsSubqueries() }

// awaitsSubqueries reports whether subqueries of the current phase, or of the next if the current one is answered, are
// still to arrive. Those of a second phase arrive in one iteration, and may be fewer than expected.
func (q *query) awaitsSubqueries() bool {
	if q.awaitsNextPhase {
		return true
	}
	allExpected := q.phase == 0 || q.callerEndsPhases || len(q.subqueries) == 0
	return allExpected && q.expectedSubqueries > len(q.subqueries)
}

// requiredWeights returns the weights that a complete answer and any answer need in the current phase. After the first
// phase a complete answer needs all subqueries, and so does any answer if the class accepts only complete ones.
func (q *query) requiredWeights() (complete, minimum float64) {
	complete, minimum = q.class.completeWeight, q.class.minimumWeight
	if q.callerEndsPhases {
		complete, minimum = 1, 1
	}
	if q.phase > 0 {
		if minimum >= complete {
			minimum = 1
		}
		complete = 1
	}
	return complete - weightTolerance, minimum - weightTolerance
}
