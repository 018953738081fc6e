package scheduler

// Retries: whether a subquery may be sent again, and within which budgets. A further attempt is any after the
// first: a retry, which follows the end of all before it, or a hedge (hedge.go), which goes beside one in flight.
// That of an idempotent subquery may go at any time, of a keyed one within its key's window, of a non-idempotent
// one only if no earlier attempt can have run: one that ended as Overloaded, Unreachable or NeverSent cannot have
// (results.go); one in flight, or with any other outcome, may have. Which outcome the end of a connection proves is
// in connpool/evidence.go. Package invariant checks non-idempotent ones once more; a key's window is checked here
// alone. All are limited by the attempts allowed for a subquery, by the retry budget of the deployment (a share of
// the subqueries that came within a span of time) and by the tokens that each replica earns with its replies. A
// retry without a token goes once nothing is in flight at its replica, as nothing else would earn one. A further
// attempt waits for a while after an error at its replica, and the last one until the replica has answered.

import (
	"time"

	"terntray/invariant"
)

const (
	initialRetryTokens  = 4.0  // further attempts that a replica may be sent before it has answered any
	retryTokensPerReply = 0.25 // further attempts that a reply earns
	maxRetryTokens      = 10.0 // further attempts; bounds a rush of them when many attempts fail at once

	errorBackoff = 200 * time.Millisecond // from an attempt that failed at a replica to a further attempt there
)

// retryBudget counts arrivals and further attempts, and tells what may be sent again.
type retryBudget struct {
	parameters      *parameters
	arrivals        []time.Duration // queries and subqueries that came within the budget's span, in order
	furtherAttempts []time.Duration // those that were sent within it, in order
}

// countArrival counts a query or subquery towards the budget.
func (b *retryBudget) countArrival(now time.Duration) { b.arrivals = append(b.arrivals, now) }

// countAttempt counts an attempt that is about to be sent, and is not among its subquery's yet, if it is a further
// one. The first of a later phase takes no token of its replica.
func (b *retryBudget) countAttempt(now time.Duration, subquery *subquery, replica *replicaState) {
	if subquery.nextIsRetryOrHedge() {
		b.furtherAttempts = append(b.furtherAttempts, now)
	}
	if len(subquery.attempts) > 0 {
		replica.retryTokens--
	}
}

// earn adds the tokens of a reply to its replica.
func (b *retryBudget) earn(replica *replicaState) {
	replica.retryTokens = min(maxRetryTokens, replica.retryTokens+retryTokensPerReply)
}

// expire forgets what is older than the budget's span.
func (b *retryBudget) expire(now time.Duration) {
	span := b.parameters.retryBudgetSpan
	b.arrivals = dropBefore(b.arrivals, now-span+1)
	b.furtherAttempts = dropBefore(b.furtherAttempts, now-span)
}

// hasRoom reports whether the budget allows a further attempt now.
func (b *retryBudget) hasRoom() bool {
	allowed := b.parameters.retryBudgetMin + b.parameters.retryBudgetShare*float64(len(b.arrivals))
	return b.parameters.retryBudgetSpan == 0 || float64(len(b.furtherAttempts)+1) <= allowed
}

// allowsFurther reports whether another attempt of the subquery cannot do harm: by its class's effect, and by the
// number of attempts that are allowed.
func (b *retryBudget) allowsFurther(now time.Duration, subquery *subquery) bool {
	if len(subquery.attempts)+subquery.attemptsUsed >= b.parameters.maxAttempts {
		return false
	}
	class := subquery.query.class
	first := subquery.firstThatMayHaveRun()
	return (first == nil || class.effect == invariant.Idempotent ||
		class.effect == invariant.Keyed && now < first.sentAt+class.keyWindow)
}

// atMostOneLeft reports whether no more than one attempt of the subquery is left.
func (b *retryBudget) atMostOneLeft(subquery *subquery) bool {
	return len(subquery.attempts)+subquery.attemptsUsed >= b.parameters.maxAttempts-1
}

// backsOff reports whether a further attempt at a replica waits, as the last one there failed a short while ago. The
// last attempt of a subquery waits until the replica has answered: else all attempts are gone at once where all
// holders fail.
func (b *retryBudget) backsOff(now time.Duration, replica *replicaState, subquery *subquery, last bool) bool {
	if replica.forClass(subquery.query.class).consecutiveErrors == 0 {
		return false
	}
	return last || now-replica.lastErrorAt < scale(errorBackoff, b.parameters.timeScale)
}

// hasToken reports whether a replica has earned a further attempt.
func (b *retryBudget) hasToken(replica *replicaState) bool { return replica.retryTokens >= 1 }

// attemptTimeout is the time after which an attempt is to end by itself so that a retry can follow, where no hedge
// may go beside it; 0: when the client gives up. unseenLoad multiplies expected times, for what silent peers may have
// sent.
func (b *retryBudget) attemptTimeout(attempt *attempt, unseenLoad float64) time.Duration {
	subquery := attempt.subquery
	nonIdempotent := subquery.query.class.effect == invariant.NonIdempotent
	if b.parameters.hedgeAllowed || b.atMostOneLeft(subquery) || nonIdempotent {
		return 0
	}
	expected := max(attempt.work, scale(attempt.expected, attempt.replica.slowdown))
	return scale(expected, stragglerFactor*unseenLoad)
}

// dropBefore drops the times before one from a list in order.
func dropBefore(times []time.Duration, at time.Duration) []time.Duration {
	for len(times) > 0 && times[0] < at {
		times = times[1:]
	}
	return times
}
