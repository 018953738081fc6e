package scheduler

// Canary attempts limit the damage of a query of death, which crashes each replica that runs it and would otherwise
// take down all holders of its shards. With many co-ordinators, a large query starts with one subquery. Once a replica
// seems to have crashed under a query, the query is sent only to replicas that it was sent to before, until enough
// answers clear it; a second crash ends it. Inputs are answers, and connections that were reset under an attempt.

import (
	"math"
	"time"
)

const (
	canaryThreshold    = 12                    // subqueries; a larger query sends a canary first
	canaryStep         = 60 * time.Millisecond // between steps; most crashes show within this time
	canaryGrowthFactor = 8.0                   // by which each step multiplies the attempts that may have been sent
	answersPerCrash    = 2.0                   // answers that outweigh one crash under a query

	// staleConnectionAge is the age of an attempt below which a reset means that its connection was already lost
	// before the attempt used it.
	staleConnectionAge = 6 * time.Millisecond
)

// crashSuspicion is the evidence that a query crashes the replicas that run it.
type crashSuspicion struct {
	count   float64       // replicas that seemed to crash during the current phase
	lastAt  time.Duration // when the last of them seemed to crash
	replica *replicaState // that last replica
}

// suspectedQueryOfDeath reports whether a query may crash the replicas that run it.
func (q *query) suspectedQueryOfDeath() bool {
	return q.crashes.count > 0 && q.replied < answersPerCrash*q.crashes.count
}

// recordConnectionReset records that the connection was reset under an attempt; took is the attempt's age. Several
// resets at the same replica at the same time count as one crash.
func (q *query) recordConnectionReset(now time.Duration, replica *replicaState, took time.Duration) {
	counted := q.crashes.lastAt == now && q.crashes.replica == replica
	if took < staleConnectionAge || counted {
		return
	}
	q.crashes.count++
	q.crashes.lastAt = now
	q.crashes.replica = replica
}

// recordAnswer records that a replica answered an attempt. If that replica seemed to crash before the attempt was
// sent, it is running after all and only a connection was lost, so the suspicion is cleared.
func (q *query) recordAnswer(attempt *attempt) {
	if attempt.replica == q.crashes.replica && attempt.sentAt > q.crashes.lastAt {
		q.crashes.count = 0
	}
}

// waitsForCanaries reports whether the next subquery of a large query has to wait for an answer to those sent before
// it, or for the next step. Steps are counted from the query's arrival: one subquery may be sent at once,
// canaryGrowthFactor after one step, and so on. This applies only with many co-ordinators, each of which sees too few
// crashes to recognise a query of death by them.
func (q *query) waitsForCanaries(now time.Duration, manyCoordinators bool) bool {
	if !manyCoordinators || len(q.subqueries) <= canaryThreshold || q.attemptsSent == 0 {
		return false
	}
	if q.replied >= 1+answersPerCrash*q.crashes.count {
		return false
	}
	steps := math.Floor(float64(now-q.arrivedAt) / float64(canaryStep))
	return q.attemptsSent >= math.Pow(canaryGrowthFactor, steps)
}
