package scheduler

// Canary attempts: among many co-ordinators large queries start with one subquery, and a query under which replicas
// seem to crash goes on only where it has been, until enough answers speak for it; at a second crash it ends. A
// query that crashes each replica that works on it would else take down all holders of its shards. Inputs are
// connections that were reset under an attempt, and answers.

import (
	"math"
	"time"
)

const (
	canaryThreshold    = 12                    // subqueries; a query of more sends one ahead
	canaryStep         = 60 * time.Millisecond // to the next ones; most crashes show within it
	canaryGrowthFactor = 8.0                   // times as many attempts may have been sent after each step
	answersPerCrash    = 2.0                   // answers that outweigh a crash under a query

	// staleConnectionAge is the time within which a reset shows that the connection was lost before the attempt used it.
	staleConnectionAge = 6 * time.Millisecond
)

// crashSuspicion is what speaks for a query crashing the replicas that work on it.
type crashSuspicion struct {
	count   float64       // of replicas that seemed to crash under the present phase
	lastAt  time.Duration // when the last of them did
	replica *replicaState // which one that was
}

// suspectedQueryOfDeath reports whether a query may crash the replicas that work on it.
func (q *query) suspectedQueryOfDeath() bool {
	return q.crashes.count > 0 && q.answered < answersPerCrash*q.crashes.count
}

// recordConnectionReset records that a connection was reset under an attempt that took so long. Several at one replica at
// one time count as one crash.
func (q *query) recordConnectionReset(now time.Duration, replica *replicaState, took time.Duration) {
	counted := q.crashes.lastAt == now && q.crashes.replica == replica
	if took < staleConnectionAge || counted {
		return
	}
	q.crashes.count++
	q.crashes.lastAt = now
	q.crashes.replica = replica
}

// recordAnswer records that a replica has answered an attempt. If it is the one that seemed to crash before the attempt
// was sent, it lives: the connection alone was lost.
func (q *query) recordAnswer(attempt *attempt) {
	if attempt.replica == q.crashes.replica && attempt.sentAt > q.crashes.lastAt {
		q.crashes.count = 0
	}
}

// waitsForCanaries reports whether the next subquery of a large query waits for an answer to those ahead of it, or
// for the next step. Steps are counted from the query's arrival: one subquery may go at once, canaryGrowth after a
// step, and so on. It is only of use among many co-ordinators, where each sees too few crashes to be warned by
// them.
func (q *query) waitsForCanaries(now time.Duration, manyCoordinators bool) bool {
	if !manyCoordinators || len(q.subqueries) <= canaryThreshold || q.attemptsSent == 0 {
		return false
	}
	if q.answered >= 1+answersPerCrash*q.crashes.count {
		return false
	}
	steps := math.Floor(float64(now-q.arrivedAt) / float64(canaryStep))
	return q.attemptsSent >= math.Pow(canaryGrowthFactor, steps)
}
