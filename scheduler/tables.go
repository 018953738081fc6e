package scheduler

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// The tables by replica: a place for each, who holds a shard, what is held for whom; and chance. Nothing here chooses anything.

// room finds a place for a new replica: one of a replica that is gone and that nothing open can mean, if any.
// Guards against: tables that grow with all that were ever listed. Could hurt: what comes back starts anew.
func (c *Scheduler) room() replica {
	for r, here := range c.hereAt {
		unused := c.life[r] == Removed && len(c.outs[r]) == 0 && c.now-here > trialMost
		if unused && (len(c.open) == 0 || c.open[0].arrived > here) {
			return replica(r)
		}
	}
	for _, figures := range []*[]float64{&c.pace, &c.recent, &c.usual, &c.limit, &c.credit, &c.ceiling, &c.told,
		&c.size} {
		*figures = append(*figures, 0)
	}
	for _, d := range []*[]time.Duration{&c.started, &c.replyAt, &c.halvedAt, &c.errAt, &c.hereAt, &c.trialAt,
		&c.trialGap, &c.outWork, &c.heldWork, &c.coldAt, &c.toldAt, &c.ahead, &c.aheadAt,
		&c.fullTo} {
		*d = append(*d, 0)
	}
	c.id, c.life, c.growing = append(c.id, 0), append(c.life, Removed), append(c.growing, false)
	c.cell, c.zone = append(c.cell, 0), append(c.zone, 0)
	c.outs = append(c.outs, nil)
	c.aside, c.errs, c.answeredAt = append(c.aside, nil), append(c.errs, nil), append(c.answeredAt, nil)
	return replica(len(c.id) - 1)
}

// sound forgets what spoke against a replica.
func (c *Scheduler) sound(r replica) {
	n := len(c.classes)
	c.aside[r], c.errs[r], c.answeredAt[r] = make([]bool, n), make([]int, n), make([]time.Duration, n)
	c.trialGap[r] = scale(trialFirst, c.tempo)
}

// holders lists the replicas that hold a shard and may be sent to, set aside or not, until the next list.
func (c *Scheduler) holders(shard ShardNumber) []replica {
	n := int(shard) % c.cells
	if c.held[n] == nil {
		c.held[n] = []replica{}
		for r := range c.id {
			behind := (int(c.cell[r]) - n + c.cells) % c.cells
			if c.life[r] == Ready && behind < c.reach {
				c.held[n] = append(c.held[n], replica(r))
			}
		}
	}
	return c.held[n]
}

// unload takes attempts off a replica's load; what is taken off before its end counts as passed.
func (c *Scheduler) unload(r replica, off func(*attempt) bool) {
	c.outs[r] = slices.DeleteFunc(c.outs[r], func(o *attempt) bool {
		gone := off(o)
		if gone {
			c.outWork[r] -= o.work
			o.passed = max(o.passed, hungPassed)
		}
		return gone
	})
}

// after drops the times before one from a list in order.
func after(times []time.Duration, at time.Duration) []time.Duration {
	for len(times) > 0 && times[0] < at {
		times = times[1:]
	}
	return times
}

func (c *Scheduler) chance() float64 {
	c.draws++
	return c.draw(c.draws, 0)
}

// draw is from 0 to under 1, always the same for the same things.
func (c *Scheduler) draw(what, of uint64) float64 {
	h := fnv.New64a()
	fmt.Fprintln(h, c.seed, c.self, what, of)
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (p *subquery) running() bool {
	return slices.ContainsFunc(p.attempts, func(l *attempt) bool { return !l.done })
}

func (c *Scheduler) hold(p *subquery, r replica) {
	if p.held && p.at != nowhere {
		c.heldWork[p.at] -= p.work
	}
	if p.at, p.held = r, true; r != nowhere {
		c.heldWork[r] += p.work
	}
}

// tried tells whether a part had an attempt at a replica, or one that may have run.
func (p *subquery) tried(r replica, ran bool) bool {
	return slices.ContainsFunc(p.attempts, func(l *attempt) bool { return l.at == r && (!ran || l.ran || !l.done) })
}
