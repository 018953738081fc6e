package coordinator

import (
	"sync"
	"time"

	"terntray/invariant"
	"terntray/scheduler"
)

// The checks of package invariant run when an attempt is decided, again when its connection's writer is about to
// write the first byte, when a query is answered, and when a client's connection is closed. Between the first two, a
// connection may be slow to come up, the client may disconnect, or the process may stall.

// refusedWrites collects the attempts that connections' writers refused to write, until the event loop is notified.
// It may be used from any goroutine.
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

// hasPending reports whether there are refused writes of which the loop has not been notified.
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

// snapshot returns what is known of an attempt at a loop time. It may be called from any goroutine and therefore
// leaves out the subquery's earlier attempts, which belong to the event loop; checkStart adds them.
func (attempt *attemptState) snapshot(now time.Duration) invariant.Attempt {
	return invariant.Attempt{
		TimeLeft:    attempt.deadline - now,
		ClientGone:  attempt.subquery.query.client.HasDisconnected(now),
		QueryClosed: attempt.subquery.unwanted(),
		Endpoint:    attempt.endpoint.State(),
		Effect:      attempt.effect,
		Key:         attempt.subquery.key.by(attempt, now),
	}
}

// evidence returns what is known of whether a replica ran an attempt.
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

// checkStart checks whether an attempt that the scheduler has decided on may be sent. A passed deadline, a
// disconnected client or a closed query may have been unknown to the scheduler and is only counted; any other refusal
// is a violation.
func (c *Coordinator) checkStart(attempt *attemptState, earlier []*attemptState) invariant.Reason {
	snapshot := attempt.snapshot(c.loop.Now())
	snapshot.MaxAttempts = c.schedulerConfig.MaxAttempts
	for _, previous := range earlier {
		snapshot.Earlier = append(snapshot.Earlier, previous.evidence())
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

// mayWrite reports whether an attempt may be written now, and records that it is. It is called by its connection's
// writer, which holds the connection's mutex.
func (c *Coordinator) mayWrite(attempt *attemptState, now time.Duration) bool {
	reason := attempt.snapshot(now).Check()
	if reason != invariant.Allowed {
		c.refusedWrites.add(attempt, reason)
		return false
	}
	attempt.subquery.key.written(attempt, now)
	return true
}

// reportRefusedWrites notifies the loop of the writes that mayWrite has refused. Writers must not hold the
// connection's mutex when they call it, as Post may block and the loop itself locks that mutex.
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

// countRefused counts and logs an attempt that is not sent; when names the check that refused it.
func (c *Coordinator) countRefused(attempt *attemptState, reason invariant.Reason, when string) {
	c.counts.Refused[reason]++
	c.logLimited("event=attempt_refused query=%s attempt=%s replica=%s reason=%s when=%s",
		attempt.subquery.query.request.ID, attempt.name(), c.replicas.UID(attempt.replica), reason, when)
}

// noReplica is passed to reportViolation if no replica is concerned.
const noReplica scheduler.ReplicaID = 0

// reportViolation counts and logs an action that breaks an invariant and that was about to happen or has happened.
// Each violation is a fault of this program.
func (c *Coordinator) reportViolation(reason invariant.Reason, action, id string, to scheduler.ReplicaID) {
	c.counts.Violations++
	c.log.Printf("event=violation action=%s id=%s replica=%s reason=%s", action, id, c.replicas.UID(to), reason)
}
