package scheduler

// Queries, their subqueries and the attempts at these: what is known of each. Nothing here chooses anything.

import (
	"slices"
	"time"

	"terntray/invariant"
)

// weightTolerance is half of what rounding may make a sum of weights fall short by.
const weightTolerance = 0.00005

// class is one class of queries, as the configuration has it; ClassConfig tells what the settings mean.
type class struct {
	index            int
	objective        time.Duration // latency objective
	objectivePerHint float64       // added to it, for each unit of a query's hint of work
	deadline         time.Duration // from a client's first try
	effect           invariant.Effect
	keyWindow        time.Duration // for which replicas recognise the key of a keyed subquery
	completeWeight   float64       // weight of the answered subqueries that makes an answer complete, from 0 to 1
	minimumWeight    float64       // weight below which no answer may be given
	fetchSubqueries  int           // subqueries of the second phase; 0: the class has one phase

	// Learned from replies.
	subqueryWork time.Duration // expected work of a subquery without a hint
	workPerHint  float64       // expected work, for each unit of hint

	admission classAdmission
}

// query is a client's query that is open.
type query struct {
	id                 RequestID
	number             QueryNumber
	class              *class
	tenant             TenantIndex
	arrivedAt          time.Duration
	objectiveAt        time.Duration // when its latency objective ends
	deadlineAt         time.Duration // when the client gives up
	objectivePassed    bool          // it is a client's retry that came after the objective of the first try
	callerEndsPhases   bool          // StartNextPhase alone ends a phase, and each phase needs all of its subqueries
	reservesAttempt    bool          // the first phase leaves each shard an attempt for the next
	overQuota          bool          // its tenant sends more than its quota
	admissionDecided   bool
	admittedAsTrial    bool // though the estimate says that it will be late
	objectiveRecorded  bool // whether it met its objective is counted, or is not to be counted
	ended              bool
	touched            bool // something has come in for it in this iteration
	firstPhaseComplete bool

	// The present phase.
	phase              int  // from 0
	awaitsNextPhase    bool // it is answered; StartNextPhase says how many subqueries the next has
	expectedSubqueries int
	subqueries         []*subquery
	answered           float64 // subqueries that are answered
	answeredWeight     float64 // their weight
	latenessSum        float64 // sum of their times, each over the time expected
	attemptsSent       float64

	attemptsUsed map[ShardNumber]int // attempts of earlier phases

	crashes crashSuspicion
}

// subquery is one shard's part of a query's present phase.
type subquery struct {
	id           RequestID
	query        *query
	shard        ShardNumber
	weight       float64       // share of the answer that it brings, from 0 to 1
	work         time.Duration // expected work
	workPerHint  float64       // the class's when the work was estimated
	queued       bool
	replica      *replicaState // that it is queued for; nil: for none yet
	answered     bool
	abandoned    bool // it gets no further attempt
	attempts     []*attempt
	attemptsUsed int  // of those allowed: by an earlier phase, or kept for a later one
	isRetry      bool // an earlier phase had attempts at its shard: its first is a retry
}

// attempt is one attempt at a subquery.
type attempt struct {
	subquery      *subquery
	replica       *replicaState
	sentAt        time.Duration
	work          time.Duration // expected work of the subquery
	expected      time.Duration // until its end, at a replica of slowdown 1: its work and what was in flight before it
	ended         bool
	mayHaveRun    bool // its end does not prove that the replica never ran it
	overtaken     int  // later attempts at the replica that were answered since
	shadowCounted bool // shadow evaluation has counted that others would hedge it
}

// couldHaveRun reports whether the attempt is in flight, or has ended without proof that the replica never ran it.
func (a *attempt) couldHaveRun() bool { return a.mayHaveRun || !a.ended }

// lastInFlight is the last attempt that has not ended; nil: there is none. An earlier one may be in flight while a
// hedge of it has failed.
func (s *subquery) lastInFlight() (last *attempt) {
	for _, attempt := range s.attempts {
		if !attempt.ended {
			last = attempt
		}
	}
	return last
}

// inFlight reports whether an attempt has not ended.
func (s *subquery) inFlight() bool { return s.lastInFlight() != nil }

// firstThatMayHaveRun is the first attempt that may have run at its replica; nil: each provably never ran.
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

// triedAt reports whether there was an attempt at a replica.
func (s *subquery) triedAt(replica *replicaState) bool {
	return slices.ContainsFunc(s.attempts, func(attempt *attempt) bool { return attempt.replica == replica })
}

// mayHaveRunAt reports whether there was an attempt at a replica that may have run there.
func (s *subquery) mayHaveRunAt(replica *replicaState) bool {
	return slices.ContainsFunc(s.attempts, func(attempt *attempt) bool {
		return attempt.replica == replica && attempt.couldHaveRun()
	})
}

// queueFor queues the subquery for a replica, or for none yet, and moves its expected work there.
func (s *subquery) queueFor(replica *replicaState) {
	s.unqueue()
	s.replica, s.queued = replica, true
	if replica != nil {
		replica.queuedWork += s.work
	}
}

// unqueue takes the subquery out of the queue that it is in, if any.
func (s *subquery) unqueue() {
	if s.queued && s.replica != nil {
		s.replica.queuedWork -= s.work
	}
	s.replica, s.queued = nil, false
}

// interchangeable reports whether two subqueries without attempts can go to the same replicas at the same cost.
func (s *subquery) interchangeable(other *subquery, layout cellLayout) bool {
	unsent := len(s.attempts)+len(other.attempts) == 0
	return unsent && s.work == other.work && layout.cellOf(s.shard) == layout.cellOf(other.shard)
}

// reachesMinimum reports whether the subqueries that pass weigh enough for an answer.
func (q *query) reachesMinimum(pass func(*subquery) bool) bool {
	passing := 0.0
	for _, subquery := range q.subqueries {
		if pass(subquery) {
			passing += subquery.weight
		}
	}
	_, minimum := q.requiredWeights()
	return passing >= minimum
}

// unanswered is the number of subqueries without an answer.
func (q *query) unanswered() float64 { return float64(len(q.subqueries)) - q.answered }

// isActive reports whether the query is open and its present phase's subqueries are here.
func (q *query) isActive() bool { return !q.ended && !q.awaitsSubqueries() }

// awaitsSubqueries reports whether subqueries of the present phase, or of the one that follows it, are still to
// arrive. Those of a second phase arrive in one iteration, and may be fewer than expected.
func (q *query) awaitsSubqueries() bool {
	if q.awaitsNextPhase {
		return true
	}
	allExpected := q.phase == 0 || q.callerEndsPhases || len(q.subqueries) == 0
	return allExpected && q.expectedSubqueries > len(q.subqueries)
}

// requiredWeights are the weights that a complete answer and any answer need in the present phase.
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
