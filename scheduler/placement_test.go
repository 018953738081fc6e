package scheduler

import (
	"testing"
	"time"
)

// Subqueries are queued for a replica in slow start whose budget is spent. They must not wait there while the other
// holder is free.
func TestSubqueriesLeaveStartingReplicasWithoutBudget(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	m.replicas[105].startedAt = m.now
	m.list(false, false, 105)
	m.replica(102).outstandingWork = 3 * time.Second // the warm one looks worse at first
	for range 6 {
		m.newQuery(0, 1, 3*time.Second)
	}
	m.iterate()
	m.replica(102).outstandingWork = 0
	m.pass(50 * ms)
	for _, query := range m.scheduler.open {
		if len(query.subqueries[0].attempts) == 0 {
			t.Fatalf("a subquery is not sent, held at %p, warm is %p", query.subqueries[0].replica, m.replica(102))
		}
	}
}

// Eight subqueries have the same holders, all equally free. Moves that lower the largest finish alike go to the
// emptiest holder, not all to the first.
func TestSubqueriesSpreadOverAllEqualHolders(t *testing.T) {
	m := newModel(t, 0)
	m.nextShard = 0
	query := m.newEmptyQuery(0, 8, 3*time.Second)
	for range 8 {
		m.newSubquery(query, 0, 0.125)
	}
	m.iterate()
	most, at := 0, map[ReplicaID]int{}
	for _, subquery := range query.subqueries {
		for _, attempt := range subquery.attempts {
			at[attempt.to]++
			most = max(most, at[attempt.to])
		}
	}
	if holders := len(m.holdersOf(0)); most > (8+holders-1)/holders {
		t.Errorf("8 subqueries over %d equal holders: %v", holders, at)
	}
}
