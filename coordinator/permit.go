package coordinator

import (
	"sync"
	"time"

	"terntray/invariant"
	"terntray/scheduler"
)

// How the rules of package guard are asked: when an attempt is decided, again by its connection's writer as the first byte
// is about to go, when an answer is given and when a client's connection is closed.

// withheld are attempts that were refused as they were about to be written; the loop has yet to be told.
type withheld struct {
	mu  sync.Mutex
	all []withheldAttempt
}

type withheldAttempt struct {
	attempt *attempt
	reason  invariant.Reason
}

func (w *withheld) add(l *attempt, reason invariant.Reason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, withheldAttempt{l, reason})
}

// waits tells whether the loop has something to be told.
func (w *withheld) waits() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.all) > 0
}

func (w *withheld) take() []withheldAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.all
	w.all = nil
	return all
}

// snapshot is what is known of an attempt at a time. It may be called from any goroutine; the earlier attempts belong to
// the loop and are added there.
func (l *attempt) snapshot(now time.Duration) invariant.Attempt {
	return invariant.Attempt{
		TimeLeft:    l.deadline - now,
		ClientGone:  l.part.of.client.HasGone(now),
		QueryClosed: l.part.over(),
		Endpoint:    invariant.EndpointState(l.endpoint.state.Load()),
	}
}

// mayDecide tells whether the loop may send an attempt that the decision module asks for. What the module must not ask
// for is a violation.
func (c *Coordinator) mayDecide(l *attempt, earlier []*attempt) invariant.Reason {
	attempt := l.snapshot(c.loop.Now())
	attempt.Effect, attempt.MaxAttempts = c.effects[l.part.of.query.Class], c.maxAttempts
	for _, e := range earlier {
		attempt.Earlier = append(attempt.Earlier, e.evidence())
	}
	reason := attempt.Check()
	switch reason {
	case invariant.Allowed:
	case invariant.DeadlinePassed, invariant.ClientGone, invariant.QueryClosed: // the loop may not have been told yet
		c.noteWithheld(l, reason, "decided")
	default:
		c.violated(reason, "attempt", l.part.wire, l.to)
	}
	return reason
}

// evidence is what is known of an attempt that went before another.
func (l *attempt) evidence() invariant.Evidence {
	switch {
	case !l.over:
		return invariant.Running
	case l.outcome == scheduler.Overloaded || l.outcome == scheduler.Unreachable || l.outcome == scheduler.NeverSent:
		return invariant.NeverRan
	}
	return invariant.MayRun
}

// permit is asked by a connection's writer, under the connection's mutex.
func (c *Coordinator) permit(l *attempt, now time.Duration) bool {
	reason := l.snapshot(now).Check()
	if reason != invariant.Allowed {
		c.withheld.add(l, reason)
	}
	return reason == invariant.Allowed
}

// tellWithheld has the loop take what was refused as it was about to be written. It is called by writers, without any
// mutex.
func (c *Coordinator) tellWithheld() {
	all := c.withheld.take()
	if len(all) == 0 {
		return
	}
	c.loop.Post(func() {
		for _, w := range all {
			c.noteWithheld(w.attempt, w.reason, "written")
			c.fleet.pool.WriteRefused(c.loop.Now(), &w.attempt.Attempt)
			if w.reason == invariant.ClientGone {
				c.clientLeaves(w.attempt.part.of.client)
			}
		}
	})
}

func (c *Coordinator) noteWithheld(l *attempt, reason invariant.Reason, when string) {
	c.counts.Withheld[reason]++
	c.seldom("event=withheld query=%s attempt=%s.%d replica=%s reason=%s when=%s",
		l.part.of.query.ID, l.part.wire, l.number, c.fleet.uid(l.to), reason, when)
}

// violated counts and logs an action that a rule forbids and that was about to happen, or has happened. None is expected.
func (c *Coordinator) violated(reason invariant.Reason, action, id string, to scheduler.ReplicaID) {
	c.counts.Violations++
	c.log.Printf("event=violation action=%s id=%s replica=%s reason=%s", action, id, c.fleet.uid(to), reason)
}
