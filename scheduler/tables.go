package scheduler

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Small steps on subqueries, and chance. Nothing here chooses anything.

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
	fmt.Fprintln(h, c.seed, c.selfIndex, what, of)
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (p *subquery) inFlight() bool {
	return slices.ContainsFunc(p.attempts, func(l *attempt) bool { return !l.ended })
}

func (c *Scheduler) queue(p *subquery, r *replicaState) {
	if p.queued && p.replica != nil {
		p.replica.queuedWork -= p.work
	}
	p.replica, p.queued = r, true
	if r != nil {
		r.queuedWork += p.work
	}
}

// triedAt tells whether a part had an attempt at a replica, or one that may have run.
func (p *subquery) triedAt(r *replicaState, ran bool) bool {
	return slices.ContainsFunc(p.attempts, func(l *attempt) bool { return l.replica == r && (!ran || l.mayHaveRun || !l.ended) })
}
