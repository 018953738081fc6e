package scheduler

import (
	"testing"
	"time"
)

// The sender of a second phase counts fewer subqueries than this co-ordinator saw answered. The phase is what arrived:
// waiting for the rest, the query would get no final outcome.
func TestSecondPhaseIsWhatArrived(t *testing.T) {
	m := newModel(t, 8)
	m.fewerFetched = 1
	query := m.newQuery(0, 2, 3*time.Second)
	m.iterate()
	m.answerAllAfter(50 * ms)
	m.pass(10 * ms)
	m.answerAllAfter(50 * ms)
	if !query.ended || query.phase != 1 || len(query.subqueries) != 1 {
		t.Errorf("ended %v, phase %d of %d subqueries", query.ended, query.phase, len(query.subqueries))
	}
}

// A query arrives and its subqueries never do. It ends before its deadline all the same.
func TestQueryWhoseSubqueriesNeverArriveEnds(t *testing.T) {
	m := newModel(t, 0)
	query := m.newEmptyQuery(0, 3, time.Second)
	m.iterate()
	if m.pass(1100 * ms); !query.ended {
		t.Error("it was never ended")
	}
}

// First tries come with one share of their deadline. A query with less is a client's retry: the time that the first try
// took is gone from its objective.
func TestClientRetriesHaveLostTime(t *testing.T) {
	m := newModel(t, 0)
	for range 6 {
		m.newQuery(0, 1, 2400*ms)
		m.iterate()
		m.answerAllAfter(80 * ms)
	}
	m.newQuery(0, 1, 1200*ms)
	query := m.scheduler.open[len(m.scheduler.open)-1]
	if !query.objectivePassed || !query.overQuota {
		t.Error("a client's retry 1.8 s after its first try has its objective of 1 s still before it")
	}
	m.newQuery(0, 1, 2400*ms)
	query = m.scheduler.open[len(m.scheduler.open)-1]
	if query.objectivePassed || query.objectiveAt != m.now+time.Second {
		t.Errorf("a first try has %v", query.objectiveAt-m.now)
	}
}
