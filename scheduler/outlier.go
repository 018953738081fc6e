package scheduler

// Outlier ejection: replicas that are taken out of ordinary use, probes of them by live requests, and reinstatement.

import (
	"fmt"
	"slices"
	"time"
)

const (
	hungAfter  = 800 * time.Millisecond // silence with attempts out; longer than ordinary pauses
	hungTimes  = 4.0                    // times the expected time: nor is a slow replica a silent one
	hungPassed = 4                      // answers to later attempts; heavy parts let few by
	errorLimit = 3                      // replies in a row that bring no answer set a replica aside
	trialFirst = 1 * time.Second        // from setting aside to the first trial
	trialMost  = 4 * time.Second        // longest time between trials
)

// setAside takes a replica out of the ordinary path, or one track there; what is held for it is placed anew.
// Guards against: replicas that hang, are gone or err. Could hurt: when all holders seem dead; trials go on.
func (c *Scheduler) setAside(r replica, only *class, why string) {
	if !slices.Contains(c.aside[r], true) {
		c.trialAt[r] = c.now + c.trialGap[r]
		c.host.Log(fmt.Sprintf("replica %d is set aside: it %s", c.id[r], why))
	}
	for n := range c.classes {
		c.aside[r][n] = c.aside[r][n] || only == nil || only.index == n
	}
}

// bringBack takes a replica back, all of it by a trickle that doubles with each good answer.
func (c *Scheduler) bringBack(r replica, t *class) {
	if !slices.Contains(c.aside[r], false) {
		c.growing[r], c.limit[r] = true, 1
		c.sound(r)
	}
	c.aside[r][t.index] = false
	c.trialGap[r], c.recent[r] = scale(trialFirst, c.tempo), min(c.recent[r], c.usual[r])
	c.host.Log(fmt.Sprintf("replica %d answers again: a trickle goes to it", c.id[r]))
}

// watch sets a replica aside that has attempts out and has long been silent, or a track that alone gets no
// answers there, if it can be spared. Could hurt: heavy parts of a rare track, until an answer.
func (c *Scheduler) watch(r replica) {
	for n, l := range c.outs[r] {
		t, silent := l.of.of.class, c.now-max(l.sentAt, c.replyAt[r])
		switch {
		case c.aside[r][t.index]:
		case c.stuck(l) && c.answeredAt[r][t.index] < l.sentAt && c.spare(r, t):
			c.setAside(r, t, "answers other tracks only")
		case n == 0 && silent > scale(hungAfter, c.tempo) && silent > c.late(l, hungTimes) && c.spare(r, t):
			c.setAside(r, nil, "has gone silent")
		}
	}
}

func (c *Scheduler) spare(r replica, t *class) bool {
	for back := range c.reach {
		others := c.holders(ShardNumber(int(c.cell[r]) - back + c.cells))
		if !slices.ContainsFunc(others, func(o replica) bool { return o != r && c.sendable(o, t, nil) }) {
			return false
		}
	}
	return true
}

func (c *Scheduler) sendable(r replica, t *class, p *subquery) bool {
	return c.life[r] == Ready && !c.aside[r][t.index] && c.coldRoom(r, p)
}

// trial sends a copy of a part to a holder that is set aside, if one is due there; where no copy may go, or
// none has for a while, the part itself.
func (c *Scheduler) trial(p *subquery) bool {
	copied := len(p.attempts) > 0
	mayCopy := p.of.class.effect == replayable && c.mayCopy && !c.lastAttempt(p)
	tooOld := c.now-p.of.arrived > (p.of.endAt-p.of.arrived)/2 // its answer would tell too late
	if (copied || p.again) && !c.mayGoOn() || p.running() && !mayCopy || p.of.doubtful() || tooOld {
		return false
	}
	for _, r := range c.holders(p.shard) {
		due := c.trialAt[r]
		if !copied && p.at != nowhere && c.mayCopy {
			due += scale(trialMost, c.tempo)
		}
		if c.aside[r][p.of.class.index] && !p.tried(r, true) && c.now >= due && c.coldRoom(r, p) {
			c.trialAt[r] = c.now + c.trialGap[r]
			if c.trialGap[r] = min(scale(trialMost, c.tempo), 2*c.trialGap[r]); p.at == nowhere {
				c.trialGap[r] = scale(trialFirst, c.tempo) // no other holder is in use
			}
			c.send(p, r)
			return true
		}
	}
	return false
}
