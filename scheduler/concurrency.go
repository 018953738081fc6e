package scheduler

// Concurrency limits: how many attempts may be in flight at a replica at a time. A limit grows by one with each reply
// in about the usual time, and is halved when the replica rejects an attempt or its latency rises; below a ceiling
// that remembers where the replica rejected attempts. Inputs are replies, rejections and the replica's recent and
// usual latency; limits are counts of attempts.

import "time"

const (
	initialLimit      = 8.0  // attempts
	maxLimit          = 32.0 // attempts; from more it takes too many halvings to come down
	ceilingGrowth     = 0.1  // attempts by which a reply raises the ceiling
	latencyRiseFactor = 2.5  // times the usual latency at which a limit is halved: above noise, below what a stall costs

	// overloadBackoff is the mean time for which a replica that rejected an attempt counts as full, where it is
	// full of what other co-ordinators sent.
	overloadBackoff = 400 * time.Millisecond
)

// concurrencyLimiter sets the limit of each replica. The limits themselves are in replicaState.
type concurrencyLimiter struct {
	parameters *parameters
}

// replied adjusts the limit after a reply that the estimates have learned from. It halves the limit at most once in
// halvingInterval.
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

// raiseCeiling lets the limit grow further with each reply.
func (l *concurrencyLimiter) raiseCeiling(replica *replicaState) {
	replica.limitCeiling = min(maxLimit, replica.limitCeiling+ceilingGrowth)
}

// rejected lowers the limit after the replica rejected an attempt as it has too many. That attempt no longer counts
// as in flight.
func (l *concurrencyLimiter) rejected(now time.Duration, replica *replicaState, halvingInterval time.Duration) {
	l.halve(now, replica, halvingInterval)
	replica.limitCeiling = max(1, min(replica.limitCeiling, float64(len(replica.outstanding))))
}

// peersMayCauseOverload reports whether a replica that rejects attempts may be full of what other co-ordinators sent.
func (l *concurrencyLimiter) peersMayCauseOverload() bool { return l.parameters.manyCoordinators() }

// backOff has a replica count as full for a while, of a length that chance spreads: a number from 0 to 1.
func (l *concurrencyLimiter) backOff(now time.Duration, replica *replicaState, chance float64) {
	replica.fullUntil = now + scale(overloadBackoff, 0.5+chance)
}

func (l *concurrencyLimiter) halve(now time.Duration, replica *replicaState, interval time.Duration) {
	if now-replica.limitHalvedAt >= interval {
		replica.limitHalvedAt = now
		replica.limit = max(1, replica.limit/2)
	}
}

// restart sets a replica that is reinstated to one attempt at a time.
func (l *concurrencyLimiter) restart(replica *replicaState) {
	replica.recovering = true
	replica.limit = 1
}

// atLimit reports whether as many attempts are in flight as the limit allows.
func (l *concurrencyLimiter) atLimit(replica *replicaState) bool {
	return float64(len(replica.outstanding)) >= replica.limit
}

// full reports whether the replica is to get no attempt now. At its limit it still gets one each time that it has
// been silent and was sent nothing for silentAfter: attempts that were lost would hold all places for good.
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
