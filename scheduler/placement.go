package scheduler

// Placement: to which holder of its shard each subquery is sent. Each new subquery is assigned to its fastest holder;
// then a greedy algorithm moves subqueries of the query off the replica with the largest expected finish, as long as
// that lowers the largest finish. Inputs are expected times (estimate.go), which replicas are in use (outlier.go) and
// the slow-start budget.

import (
	"math"
	"time"
)

// movesPerSubquery bounds the greedy algorithm: moves per subquery of a query.
const movesPerSubquery = 2

// forbiddenCost excludes a replica, as does any cost below 0.
const forbiddenCost time.Duration = -1

// placement chooses replicas. It is stateless.
type placement struct {
	parameters *parameters
	replicas   *replicaSet
	estimates  *latencyEstimator
	hasRoom    func(*replicaState, *subquery) bool // within its slow-start budget
}

// usable reports whether a subquery may get an ordinary attempt, not a probe, at a replica.
func (p *placement) usable(replica *replicaState, subquery *subquery) bool {
	return replica.inUse(subquery.query.class) && p.hasRoom(replica, subquery)
}

// cheapest returns the usable holder of a subquery's shard with the lowest cost, in time; of equal ones the first.
// Holders with a negative cost, such as forbiddenCost, are excluded. It returns nil if there is none.
func (p *placement) cheapest(subquery *subquery, cost func(*replicaState) time.Duration) *replicaState {
	var best *replicaState
	least := time.Duration(math.MaxInt64)
	for _, replica := range p.replicas.holders(subquery.shard) {
		candidate := cost(replica)
		if candidate >= 0 && candidate < least && p.usable(replica, subquery) {
			best = replica
			least = candidate
		}
	}
	return best
}

// fastest returns the holder where a subquery would take the least time if the replica had no other work. A holder that
// already had an attempt of it is chosen only if there is no other. If its query is suspected of crashing replicas, the
// preference is reversed.
func (p *placement) fastest(subquery *subquery) *replicaState {
	return p.cheapest(subquery, func(replica *replicaState) time.Duration {
		if subquery.triedAt(replica) != subquery.query.suspectedQueryOfDeath() {
			return subquery.query.class.deadline
		}
		return scale(subquery.work, p.estimates.timePerWork(replica))
	})
}

// needsReplica reports whether a subquery waits for an attempt and is not queued for a usable replica.
func (p *placement) needsReplica(subquery *subquery) bool {
	if subquery.answered || subquery.abandoned {
		return false
	}
	if !subquery.queued {
		return len(subquery.attempts) == 0
	}
	return subquery.replica == nil || !p.usable(subquery.replica, subquery)
}

// place queues the subqueries of a query that need a replica, and returns them.
func (p *placement) place(now time.Duration, query *query) (placed []*subquery) {
	for _, subquery := range query.subqueries {
		if p.needsReplica(subquery) {
			subquery.queueFor(p.fastest(subquery))
			placed = append(placed, subquery)
		}
	}
	p.rebalance(now, placed)
	return placed
}

// rebalance moves subqueries off the replica with the largest expected finish, each to where it lowers the largest
// finish most. A replica from which no move helps is settled, and the next is tried.
func (p *placement) rebalance(now time.Duration, placed []*subquery) {
	settled := map[*replicaState]bool{nil: true}
	for range movesPerSubquery * len(placed) {
		slowest := p.slowest(now, placed, settled)
		if slowest == nil {
			return
		}
		moved, to := p.bestMove(now, placed, slowest)
		if moved == nil {
			settled[slowest] = true
			continue
		}
		moved.queueFor(to)
	}
}

// slowest returns the replica with the largest expected finish among those of the subqueries that are not settled, or
// nil if all are settled.
func (p *placement) slowest(now time.Duration, placed []*subquery, settled map[*replicaState]bool) *replicaState {
	var slowest *replicaState
	most := time.Duration(-1)
	for _, subquery := range placed {
		if settled[subquery.replica] {
			continue
		}
		if finish := p.estimates.expectedFinish(now, subquery.replica, 0); finish > most {
			slowest = subquery.replica
			most = finish
		}
	}
	return slowest
}

// bestMove returns the move of a subquery off a replica that most lowers the larger finish of the two replicas, by at
// least a millisecond. Of equal moves it prefers the one to the replica that finishes first. It returns nil if there is
// none.
func (p *placement) bestMove(
	now time.Duration, placed []*subquery, from *replicaState,
) (moved *subquery, to *replicaState) {
	least := p.estimates.expectedFinish(now, from, 0) - time.Millisecond
	earliest := time.Duration(0)
	var last *subquery
	for _, subquery := range placed {
		if subquery.replica != from || subquery.query.suspectedQueryOfDeath() {
			continue
		}
		if last != nil && subquery.interchangeable(last, p.parameters.layout) {
			continue
		}
		last = subquery
		sourceFinish := p.estimates.expectedFinish(now, from, -subquery.work)
		for _, replica := range p.replicas.holders(subquery.shard) {
			if replica == from {
				continue
			}
			targetFinish := p.estimates.expectedFinish(now, replica, subquery.work)
			larger := max(sourceFinish, targetFinish)
			better := larger < least || larger == least && moved != nil && targetFinish < earliest
			if better && p.usable(replica, subquery) && !subquery.triedAt(replica) {
				moved, to = subquery, replica
				least = larger
				earliest = targetFinish
			}
		}
	}
	return moved, to
}
