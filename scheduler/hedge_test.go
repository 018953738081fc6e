package scheduler

import (
	"math"
	"testing"
	"time"
)

// An attempt is presumed lost once its replica has answered several later ones. It is hedged at once, even if its query
// has much time left.
func TestOvertakenAttemptIsHedged(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	m.replica(102).slowdown = 3
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	for range 12 {
		m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.advance(40 * ms)
		for _, flight := range m.inFlight() {
			if flight.subquery.query != query {
				m.answer(flight)
			}
		}
		m.iterate()
	}
	if attempts := query.subqueries[0].attempts; len(attempts) != 2 {
		t.Errorf("%d attempts after %v", len(attempts), m.now-attempts[0].sentAt)
	}
}

// All subqueries of a heavy query take long, so hedging them would double the work to no use. Once three of four are
// answered, the last one is a straggler and is hedged.
func TestHeavyQueriesAreNotHedgedButStragglersAre(t *testing.T) {
	m := newModel(t, 0)
	for range 8 {
		m.newQuery(0, 2, 3*time.Second)
		m.iterate()
		m.answerAllAfter(60 * ms)
	}
	heavy := m.newQuery(0, 4, 3*time.Second)
	m.iterate()
	sent := len(m.sent)
	if m.advance(900 * ms); len(m.sent) > sent {
		t.Fatalf("%d hedges of a query that has no answer yet", len(m.sent)-sent)
	}
	for _, subquery := range heavy.subqueries[:3] {
		m.endAttempt(subquery, 0, Succeeded)
	}
	m.iterate()
	straggler := m.newQuery(0, 4, 3*time.Second)
	m.iterate()
	m.advance(60 * ms)
	for _, subquery := range straggler.subqueries[:3] {
		m.endAttempt(subquery, 0, Succeeded)
	}
	m.iterate()
	if m.advance(900 * ms); len(straggler.subqueries[3].attempts) < 2 {
		t.Error("no hedge of a straggler")
	}
}

// An attempt is lost while no hedge tokens are left. It is hedged nevertheless if its subquery is the only one missing,
// as otherwise the work of all the others would be wasted.
func TestOnlyMissingSubqueryIsHedgedWithoutTokens(t *testing.T) {
	for missing, want := range map[int]int{1: 2, 2: 1} {
		m := newModel(t, 0)
		m.scheduler.hedges.tokens = 0
		query := m.newQuery(0, 8, 3*time.Second)
		m.iterate()
		m.advance(50 * ms)
		for _, subquery := range query.subqueries[missing:] {
			m.endAttempt(subquery, 0, Succeeded)
		}
		m.scheduler.hedges.tokens = 0
		m.iterate()
		if m.advance(800 * ms); len(query.subqueries[0].attempts) != want {
			t.Errorf("%d attempts with %d subqueries missing, want %d",
				len(query.subqueries[0].attempts), missing, want)
		}
	}
}

// A hedge lengthens the queue of its replica. While replicas report that they are busy none is sent, however many
// tokens there are.
func TestNoHedgesWhileReplicasReportThatTheyAreBusy(t *testing.T) {
	for _, busy := range []float64{0.3, 0.95} {
		m := newModel(t, 0)
		for range 100 {
			m.scheduler.LoadReported(m.now, 0, busy)
		}
		if hedges := m.hedgesOfThree(); (hedges > 0) != (busy < 0.5) {
			t.Errorf("%d hedges of stragglers at a utilization of %v", hedges, busy)
		}
	}
}

// hedgesOfThree leaves the last three of a query's ten subqueries in flight for 0.8 s and returns the number of their
// hedges.
func (m *model) hedgesOfThree() (hedges int) {
	query := m.newQuery(0, 10, 3*time.Second)
	m.iterate()
	m.advance(80 * ms)
	for _, subquery := range query.subqueries[:7] {
		m.endAttempt(subquery, 0, Succeeded)
	}
	m.iterate()
	for range 80 {
		m.advance(10 * ms)
	}
	for _, subquery := range query.subqueries[7:] {
		hedges += len(subquery.attempts) - 1
	}
	return hedges
}

