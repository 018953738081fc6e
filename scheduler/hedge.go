package scheduler

// Hedged attempts: when a second copy of a straggling subquery goes.

import (
	"math"
	"time"
)

const (
	mostIn     = 0.8  // share of a query's other parts that must be in before an attempt is a straggler
	fewParts   = 12.0 // parts; a query of more has more stragglers: less patience, more room for copies
	leastTimes = 2.5  // times the expected time; an attempt is a straggler no sooner
	patience   = 6.0  // times the expected time after which a further attempt is thought of
	copyRoom   = 2.5  // times a copy's expected time; while more is left, the first attempt is waited for

	copyReply = 0.3  // second copies of stragglers earned by an answer, wherever it came from
	lastParts = 1.5  // parts; the copy of a query's only missing part is always worth it
	lastTimes = 1.5  // times the expected time of a sound replica; what these wait
	lastShare = 12.0 // so are those of its last twelfth: each saves eleven others
	busyFrom  = 0.4  // share of the replicas' cores in use; up to it copies cost nobody
	busyMost  = 0.7  // the same; beyond, a queue forms at some and each copy makes it longer
	busyStep  = 0.05 // weight of a report in what that is taken for
	maxCopies = 24.0 // second copies; the most that may be saved up
)

// hedgeRoom is how much room a replica has for second copies, from 0 to 1, as it told of late, else as all did.
// Guards against: copies that make a jam unseen by one of many. Could hurt: stragglers of a busy fleet wait.
func (c *Scheduler) hedgeRoom(r *replicaState) float64 {
	busy := c.meanUtilization
	if r.utilizationAt > 0 && c.now-r.utilizationAt < toldFresh {
		busy = r.utilization
	}
	return max(0, min(1, (busyMost-busy)/(busyMost-busyFrom)))
}

// stragglerAfter is how long an attempt may take before it is a straggler among its query's; while most others are out,
// any time. Guards against: copies of heavy queries, or in a jam. Could hurt: where most replicas hang.
func (c *Scheduler) stragglerAfter(l *attempt, times float64) time.Duration {
	q := l.subquery.query
	many := float64(len(q.subqueries)) / fewParts
	if q.answered < mostIn*min(1, many)*float64(len(q.subqueries)-1) {
		return math.MaxInt64
	}
	pace := l.replica.slowdown
	if times = max(leastTimes, times/max(1, many)); q.unanswered() <= float64(len(q.subqueries))/lastShare {
		times, pace = lastTimes, min(1, pace)
	}
	return scale(l.expected, times*pace*max(1, (1+q.latenessSum)/(1+q.answered)))
}

// hung tells whether an attempt can be given up for dead: later ones are answered there, or its track is set
// aside. Guards against: connections that fall silent, lost parts. Could hurt: by copies of heavy parts.
func (c *Scheduler) hung(l *attempt) bool {
	return l.replica.forClass(l.subquery.query.class).ejected ||
		l.overtaken >= hungPassed && c.now-l.sentAt > scale(l.expected+jitter, hungTimes*l.replica.slowdown)
}

// hedge sends a second copy of a part whose attempt takes much longer than expected, where there is credit.
func (c *Scheduler) hedge(q *query) {
	for _, p := range q.subqueries {
		if l := p.lastInFlight(); l != nil && !q.ended && !q.suspectedDeadly() {
			best := c.hedgeTarget(q, p, l)
			c.shadowHedge(l, best)
			if best != nil {
				c.hedgeCredit = max(0, c.hedgeCredit-1)
				c.startAttempt(p, best)
			}
		}
	}
}

// hedgeTarget is where a copy beside a part's last attempt is to go now, or nil.
func (c *Scheduler) hedgeTarget(q *query, p *subquery, l *attempt) *replicaState {
	age, many := c.now-l.sentAt, float64(len(q.subqueries))/fewParts
	if !c.hedgeAllowed || p.answered || p.abandoned || p.queued || !c.mayRetry(p) || !c.withinRetryBudget() ||
		age < c.stragglerAfter(l, patience) && !c.hung(l) {
		return nil
	}
	best := c.choose(p, func(r *replicaState) time.Duration {
		d := c.expectedFinish(r, p.work)
		if p.triedAt(r, true) || r.retryCredit < 1 || float64(len(r.outstanding)) >= r.limit ||
			c.backsOff(r, q.class, false) || d >= min(q.deadlineAt-c.now, max(age, 2*l.expected)) ||
			(!c.hung(l) || c.hedgeRoom(r) == 0) && c.now+scale(d, copyRoom*max(1, many)) <= q.objectiveAt {
			return -1
		}
		return d
	})
	last := q.unanswered() <= max(lastParts, float64(len(q.subqueries))/lastShare)
	if best == nil || last || c.hedgeCredit*c.hedgeRoom(best) >= 1 {
		return best
	}
	return nil
}
