package scheduler

// Retries: whether a subquery may be sent again, and within which budgets. A further attempt is any after the first:
// a retry, which follows the end of all earlier attempts, or a hedge (hedge.go), which is sent while one is in flight.
//
// An idempotent subquery may have a further attempt at any time, a keyed one within its key's window, and a
// non-idempotent one only if no earlier attempt can have run. An attempt that ended as Overloaded, Unreachable or
// NeverSent cannot have run (results.go); one in flight, or with any other outcome, may have. connpool/evidence.go
// determines the outcome that the end of a connection proves. Package invariant checks non-idempotent and keyed
// subqueries once more. For the latter it does so again when the attempt is written, as that may have to wait for a
// connection.
//
// Further attempts are limited by the number of attempts allowed for a subquery, by the deployment's retry budget (a
// share of the queries and subqueries that arrived within a span of time, and a fixed number) and by the tokens that
// each replica earns with its replies. A retry without a token is sent once nothing is in flight at its replica, as
// nothing else would earn a token. After an error at its replica a further attempt backs off, and the last attempt
// waits until the replica has answered.

import (
	"time"

	"terntray/invariant"
)

const (
	initialRetryTokens  = 4.0  // further attempts that a replica may be sent before its first reply
	retryTokensPerReply = 0.25 // further attempts that a reply earns
	maxRetryTokens      = 10.0 // further attempts; bounds a burst of them when many attempts fail at once

	errorBackoff = 200 * time.Millisecond // from a failed attempt at a replica to a further attempt there
)

// retryBudget counts arrivals and further attempts, and decides which subqueries may be sent again.
type retryBudget struct {
	parameters      *parameters
	arrivals        []time.Duration // of queries and subqueries within the budget's span, in order
	furtherAttempts []time.Duration // sent within the budget's span, in order
}

// countArrival counts a query or subquery towards the budget.
func (b *retryBudget) countArrival(now time.Duration) { b.arrivals = append(b.arrivals, now) }

// countAttempt counts an attempt towards the budget if it is a further one, and takes a token of its replica unless it
// is the first attempt of a phase. It must be called before the attempt is added to its subquery.
func (b *retryBudget) countAttempt(now time.Duration, subquery *subquery, replica *replicaState) {
	if subquery.nextIsRetryOrHedge() {
		b.furtherAttempts = append(b.furtherAttempts, now)
	}
	if len(subquery.attempts) > 0 {
		replica.retryTokens--
	}
}

// earn adds the retry tokens that a reply earns to its replica.
func (b *retryBudget) earn(replica *replicaState) {
	replica.retryTokens = min(maxRetryTokens, replica.retryTokens+retryTokensPerReply)
}

// expire drops arrivals and attempts that are older than the budget's span. Of those exactly as old as the span it
// drops only the arrivals, so that the budget holds whether or not the span includes its boundary.
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

// allowsFurther reports whether the subquery may have another attempt, by its class's effect and by the number of
// attempts allowed.
func (b *retryBudget) allowsFurther(now time.Duration, subquery *subquery) bool {
	if len(subquery.attempts)+subquery.attemptsUsed >= b.parameters.maxAttempts {
		return false
	}
	class := subquery.query.class
	first := subquery.firstThatMayHaveRun()
	return (first == nil || class.effect == invariant.Idempotent ||
		class.effect == invariant.Keyed && now < first.sentAt+class.keyWindow)
}

// atMostOneLeft reports whether the subquery has at most one of its allowed attempts left.
func (b *retryBudget) atMostOneLeft(subquery *subquery) bool {
	return len(subquery.attempts)+subquery.attemptsUsed >= b.parameters.maxAttempts-1
}

// backsOff reports whether a further attempt at a replica has to wait because the last one there failed recently. The
// last attempt of a subquery waits until the replica has answered: otherwise all attempts would be used up at once
// when all holders fail.
func (b *retryBudget) backsOff(now time.Duration, replica *replicaState, subquery *subquery, last bool) bool {
	if replica.forClass(subquery.query.class).consecutiveErrors == 0 {
		return false
	}
	return last || now-replica.lastErrorAt < scale(errorBackoff, b.parameters.timeScale)
}

// hasToken reports whether a replica has a token for a further attempt.
func (b *retryBudget) hasToken(replica *replicaState) bool { return replica.retryTokens >= 1 }

// attemptTimeout returns the time after which an attempt times out, so that a retry can follow where hedges are not
// allowed; 0 if it has no timeout but the client's deadline. unseenLoad is the factor on expected times for work that
// silent peers may have sent.
func (b *retryBudget) attemptTimeout(attempt *attempt, unseenLoad float64) time.Duration {
	subquery := attempt.subquery
	nonIdempotent := subquery.query.class.effect == invariant.NonIdempotent
	if b.parameters.hedgeAllowed || b.atMostOneLeft(subquery) || nonIdempotent {
		return 0
	}
	expected := max(attempt.work, scale(attempt.expected, attempt.replica.slowdown))
	return scale(expected, stragglerFactor*unseenLoad)
}

// dropBefore removes the times before start from a sorted list.
func dropBefore(times []time.Duration, start time.Duration) []time.Duration {
	for len(times) > 0 && times[0] < start {
		times = times[1:]
	}
	return times
}
