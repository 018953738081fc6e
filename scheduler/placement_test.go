package scheduler

import (
	"testing"
	"time"
)

// Subqueries are queued for a replica in slow start whose budget is used up. They must not wait there while the other
// holder is free.
func TestSubqueriesLeaveStartingReplicasWithoutBudget(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	m.replicas[105].startedAt = m.now
	m.list(false, false, 105)
	m.replica(102).outstandingWork = 3 * time.Second // the warm replica looks slower at first
	for range 6 {
		m.newQuery(0, 1, 3*time.Second)
	}
	m.iterate()
	m.replica(102).outstandingWork = 0
	m.advance(50 * ms)
	for _, query := range m.scheduler.open {
		if len(query.subqueries[0].attempts) == 0 {
			t.Fatalf("a subquery was not sent; queued for %p, warm replica is %p",
				query.subqueries[0].replica, m.replica(102))
		}
	}
}

// Eight subqueries have the same, equally idle holders. Among moves that lower the largest finish equally, each must go
// to the least loaded holder, not always to the first.
func TestSubqueriesSpreadOverAllEqualHolders(t *testing.T) {
	m := newModel(t, 0)
	m.nextShard = 0
	query := m.newEmptyQuery(0, 8, 3*time.Second)
	for range 8 {
		m.newSubquery(query, 0, 0.125)
	}
	m.iterate()
	most, attemptsByReplica := 0, map[ReplicaID]int{}
	for _, subquery := range query.subqueries {
		for _, attempt := range subquery.attempts {
			attemptsByReplica[attempt.to]++
			most = max(most, attemptsByReplica[attempt.to])
		}
	}
	if holders := len(m.holdersOf(0)); most > (8+holders-1)/holders {
		t.Errorf("8 subqueries over %d equal holders: %v", holders, attemptsByReplica)
	}
}
