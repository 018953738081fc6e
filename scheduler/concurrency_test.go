package scheduler

import (
	"testing"
	"time"
)

// A replica takes ten times as long for a while. Its concurrency limit falls, and grows again afterwards: the jam
// must not become the usual latency while it lasts.
func TestLimitFallsInAJamAndGrowsAgain(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102)
	replica := m.replica(102)
	serve := func(n int, took time.Duration) {
		for range n {
			m.newQuery(0, 1, 3*time.Second)
			m.iterate()
			m.answerAllAfter(took)
		}
	}
	serve(20, 80*ms)
	before := replica.limit
	serve(12, 700*ms)
	jam := replica.limit
	serve(30, 80*ms)
	if before <= initialLimit || jam > initialLimit/2 || replica.limit <= jam {
		t.Errorf("limit %v before, %v in the jam, %v after", before, jam, replica.limit)
	}
}

// A replica rejects an attempt, as it is full of what other co-ordinators sent. Sent again at once, the subquery
// would use up its attempts one after the other.
func TestReplicaThatRejectedAnAttemptIsLeftAloneForAWhile(t *testing.T) {
	m := newModel(t, 0)
	m.restartAsOneOf(40, 0)
	m.keepOnly(102)
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	m.endAttempt(query.subqueries[0], 0, Overloaded)
	m.iterate()
	m.pass(150 * ms)
	if n := len(query.subqueries[0].attempts); query.ended || n != 1 {
		t.Fatalf("ended %v, %d attempts within 150 ms of a full queue", query.ended, n)
	}
	if m.pass(700 * ms); len(query.subqueries[0].attempts) != 2 {
		t.Errorf("%d attempts after a while", len(query.subqueries[0].attempts))
	}
}

// A replica rejects attempts at six in flight. Its limit must not climb past that again at once.
func TestLimitRemembersWhereItWasRejected(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102)
	replica := m.replica(102)
	serve := func(n int) {
		for range n {
			m.newQuery(0, 1, 3*time.Second)
			m.iterate()
			m.answerAllAfter(80 * ms)
		}
	}
	serve(30)
	before := replica.limit
	for range 16 {
		m.newQuery(0, 1, 3*time.Second)
	}
	m.iterate()
	for n, flight := range m.inFlight() {
		if n >= 6 {
			m.endAttempt(flight.subquery, flight.number, Overloaded)
		}
	}
	m.iterate()
	serve(20)
	if now := replica.limit; before < 20 || now > 12 {
		t.Errorf("limit %v before, %v twenty replies after it rejected attempts at 6", before, now)
	}
}

// A replica with a limit of one loses an attempt. That must not hold the only place until its deadline.
func TestLostAttemptsHoldNoPlaces(t *testing.T) {
	m := newModel(t, 0)
	id := m.holdersOf(0)[0]
	m.keepOnly(id)
	m.replica(id).limit, m.nextShard = 1, 0
	lost := m.newQuery(0, 1, 30*time.Second).subqueries[0]
	m.iterate()
	answered := 0
	for range 120 {
		m.nextShard = 0
		m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.pass(100 * ms)
		for _, flight := range m.inFlight() {
			if flight.subquery != lost {
				m.answer(flight)
				answered++
			}
		}
		m.iterate()
	}
	if len(lost.attempts) != 1 || answered < 60 {
		t.Errorf("%d attempts of the lost subquery; %d of 120 later ones went in 12 s", len(lost.attempts), answered)
	}
}
