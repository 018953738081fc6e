package scheduler

// Placement and release order: which replica a subquery goes to, and when it leaves.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	movesPart = 2 // moves of the greedy for each part of a query (the design's k)
)

// choose picks the holder of a part's shard with the least cost, in time; below 0 it is out of the question.
func (c *Scheduler) choose(p *subquery, cost func(*replicaState) time.Duration) *replicaState {
	var best *replicaState
	least := time.Duration(math.MaxInt64)
	for _, r := range c.replicas.holders(p.shard) {
		if d := cost(r); d >= 0 && d < least && c.sendable(r, p.query.class, p) {
			best, least = r, d
		}
	}
	return best
}

func (c *Scheduler) fastest(p *subquery) *replicaState {
	return c.choose(p, func(r *replicaState) time.Duration {
		if p.triedAt(r, false) != p.query.suspectedDeadly() {
			return p.query.class.deadline // only where no other holder is left
		}
		return scale(p.work, c.timePerWork(r))
	})
}

// place gives each part that has none a holder: the fastest, then what spread finds, or nobody.
func (c *Scheduler) place(q *query) {
	if q.awaitsSubqueries() {
		return
	}
	var mine []*subquery
	for _, p := range q.subqueries {
		stays := p.queued && p.replica != nil && c.sendable(p.replica, q.class, p)
		if p.answered || p.abandoned || stays || !p.queued && len(p.attempts) > 0 {
			continue
		}
		p.queueFor(c.fastest(p))
		mine = append(mine, p)
	}
	c.rebalance(mine)
	if !q.admitted {
		q.admitted = true
		slices.SortStableFunc(q.subqueries, func(a, b *subquery) int { return cmp.Compare(a.work, b.work) })
		c.look(func(as *Scheduler) { c.watched.comes(c, as, q, mine) })
		c.admit(q, mine)
	}
}

// rebalance moves parts off the replica with the largest expected finish, each to where it is done first, while
// that lowers it, then the next.
func (c *Scheduler) rebalance(mine []*subquery) {
	settled := map[*replicaState]bool{nil: true}
	for moves := movesPart * len(mine); moves > 0; moves-- {
		var worst *replicaState
		most := time.Duration(-1)
		for _, p := range mine {
			if !settled[p.replica] && c.expectedFinish(p.replica, 0) > most {
				worst, most = p.replica, c.expectedFinish(p.replica, 0)
			}
		}
		if worst == nil {
			return
		}
		var moved, last *subquery
		var to *replicaState
		least, soonest := most-time.Millisecond, time.Duration(0)
		for _, p := range mine {
			if p.replica != worst || p.query.suspectedDeadly() || last != nil && p.interchangeable(last, c.cells) {
				continue
			}
			last = p
			left := c.expectedFinish(worst, -p.work)
			for _, r := range c.replicas.holders(p.shard) {
				there := c.expectedFinish(r, p.work)
				d := max(left, there)
				if r != worst && (d < least || d == least && moved != nil && there < soonest) &&
					c.sendable(r, p.query.class, p) && !p.triedAt(r, false) {
					moved, to, least, soonest = p, r, d, there
				}
			}
		}
		if settled[worst] = moved == nil; moved != nil {
			moved.queueFor(to)
		}
	}
}

// release sends held parts in order of their queries' arrival, as caps allow, and drops what is too late;
// unless all is looked at, only where there is room.
func (c *Scheduler) release(all bool) {
	blocked, ahead := make([]bool, len(c.replicas.all)), make([]time.Duration, len(c.replicas.all))
	free := 0
	for _, r := range c.replicas.all {
		if blocked[r.index] = !all && (r.queuedWork == 0 || c.full(r)); !blocked[r.index] {
			free++
		}
	}
	for _, q := range c.open {
		if q.awaitsSubqueries() {
			continue
		}
		if free == 0 && !all {
			return
		}
		for _, p := range q.subqueries {
			if !all && (!p.queued || p.replica == nil || blocked[p.replica.index]) {
				continue
			}
			if q.ended || !p.queued || c.canaryHoldsBack(q) || q.suspectedDeadly() && len(p.attempts) == 0 {
				continue
			}
			r := p.replica
			switch first := len(p.attempts) == 0; {
			case c.tooLate(q, p, ahead) || (!first || p.isRetry) && !c.mayRetry(p):
				c.abandon(p)
				c.failIfHopeless(q)
			case (first || r == nil) && c.probe(p) || r == nil:
			case blocked[r.index] || c.full(r) || !c.coldRoom(r, p) ||
				(p.isRetry || !first) && !c.withinRetryBudget() ||
				!first && (r.retryCredit < 1 && len(r.outstanding) > 0 || c.backsOff(r, q.class, c.onLastAttempt(p))):
				if first && !blocked[r.index] {
					blocked[r.index] = true
					free--
				}
				ahead[r.index] += p.work
			default:
				c.startAttempt(p, r)
				c.probe(p)
			}
		}
	}
}

func (c *Scheduler) tooLate(q *query, p *subquery, ahead []time.Duration) bool {
	left := q.deadlineAt - c.now
	if q.admittedAsProbe {
		return c.now >= q.objectiveAt // what is expected is in doubt
	}
	if p.replica == nil {
		return p.work > left
	}
	if float64(len(p.replica.outstanding)) >= p.replica.limit && q.phase == 0 {
		left = min(left, q.objectiveAt-c.now)
	}
	return scale(p.work+scale(p.replica.outstandingWork+ahead[p.replica.index], 1/c.parallelism), c.timePerWork(p.replica)) > left
}

func (c *Scheduler) startAttempt(p *subquery, r *replicaState) {
	p.unqueue()
	base := scale(p.work+scale(r.outstandingWork+c.peerBacklog(r), 1/c.parallelism), c.timePerWork(r)/r.slowdown)
	if c.gossipEnabled {
		c.gossip.attemptSent(c.now, r.cell, p.work)
		if p.query.attemptsSent == 0 && len(c.tenantQuotas) > 0 {
			c.gossip.queryAdmitted(p.query.tenant)
		}
	}
	l := &attempt{subquery: p, replica: r, sentAt: c.now, expected: base, work: p.work}
	p.attempts, r.outstanding = append(p.attempts, l), append(r.outstanding, l)
	p.query.attemptsSent++
	r.outstandingWork += p.work
	if len(p.attempts) > 1 || p.isRetry {
		c.extras = append(c.extras, c.now)
	}
	if len(p.attempts) > 1 {
		r.retryCredit--
	}
	c.countSent(r, p.work)
	c.host.StartAttempt(p.id, r.id, c.attemptTimeout(l))
	c.look(func(as *Scheduler) { c.watched.attempt(c.attemptTimeout(l), as.attemptTimeout(l)) })
}
