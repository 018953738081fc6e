package scheduler

// Admission: which queries are turned back because they cannot be expected to make their target latency.

import (
	"math"
	"slices"
	"time"
)

const (
	lateShare   = 0.05 // share of queries to end after their agreed time before fewer are let in
	longerStep  = 0.1  // logarithm; least step of the estimate that this moves
	longerPace  = 0.2  // the same for each second since the track's last query was judged
	longerMost  = 0.7  // logarithm; its largest step
	longerFades = 8.0  // seconds in which the rest of that estimate over 1 fades to a third
	mostLonger  = 6.0  // times the expected time; its upper bound

	letFirst  = 500 * time.Millisecond // from turning back to the first that is let in all the same
	letMost   = 2 * time.Second        // longest wait for the next after a late one
	letRarest = 60.0                   // times these, among many: about a minute to the next at the most
	mostLet   = 64.0                   // queries let in so at a time; from then on enough is learned
	shedQuiet = 5 * time.Second        // without turning back or load reports, after which that counts as ended

	overShare  = 0.3 // of the agreed time that traffic past its share may expect
	shareBurst = 2.0 // seconds of its quota that a tenant may send in one go
	leastBurst = 2.0 // queries; the least of it
)

// recordOutcome books whether a query is fulfilled in time, as soon as that is known. The fewer of a track this
// co-ordinator sees, the more each counts, or it would notice a jam only once it is over.
func (c *Scheduler) recordOutcome(q *query, kept bool) {
	if q.judged {
		return
	}
	t, late := q.class, 1-lateShare
	if kept {
		late = -lateShare
	}
	switch {
	case !q.admittedAsProbe:
	case kept:
		t.probeLimit, t.probeInterval = min(mostLet, 2*t.probeLimit), scale(letFirst, c.probeIntervalFactor(q))
	default:
		t.probeLimit, t.nextProbeAt, t.probeInterval = 1, c.now+t.probeInterval, min(scale(letMost, c.probeIntervalFactor(q)), 2*t.probeInterval)
	}
	if q.judged = true; c.now > q.arrivedAt && (kept || !q.admittedAsProbe) { // turned back on arrival, or let in in doubt
		step := max(longerStep, min(longerMost, longerPace*(c.now-t.lastJudgedAt).Seconds()))
		t.latenessFactor, t.lastJudgedAt = max(1, min(mostLonger, t.latenessFactor*math.Exp(step*late))), c.now
	}
}

// expectedExcess is by how much a query is expected to miss the bound that its agreed time sets.
func (c *Scheduler) expectedExcess(q *query) (over, bound time.Duration) {
	at, mean, left, steps := map[*replicaState]bool{}, time.Duration(0), q.objectiveAt-q.arrivedAt, 0.0
	if q.class.fetchSubqueries > 0 && q.phase == 0 { // what follows takes as long as these do
		steps = c.slowestFactor(q.class.fetchSubqueries)
		left -= scale(q.class.subqueryWork, c.unseenLoad()*steps)
	}
	bound = scale(left, 1/(q.class.latenessFactor*c.unseenLoad()))
	if q.overQuota {
		bound = scale(bound, overShare)
	}
	for _, p := range q.subqueries { // those at one replica end together
		if p.replica != nil && !at[p.replica] {
			at[p.replica], mean = true, mean+c.expectedFinish(p.replica, 0)
		}
	}
	over = scale(mean, (steps+c.slowestFactor(len(at)))/(c.unseenLoad()*float64(max(1, len(at))))) - bound
	if !q.reachesMinimum(func(p *subquery) bool { return p.replica == nil || c.expectedFinish(p.replica, 0) <= bound }) {
		for r := range at {
			over = max(over, c.expectedFinish(r, 0)-bound)
		}
	}
	return over, bound
}

// admit turns a new query back that cannot be expected to make its agreed time. Guards against: overload.
// Could hurt: if the expected times are far too long.
func (c *Scheduler) admit(q *query, mine []*subquery) {
	over, bound := c.expectedExcess(q)
	if over <= 0 || c.admitAsProbe(q, mine, bound) {
		return
	}
	if c.lastRejectedAt == 0 || c.now > c.lastRejectedAt+shedQuiet {
		c.host.Log("turning retrievals back: too much work is waiting")
	}
	c.lastRejectedAt = c.now
	c.host.Reject(q.id, min(over, c.maxRetryAfter))
	c.end(q, false)
}

// probeIntervalFactor is how many times the times between those that are let in so: others let some in as well, and what
// each lets in weighs on all; large ones cost more.
func (c *Scheduler) probeIntervalFactor(q *query) float64 {
	crowd := max(1, float64(c.coordinators)/fewCoordinators)
	return c.timeScale * min(letRarest, crowd*math.Pow(max(1, float64(len(q.subqueries))/scoutsMany), 2))
}

// admitAsProbe lets a query in that would be turned back, if nothing is out that could show whether the replicas
// against it are so slow; twice as much may be out there after each in time; a late one begins anew after a
// wait. Guards against: beliefs that keep all work away for good. Could hurt: by one in that wait.
func (c *Scheduler) admitAsProbe(q *query, mine []*subquery, bound time.Duration) bool {
	t := q.class
	if t.lastRejectedAt == 0 || c.now > t.lastRejectedAt+shedQuiet {
		t.probeLimit, t.probeInterval, t.nextProbeAt = 1, scale(letFirst, c.probeIntervalFactor(q)), c.now+scale(letFirst, c.probeIntervalFactor(q))
	}
	t.lastRejectedAt = c.now
	bound = scale(bound, t.latenessFactor) // tightening fades by itself
	waits := func(r *replicaState) bool {  // no trial otherwise
		return r.forClass(t).ejected && c.now >= r.nextProbeAt+scale(maxProbeInterval, c.timeScale)
	}
	over := slices.ContainsFunc(mine, func(p *subquery) bool {
		return p.replica != nil && c.expectedFinish(p.replica, 0) > bound || slices.ContainsFunc(c.replicas.holders(p.shard), waits)
	})
	q.admittedAsProbe = over && c.now >= t.nextProbeAt && !slices.ContainsFunc(mine, func(p *subquery) bool {
		return p.replica != nil && float64(len(p.replica.outstanding)) >= t.probeLimit && c.expectedFinish(p.replica, 0) > bound
	})
	return q.admittedAsProbe
}
