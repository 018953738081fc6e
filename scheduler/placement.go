package scheduler

// Placement: which holder of its shard each subquery goes to. Each new one takes its fastest holder; then a greedy
// moves subqueries of the query off the replica with the largest expected finish, while that lowers the largest
// finish. Inputs are expected times (estimate.go), which replicas are in use (outlier.go) and what slow start allows.

import (
	"math"
	"time"
)

// movesPerSubquery bounds the greedy: moves for each subquery of a query.
const movesPerSubquery = 2

// forbiddenCost is a cost that forbids a replica, as any below 0 does.
const forbiddenCost time.Duration = -1

// placement chooses replicas. It has no state of its own.
type placement struct {
	parameters *parameters
	replicas   *replicaSet
	estimates  *latencyEstimator
	hasRoom    func(*replicaState, *subquery) bool // within its slow-start budget
}

// usable reports whether a subquery may get an ordinary attempt at a replica.
func (p *placement) usable(replica *replicaState, subquery *subquery) bool {
	return replica.inUse(subquery.query.class) && p.hasRoom(replica, subquery)
}

// cheapest is the usable holder of a subquery's shard with the least cost, in time; the first of several. One of
// forbiddenCost is out of the question. nil: there is none.
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

// fastest is the holder where a subquery would take the least time if nothing else were to be done. One where it had
// an attempt already is taken only if there is no other; if its query is suspected of crashing replicas, it is the
// other way round.
func (p *placement) fastest(subquery *subquery) *replicaState {
	return p.cheapest(subquery, func(replica *replicaState) time.Duration {
		if subquery.triedAt(replica) != subquery.query.suspectedQueryOfDeath() {
			return subquery.query.class.deadline
		}
		return scale(subquery.work, p.estimates.timePerWork(replica))
	})
}

// needsReplica reports whether a subquery waits for an attempt and is queued for no replica that it can go to.
func (p *placement) needsReplica(subquery *subquery) bool {
	if subquery.answered || subquery.abandoned {
		return false
	}
	if !subquery.queued {
		return len(subquery.attempts) == 0
	}
	return subquery.replica == nil || !p.usable(subquery.replica, subquery)
}

// place queues those subqueries of a query that need a replica, and lists them.
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

// rebalance moves subqueries off the replica with the largest expected finish, each to where it lowers that most. A
// replica off which nothing can be moved is settled; then the next is looked at.
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

// slowest is the replica of the subqueries, settled ones aside, with the largest expected finish; nil: all are
// settled.
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

// bestMove is the move of a subquery off a replica that most lowers the larger finish of the two replicas, by at
// least a millisecond; of equal ones, the one to the replica that is done first. nil: there is none.
func (p *placement) bestMove(
	now time.Duration, placed []*subquery, from *replicaState,
) (moved *subquery, to *replicaState) {
	least := p.estimates.expectedFinish(now, from, 0) - time.Millisecond
	soonest := time.Duration(0)
	var last *subquery
	for _, subquery := range placed {
		if subquery.replica != from || subquery.query.suspectedQueryOfDeath() {
			continue
		}
		if last != nil && subquery.interchangeable(last, p.parameters.layout) {
			continue
		}
		last = subquery
		remaining := p.estimates.expectedFinish(now, from, -subquery.work)
		for _, replica := range p.replicas.holders(subquery.shard) {
			if replica == from {
				continue
			}
			there := p.estimates.expectedFinish(now, replica, subquery.work)
			larger := max(remaining, there)
			better := larger < least || larger == least && moved != nil && there < soonest
			if better && p.usable(replica, subquery) && !subquery.triedAt(replica) {
				moved, to = subquery, replica
				least = larger
				soonest = there
			}
		}
	}
	return moved, to
}
