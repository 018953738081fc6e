package scheduler

// Estimates: how long a subquery takes at a replica. Inputs are the measured and the expected time of each reply, and
// reports of peers (gossip.go). The estimator learns the work of a class's subqueries, the slowdown of each replica
// (how many times longer than others it takes) and the parallelism (how many subqueries a replica processes
// concurrently). The expected time is the work ahead of a subquery plus its own, divided by the parallelism and
// multiplied by the slowdown.
//
// The log ratio of a reply is the logarithm of its measured over its expected time. Its deviation is what remains after
// subtracting the logarithm of the replica's slowdown, which the expected time leaves out.

import (
	"math"
	"time"
)

const (
	// latencyJitter is added to latencies before they are compared: they vary by about this much without a cause in the
	// replica.
	latencyJitter = 4 * time.Millisecond

	recentLatencyWeight = 0.3   // weight of a reply in the recent latency: averages about three replies
	baselineFallWeight  = 0.1   // weight of a faster reply in the baseline latency: averages about ten replies
	baselineRiseWeight  = 0.004 // weight of a slower reply; small, so that congestion does not soon become the baseline

	initialParallelism = 1.0  // concurrent subqueries, before any reply
	maxParallelism     = 8.0  // concurrent subqueries; a higher value would hide any queue
	parallelismStep    = 0.05 // share of a queued attempt's deviation by which the logarithm of the parallelism moves

	minWork            = time.Millisecond // least work of a subquery; latencies cannot distinguish less from none
	slowdownStep       = 0.2              // share of a reply's deviation by which the logarithm of the slowdown moves
	workStep           = 0.02             // share of a reply's log ratio by which the log of the class's work moves
	readDelays         = 3                // read delays that a reply may incur: sending, receiving and forwarding
	slowdownRegression = 0.01             // share of its logarithm that a slowdown loses with each reply, towards 1
	maxDeviation       = 2.0              // bounds the effect of one reply, here and in gossip.go: a ratio of about 7

	slowdownDecaySeconds = 10.0 // time constant with which the logarithm of an idle replica's slowdown decays
)

// latencyEstimator predicts latencies and learns from replies.
type latencyEstimator struct {
	parameters  *parameters
	parallelism float64 // subqueries that a replica processes concurrently
	meanSize    float64 // of the replicas that are ready
}

// observedReply is a reply, with the delays that this co-ordinator itself caused.
type observedReply struct {
	attempt   *attempt
	took      time.Duration // from the attempt's start to its end, or until the reply was read
	stalled   time.Duration // how long this co-ordinator was stalled during that time
	readDelay time.Duration // how long replies may wait here unread; 0: no known wait
	warmingUp bool          // the replica is in slow start
}

// expectedFinish returns the time until a replica has finished all work in flight and queued there and the extra work.
func (e *latencyEstimator) expectedFinish(now time.Duration, replica *replicaState, extra time.Duration) time.Duration {
	work := replica.outstandingWork + replica.queuedWork + replica.peerBacklog(now) + extra
	finish := scale(scale(work, 1/e.parallelism), e.timePerWork(replica))
	if now < replica.fullUntil {
		finish += e.parameters.longestDeadline
	}
	if replica.zone != e.parameters.ownZone {
		finish += e.parameters.crossZoneDelay
	}
	return finish
}

// expectedLatency returns the time that an attempt starting now takes at a replica with slowdown 1.
func (e *latencyEstimator) expectedLatency(now time.Duration, replica *replicaState, work time.Duration) time.Duration {
	ahead := scale(replica.outstandingWork+replica.peerBacklog(now), 1/e.parallelism)
	return scale(work+ahead, e.timePerWork(replica)/replica.slowdown)
}

// timePerWork returns the time that a replica takes per unit of a subquery's work.
func (e *latencyEstimator) timePerWork(replica *replicaState) float64 {
	if !e.parameters.listedSizes {
		return replica.slowdown
	}
	return replica.slowdown * e.meanSize / replica.size
}

// slowestFactor returns the expected time of the slowest of this many subqueries, as a multiple of the time of one.
func (e *latencyEstimator) slowestFactor(subqueries int) float64 {
	return 1 + e.parameters.fanoutSpread*math.Log(float64(max(1, subqueries)))
}

