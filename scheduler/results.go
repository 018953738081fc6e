package scheduler

// Events of replicas: attempts that end and load reports, and the delay with which they are read.

import "time"

// AttemptEnds handles the end of an attempt. One that is not known, or that has ended before, changes nothing.
func (c *Scheduler) AttemptEnds(now time.Duration, result AttemptResult) {
	c.clock(now)
	subquery := c.subqueries[result.Subquery]
	number := int(result.Attempt)
	if subquery == nil || number < 0 || number >= len(subquery.attempts) || subquery.attempts[number].ended {
		return
	}
	ended := subquery.attempts[number]
	c.bookEnd(ended, result.Outcome)
	switch result.Outcome {
	case Succeeded:
		c.attemptSucceeded(ended, result.Took)
	case ConnectionReset, MalformedReply, Failed, TimedOut, Overloaded, Unreachable:
		c.attemptFailed(ended, result.Outcome, result.Took)
	case Cancelled, NeverSent: // says nothing of the replica
	}
	c.continueSubquery(subquery)
}

// bookEnd takes an ended attempt off its replica's load.
func (c *Scheduler) bookEnd(ended *attempt, outcome Outcome) {
	ended.subquery.query.touched = true
	ended.ended = true
	ended.mayHaveRun = outcome != Overloaded && outcome != Unreachable && outcome != NeverSent
	ended.replica.unload(func(other *attempt) bool { return other == ended })
	if c.gossipEnabled {
		age := c.now - ended.sentAt - c.stalled
		lateness := float64(age+latencyJitter) / float64(ended.expected+latencyJitter)
		c.gossip.attemptEnded(c.now, ended, lateness, c.readDelay != 0, outcome == Cancelled)
	}
}

// attemptSucceeded passes a reply to the policies, and counts the answer.
func (c *Scheduler) attemptSucceeded(ended *attempt, took time.Duration) {
	replica, subquery := ended.replica, ended.subquery
	query := subquery.query
	c.slowStart.answered(replica, c.now)
	c.outliers.replied(c.now, ended)
	c.retries.earn(replica)
	c.limits.raiseCeiling(replica)
	c.hedges.earn(c.now, replica)
	c.estimates.learn(c.now, observedReply{
		attempt:   ended,
		took:      took,
		paused:    c.stalled,
		readDelay: c.readDelay,
		warmingUp: c.slowStart.warmingUp(replica, c.now),
	})
	if replica.forClass(query.class).ejected {
		c.outliers.reinstate(replica, query.class)
	} else {
		c.limits.replied(c.now, replica, c.halvingInterval(replica))
	}
	query.answeredBy(ended)
	if subquery.answered || subquery.abandoned || query.ended {
		return
	}
	subquery.answered = true
	query.answered++
	query.answeredWeight += subquery.weight
	query.latenessSum += float64(took) / float64(scale(ended.expected, replica.slowdown)+1)
	c.abandon(subquery)
}

// attemptFailed passes an attempt that brought no answer to the policies.
func (c *Scheduler) attemptFailed(ended *attempt, outcome Outcome, took time.Duration) {
	replica, query := ended.replica, ended.subquery.query
	switch outcome {
	case Overloaded:
		c.limits.rejected(c.now, replica, c.halvingInterval(replica))
		if c.limits.peersFill() {
			c.limits.backOff(c.now, replica, c.random.next())
		}
	case Unreachable:
		c.outliers.eject(c.now, replica, nil, ejectedUnreachable)
	case ConnectionReset:
		query.connectionReset(c.now, replica, took)
	}
	c.outliers.failed(c.now, replica, query.class)
}

// halvingInterval is the shortest time between two halvings of a replica's concurrency limit: about one subquery's.
func (c *Scheduler) halvingInterval(replica *replicaState) time.Duration {
	return scale(c.classes[0].subqueryWork, replica.slowdown)
}

// continueSubquery queues a subquery for a retry after the end of an attempt, or abandons it if it may have none.
func (c *Scheduler) continueSubquery(subquery *subquery) {
	if subquery.inFlight() || subquery.queued {
		return
	}
	switch {
	case subquery.answered || subquery.abandoned:
		delete(c.subqueries, subquery.id)
	case c.retries.allowsRepeat(c.now, subquery):
		subquery.queueFor(nil)
	default:
		c.abandon(subquery)
		c.giveUpIfHopeless(subquery.query)
	}
}

// LoadReported handles a load report: the share of its cores that a replica has in use, from 0 to 1, as it reports
// itself.
func (c *Scheduler) LoadReported(now time.Duration, id ReplicaID, utilization float64) {
	c.clock(now)
	c.hedges.loadReported(now, c.replicas.byID[id], utilization)
}

// ReadDelayed sets for how long replies may wait here unread, as this co-ordinator's own core is busy. Without it that
// time would count as the replicas'.
func (c *Scheduler) ReadDelayed(now, unread time.Duration) {
	c.clock(now)
	c.readDelay = unread
}
