package scheduler

import (
	"testing"
	"time"
)

// After a connection reset a query is suspected of crashing the replicas that run it. Until enough answers clear it,
// its subqueries are retried only at replicas that they were sent to before. If such a replica did crash, it is
// unreachable and the query ends.
func TestSuspectedQueryIsRetriedOnlyWhereItWasSent(t *testing.T) {
	for answers := range 3 {
		for _, outcome := range []Outcome{Succeeded, Unreachable, ConnectionReset} {
			m := newModel(t, 0)
			query := m.newQuery(0, 4, 3*time.Second)
			m.iterate()
			m.advance(50 * ms)
			for _, subquery := range query.subqueries[1 : 1+answers] {
				m.endAttempt(subquery, 0, Succeeded)
			}
			failed := query.subqueries[0]
			m.endAttempt(failed, 0, ConnectionReset)
			m.iterate()
			m.advance(250 * ms)
			if len(failed.attempts) != 2 || answers < 2 && failed.attempts[1].to != failed.attempts[0].to {
				t.Fatalf("%d answers: attempts %v", answers, failed.attempts)
			}
			m.endAttempt(failed, 1, outcome)
			m.iterate()
			if continues := outcome == Succeeded || answers == 2 && outcome == Unreachable; query.ended == continues {
				t.Errorf("%d answers, then %v: ended %v", answers, outcome, query.ended)
			}
		}
	}
}

// Sending all subqueries of a query of death at once would crash half of the fleet. With many co-ordinators one
// subquery is sent first; the others follow its answer, and none is sent after a crash.
func TestLargeQueriesStartWithACanary(t *testing.T) {
	m := newModel(t, 0)
	m.restartAsOneOf(40, 0)
	m.newQuery(0, 20, 3*time.Second)
	m.iterate()
	m.advance(30 * ms)
	if len(m.sent) != 1 {
		t.Fatalf("%d subqueries sent at once", len(m.sent))
	}
	m.endAttempt(m.inFlight()[0].subquery, 0, Succeeded)
	m.iterate()
	if len(m.sent) != 20 {
		t.Fatalf("%d subqueries sent after the first answer", len(m.sent))
	}
	m.answerAllAfter(60 * ms)
	query := m.newQuery(0, 20, 3*time.Second)
	m.iterate()
	m.advance(20 * ms)
	m.endAttempt(query.subqueries[0], 0, ConnectionReset)
	m.iterate()
	m.advance(250 * ms)
	if len(m.sent) != 22 || len(query.subqueries[0].attempts) != 2 {
		t.Fatalf("%d subqueries of a query of death sent", len(m.sent)-20)
	}
	m.endAttempt(query.subqueries[0], 1, Unreachable)
	m.iterate()
	attempts := 0
	for _, subquery := range query.subqueries {
		attempts += len(subquery.attempts)
	}
	if !query.ended || attempts != 2 {
		t.Errorf("ended %v after %d attempts of a query of death", query.ended, attempts)
	}
}

// While replicas are busy, answers take long. The subqueries that wait for the canaries are then sent in two steps, so
// the delay is only a small share of the objective.
func TestCanariesDelayALargeQueryByTwoSteps(t *testing.T) {
	m := newModel(t, 0)
	m.restartAsOneOf(40, 0)
	m.newQuery(0, 20, 3*time.Second)
	m.iterate()
	m.advance(50 * ms)
	if len(m.sent) != 1 {
		t.Fatalf("%d subqueries sent at once", len(m.sent))
	}
	m.advance(30 * ms)
	if len(m.sent) != 8 {
		t.Errorf("%d subqueries sent after a step", len(m.sent))
	}
	if m.advance(60 * ms); len(m.sent) != 20 {
		t.Errorf("%d subqueries of 20 sent after two steps", len(m.sent))
	}
}

// A large query waits while it has sent as many attempts as its steps allow, until it has an answer, or more than one
// after a crash.
func TestWaitsForCanaries(t *testing.T) {
	for _, test := range []struct {
		name       string
		subqueries int
		query      query
		age        time.Duration
		many       bool
		want       bool
	}{
		{"small", canaryThreshold, query{attemptsSent: 1}, 0, true, false},
		{"large, nothing sent", 2 * canaryThreshold, query{}, 0, true, false},
		{"large, one sent", 2 * canaryThreshold, query{attemptsSent: 1}, 0, true, true},
		{"few co-ordinators", 2 * canaryThreshold, query{attemptsSent: 1}, 0, false, false},
		{"one answered", 2 * canaryThreshold, query{attemptsSent: 1, replied: 1}, 0, true, false},
		{"one answered after a crash", 2 * canaryThreshold,
			query{attemptsSent: 2, replied: 1, crashes: crashSuspicion{count: 1}}, 0, true, true},
		{"second step", 2 * canaryThreshold, query{attemptsSent: 7}, canaryStep, true, false},
		{"second step, all sent", 2 * canaryThreshold, query{attemptsSent: 8}, canaryStep, true, true},
	} {
		test.query.subqueries = make([]*subquery, test.subqueries)
		if got := test.query.waitsForCanaries(test.age, test.many); got != test.want {
			t.Errorf("%s: waits %v", test.name, got)
		}
	}
}

// Resets at the same replica at the same time count as one crash, and a reset right after the start of an attempt as
// none. An answer to a later attempt shows that the replica is running.
func TestSuspectedCrashes(t *testing.T) {
	crashed, other := &replicaState{}, &replicaState{}
	query := &query{}
	query.recordConnectionReset(time.Second, crashed, staleConnectionAge-1)
	if query.suspectedQueryOfDeath() {
		t.Error("a stale connection counts as a crash")
	}
	query.recordConnectionReset(time.Second, crashed, time.Second)
	query.recordConnectionReset(time.Second, crashed, time.Second)
	if query.crashes.count != 1 || !query.suspectedQueryOfDeath() {
		t.Errorf("%v crashes after two resets at once", query.crashes.count)
	}
	query.recordAnswer(&attempt{replica: other, sentAt: 2 * time.Second})
	query.recordAnswer(&attempt{replica: crashed, sentAt: time.Second})
	if query.crashes.count != 1 {
		t.Error("suspicion cleared by another replica's answer, or by the answer to an earlier attempt")
	}
	query.recordAnswer(&attempt{replica: crashed, sentAt: 2 * time.Second})
	if query.suspectedQueryOfDeath() {
		t.Error("still suspected though the replica answered")
	}
	query.recordConnectionReset(3*time.Second, crashed, time.Second)
	query.recordConnectionReset(4*time.Second, other, time.Second)
	if query.replied = 4; query.suspectedQueryOfDeath() {
		t.Error("still suspected after two crashes and four answers")
	}
}
