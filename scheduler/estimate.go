package scheduler

// Estimates: how long a subquery takes at a replica. Inputs are each reply's time beside the time that was expected
// of it, and what peers tell (gossip.go). Learned are the work of a class's subqueries, how many times longer than
// others a replica takes (slowdown) and how many subqueries replicas work on side by side. Expected times are work in
// front of a subquery and its own, divided by the parallelism, times the slowdown.

import (
	"math"
	"time"
)

const (
	// latencyJitter is added to latencies that are compared: so much they vary by without a cause in the replica.
	latencyJitter = 4 * time.Millisecond

	recentLatencyStep  = 0.3   // weight of a reply in the recent latency: about three replies
	baselineFallWeight = 0.1   // weight of a faster reply in the baseline latency: about ten replies
	baselineRiseWeight = 0.004 // weight of a slower reply; small, so that congestion does not become the baseline

	initialParallelism = 1.0  // subqueries side by side, before anything was seen
	maxParallelism     = 8.0  // the same; more would hide any queue
	parallelismStep    = 0.05 // share of a queued attempt's surprise that moves the parallelism

	minWork      = time.Millisecond // least work of a subquery that latencies can tell from none
	slowdownStep = 0.2              // share of a reply's surprise (a logarithm) that moves its replica's slowdown
	workStep     = 0.02             // share of it that moves the class's work
	readDelays   = 3                // times the read delay that a reply may have waited: sent, received, handed on
	slowdownPull = 0.01             // pull of a replica's slowdown towards 1 with each reply
	maxLogRatio  = 2.0              // logarithm; one reply counts for no more: about 7 times

	slowdownFade = 10.0 // seconds in which an idle replica's slowdown returns to 1 by all but a third
)

// latencyEstimator expects times, and learns them from replies.
type latencyEstimator struct {
	parameters  *parameters
	parallelism float64 // subqueries that a replica works on side by side
	typicalSize float64 // mean size of the replicas that are ready
}

// observedReply is a reply, and what delayed it here.
type observedReply struct {
	attempt   *attempt
	took      time.Duration // from its start to its end, or to when its reply was read
	paused    time.Duration // for which this co-ordinator stood still meanwhile
	readDelay time.Duration // for which replies may wait here unread; 0: not known to wait
	warmingUp bool          // the replica is in slow start
}

// expectedFinish is the time until a replica has done all that is in flight and queued there and so much work more.
func (e *latencyEstimator) expectedFinish(now time.Duration, replica *replicaState, more time.Duration) time.Duration {
	work := replica.outstandingWork + replica.queuedWork + replica.peerBacklog(now) + more
	finish := scale(scale(work, 1/e.parallelism), e.timePerWork(replica))
	if now < replica.fullUntil {
		finish += e.parameters.longestDeadline
	}
	if replica.zone != e.parameters.ownZone {
		finish += e.parameters.crossZoneDelay
	}
	return finish
}

// expectedLatency is the time that an attempt that starts now takes at a replica of slowdown 1.
func (e *latencyEstimator) expectedLatency(now time.Duration, replica *replicaState, work time.Duration) time.Duration {
	before := scale(replica.outstandingWork+replica.peerBacklog(now), 1/e.parallelism)
	return scale(work+before, e.timePerWork(replica)/replica.slowdown)
}

// timePerWork is how many times a subquery's work a replica takes for it.
func (e *latencyEstimator) timePerWork(replica *replicaState) float64 {
	if !e.parameters.listedSizes {
		return replica.slowdown
	}
	return replica.slowdown * e.typicalSize / replica.size
}

// slowestFactor is how many times one subquery's time the slowest of so many is expected to take.
func (e *latencyEstimator) slowestFactor(subqueries int) float64 {
	return 1 + e.parameters.fanoutSpread*math.Log(float64(max(1, subqueries)))
}

// learn corrects the estimates by a reply.
func (e *latencyEstimator) learn(now time.Duration, reply observedReply) {
	attempt := reply.attempt
	replica, class := attempt.replica, attempt.subquery.query.class
	took, delayedHere := reply.withoutOwnDelay(now)
	surprise := surpriseOf(took, attempt.expected)
	deviation := max(-maxLogRatio, min(maxLogRatio, surprise-math.Log(replica.slowdown)))
	replica.slowdown *= math.Exp(slowdownStep * deviation)
	if !reply.warmingUp {
		queuedShare := 1 - float64(attempt.work)/float64(attempt.expected)
		parallelism := e.parallelism * math.Exp(-parallelismStep*queuedShare*deviation)
		e.parallelism = max(initialParallelism, min(maxParallelism, parallelism))
	}
	replica.slowdown = math.Pow(replica.slowdown, 1-slowdownPull)
	if e.parallelism >= 0.5*maxParallelism {
		// Replicas may do more side by side than is counted on: then the queue was shorter, not the work less.
		surprise = max(surprise, min(0, surpriseOf(took, attempt.work)))
	}
	class.learnWork(surprise + math.Log(attempt.subquery.workPerHint/class.workPerHint))
	replica.learnLatency(took, attempt.work, delayedHere)
}

// withoutOwnDelay is the time that the replica took, without what this co-ordinator's own delay explains; delayedHere
// tells that this leaves no more than was expected. Without it a short pause here looks like slow replicas.
func (r observedReply) withoutOwnDelay(now time.Duration) (took time.Duration, delayedHere bool) {
	attempt := r.attempt
	own, expected := r.paused, scale(attempt.expected, attempt.replica.slowdown)
	if r.readDelay > 0 {
		own += readDelays * max(r.readDelay, now-attempt.sentAt-r.took)
		expected = min(expected, attempt.expected)
	}
	delayedHere = r.readDelay > 0 && r.took-own <= expected
	return max(min(r.took, expected), r.took-own), delayedHere
}

// surpriseOf is the logarithm of a time over the expected one.
func surpriseOf(took, expected time.Duration) float64 {
	return math.Log(float64(took+time.Millisecond) / float64(expected+time.Millisecond))
}

// learnLatency moves the recent and the usual latency over work.
func (r *replicaState) learnLatency(took, work time.Duration, delayedHere bool) {
	ratio := float64(took+latencyJitter) / float64(work+latencyJitter)
	if delayedHere {
		ratio = min(ratio, r.baselineLatency)
	}
	r.recentLatency += recentLatencyStep * (ratio - r.recentLatency)
	rise := ratio - r.baselineLatency
	r.baselineLatency += baselineFallWeight*min(0, rise) + baselineRiseWeight*max(0, min(rise, r.baselineLatency))
}

// learnWork moves the class's work by a share of a reply's surprise, measured against what the work is taken for now
// and not when the attempt was sent: else each of many replies to attempts of one time would correct the same error
// again.
func (c *class) learnWork(surprise float64) {
	growth := math.Exp(workStep * max(-1, min(1, surprise)))
	work := max(float64(minWork), min(float64(c.deadline), float64(c.subqueryWork)*growth))
	growth = work / float64(c.subqueryWork)
	c.subqueryWork = scale(c.subqueryWork, growth)
	c.workPerHint *= growth
}

// slowdownKept is the share of a slowdown's logarithm that an idle replica keeps as seconds pass.
func slowdownKept(seconds float64) float64 { return math.Exp(-seconds / slowdownFade) }

// fadeSlowdown lets the slowdown of a replica with nothing in flight return towards 1; kept is slowdownKept.
func (r *replicaState) fadeSlowdown(kept float64) {
	if len(r.outstanding) == 0 {
		r.slowdown = math.Pow(r.slowdown, kept)
	}
}
