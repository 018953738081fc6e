package scheduler

// Replica events: attempts that end, load reports, and the delay with which replies are read.
//
// Effects of an attempt that ends without an answer, by outcome:
//
//	Overloaded       halves the replica's concurrency limit and lowers its ceiling (concurrency.go); where other
//	                 co-ordinators may fill it, it counts as full for a while
//	Unreachable      ejects the replica for all classes at once (outlier.go)
//	ConnectionReset  may count as a crash caused by its query (canary.go)
//	each of these, and Failed, TimedOut, MalformedReply
//	                 counts as a consecutive error of its class there: the third ejects the replica for that class,
//	                 and until a reply further attempts there back off (retry.go)
//	Cancelled, NeverSent
//	                 have no effect on the replica
//
// Then the subquery is queued again if retry.go allows it. Otherwise it is abandoned, and its query is given up if the
// remaining subqueries cannot make an answer (deadline.go).

import "time"

// AttemptEnds handles the end of an attempt. It ignores attempts that are unknown or have ended before.
func (scheduler *Scheduler) AttemptEnds(now time.Duration, result AttemptResult) {
	scheduler.advanceClock(now)
	ended := scheduler.openAttempt(result.Subquery, result.Attempt)
	if ended == nil {
		return
	}
	scheduler.recordEnd(ended, result.Outcome)
	switch result.Outcome {
	case Succeeded:
		scheduler.attemptSucceeded(ended, result.Took)
	case ConnectionReset, MalformedReply, Failed, TimedOut, Overloaded, Unreachable:
		scheduler.attemptFailed(ended, result.Outcome, result.Took)
	case Cancelled, NeverSent: // no effect on the replica
	}
	scheduler.continueSubquery(ended.subquery)
}

// ReplyUnconfirmed handles a reply that is withheld until its length is confirmed. What the reply shows about the replica
// holds whether or not its value can be used: the replica has done its work, and how long it took. The subquery is not
// sent again for being late, since its attempt fails if the reply proves to be malformed.
func (scheduler *Scheduler) ReplyUnconfirmed(now time.Duration, reply UnconfirmedReply) {
	scheduler.advanceClock(now)
	replied := scheduler.openAttempt(reply.Subquery, reply.Attempt)
	if replied == nil || replied.replied {
		return
	}
	replied.subquery.query.touched = true
	scheduler.leaveReplica(replied, false)
	scheduler.replyArrived(replied, reply.Took)
	scheduler.recordIfRepliesSuffice(replied.subquery.query)
}

// openAttempt returns an attempt, or nil if it is unknown or has ended.
func (scheduler *Scheduler) openAttempt(id RequestID, number AttemptNumber) *attempt {
	subquery := scheduler.subqueries[id]
	if subquery == nil || number < 0 || int(number) >= len(subquery.attempts) || subquery.attempts[number].ended {
		return nil
	}
	return subquery.attempts[number]
}

// recordEnd records the end of an attempt. Unless a reply to it was recorded before, the attempt leaves its replica now.
func (scheduler *Scheduler) recordEnd(ended *attempt, outcome Outcome) {
	ended.subquery.query.touched = true
	ended.ended = true
	ended.mayHaveRun = outcome != Overloaded && outcome != Unreachable && outcome != NeverSent
	if !ended.replied {
		scheduler.leaveReplica(ended, outcome == Cancelled)
	}
}

// leaveReplica removes an attempt from its replica's load and reports that to the peers.
func (scheduler *Scheduler) leaveReplica(ended *attempt, cancelled bool) {
	ended.replica.removeOutstanding(func(other *attempt) bool { return other == ended })
	if scheduler.parameters.gossipEnabled {
		age := scheduler.now - ended.sentAt - scheduler.stalled
		scheduler.gossip.attemptEnded(scheduler.now, endedAttempt{
			attempt:   ended,
			lateness:  float64(age+latencyJitter) / float64(ended.expected+latencyJitter),
			readLate:  scheduler.readDelay != 0,
			cancelled: cancelled,
		})
	}
}

// replyArrived passes to the policies what a reply shows about its replica and its query, whatever its value.
func (scheduler *Scheduler) replyArrived(replied *attempt, took time.Duration) {
	replied.replied = true
	replica, subquery := replied.replica, replied.subquery
	query := subquery.query
	scheduler.slowStart.answered(replica, scheduler.now)
	scheduler.outliers.replied(scheduler.now, replied)
	scheduler.limits.raiseCeiling(replica)
	scheduler.estimates.learn(scheduler.now, observedReply{
		attempt:   replied,
		took:      took,
		stalled:   scheduler.stalled,
		readDelay: scheduler.readDelay,
		warmingUp: scheduler.slowStart.warmingUp(replica, scheduler.now),
	})
	if !replica.forClass(query.class).ejected {
		scheduler.limits.replied(scheduler.now, replica, scheduler.halvingInterval(replica))
	}
	query.recordAnswer(replied)
	if !subquery.answered && !subquery.abandoned && !query.ended {
		lateness := float64(took) / float64(scale(replied.expected, replica.slowdown)+1)
		query.recordReply(subquery, lateness)
	}
}

