package scheduler

// Concurrency limits: how many attempts may be in flight at a replica at a time. A limit grows by one with each reply
// whose latency is near the baseline, and is halved when the replica rejects an attempt or its latency rises. It grows
// at most to a ceiling, which is lowered to the load at which the replica rejected an attempt; only the doubling after
// a reinstatement disregards the ceiling. Inputs are replies, rejections and the replica's recent and baseline latency;
// limits are counts of attempts.

import "time"

const (
	initialLimit  = 8.0  // attempts
	maxLimit      = 32.0 // attempts; a higher limit would need too many halvings to come down
	ceilingGrowth = 0.1  // attempts by which a reply raises the ceiling

	// latencyRiseFactor is the multiple of the baseline latency at which a limit is halved: above the noise, and below
	// the latency of a replica that stalls.
	latencyRiseFactor = 2.5

	// overloadBackoff is the mean time for which a replica that rejected an attempt counts as full, if the attempts
	// of other co-ordinators may be what fills it.
	overloadBackoff = 400 * time.Millisecond
)

// concurrencyLimiter adjusts the limit of each replica, which is stored in its replicaState.
type concurrencyLimiter struct {
	parameters *parameters
}

// replied adjusts the limit after a reply, whose latency the estimates have already taken into account. It halves the
// limit at most once in halvingInterval.
func (l *concurrencyLimiter) replied(now time.Duration, replica *replicaState, halvingInterval time.Duration) {
	switch {
	case replica.recentLatency > latencyRiseFactor*max(1, replica.baselineLatency):
		l.halve(now, replica, halvingInterval)
	case replica.recovering:
		replica.limit *= 2
		replica.recovering = replica.limit < initialLimit
	default:
		replica.limit = min(replica.limitCeiling, replica.limit+1)
	}
}

// raiseCeiling raises the limit's ceiling after a reply.
func (l *concurrencyLimiter) raiseCeiling(replica *replicaState) {
	replica.limitCeiling = min(maxLimit, replica.limitCeiling+ceilingGrowth)
}

// rejected lowers the limit after the replica rejected an attempt as overloaded. The attempt must no longer be among
// the outstanding ones.
func (l *concurrencyLimiter) rejected(now time.Duration, replica *replicaState, halvingInterval time.Duration) {
	l.halve(now, replica, halvingInterval)
	replica.limitCeiling = max(1, min(replica.limitCeiling, float64(len(replica.outstanding))))
}

// peersMayCauseOverload reports whether a replica may reject attempts because other co-ordinators fill it.
func (l *concurrencyLimiter) peersMayCauseOverload() bool { return l.parameters.manyCoordinators() }

// backOff makes a replica count as full for a time that jitter, a number from 0 to 1, spreads around overloadBackoff.
func (l *concurrencyLimiter) backOff(now time.Duration, replica *replicaState, jitter float64) {
	replica.fullUntil = now + scale(overloadBackoff, 0.5+jitter)
}

func (l *concurrencyLimiter) halve(now time.Duration, replica *replicaState, interval time.Duration) {
	if now-replica.limitHalvedAt >= interval {
		replica.limitHalvedAt = now
		replica.limit = max(1, replica.limit/2)
	}
}

// restart sets the limit of a reinstated replica to one attempt, from which it doubles with each reply.
func (l *concurrencyLimiter) restart(replica *replicaState) {
	replica.recovering = true
	replica.limit = 1
}

// atLimit reports whether the attempts in flight have reached the limit.
func (l *concurrencyLimiter) atLimit(replica *replicaState) bool {
	return float64(len(replica.outstanding)) >= replica.limit
}

// full reports whether the replica may not be sent an attempt now. A replica at its limit may still be sent one
// whenever it has neither replied nor been sent anything for silentAfter: otherwise lost attempts would use up its
// limit permanently.
func (l *concurrencyLimiter) full(now time.Duration, replica *replicaState) bool {
	if now < replica.fullUntil {
		return true
	}
	inFlight := len(replica.outstanding)
	if float64(inFlight+1) <= replica.limit {
		return false
	}
	quietSince := max(replica.lastReplyAt, replica.outstanding[inFlight-1].sentAt)
	return now-quietSince < scale(silentAfter, l.parameters.timeScale)
}
