package coordinator

import (
	"time"
	"unicode/utf8"

	"terntray/internal/replicaproto"
	"terntray/invariant"
	"terntray/scheduler"
)

// StartAttempt implements scheduler.Host. It sends an attempt of a subquery to a replica. If that is not possible, the
// scheduler is notified in the next iteration, because it must not be called while it decides.
func (c *Coordinator) StartAttempt(id scheduler.RequestID, to scheduler.ReplicaID, timeout time.Duration) {
	subquery := c.subqueries[id]
	if subquery == nil {
		c.log.Printf("event=unknown_subquery id=%d", id)
		return
	}
	earlier := subquery.attempts
	attempt := c.newAttempt(subquery, to, timeout)
	c.usedIDs.add(subquery.query.request.ID, attempt.effect, c.loop.Now())
	subquery.attempts = append(earlier, attempt)
	c.countStarted(attempt, earlier)
	switch {
	case c.checkStart(attempt, earlier) != invariant.Allowed:
		c.notifyEndedSoon(attempt, scheduler.NeverSent)
	case !c.sendAttempt(attempt):
		c.notifyEndedSoon(attempt, scheduler.Unreachable)
	default:
		left := attempt.deadline - c.loop.Now()
		timedOut := func() { c.abandonAttempt(attempt, scheduler.TimedOut) }
		attempt.timeoutTimer = c.loop.After(left, "", timedOut)
		c.withdrawOnKeyExpiry(attempt)
	}
}

// newAttempt returns an attempt that times out at its query's deadline, or after timeout if that is above 0 and ends
// earlier.
func (c *Coordinator) newAttempt(subquery *subqueryState, to scheduler.ReplicaID, timeout time.Duration) *attemptState {
	deadline := subquery.query.deadline
	if timeout > 0 {
		deadline = min(deadline, c.loop.Now()+timeout)
	}
	attempt := &attemptState{
		subquery: subquery,
		number:   scheduler.AttemptNumber(len(subquery.attempts)),
		replica:  to,
		endpoint: c.replicas.EndpointByID(to),
		effect:   c.effectOf(subquery.query),
		deadline: deadline,
	}
	attempt.SentAt = c.loop.Now()
	attempt.NonIdempotent = attempt.effect == invariant.NonIdempotent
	return attempt
}

// countStarted counts and traces an attempt as a first attempt, retry or hedge.
func (c *Coordinator) countStarted(attempt *attemptState, earlier []*attemptState) {
	c.counts.Attempts++
	kind := "first"
	switch {
	case anyInFlight(earlier):
		kind = "hedge"
		c.counts.Hedges++
	case len(earlier) > 0:
		kind = "retry"
		c.counts.Retries++
	}
	if c.Trace {
		c.trace("attempt_sent=%s query=%s replica=%s kind=%s left=%v", attempt.name(),
			attempt.subquery.query.request.ID, c.replicas.UID(attempt.replica), kind, attempt.deadline-c.loop.Now())
	}
}

// CancelAttempt implements scheduler.Host. It abandons an attempt whose reply is no longer needed.
func (c *Coordinator) CancelAttempt(id scheduler.RequestID, number scheduler.AttemptNumber) {
	subquery := c.subqueries[id]
	if subquery != nil && int(number) < len(subquery.attempts) {
		c.abandonAttempt(subquery.attempts[number], scheduler.Cancelled)
	}
}

// abandonAttempt ends an attempt, unless it has already ended, and stops waiting for its reply.
func (c *Coordinator) abandonAttempt(attempt *attemptState, outcome scheduler.Outcome) {
	if attempt.ended {
		return
	}
	c.replicas.Abandon(&attempt.Attempt)
	c.notifyEndedSoon(attempt, outcome)
}

// withdrawUnsent is called for a subquery that is answered or unwanted. It cancels its attempts of which nothing has
// been written. The others end by themselves; if their connection breaks, they are not retransmitted on another one.
func (c *Coordinator) withdrawUnsent(subquery *subqueryState) {
	for _, attempt := range subquery.attempts {
		if attempt.ended {
			continue
		}
		if c.replicas.Withdraw(&attempt.Attempt) {
			c.notifyEndedSoon(attempt, scheduler.Cancelled)
		} else {
			c.replicas.NoRetransmit(&attempt.Attempt)
		}
	}
}

// notifyEndedSoon ends an attempt and notifies the scheduler at the start of the next iteration.
func (c *Coordinator) notifyEndedSoon(attempt *attemptState, outcome scheduler.Outcome) {
	c.markEnded(attempt, outcome)
	took := c.loop.Now() - attempt.SentAt
	c.loop.NextIteration(func() { c.attemptEnded(attempt, outcome, took) })
}

