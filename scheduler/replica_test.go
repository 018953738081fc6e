package scheduler

import (
	"slices"
	"testing"
	"time"
)

// Five hundred replicas are added and removed. Their states must be reused rather than accumulate, and a full list must
// not reset the states of the others.
func TestStatesOfRemovedReplicasAreReused(t *testing.T) {
	m := newModel(t, 0)
	m.replica(102).slowdown = 1.5
	for n := range 500 {
		id := ReplicaID(1000 + n)
		m.replicas[id] = &modelReplica{cell: n % 3, startedAt: StartUnknown}
		m.list(n%2 == 0, false, append(slices.Clone(m.order), id)...)
		m.iterate()
		m.newQuery(0, 3, time.Second)
		m.iterate()
		m.answerAllAfter(300 * ms)
		m.replicas[id].state, m.replicas[id].listedAt = Removed, m.now
		m.list(false, false, id)
		delete(m.replicas, id)
		m.iterate()
	}
	states, ids := len(m.scheduler.replicas.all), len(m.scheduler.replicas.byID)
	if states > len(m.order)+30 || ids > states {
		t.Errorf("%d states, %d ids for %d replicas", states, ids, len(m.order))
	}
	if m.replica(102).slowdown == 1 {
		t.Error("the slowdown of a replica that stayed listed was reset")
	}
}
