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

// A replica is full while it backs off, and at its limit unless it has been silent and sent nothing for a while.
func TestFull(t *testing.T) {
	limiter := concurrencyLimiter{parameters: &parameters{timeScale: 1}}
	const now = 10 * time.Second
	for _, test := range []struct {
		name    string
		replica replicaState
		want    bool
	}{
		{"below its limit", replicaState{limit: 2, outstanding: sentAt(now)}, false},
		{"at its limit", replicaState{limit: 1, outstanding: sentAt(now)}, true},
		{"at its limit, sent nothing but answering", replicaState{limit: 1, outstanding: sentAt(0), lastReplyAt: now}, true},
		{"at its limit, silent", replicaState{limit: 1, outstanding: sentAt(now - silentAfter)}, false},
		{"just rejected an attempt", replicaState{limit: 9, fullUntil: now + 1}, true},
		{"rejected an attempt a while ago", replicaState{limit: 9, fullUntil: now}, false},
	} {
		if got := limiter.full(now, &test.replica); got != test.want {
			t.Errorf("%s: full %v", test.name, got)
		}
	}
}

// sentAt is one attempt in flight.
func sentAt(at time.Duration) []*attempt { return []*attempt{{sentAt: at}} }

// A reply raises the limit by one up to its ceiling, doubles it after a reinstatement, and halves it when latency
// rises; that no more than once in an interval.
func TestLimitAfterReplies(t *testing.T) {
	limiter := concurrencyLimiter{parameters: &parameters{timeScale: 1}}
	const now, interval = 10 * time.Second, time.Second
	for _, test := range []struct {
		name    string
		replica replicaState
		want    float64
	}{
		{"usual latency", replicaState{limit: 4, limitCeiling: 32, recentLatency: 1, baselineLatency: 1}, 5},
		{"at its ceiling", replicaState{limit: 4, limitCeiling: 4, recentLatency: 1, baselineLatency: 1}, 4},
		{"reinstated", replicaState{limit: 2, limitCeiling: 32, recovering: true, baselineLatency: 1}, 4},
		{"latency rises", replicaState{limit: 4, limitCeiling: 32, recentLatency: 3, baselineLatency: 1}, 2},
		{"just halved", replicaState{limit: 4, recentLatency: 3, baselineLatency: 1, limitHalvedAt: now - interval + 1}, 4},
		{"never below one", replicaState{limit: 1, recentLatency: 3, baselineLatency: 1}, 1},
	} {
		limiter.replied(now, &test.replica, interval)
		if test.replica.limit != test.want {
			t.Errorf("%s: limit %v, want %v", test.name, test.replica.limit, test.want)
		}
	}
}