// Replicas that were busy stop reporting their load, as all of them hang or their reports are switched off. They must
// not count as busy forever.
func TestLoadReportsExpire(t *testing.T) {
	m := newModel(t, 0)
	for range 100 {
		m.scheduler.LoadReported(m.now, 0, 0.95)
	}
	m.advance(loadReportsTimeout + 10*ms)
	if m.hedgesOfThree() == 0 {
		t.Error("no hedge of a straggler, long after the last report")
	}
}

// A replica's headroom for hedges follows from its own load report while that is recent, otherwise from the mean of
// all.
func TestHedgeHeadroom(t *testing.T) {
	const now = time.Minute
	for _, test := range []struct {
		name       string
		mean       float64
		own        float64
		reportedAt time.Duration
		want       float64
	}{
		{"no report", 0, 0, 0, 1},
		{"all idle", idleUtilization, 0, 0, 1},
		{"all busy", busyUtilization, 0, 0, 0},
		{"all more than busy", 1, 0, 0, 0},
		{"half way", (idleUtilization + busyUtilization) / 2, 0, 0, 0.5},
		{"busy itself", 0, 1, now - loadReportMaxAge + 1, 0},
		{"was busy itself", 0, 1, now - loadReportMaxAge, 1},
		{"idle itself", 1, 0, now - 1, 1},
	} {
		hedges := hedgePolicy{parameters: &parameters{}, meanUtilization: test.mean}
		replica := &replicaState{utilization: test.own, utilizationAt: test.reportedAt}
		if got := hedges.headroom(now, replica); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: headroom %v, want %v", test.name, got, test.want)
		}
	}
}

// An attempt is a straggler after several times its expected time: never while most of the others are unanswered,
// earlier in larger queries, and earliest if it is among the last.
func TestStragglerAge(t *testing.T) {
	const expected = 100 * ms
	for _, test := range []struct {
		name       string
		subqueries int
		answered   float64
		lateness   float64 // mean of the answered subqueries
		want       time.Duration
	}{
		{"most unanswered", 12, 8, 1, math.MaxInt64},
		{"most answered", 12, 9, 1, 600 * ms},
		{"the others were late as well", 12, 9, 2, 600 * ms * 19 / 10},
		{"twice as many", 24, 20, 1, 300 * ms},
		{"very many", 120, 100, 1, 250 * ms},
		{"the last one", 12, 11, 1, 150 * ms},
	} {
		query := &query{
			subqueries:  make([]*subquery, test.subqueries),
			replied:     test.answered,
			latenessSum: test.answered * test.lateness,
		}
		straggler := &attempt{
			subquery: &subquery{query: query},
			replica:  &replicaState{slowdown: 1},
			expected: expected,
		}
		if got := straggler.stragglerAge(stragglerFactor); (got - test.want).Abs() > ms {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// A query whose objective is its deadline is given up answerMargin before that. A hedge that starts later than its expected
// time before then is sent for a query that has ended when its answer comes; it starts earlier or not at all.
func TestHedgeCanBeAnsweredBeforeItsQueryIsGivenUp(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	for range 200 {
		m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.answerAllAfter(8 * ms)
	}
	query := m.newQuery(0, 1, 420*ms)
	m.iterate()
	m.advance(420 * ms)
	attempts := query.subqueries[0].attempts
	if len(attempts) != 2 {
		t.Fatalf("%d attempts of a straggler, want 2", len(attempts))
	}
	expected := m.scheduler.classes[0].subqueryWork
	if left := query.deadlineAt - answerMargin - attempts[1].sentAt; left < expected {
		t.Errorf("at %v the hedge starts %v before its query is given up, and takes %v", attempts[1].sentAt-query.deadlineAt, left, expected)
	}
}