func (c *Coordinator) markEnded(attempt *attemptState, outcome scheduler.Outcome) {
	attempt.ended = true
	attempt.outcome = outcome
	c.loop.Cancel(attempt.timeoutTimer)
	c.loop.Cancel(attempt.keyTimer)
	if attempt.evidence() == invariant.NeverRan {
		attempt.subquery.key.neverRan(attempt)
	}
}

// attemptEnded notifies the scheduler that an attempt has ended, and releases what is no longer needed.
func (c *Coordinator) attemptEnded(attempt *attemptState, outcome scheduler.Outcome, took time.Duration) {
	c.markEnded(attempt, outcome)
	delete(c.attemptsInFlight, attempt.ID)
	c.counts.Outcomes[outcome]++
	if c.Trace {
		c.trace("attempt_ended=%s replica=%s outcome=%s took=%v", attempt.name(),
			c.replicas.UID(attempt.replica), outcomeKeys[outcome], took)
	}
	c.scheduler.AttemptEnds(c.loop.Now(), scheduler.AttemptResult{
		Subquery: attempt.subquery.id,
		Attempt:  attempt.number,
		Outcome:  outcome,
		Took:     took,
	})
	if attempt.subquery.unwanted() && attempt.Call != nil {
		c.replicas.Forget(&attempt.Attempt)
	}
	c.forgetIfSettled(attempt.subquery)
}

// replyUnconfirmed handles a reply to an attempt that is withheld until its length is confirmed. The attempt no longer times
// out, as its replica is done with it; it is cancelled if the reply is still withheld at its query's deadline.
func (c *Coordinator) replyUnconfirmed(attempt *attemptState, reply *replicaproto.Event, readAt time.Duration) {
	if attempt.ended {
		return
	}
	attempt.unconfirmed = true
	c.counts.UnconfirmedReplies++
	took := readAt - attempt.SentAt
	if c.Trace {
		c.trace("reply_unconfirmed=%s replica=%s took=%v", attempt.name(), c.replicas.UID(attempt.replica), took)
	}
	c.reportLoad(attempt, reply)
	c.scheduler.ReplyUnconfirmed(c.loop.Now(), scheduler.UnconfirmedReply{
		Subquery: attempt.subquery.id,
		Attempt:  attempt.number,
		Took:     took,
	})
	c.loop.Cancel(attempt.timeoutTimer)
	attempt.deadline = attempt.subquery.query.deadline
	queryEnds := func() { c.abandonAttempt(attempt, scheduler.Cancelled) }
	attempt.timeoutTimer = c.loop.After(attempt.deadline-c.loop.Now(), "", queryEnds)
}

// reportLoad notifies the scheduler of the load report in a reply, if there is one.
func (c *Coordinator) reportLoad(attempt *attemptState, reply *replicaproto.Event) {
	if reply.CPUUsage >= 0 {
		c.scheduler.LoadReported(c.loop.Now(), attempt.replica, reply.CPUUsage)
	}
}

// replyReceived handles a replica's reply to an attempt. readAt is the loop time at which it was read.
func (c *Coordinator) replyReceived(attempt *attemptState, reply *replicaproto.Event, readAt time.Duration) {
	if !attempt.unconfirmed {
		c.reportLoad(attempt, reply)
	}
	took := readAt - attempt.SentAt
	outcome := c.takeReply(attempt, reply, took)
	c.attemptEnded(attempt, outcome, took)
	if attempt.subquery.answered { // the scheduler cancels the other attempts only if the settings allow cancelling
		c.withdrawUnsent(attempt.subquery)
	}
}

// takeReply stores the answer in a reply, if there is one, and returns the outcome of the attempt.
func (c *Coordinator) takeReply(
	attempt *attemptState, reply *replicaproto.Event, took time.Duration,
) scheduler.Outcome {
	switch reply.Status {
	case replicaproto.Rejected:
		return scheduler.Overloaded
	case replicaproto.OK:
	default:
		return scheduler.Failed
	}
	if !utf8.Valid(reply.Value) { // the JSON of an answer could not carry it unchanged
		return scheduler.Failed
	}
	subquery := attempt.subquery
	outcome := scheduler.Succeeded
	if subquery.query.twoPhase != nil {
		outcome = c.phaseReplyReceived(attempt, reply.Value, took)
	}
	if outcome == scheduler.Succeeded && !subquery.answered && !subquery.unwanted() {
		c.markAnswered(subquery, reply.Value)
	}
	return outcome
}
