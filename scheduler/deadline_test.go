package scheduler

import (
	"testing"
	"time"
)

// The sender of a second phase counts fewer subqueries than this co-ordinator saw answered. The phase is what
// arrived: waiting for the rest, the query would get no final outcome.
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

// First tries come with one share of their deadline. A query with less is a client's retry: the time that the first
// try took is gone from its objective.
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

// A client's retry is told by a smaller share of its deadline than most of late came with, where none came with that.
func TestClientRetryDetector(t *testing.T) {
	for _, test := range []struct {
		name   string
		before []float64
		share  float64
		want   bool
	}{
		{"first of all", nil, 0.5, false},
		{"one came with more", []float64{0.8}, 0.5, false},
		{"several came with more", []float64{0.8, 0.8}, 0.5, true},
		{"several with a little more", []float64{0.505, 0.505}, 0.5, false},
		{"several with less", []float64{0.3, 0.3}, 0.5, false},
		{"one came with as much", []float64{0.8, 0.8, 0.5}, 0.5, false},
		{"each with a share of its own", []float64{0.9, 0.8, 0.7}, 0.5, false},
	} {
		detector := clientRetryDetector{shares: test.before}
		if got := detector.isRetry(test.share); got != test.want {
			t.Errorf("%s: a retry %v", test.name, got)
		}
	}
	detector := clientRetryDetector{}
	for range 10 * keptShares {
		detector.isRetry(1)
	}
	if len(detector.shares) != keptShares {
		t.Errorf("%d shares kept", len(detector.shares))
	}
}

// A query is answered when enough of its weight is, given up shortly before its deadline, and ended at a second
// crash.
func TestOutcome(t *testing.T) {
	const deadline = time.Second
	class := &class{completeWeight: 0.8, minimumWeight: 0.5}
	inUse := &replicaState{classes: make([]replicaClassState, 1)}
	crashed := &replicaState{state: Removed, classes: make([]replicaClassState, 1)}
	one := []*subquery{{}}
	for _, test := range []struct {
		name  string
		query query
		now   time.Duration
		want  outcome
	}{
		{"nothing answered", query{subqueries: one}, 0, goesOn},
		{"enough for an answer, time left", query{subqueries: one, answeredWeight: 0.7}, 0, goesOn},
		{"complete", query{subqueries: one, answeredWeight: 0.8}, 0, answersNow},
		{"deadline", query{subqueries: one, answeredWeight: 0.7}, deadline - answerMargin, givesUpNow},
		{"subqueries to come", query{expectedSubqueries: 2, subqueries: one, answeredWeight: 1}, 0, goesOn},
		{"subqueries that never came", query{expectedSubqueries: 2, subqueries: one}, deadline, givesUpNow},
		{"ended", query{ended: true, subqueries: one}, deadline, goesOn},
		{"one crash", query{subqueries: one, crashes: crashSuspicion{count: 1, replica: inUse}}, 0, goesOn},
		{"two crashes", query{subqueries: one, crashes: crashSuspicion{count: 2, replica: inUse}}, 0, givesUpNow},
		{"its replica is gone", query{subqueries: one, crashes: crashSuspicion{count: 1, replica: crashed}}, 0, givesUpNow},
		{"second phase needs all", query{phase: 1, subqueries: one, answeredWeight: 0.8}, 0, goesOn},
	} {
		test.query.class = class
		test.query.deadlineAt = deadline
		if got := test.query.outcome(test.now); got != test.want {
			t.Errorf("%s: outcome %v, want %v", test.name, got, test.want)
		}
	}
}
