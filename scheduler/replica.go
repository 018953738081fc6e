package scheduler

import (
	"iter"
	"slices"
	"time"
)

// replicaState is all that is known of one replica. Each replica of the endpoint list has one; replicaSet.newState
// takes that of a replica that was removed long ago for a new one.
type replicaState struct {
	index int // place in replicaSet.all

	// As the endpoint list has it.
	id           ReplicaID
	state        EndpointState
	cell         CellNumber // the last of the cells whose shards it holds: see cellLayout
	zone         ZoneIndex
	size         float64       // relative to the other replicas, above 0
	startedAt    time.Duration // of its present incarnation; StartUnknown where no start is known
	lastListedAt time.Duration // when it was last in the list, other than as removed

	// Load.
	outstanding     []*attempt    // attempts in flight, in order of sending
	outstandingWork time.Duration // expected work of the attempts in flight
	queuedWork      time.Duration // expected work of the subqueries queued for it
	peerWork        time.Duration // work that other co-ordinators had in flight there at peerWorkAt
	peerWorkAt      time.Duration
	utilization     float64       // share of its cores in use, from 0 to 1, by its last load report
	utilizationAt   time.Duration // time of that report; 0: none yet

	// Latency estimate.
	slowdown        float64 // times the expected time that its subqueries take
	recentLatency   float64 // mean of latency over expected work, of the last few replies
	baselineLatency float64 // the same over a long time, to tell a rise by

	// Concurrency limit.
	limit         float64       // attempts that may be in flight there
	limitCeiling  float64       // what the limit may grow to: below what the replica rejected attempts at
	limitHalvedAt time.Duration // when the limit was last halved
	fullUntil     time.Duration // until then it counts as full, as it rejected an attempt
	recovering    bool          // reinstated from ejection for all classes: the limit doubles with each reply

	// Retries.
	retryTokens float64       // retries and hedges that it has earned
	lastErrorAt time.Duration // when an attempt last ended there without an answer

	// Outlier ejection.
	classes       []replicaClassState // by class index
	lastReplyAt   time.Duration       // when it last answered, for any class
	nextProbeAt   time.Duration       // when the next probe is due, while it is ejected
	probeInterval time.Duration       // from that probe to the one after it

	slowStartUsedUntil time.Duration // until then this co-ordinator's share of its slow-start budget is used up
}

// replicaClassState is what is known of a replica for one class of queries.
type replicaClassState struct {
	ejected           bool
	consecutiveErrors int           // attempts in a row that ended without an answer
	lastReplyAt       time.Duration // when it last answered; 0: not since it was last sound
}

// forClass is what is known of the replica for the queries of a class.
func (r *replicaState) forClass(of *class) *replicaClassState { return &r.classes[of.index] }

// ejectedForAny reports whether the replica is ejected for one class at least.
func (r *replicaState) ejectedForAny() bool {
	return slices.ContainsFunc(r.classes, func(state replicaClassState) bool { return state.ejected })
}

// ejectedForAll reports whether the replica is ejected for every class.
func (r *replicaState) ejectedForAll() bool {
	return !slices.ContainsFunc(r.classes, func(state replicaClassState) bool { return !state.ejected })
}

// removeOutstanding removes the matching attempts from the replica's load. Those that have not ended yet count as
// overtaken from then on.
func (r *replicaState) removeOutstanding(matches func(*attempt) bool) {
	r.outstanding = slices.DeleteFunc(r.outstanding, func(other *attempt) bool {
		matched := matches(other)
		if matched {
			r.outstandingWork -= other.work
			other.overtaken = max(other.overtaken, overtakenLimit)
		}
		return matched
	})
}

// cellLayout says which shards the replicas of a cell hold. The cells form a ring; a shard is held by the cell of its
// number, modulo cells, and by those after it. So a replica of a cell holds the shards of that cell and of those
// before.
type cellLayout struct {
	cells         int // into which replicas are grouped
	cellsPerShard int // successive cells that hold a shard
}

// cellOf is the first of the cells that hold a shard.
func (l cellLayout) cellOf(shard ShardNumber) CellNumber { return CellNumber(int(shard) % l.cells) }

// holds reports whether the replicas of one cell hold the shards of another.
func (l cellLayout) holds(holder, cell CellNumber) bool {
	behind := (int(holder) - int(cell) + l.cells) % l.cells
	return behind < l.cellsPerShard
}

// heldBy yields the cells whose shards the replicas of a cell hold: that cell first, then those before it.
func (l cellLayout) heldBy(holder CellNumber) iter.Seq[CellNumber] {
	return func(yield func(CellNumber) bool) {
		for back := range l.cellsPerShard {
			if !yield(CellNumber((int(holder) - back + l.cells) % l.cells)) {
				return
			}
		}
	}
}

// replicaSet holds the state of each replica, in the order in which they were first listed.
type replicaSet struct {
	layout cellLayout

	all           []*replicaState
	byID          map[ReplicaID]*replicaState
	holdersByCell [][]*replicaState // the holders of a cell's shards; nil: to be made from the list
}

func newReplicaSet(layout cellLayout) replicaSet {
	return replicaSet{
		layout:        layout,
		byID:          map[ReplicaID]*replicaState{},
		holdersByCell: make([][]*replicaState, layout.cells),
	}
}

// newState gives a state for a replica that is listed for the first time. Its load and its times are zero or
// outdated; the caller sets the others. It is that of a removed replica, if there is one to which nothing can refer
// any more: it has no attempts in flight and was removed before the oldest open query arrived. So a long-lived
// co-ordinator does not hold a state for each replica that was ever listed. One that is off the list for a moment,
// up to maxProbeInterval, keeps its state.
func (s *replicaSet) newState(now, oldestArrival time.Duration) *replicaState {
	for _, replica := range s.all {
		removed := replica.state == Removed && now-replica.lastListedAt > maxProbeInterval
		unused := removed && len(replica.outstanding) == 0
		if unused && oldestArrival > replica.lastListedAt {
			delete(s.byID, replica.id)
			return replica
		}
	}
	replica := &replicaState{index: len(s.all), state: Removed}
	s.all = append(s.all, replica)
	return replica
}

// holders lists the replicas that hold a shard and that the endpoint list has as ready, ejected or not. The result
// holds until listChanged.
func (s *replicaSet) holders(shard ShardNumber) []*replicaState {
	return s.holdersOfCell(s.layout.cellOf(shard))
}

// holdersOfCell is holders for any shard of a cell.
func (s *replicaSet) holdersOfCell(cell CellNumber) []*replicaState {
	if s.holdersByCell[cell] == nil {
		s.holdersByCell[cell] = []*replicaState{}
		for _, replica := range s.all {
			if replica.state == Ready && s.layout.holds(replica.cell, cell) {
				s.holdersByCell[cell] = append(s.holdersByCell[cell], replica)
			}
		}
	}
	return s.holdersByCell[cell]
}

// listChanged says that the state or cell of a replica changes.
func (s *replicaSet) listChanged() { clear(s.holdersByCell) }

// meanSize is the mean size of the replicas that are ready; if there is none, the one before.
func (s *replicaSet) meanSize(before float64) float64 {
	sum, ready := 0.0, 0.0
	for _, replica := range s.all {
		if replica.state == Ready {
			sum += replica.size
			ready++
		}
	}
	if ready == 0 {
		return before
	}
	return sum / ready
}
