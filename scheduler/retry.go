package scheduler

// Retries: when a subquery may be sent again, and within which budgets.

import (
	"slices"
	"time"

	"terntray/invariant"
)

const (
	startCredit = 4.0  // further attempts a replica may be sent before it has answered any
	creditReply = 0.25 // further attempts earned by an answer
	maxCredit   = 10.0 // further attempts; bounds a rush of them when many attempts fail at once

	errorWait = 200 * time.Millisecond // from an attempt without an answer to a further attempt there

	staleTook = 6 * time.Millisecond // a connection that drops within it was of no use from the first
)

// mayRetry tells whether the rules let a further attempt of a part be sent now.
func (c *Scheduler) mayRetry(p *subquery) bool {
	first := slices.IndexFunc(p.attempts, func(l *attempt) bool { return l.mayHaveRun || !l.ended })
	t := p.query.class
	return len(p.attempts)+p.attemptsUsed < c.maxAttempts && (first < 0 || t.effect == invariant.Idempotent ||
		t.effect == invariant.Keyed && c.now < p.attempts[first].sentAt+t.keyWindow)
}

// backsOff tells whether a further attempt waits: the replica's last brought no answer, just now or, for the last
// attempt of a part, ever. Guards against: all attempts gone at once where holders err.
func (c *Scheduler) backsOff(r *replicaState, t *class, last bool) bool {
	return r.forClass(t).consecutiveErrors > 0 && (last || c.now-r.lastErrorAt < scale(errorWait, c.timeScale))
}

func (c *Scheduler) onLastAttempt(p *subquery) bool {
	return len(p.attempts)+p.attemptsUsed >= c.maxAttempts-1
}

// withinRetryBudget tells whether the attempt budget holds a further attempt.
func (c *Scheduler) withinRetryBudget() bool {
	return c.retryBudgetSpan == 0 || float64(len(c.extras)+1) <= c.retryBudgetFree+c.retryBudgetShare*float64(len(c.taken))
}

// attemptTimeout is when an attempt ends by itself so that another can follow, where no copy may go beside it; 0: never.
func (c *Scheduler) attemptTimeout(l *attempt) time.Duration {
	if c.hedgeAllowed || c.onLastAttempt(l.subquery) || l.subquery.query.class.effect == invariant.NonIdempotent {
		return 0
	}
	return scale(max(l.work, scale(l.expected, l.replica.slowdown)), patience*c.unseenLoad())
}
