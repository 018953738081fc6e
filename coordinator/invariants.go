package coordinator

import (
	"sync"
	"time"

	"terntray/invariant"
	"terntray/scheduler"
)

// The invariants of package invariant are checked when an attempt is decided, again by its connection's writer as
// the first byte is about to go, when a query is answered and when a client's connection is closed. Between the
// first two a connection may come up late, a client disconnect or the process stand still.

// refusedWrites are attempts that their connections' writers refused; the event loop has yet to be notified.
// Writers may use it from any goroutine.
type refusedWrites struct {
	mu  sync.Mutex
	all []refusedWrite
}

type refusedWrite struct {
	attempt *attemptState
	reason  invariant.Reason
}

func (refused *refusedWrites) add(attempt *attemptState, reason invariant.Reason) {
	refused.mu.Lock()
	defer refused.mu.Unlock()
	refused.all = append(refused.all, refusedWrite{attempt, reason})
}

// hasPending reports whether the loop has something to be notified of.
func (refused *refusedWrites) hasPending() bool {
	refused.mu.Lock()
	defer refused.mu.Unlock()
	return len(refused.all) > 0
}

func (refused *refusedWrites) take() []refusedWrite {
	refused.mu.Lock()
	defer refused.mu.Unlock()
	all := refused.all
	refused.all = nil
	return all
}

// snapshot is what is known of an attempt at a loop time. It may be called from any goroutine; the earlier attempts
// of the subquery belong to the event loop and are added there.
func (attempt *attemptState) snapshot(now time.Duration) invariant.Attempt {
	return invariant.Attempt{
		TimeLeft:    attempt.deadline - now,
		ClientGone:  attempt.subquery.query.client.HasLeft(now),
		QueryClosed: attempt.subquery.unwanted(),
		Endpoint:    attempt.endpoint.State(),
	}
}

// evidence is what is known of whether a replica ran an attempt.
func (attempt *attemptState) evidence() invariant.Evidence {
	if !attempt.ended {
		return invariant.Running
	}
	switch attempt.outcome {
	case scheduler.Overloaded, scheduler.Unreachable, scheduler.NeverSent:
		return invariant.NeverRan
	default:
		return invariant.MayRun
	}
}

// checkStart tells whether an attempt may be sent that the scheduler asks for. What the scheduler must know better
// is a violation; of a deadline, a client that disconnects or a query that closes the loop may only hear later.
func (c *Coordinator) checkStart(attempt *attemptState, earlier []*attemptState) invariant.Reason {
	snapshot := attempt.snapshot(c.loop.Now())
	snapshot.Effect = c.effectOf(attempt.subquery.query)
	snapshot.MaxAttempts = c.schedulerConfig.MaxAttempts
	for _, before := range earlier {
		snapshot.Earlier = append(snapshot.Earlier, before.evidence())
	}
	reason := snapshot.Check()
	switch reason {
	case invariant.Allowed:
	case invariant.DeadlinePassed, invariant.ClientGone, invariant.QueryClosed:
		c.countRefused(attempt, reason, "decided")
	default:
		c.reportViolation(reason, "attempt", attempt.subquery.wireID, attempt.replica)
	}
	return reason
}

// mayWrite tells a connection's writer whether an attempt may be written; the writer holds the connection's mutex.
func (c *Coordinator) mayWrite(attempt *attemptState, now time.Duration) bool {
	reason := attempt.snapshot(now).Check()
	if reason != invariant.Allowed {
		c.refusedWrites.add(attempt, reason)
	}
	return reason == invariant.Allowed
}

// reportRefusedWrites notifies the loop of what mayWrite has refused. It is called by writers that hold no mutex.
func (c *Coordinator) reportRefusedWrites() {
	refused := c.refusedWrites.take()
	if len(refused) == 0 {
		return
	}
	c.loop.Post(func() {
		for _, write := range refused {
			c.writeRefused(write.attempt, write.reason)
		}
	})
}

func (c *Coordinator) writeRefused(attempt *attemptState, reason invariant.Reason) {
	c.countRefused(attempt, reason, "written")
	c.replicas.WriteRefused(&attempt.Attempt)
	if reason == invariant.ClientGone {
		c.clientDisconnected(attempt.subquery.query.client)
	}
}

// countRefused counts and logs an attempt that is not sent; when is the check that refused it.
func (c *Coordinator) countRefused(attempt *attemptState, reason invariant.Reason, when string) {
	c.counts.Refused[reason]++
	c.logLimited("event=attempt_refused query=%s attempt=%s replica=%s reason=%s when=%s",
		attempt.subquery.query.request.ID, attempt.name(), c.replicas.UID(attempt.replica), reason, when)
}

// noReplica stands for the replica of a violation that concerns none.
const noReplica scheduler.ReplicaID = 0

// reportViolation counts and logs an action that an invariant forbids and that was about to happen, or has
// happened. Each is a fault of this program.
func (c *Coordinator) reportViolation(reason invariant.Reason, action, id string, to scheduler.ReplicaID) {
	c.counts.Violations++
	c.log.Printf("event=violation action=%s id=%s replica=%s reason=%s", action, id, c.replicas.UID(to), reason)
}
