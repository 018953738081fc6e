package scheduler

// Estimates: how long a subquery takes at a replica, learned from replies.

import (
	"math"
	"time"
)

const (
	jitter      = 4 * time.Millisecond // that latency may grow by without a climb: the machines' own
	recentShare = 0.3                  // weight of a reply in the recent latency: about three replies
	usualFalls  = 0.1                  // weight of a quicker reply in the usual latency: about ten replies
	usualRises  = 0.004                // weight of a slower one: a jam must not become usual while it lasts

	startLanes  = 1.0              // parts a replica is taken to work on side by side before more was seen
	mostLanes   = 8.0              // parts; more would hide any queue
	lanesStep   = 0.05             // share of a queued attempt's surprise that this takes up
	leastWork   = time.Millisecond // least work of a part that latencies can tell from none
	paceStep    = 0.2              // share of a reply's surprise (in logarithms) that its replica is blamed for
	unitStep    = 0.02             // share of it that the track's expected work takes up
	ownShare    = 3                // times what comes may wait unread: out, back and told
	pacePull    = 0.01             // pull of a replica's pace towards 1 at each reply
	maxSurprise = 2.0              // logarithm; one reply counts for no more than this (7 times)

	toldFresh = 2 * time.Second // that a replica's own word tells more than what all say: some parts' time

	paceFades = 10.0 // seconds in which the pace of an idle replica goes back to a third

	flowFades = 10.0 // seconds in which what went to warm ones is forgotten to a third
)

func (c *Scheduler) answered(r *replicaState, t *class, l *attempt, took time.Duration) {
	r.lastReplyAt, r.forClass(t).lastReplyAt, r.forClass(t).consecutiveErrors = c.now, c.now, 0
	c.countAnswered(r)
	for _, o := range r.outstanding {
		if o.sentAt < l.sentAt {
			o.overtaken++
		}
	}
	r.retryCredit = min(maxCredit, r.retryCredit+creditReply)
	r.limitCeiling = min(maxCap, r.limitCeiling+ceilingReply)
	c.hedgeCredit = min(maxCopies*c.hedgeScale, c.hedgeCredit+copyReply*c.hedgeScale*c.hedgeRoom(r))
	here, expected := c.stalled, scale(l.expected, r.slowdown)
	if c.readDelay > 0 { // the reply itself waited here for so long; what that explains says the replica is sound
		here, expected = here+ownShare*max(c.readDelay, c.now-l.sentAt-took), min(expected, l.expected)
	}
	own := c.readDelay > 0 && took-here <= expected
	took = max(min(took, expected), took-here)
	surprise := math.Log(float64(took+time.Millisecond) / float64(l.expected+time.Millisecond))
	off := max(-maxSurprise, min(maxSurprise, surprise-math.Log(r.slowdown)))
	r.slowdown *= math.Exp(paceStep * off)
	if !c.coldFor(r) {
		queued := 1 - float64(l.work)/float64(l.expected)
		c.parallelism = max(startLanes, min(mostLanes, c.parallelism*math.Exp(-lanesStep*queued*off)))
	}
	r.slowdown = math.Pow(r.slowdown, 1-pacePull)
	if c.parallelism >= 0.5*mostLanes { // more side by side than is counted on: the queue was less, not the work
		alone := math.Log(float64(took+time.Millisecond) / float64(l.work+time.Millisecond))
		surprise = max(surprise, min(0, alone))
	}
	t.learn(surprise + math.Log(l.subquery.workPerHint/t.workPerHint))
	ratio := float64(took+jitter) / float64(l.work+jitter)
	if own {
		ratio = min(ratio, r.usualLatency)
	}
	r.recentLatency += recentShare * (ratio - r.recentLatency)
	rise := ratio - r.usualLatency
	r.usualLatency += usualFalls*min(0, rise) + usualRises*max(0, min(rise, r.usualLatency))
	switch {
	case r.forClass(t).ejected:
		c.reinstate(r, t)
	case r.recentLatency > climbed*max(1, r.usualLatency):
		c.halve(r)
	case r.recovering:
		r.limit *= 2
		r.recovering = r.limit < startCap
	default:
		r.limit = min(r.limitCeiling, r.limit+1)
	}
}

// learn takes up a part of a reply's surprise, told against what the track's work is taken for now. Guards
// against: replies in crowds, each of which corrects the same old error again. Could hurt: by learning later.
func (t *class) learn(surprise float64) {
	grow := math.Exp(unitStep * max(-1, min(1, surprise)))
	grow = max(float64(leastWork), min(float64(t.deadline), float64(t.subqueryWork)*grow)) / float64(t.subqueryWork)
	t.subqueryWork, t.workPerHint = scale(t.subqueryWork, grow), t.workPerHint*grow
}

func (c *Scheduler) expectedFinish(r *replicaState, more time.Duration) time.Duration {
	d := scale(scale(r.outstandingWork+r.queuedWork+c.peerBacklog(r)+more, 1/c.parallelism), c.timePerWork(r))
	if c.now < r.fullUntil {
		d += c.longestDeadline
	}
	if r.zone != c.ownZone {
		d += c.crossZoneDelay
	}
	return d
}

// timePerWork is how many times a part's work its replica timePerWork for it.
func (c *Scheduler) timePerWork(r *replicaState) float64 {
	if !c.listedSizes {
		return r.slowdown
	}
	return r.slowdown * c.typicalSize / r.size
}

// slowestFactor is how many times the time of one part the slowest of so many is expected to take.
func (c *Scheduler) slowestFactor(parts int) float64 {
	return 1 + c.fanoutSpread*math.Log(float64(max(1, parts)))
}
