package scheduler

// Release: when queued subqueries are sent, in order of their queries' arrival. Each is sent once its replica has room
// under its concurrency limit and its slow-start budget; retries and hedges also need room in the retry budget. A
// subquery that can no longer be answered in time is abandoned.

import "time"

// releaseScope selects the queued subqueries that a pass considers.
type releaseScope int

const (
	releaseWhereRoom  releaseScope = iota // those whose replica has room; the pass ends once no replica has room left
	releaseEverything                     // all, including those that are too late or have no replica
)

// releaseRound is the state of one pass over the queued subqueries.
type releaseRound struct {
	scope       releaseScope
	blocked     []bool          // by replica: nothing more is sent there in this pass
	queuedAhead []time.Duration // by replica: work of the subqueries that stay queued
	unblocked   int             // replicas that are not blocked
}

func (scheduler *Scheduler) newReleaseRound(scope releaseScope) *releaseRound {
	count := len(scheduler.replicas.all)
	round := &releaseRound{scope: scope, blocked: make([]bool, count), queuedAhead: make([]time.Duration, count)}
	for _, replica := range scheduler.replicas.all {
		cannotSend := replica.queuedWork == 0 || scheduler.limits.full(scheduler.now, replica)
		blocked := scope == releaseWhereRoom && cannotSend
		round.blocked[replica.index] = blocked
		if !blocked {
			round.unblocked++
		}
	}
	return round
}

// passOver records that a subquery stays queued for its replica. If it is a first attempt, later ones must not overtake
// it.
func (r *releaseRound) passOver(subquery *subquery) {
	index := subquery.replica.index
	if len(subquery.attempts) == 0 && !r.blocked[index] {
		r.blocked[index] = true
		r.unblocked--
	}
	r.queuedAhead[index] += subquery.work
}

// canSkip reports whether the pass, given its scope, need not consider a subquery.
func (r *releaseRound) canSkip(subquery *subquery) bool {
	if r.scope == releaseEverything {
		return false
	}
	return !subquery.queued || subquery.replica == nil || r.blocked[subquery.replica.index]
}

// release sends the queued subqueries in scope.
func (scheduler *Scheduler) release(scope releaseScope) {
	round := scheduler.newReleaseRound(scope)
	for _, query := range scheduler.open {
		if !query.isActive() {
			continue
		}
		if round.unblocked == 0 && scope == releaseWhereRoom {
			return
		}
		for _, subquery := range query.subqueries {
			if !round.canSkip(subquery) && scheduler.isReleasable(subquery) {
				scheduler.releaseSubquery(round, subquery)
			}
		}
	}
}

// isReleasable reports whether a subquery is queued and not held back by its query's canaries or suspected crashes.
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

// releaseSubquery sends a queued subquery, uses it as a probe, leaves it queued or abandons it.
func (scheduler *Scheduler) releaseSubquery(round *releaseRound, subquery *subquery) {
	replica := subquery.replica
	first := len(subquery.attempts) == 0
	forbidden := subquery.nextIsRetryOrHedge() && !scheduler.retries.allowsFurther(scheduler.now, subquery)
	if forbidden || scheduler.tooLate(subquery, round.queuedAhead) {
		scheduler.stopSending(subquery)
		scheduler.giveUpIfUnanswerable(subquery.query)
		return
	}
	if (first || replica == nil) && scheduler.probe(subquery) {
		return
	}
	if replica == nil {
		return // no holder is usable
	}
	if round.blocked[replica.index] || scheduler.mustWait(subquery, replica) {
		round.passOver(subquery)
		return
	}
	scheduler.startAttempt(subquery, replica)
	scheduler.probe(subquery) // probes an ejected holder in addition to the attempt
}

// mustWait reports whether a queued subquery cannot be sent to its replica yet.
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
	// Without a token it is sent once nothing is in flight there; otherwise no reply would ever earn one.
	noToken := !scheduler.retries.hasToken(replica) && len(replica.outstanding) > 0
	last := scheduler.retries.atMostOneLeft(subquery)
	return noToken || scheduler.retries.backsOff(scheduler.now, replica, subquery, last)
}

// tooLate reports whether a queued subquery can no longer be answered in time: by the query's objective if its replica
// is at its limit in the first phase, otherwise by the deadline or, for a retry, before the query is given up.
func (scheduler *Scheduler) tooLate(subquery *subquery, queuedAhead []time.Duration) bool {
	query, replica := subquery.query, subquery.replica
	left := query.deadlineAt - scheduler.now
	if subquery.nextIsRetryOrHedge() {
		left = query.givenUpAt() - scheduler.now
	}
	if query.admittedAsTrial {
		return scheduler.now >= query.objectiveAt // the trial tests the estimate, so it is not used here
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

// probe sends an attempt of a subquery to an ejected holder that is due for a probe, and reports whether it did.
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
