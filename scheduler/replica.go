package scheduler

import (
	"iter"
	"slices"
	"time"
)

// replicaState is the state of one replica of the endpoint list. replicaSet.newState reuses the state of a replica that
// was removed long ago.
type replicaState struct {
	index int // index in replicaSet.all

	// From the endpoint list.
	id           ReplicaID
	state        EndpointState
	cell         CellNumber // the last of the cells whose shards it holds; see cellLayout
	zone         ZoneIndex
	size         float64       // relative to the other replicas, above 0
	startedAt    time.Duration // of its current incarnation; StartUnknown if unknown
	lastListedAt time.Duration // when it was last listed as ready or draining

	// Load.
	outstanding     []*attempt    // attempts in flight, in the order in which they were sent
	outstandingWork time.Duration // expected work of the attempts in flight
	queuedWork      time.Duration // expected work of the subqueries queued for it
	peerWork        time.Duration // work of other co-ordinators in flight there at peerWorkAt
	peerWorkAt      time.Duration
	utilization     float64       // share of its cores in use, from 0 to 1, in its last load report
	utilizationAt   time.Duration // time of that report; 0: none received

	// Latency estimate.
	slowdown        float64 // its latency as a multiple of the expected latency
	recentLatency   float64 // mean of latency over expected work, for the last few replies
	baselineLatency float64 // the same over a long time, to detect an increase

	// Concurrency limit.
	limit         float64       // attempts that may be in flight there
	limitCeiling  float64       // bounds the limit's growth: below the load at which the replica rejected attempts
	limitHalvedAt time.Duration // when the limit was last halved
	fullUntil     time.Duration // it counts as full until then, after it rejected an attempt
	recovering    bool          // reinstated after ejection for all classes: the limit doubles with each reply

	// Retries.
	retryTokens float64       // retries and hedges that its replies have earned
	lastErrorAt time.Duration // when an attempt last ended there without an answer

	// Outlier ejection.
	classes       []replicaClassState // by class index
	lastReplyAt   time.Duration       // when it last answered, for any class
	nextProbeAt   time.Duration       // when the next probe is due, while it is ejected
	probeInterval time.Duration       // from the next probe to the one after it

	slowStartUsedUntil time.Duration // time until which this co-ordinator's share of its slow-start budget is used up
}

// replicaClassState is the state of a replica for one query class.
type replicaClassState struct {
	ejected           bool
	consecutiveErrors int           // consecutive attempts without an answer
	lastReplyAt       time.Duration // when it last answered; 0: not since its state was last reset
}

// forClass returns the state of the replica for a class.
func (r *replicaState) forClass(class *class) *replicaClassState { return &r.classes[class.index] }

// ejectedForAny reports whether the replica is ejected for at least one class.
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

// cellLayout maps shards to cells. The cells form a ring: a shard is held by the cell of its number, modulo cells, and
// by the cells that follow. So a replica holds the shards of its own cell and of the cells before it.
type cellLayout struct {
	cells         int // number of cells
	cellsPerShard int // consecutive cells that hold a shard
}

// cellOf returns the first of the cells that hold a shard.
func (l cellLayout) cellOf(shard ShardNumber) CellNumber { return CellNumber(int(shard) % l.cells) }

// holds reports whether the replicas of cell holder hold the shards of cell.
func (l cellLayout) holds(holder, cell CellNumber) bool {
	distance := (int(holder) - int(cell) + l.cells) % l.cells
	return distance < l.cellsPerShard
}

// heldBy yields the cells whose shards the replicas of cell holder hold: holder first, then the cells before it.
func (l cellLayout) heldBy(holder CellNumber) iter.Seq[CellNumber] {
	return func(yield func(CellNumber) bool) {
		for distance := range l.cellsPerShard {
			if !yield(CellNumber((int(holder) - distance + l.cells) % l.cells)) {
				return
			}
		}
	}
}

// replicaSet holds the states of all replicas, in the order in which they were first listed.
type replicaSet struct {
	layout cellLayout

	all           []*replicaState
	byID          map[ReplicaID]*replicaState
	holdersByCell [][]*replicaState // cached holders of each cell's shards; nil: not computed
}

func newReplicaSet(layout cellLayout) replicaSet {
	return replicaSet{
		layout:        layout,
		byID:          map[ReplicaID]*replicaState{},
		holdersByCell: make([][]*replicaState, layout.cells),
	}
}

// newState returns a state for a replica that is listed for the first time. Its load and times are zero or outdated;
// the caller sets the other fields. To bound memory in a long-lived co-ordinator, it reuses the state of a removed
// replica if nothing can refer to that any more: it has no attempts in flight and was removed before the oldest open
// query arrived. A replica that is off the list for no more than maxProbeInterval keeps its state.
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

// holders returns the replicas that hold a shard and are listed as ready, ejected or not. The result is valid until
// listChanged.
func (s *replicaSet) holders(shard ShardNumber) []*replicaState {
	return s.holdersOfCell(s.layout.cellOf(shard))
}

// holdersOfCell returns the holders of any shard of a cell.
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

// listChanged must be called when the state or cell of a replica changes.
func (s *replicaSet) listChanged() { clear(s.holdersByCell) }

// meanSize returns the mean size of the ready replicas, or previous if there is none.
func (s *replicaSet) meanSize(previous float64) float64 {
	sum, ready := 0.0, 0.0
	for _, replica := range s.all {
		if replica.state == Ready {
			sum += replica.size
			ready++
		}
	}
	if ready == 0 {
		return previous
	}
	return sum / ready
}
