package scheduler

import (
	"testing"
	"time"
)

// The caller sends fewer subqueries of a second phase than were answered in the first. The phase consists of the
// subqueries that arrive; waiting for more would leave the query without a final outcome.
func TestSecondPhaseConsistsOfArrivedSubqueries(t *testing.T) {
	m := newModel(t, 8)
	m.fewerFetched = 1
	query := m.newQuery(0, 2, 3*time.Second)
	m.iterate()
	m.answerAllAfter(50 * ms)
	m.advance(10 * ms)
	m.answerAllAfter(50 * ms)
	if !query.ended || query.phase != 1 || len(query.subqueries) != 1 {
		t.Errorf("ended %v, phase %d of %d subqueries", query.ended, query.phase, len(query.subqueries))
	}
}

// A query whose subqueries never arrive still ends before its deadline.
func TestQueryWhoseSubqueriesNeverArriveEnds(t *testing.T) {
	m := newModel(t, 0)
	query := m.newEmptyQuery(0, 3, time.Second)
	m.iterate()
	if m.advance(1100 * ms); !query.ended {
		t.Error("the query did not end before its deadline")
	}
}

// First tries arrive with the same share of their deadline left. A query with less is a client's retry, whose objective
// is reduced by the time that the first try used.
func TestClientRetryObjectiveCountsFromFirstTry(t *testing.T) {
	m := newModel(t, 0)
	for range 6 {
		m.newQuery(0, 1, 2400*ms)
		m.iterate()
		m.answerAllAfter(80 * ms)
	}
	m.newQuery(0, 1, 1200*ms)
	query := m.scheduler.open[len(m.scheduler.open)-1]
	if !query.objectivePassed || !query.overQuota {
		t.Error("a client's retry 1.8 s after its first try still has an objective of 1 s ahead of it")
	}
	m.newQuery(0, 1, 2400*ms)
	query = m.scheduler.open[len(m.scheduler.open)-1]
	if query.objectivePassed || query.objectiveAt != m.now+time.Second {
		t.Errorf("objective of a first try is in %v, want 1 s", query.objectiveAt-m.now)
	}
}

// A query is a client's retry if it has a smaller share of its deadline left than most recent queries, and no recent
// query had the same share.
func TestClientRetryDetector(t *testing.T) {
	for _, test := range []struct {
		name   string
		before []float64
		share  float64
		want   bool
	}{
		{"no earlier query", nil, 0.5, false},
		{"one with more", []float64{0.8}, 0.5, false},
		{"several with more", []float64{0.8, 0.8}, 0.5, true},
		{"several with slightly more", []float64{0.505, 0.505}, 0.5, false},
		{"several with less", []float64{0.3, 0.3}, 0.5, false},
		{"one with the same", []float64{0.8, 0.8, 0.5}, 0.5, false},
		{"all different", []float64{0.9, 0.8, 0.7}, 0.5, false},
	} {
		detector := clientRetryDetector{shares: test.before}
		if got := detector.isRetry(test.share); got != test.want {
			t.Errorf("%s: got isRetry %v", test.name, got)
		}
	}
	detector := clientRetryDetector{}
	for range 10 * maxShares {
		detector.isRetry(1)
	}
	if len(detector.shares) != maxShares {
		t.Errorf("%d shares kept", len(detector.shares))
	}
}

// A query is answered when enough weight is answered, given up shortly before its deadline, and ended after a second
// crash.
func TestNextAction(t *testing.T) {
	const deadline = time.Second
	class := &class{completeWeight: 0.8, minimumWeight: 0.5}
	inUse := &replicaState{classes: make([]replicaClassState, 1)}
	crashed := &replicaState{state: Removed, classes: make([]replicaClassState, 1)}
	one := []*subquery{{}}
	for _, test := range []struct {
		name  string
		query query
		now   time.Duration
		want  queryAction
	}{
		{"nothing answered", query{subqueries: one}, 0, continueQuery},
		{"minimum weight, time left", query{subqueries: one, answeredWeight: 0.7}, 0, continueQuery},
		{"complete", query{subqueries: one, answeredWeight: 0.8}, 0, answerQuery},
		{"deadline", query{subqueries: one, answeredWeight: 0.7}, deadline - answerMargin, giveUpQuery},
		{"subqueries still to arrive", query{expectedSubqueries: 2, subqueries: one, answeredWeight: 1}, 0, continueQuery},
		{"subqueries that never arrive", query{expectedSubqueries: 2, subqueries: one}, deadline, giveUpQuery},
		{"ended", query{ended: true, subqueries: one}, deadline, continueQuery},
		{"one crash", query{subqueries: one, crashes: crashSuspicion{count: 1, replica: inUse}}, 0, continueQuery},
		{"two crashes", query{subqueries: one, crashes: crashSuspicion{count: 2, replica: inUse}}, 0, giveUpQuery},
		{"replica removed", query{subqueries: one, crashes: crashSuspicion{count: 1, replica: crashed}}, 0, giveUpQuery},
		{"second phase needs full weight", query{phase: 1, subqueries: one, answeredWeight: 0.8}, 0, continueQuery},
	} {
		test.query.class = class
		test.query.deadlineAt = deadline
		if got := test.query.nextAction(test.now); got != test.want {
			t.Errorf("%s: action %v, want %v", test.name, got, test.want)
		}
	}
}

// A query that has to be answered before its client's deadline, as the process shuts down, is no client's retry for that: it is
// admitted like those before it, and ends by the earlier time.
func TestQueryToBeAnsweredEarlyIsNoClientRetry(t *testing.T) {
	m := newModel(t, 0)
	for range 4 {
		m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.answerAllAfter(20 * ms)
	}
	m.lastID++
	id := m.lastID
	m.scheduler.QueryArrives(m.now, QueryArrival{
		ID: id, Number: QueryNumber(id), TimeLeft: 3 * time.Second, AnswerIn: 300 * ms, Subqueries: 1,
	})
	arrived := m.scheduler.queriesByID[id]
	if arrived.overQuota || arrived.objectivePassed || arrived.deadlineAt != m.now+300*ms {
		t.Errorf("over quota %t, objective passed %t, deadline in %v",
			arrived.overQuota, arrived.objectivePassed, arrived.deadlineAt-m.now)
	}
}