// learn updates the estimates from a reply.
func (e *latencyEstimator) learn(now time.Duration, reply observedReply) {
	attempt := reply.attempt
	replica, class := attempt.replica, attempt.subquery.query.class
	took, delayedLocally := reply.withoutLocalDelay(now)
	logRatio := logLatencyRatio(took, attempt.expected)
	deviation := max(-maxDeviation, min(maxDeviation, logRatio-math.Log(replica.slowdown)))
	replica.slowdown *= math.Exp(slowdownStep * deviation)
	if !reply.warmingUp {
		queuedShare := 1 - float64(attempt.work)/float64(attempt.expected)
		parallelism := e.parallelism * math.Exp(-parallelismStep*queuedShare*deviation)
		e.parallelism = max(initialParallelism, min(maxParallelism, parallelism))
	}
	replica.slowdown = math.Pow(replica.slowdown, 1-slowdownRegression)
	if e.parallelism >= 0.5*maxParallelism {
		// Replicas may run more subqueries concurrently than assumed: then the queue was shorter, not the work smaller.
		logRatio = max(logRatio, min(0, logLatencyRatio(took, attempt.work)))
	}
	class.learnWork(logRatio + math.Log(attempt.subquery.workPerHint/class.workPerHint))
	replica.learnLatency(took, attempt.work, delayedLocally)
}

// withoutLocalDelay returns the time that the replica took, without the part that this co-ordinator's own delays
// explain; delayedLocally reports whether replies are read late here and that leaves no more than the expected time.
// Without this correction, a short stall here looks like slow replicas.
func (r observedReply) withoutLocalDelay(now time.Duration) (took time.Duration, delayedLocally bool) {
	attempt := r.attempt
	localDelay, expected := r.stalled, scale(attempt.expected, attempt.replica.slowdown)
	if r.readDelay > 0 {
		localDelay += readDelays * max(r.readDelay, now-attempt.sentAt-r.took)
		expected = min(expected, attempt.expected)
	}
	delayedLocally = r.readDelay > 0 && r.took-localDelay <= expected
	return max(min(r.took, expected), r.took-localDelay), delayedLocally
}

// logLatencyRatio returns the logarithm of the measured over the expected time.
func logLatencyRatio(took, expected time.Duration) float64 {
	return math.Log(float64(took+time.Millisecond) / float64(expected+time.Millisecond))
}

// learnLatency updates the recent and the baseline latency, as ratios of latency to work.
func (r *replicaState) learnLatency(took, work time.Duration, delayedLocally bool) {
	ratio := float64(took+latencyJitter) / float64(work+latencyJitter)
	if delayedLocally {
		ratio = min(ratio, r.baselineLatency)
	}
	r.recentLatency += recentLatencyWeight * (ratio - r.recentLatency)
	rise := ratio - r.baselineLatency
	r.baselineLatency += baselineFallWeight*min(0, rise) + baselineRiseWeight*max(0, min(rise, r.baselineLatency))
}

// learnWork moves the class's work by a share of a reply's log ratio, which it bounds to 1 in either direction. The log
// ratio is relative to the current estimate of the work, not the estimate when the attempt was sent; otherwise the
// replies to many attempts sent at one time would each correct the same error again.
func (c *class) learnWork(logRatio float64) {
	growth := math.Exp(workStep * max(-1, min(1, logRatio)))
	work := max(float64(minWork), min(float64(c.deadline), float64(c.subqueryWork)*growth))
	growth = work / float64(c.subqueryWork)
	c.subqueryWork = scale(c.subqueryWork, growth)
	c.workPerHint *= growth
}

// slowdownDecay returns the share of a slowdown's logarithm that an idle replica keeps after this many seconds.
func slowdownDecay(seconds float64) float64 { return math.Exp(-seconds / slowdownDecaySeconds) }

// decaySlowdown lets the slowdown of a replica with nothing in flight return towards 1; kept is the result of
// slowdownDecay.
func (r *replicaState) decaySlowdown(kept float64) {
	if len(r.outstanding) == 0 {
		r.slowdown = math.Pow(r.slowdown, kept)
	}
}
