package scheduler

// Outlier ejection: replicas that are taken out of ordinary use, probes of them by live requests, and reinstatement.

import (
	"fmt"
	"slices"
	"time"

	"terntray/invariant"
)

const (
	hungAfter          = 800 * time.Millisecond // silence with attempts out; longer than ordinary pauses
	hungTimes          = 4.0                    // times the expected time: nor is a slow replica a silent one
	hungPassed         = 4                      // answers to later attempts; heavy parts let few by
	errorLimit         = 3                      // replies in a row that bring no answer set a replica aside
	firstProbeInterval = 1 * time.Second        // from setting aside to the first trial
	maxProbeInterval   = 4 * time.Second        // longest time between trials
)

// eject takes a replica out of the ordinary path, or one track there; what is held for it is placed anew.
// Guards against: replicas that hang, are gone or err. Could hurt: when all holders seem dead; trials go on.
func (c *Scheduler) eject(r *replicaState, only *class, why string) {
	if !r.ejectedForAny() {
		r.nextProbeAt = c.now + r.probeInterval
		c.host.Log(fmt.Sprintf("replica %d is set aside: it %s", r.id, why))
	}
	for n := range c.classes {
		r.classes[n].ejected = r.classes[n].ejected || only == nil || only.index == n
	}
}

// reinstate takes a replica back, all of it by a trickle that doubles with each good answer.
func (c *Scheduler) reinstate(r *replicaState, t *class) {
	if r.ejectedForAll() {
		r.recovering, r.limit = true, 1
		r.reinstateAll(len(c.classes), scale(firstProbeInterval, c.timeScale))
	}
	r.forClass(t).ejected = false
	r.probeInterval, r.recentLatency = scale(firstProbeInterval, c.timeScale), min(r.recentLatency, r.usualLatency)
	c.host.Log(fmt.Sprintf("replica %d answers again: a trickle goes to it", r.id))
}

// detectOutlier sets a replica aside that has attempts out and has long been silent, or a track that alone gets no
// answers there, if it can be spared. Could hurt: heavy parts of a rare track, until an answer.
func (c *Scheduler) detectOutlier(r *replicaState) {
	for n, l := range r.outstanding {
		t, silent := l.subquery.query.class, c.now-max(l.sentAt, r.lastReplyAt)
		switch {
		case r.forClass(t).ejected:
		case c.hung(l) && r.forClass(t).lastReplyAt < l.sentAt && c.canSpare(r, t):
			c.eject(r, t, "answers other tracks only")
		case n == 0 && silent > scale(hungAfter, c.timeScale) && silent > c.stragglerAfter(l, hungTimes) && c.canSpare(r, t):
			c.eject(r, nil, "has gone silent")
		}
	}
}

func (c *Scheduler) canSpare(r *replicaState, t *class) bool {
	for back := range c.cellsPerShard {
		others := c.replicas.holders(ShardNumber(int(r.cell) - back + c.cells))
		if !slices.ContainsFunc(others, func(o *replicaState) bool { return o != r && c.sendable(o, t, nil) }) {
			return false
		}
	}
	return true
}

func (c *Scheduler) sendable(r *replicaState, t *class, p *subquery) bool {
	return r.state == Ready && !r.forClass(t).ejected && c.coldRoom(r, p)
}

// probe sends a copy of a part to a holder that is set aside, if one is due there; where no copy may go, or
// none has for a while, the part itself.
func (c *Scheduler) probe(p *subquery) bool {
	copied := len(p.attempts) > 0
	mayCopy := p.query.class.effect == invariant.Idempotent && c.hedgeAllowed && !c.onLastAttempt(p)
	tooOld := c.now-p.query.arrivedAt > (p.query.deadlineAt-p.query.arrivedAt)/2 // its answer would tell too late
	if (copied || p.isRetry) && !c.withinRetryBudget() || p.inFlight() && !mayCopy || p.query.suspectedDeadly() || tooOld {
		return false
	}
	for _, r := range c.replicas.holders(p.shard) {
		due := r.nextProbeAt
		if !copied && p.replica != nil && c.hedgeAllowed {
			due += scale(maxProbeInterval, c.timeScale)
		}
		if r.forClass(p.query.class).ejected && !p.triedAt(r, true) && c.now >= due && c.coldRoom(r, p) {
			r.nextProbeAt = c.now + r.probeInterval
			if r.probeInterval = min(scale(maxProbeInterval, c.timeScale), 2*r.probeInterval); p.replica == nil {
				r.probeInterval = scale(firstProbeInterval, c.timeScale) // no other holder is in use
			}
			c.startAttempt(p, r)
			return true
		}
	}
	return false
}