// recordIfRepliesSuffice records that a query met its objective once the replies to it suffice for an answer, if one of
// them is unconfirmed: the wait for its confirmation is no sign of overload.
func (scheduler *Scheduler) recordIfRepliesSuffice(query *query) {
	complete, _ := query.requiredWeights()
	hasUnconfirmed := query.repliedWeight > query.answeredWeight+weightTolerance
	isLastPhase := query.class.fetchSubqueries == 0 && !query.callerEndsPhases || query.phase > 0
	inTime := scheduler.now <= query.objectiveAt
	if !query.ended && hasUnconfirmed && isLastPhase && inTime && query.repliedWeight >= complete {
		scheduler.admission.recordOutcome(scheduler.now, query, true)
	}
}

// attemptSucceeded passes a reply to the policies and records the answer.
func (scheduler *Scheduler) attemptSucceeded(ended *attempt, took time.Duration) {
	replica, subquery := ended.replica, ended.subquery
	query := subquery.query
	if !ended.replied {
		scheduler.replyArrived(ended, took)
	}
	scheduler.outliers.succeeded(replica, query.class)
	scheduler.retries.earn(replica)
	scheduler.hedges.earn(scheduler.now, replica)
	if replica.forClass(query.class).ejected {
		scheduler.outliers.reinstate(replica, query.class)
	}
	if subquery.answered || subquery.abandoned || query.ended {
		return
	}
	subquery.answered = true
	query.answeredWeight += subquery.weight
	scheduler.recordIfRepliesSuffice(query)
	scheduler.stopSending(subquery)
}

// attemptFailed passes an attempt without an answer to the policies.
func (scheduler *Scheduler) attemptFailed(ended *attempt, outcome Outcome, took time.Duration) {
	replica, query := ended.replica, ended.subquery.query
	switch outcome {
	case Overloaded:
		scheduler.limits.rejected(scheduler.now, replica, scheduler.halvingInterval(replica))
		if scheduler.limits.peersMayCauseOverload() {
			scheduler.limits.backOff(scheduler.now, replica, scheduler.random.next())
		}
	case Unreachable:
		scheduler.outliers.eject(scheduler.now, replica, nil, ejectedUnreachable)
	case ConnectionReset:
		query.recordConnectionReset(scheduler.now, replica, took)
	}
	scheduler.outliers.failed(scheduler.now, replica, query.class)
	scheduler.retractReply(ended.subquery)
}

// retractReply takes back the unconfirmed reply to a subquery if it was malformed and no other is left.
func (scheduler *Scheduler) retractReply(subquery *subquery) {
	query := subquery.query
	isOpen := !subquery.answered && !subquery.abandoned && !query.ended
	if isOpen && subquery.replied && !subquery.hasUnconfirmedReply() {
		query.retractReply(subquery)
	}
}

// halvingInterval returns the minimum time between two halvings of a replica's concurrency limit: about the latency of
// one subquery. One limit applies to all classes, so the interval is that of the first class, whichever class the
// attempt has.
func (scheduler *Scheduler) halvingInterval(replica *replicaState) time.Duration {
	return scale(scheduler.classes[0].subqueryWork, replica.slowdown)
}

// continueSubquery queues a subquery for a retry after the end of an attempt, or abandons it if no retry is allowed.
func (scheduler *Scheduler) continueSubquery(subquery *subquery) {
	if subquery.inFlight() || subquery.queued {
		return
	}
	switch {
	case subquery.answered || subquery.abandoned:
		delete(scheduler.subqueries, subquery.id)
	case scheduler.retries.allowsFurther(scheduler.now, subquery):
		subquery.queueFor(nil)
	default:
		scheduler.stopSending(subquery)
		scheduler.giveUpIfUnanswerable(subquery.query)
	}
}

// LoadReported handles a load report: the share of its cores that a replica has in use, from 0 to 1.
func (scheduler *Scheduler) LoadReported(now time.Duration, id ReplicaID, utilization float64) {
	scheduler.advanceClock(now)
	scheduler.hedges.loadReported(now, scheduler.replicas.byID[id], utilization)
}

// ReadDelayed sets the delay for which replies may wait here unread because this co-ordinator's own core is busy.
// Without it, that wait would be attributed to the replicas.
func (scheduler *Scheduler) ReadDelayed(now, delay time.Duration) {
	scheduler.advanceClock(now)
	scheduler.readDelay = delay
}
