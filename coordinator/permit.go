package coordinator

import (
	"sync"
	"time"

	"terntray/internal/netconn"
	"terntray/invariant"
	"terntray/scheduler"
)

// How the rules of package guard are asked: when an attempt is decided, again by its connection's writer as the first byte
// is about to go, when an answer is given and when a client's connection is closed.

// clientSeenFresh is how old the knowledge that a client is still there may be when an attempt is written: an attempt may
// begin 0.1 s after its client has gone at the latest, and this process may be held up in between.
const clientSeenFresh = 40 * time.Millisecond

// refusedWrites are attempts that were refused as they were about to be written; the loop has yet to be told.
type refusedWrites struct {
	mu  sync.Mutex
	all []refusedWrite
}

type refusedWrite struct {
	attempt *attemptState
	reason  invariant.Reason
}

func (w *refusedWrites) add(l *attemptState, reason invariant.Reason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, refusedWrite{l, reason})
}

// waits tells whether the loop has something to be told.
func (w *refusedWrites) waits() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.all) > 0
}

func (w *refusedWrites) take() []refusedWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.all
	w.all = nil
	return all
}

// snapshot is what is known of an attempt at a time. It may be called from any goroutine; the earlier attempts belong to
// the loop and are added there.
func (l *attemptState) snapshot(now time.Duration) invariant.Attempt {
	return invariant.Attempt{
		TimeLeft:    l.deadline - now,
		ClientGone:  l.subquery.query.client.hasDisconnected(now),
		QueryClosed: l.subquery.unwanted(),
		Endpoint:    invariant.EndpointState(l.endpoint.state.Load()),
	}
}

// checkStart tells whether the loop may send an attempt that the decision module asks for. What the module must not ask
// for is a violation.
func (c *Coordinator) checkStart(l *attemptState, earlier []*attemptState) invariant.Reason {
	attempt := l.snapshot(c.loop.Now())
	attempt.Effect, attempt.MaxAttempts = c.effects[l.subquery.query.request.Class], c.maxAttempts
	for _, e := range earlier {
		attempt.Earlier = append(attempt.Earlier, e.evidence())
	}
	reason := attempt.Check()
	switch reason {
	case invariant.Allowed:
	case invariant.DeadlinePassed, invariant.ClientGone, invariant.QueryClosed: // the loop may not have been told yet
		c.countRefused(l, reason, "decided")
	default:
		c.reportViolation(reason, "attempt", l.subquery.wireID, l.replica)
	}
	return reason
}

// evidence is what is known of an attempt that went before another.
func (l *attemptState) evidence() invariant.Evidence {
	switch {
	case !l.ended:
		return invariant.Running
	case l.outcome == scheduler.Overloaded || l.outcome == scheduler.Unreachable || l.outcome == scheduler.NeverSent:
		return invariant.NeverRan
	}
	return invariant.MayRun
}

// mayWrite is asked by a connection's writer, under the connection's mutex.
func (c *Coordinator) mayWrite(l *attemptState, now time.Duration) bool {
	reason := l.snapshot(now).Check()
	if reason != invariant.Allowed {
		c.refusedWrites.add(l, reason)
	}
	return reason == invariant.Allowed
}

// reportRefusedWrites has the loop take what was refused as it was about to be written. It is called by writers, without any
// mutex.
func (c *Coordinator) reportRefusedWrites() {
	all := c.refusedWrites.take()
	if len(all) == 0 {
		return
	}
	c.loop.Post(func() {
		for _, w := range all {
			c.countRefused(w.attempt, w.reason, "written")
			c.fleet.pool.WriteRefused(c.loop.Now(), &w.attempt.Attempt)
			if w.reason == invariant.ClientGone {
				c.clientDisconnected(w.attempt.subquery.query.client)
			}
		}
	})
}

func (c *Coordinator) countRefused(l *attemptState, reason invariant.Reason, when string) {
	c.counts.Refused[reason]++
	c.logLimited("event=withheld query=%s attempt=%s.%d replica=%s reason=%s when=%s",
		l.subquery.query.request.ID, l.subquery.wireID, l.number, c.fleet.uid(l.replica), reason, when)
}

// reportViolation counts and logs an action that a rule forbids and that was about to happen, or has happened. None is expected.
func (c *Coordinator) reportViolation(reason invariant.Reason, action, id string, to scheduler.ReplicaID) {
	c.counts.Violations++
	c.log.Printf("event=violation action=%s id=%s replica=%s reason=%s", action, id, c.fleet.uid(to), reason)
}

// hasDisconnected tells whether the client has left. It looks for itself where the last look was a while ago, as the connection's
// reader may not have been able to tell yet. It may be called from any goroutine.
func (k *client) hasDisconnected(now time.Duration) bool {
	if k.gone.Load() {
		return true
	}
	if now-time.Duration(k.seenAt.Load()) < clientSeenFresh {
		return false
	}
	if netconn.HasHungUp(k.conn) {
		k.gone.Store(true)
		return true
	}
	k.seenAt.Store(int64(now))
	return false
}
