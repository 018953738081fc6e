package scheduler

// Release: when queued subqueries are sent, in order of their queries' arrival. Each goes once its replica has room
// under its concurrency limit and its slow-start budget, and a further attempt once the retry budget has room. One
// that can no longer be answered in time is abandoned.

import "time"

// releaseScope is which of the queued subqueries a pass looks at.
type releaseScope int

const (
	releaseWhereRoom  releaseScope = iota // those whose replica has room, and no query after the last such replica
	releaseEverything                     // all: also those that are too late, or without a replica
)

// releaseRound is what one pass over the queued subqueries finds.
type releaseRound struct {
	scope       releaseScope
	blocked     []bool          // by replica: nothing more is to be sent there in this pass
	queuedAhead []time.Duration // by replica: work of the subqueries that were passed over
	open        int             // replicas that are not blocked
}

func (scheduler *Scheduler) newReleaseRound(scope releaseScope) *releaseRound {
	count := len(scheduler.replicas.all)
	round := &releaseRound{scope: scope, blocked: make([]bool, count), queuedAhead: make([]time.Duration, count)}
	for _, replica := range scheduler.replicas.all {
		hasNothingToSend := replica.queuedWork == 0 || scheduler.limits.full(scheduler.now, replica)
		blocked := scope == releaseWhereRoom && hasNothingToSend
		round.blocked[replica.index] = blocked
		if !blocked {
			round.open++
		}
	}
	return round
}

// passOver notes that a subquery stays queued for its replica. A first attempt that waits keeps later ones from
// passing it.
func (r *releaseRound) passOver(subquery *subquery) {
	index := subquery.replica.index
	if len(subquery.attempts) == 0 && !r.blocked[index] {
		r.blocked[index] = true
		r.open--
	}
	r.queuedAhead[index] += subquery.work
}

// skips reports whether a pass that does not look at all need not look at a subquery.
func (r *releaseRound) skips(subquery *subquery) bool {
	if r.scope == releaseEverything {
		return false
	}
	return !subquery.queued || subquery.replica == nil || r.blocked[subquery.replica.index]
}

// release sends queued subqueries of a scope.
func (scheduler *Scheduler) release(scope releaseScope) {
	round := scheduler.newReleaseRound(scope)
	for _, query := range scheduler.open {
		if !query.isActive() {
			continue
		}
		if round.open == 0 && scope == releaseWhereRoom {
			return
		}
		for _, subquery := range query.subqueries {
			if !round.skips(subquery) && scheduler.isReleasable(subquery) {
				scheduler.releaseOne(round, subquery)
			}
		}
	}
}

// isReleasable reports whether a subquery is queued and its query's canaries do not hold it back.
func (scheduler *Scheduler) isReleasable(subquery *subquery) bool {
	query := subquery.query
	if query.ended || !subquery.queued {
		return false
	}
	if query.waitsForCanaries(scheduler.now, scheduler.parameters.manyCoordinators()) {
		return false
	}
	return !query.suspectedQueryOfDeath() || len(subquery.attempts) > 0
}

// releaseOne abandons, probes with, passes over or sends a queued subquery.
func (scheduler *Scheduler) releaseOne(round *releaseRound, subquery *subquery) {
	replica := subquery.replica
	first := len(subquery.attempts) == 0
	forbidden := subquery.nextIsRetryOrHedge() && !scheduler.retries.allowsFurther(scheduler.now, subquery)
	if forbidden || scheduler.tooLate(subquery, round.queuedAhead) {
		scheduler.stopSending(subquery)
		scheduler.giveUpIfHopeless(subquery.query)
		return
	}
	if (first || replica == nil) && scheduler.probe(subquery) {
		return
	}
	if replica == nil {
		return // no holder is in use
	}
	if round.blocked[replica.index] || scheduler.mustWait(subquery, replica) {
		round.passOver(subquery)
		return
	}
	scheduler.startAttempt(subquery, replica)
	scheduler.probe(subquery) // of an ejected holder, beside the attempt
}

// mustWait reports whether a queued subquery cannot be sent to its replica now.
func (scheduler *Scheduler) mustWait(subquery *subquery, replica *replicaState) bool {
	if scheduler.limits.full(scheduler.now, replica) || !scheduler.slowStartAdmits(replica, subquery) {
		return true
	}
	if subquery.nextIsRetryOrHedge() && !scheduler.retries.hasRoom() {
		return true
	}
	if len(subquery.attempts) == 0 {
		return false
	}
	// One without a token goes once nothing is in flight there: else nothing would ever earn any.
	noToken := !scheduler.retries.hasToken(replica) && len(replica.outstanding) > 0
	last := scheduler.retries.atMostOneLeft(subquery)
	return noToken || scheduler.retries.backsOff(scheduler.now, replica, subquery, last)
}

// tooLate reports whether a queued subquery cannot be answered in time any more. At a replica at its limit, and in
// the first phase, that is the query's objective, else its deadline.
func (scheduler *Scheduler) tooLate(subquery *subquery, queuedAhead []time.Duration) bool {
	query, replica := subquery.query, subquery.replica
	left := query.deadlineAt - scheduler.now
	if query.admittedAsTrial {
		return scheduler.now >= query.objectiveAt // what is expected is in doubt
	}
	if replica == nil {
		return subquery.work > left
	}
	if scheduler.limits.atLimit(replica) && query.phase == 0 {
		left = min(left, query.objectiveAt-scheduler.now)
	}
	ahead := scale(replica.outstandingWork+queuedAhead[replica.index], 1/scheduler.estimates.parallelism)
	return scale(subquery.work+ahead, scheduler.estimates.timePerWork(replica)) > left
}

// probe sends an attempt of a subquery to an ejected holder that is due for one, if any, and reports whether it did.
func (scheduler *Scheduler) probe(subquery *subquery) bool {
	if !scheduler.outliers.mayProbe(scheduler.now, subquery, &scheduler.retries) {
		return false
	}
	replica := scheduler.outliers.claimProbe(scheduler.now, subquery)
	if replica == nil {
		return false
	}
	scheduler.startAttempt(subquery, replica)
	return true
}

// startAttempt sends an attempt of a subquery to a replica.
func (scheduler *Scheduler) startAttempt(subquery *subquery, replica *replicaState) {
	subquery.unqueue()
	query := subquery.query
	started := &attempt{
		subquery: subquery,
		replica:  replica,
		sentAt:   scheduler.now,
		work:     subquery.work,
		expected: scheduler.estimates.expectedLatency(scheduler.now, replica, subquery.work),
	}
	if scheduler.parameters.gossipEnabled {
		scheduler.gossip.attemptSent(scheduler.now, replica.cell, subquery.work)
		if query.attemptsSent == 0 && len(scheduler.parameters.tenantQuotas) > 0 {
			scheduler.gossip.queryAdmitted(query.tenant)
		}
	}
	scheduler.retries.countAttempt(scheduler.now, subquery, replica)
	subquery.attempts = append(subquery.attempts, started)
	query.attemptsSent++
	replica.outstanding = append(replica.outstanding, started)
	replica.outstandingWork += subquery.work
	scheduler.slowStart.attemptStarted(replica, subquery.work, scheduler.estimates.parallelism, scheduler.now)
	timeout := scheduler.retries.attemptTimeout(started, scheduler.unseenLoad())
	scheduler.host.StartAttempt(subquery.id, replica.id, timeout)
	scheduler.shadowAttempt(started, timeout)
}
