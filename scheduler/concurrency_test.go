package scheduler

import (
	"testing"
	"time"
)

// The concurrency limit of a replica falls while the replica takes ten times as long, and grows again afterwards. The
// high latency must not become the baseline latency meanwhile.
func TestLimitFallsDuringCongestionAndRecovers(t *testing.T) {
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
	during := replica.limit
	serve(30, 80*ms)
	if before <= initialLimit || during > initialLimit/2 || replica.limit <= during {
		t.Errorf("limit %v before the congestion, %v during it, %v after", before, during, replica.limit)
	}
}

// A replica rejects an attempt because other co-ordinators fill it. If the subquery were retried at once, it would use
// up all of its attempts.
func TestSubqueryBacksOffFromReplicaThatRejectedIt(t *testing.T) {
	m := newModel(t, 0)
	m.restartAsOneOf(40, 0)
	m.keepOnly(102)
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	m.endAttempt(query.subqueries[0], 0, Overloaded)
	m.iterate()
	m.advance(150 * ms)
	if n := len(query.subqueries[0].attempts); query.ended || n != 1 {
		t.Fatalf("ended %v, %d attempts within 150 ms of the rejection", query.ended, n)
	}
	if m.advance(700 * ms); len(query.subqueries[0].attempts) != 2 {
		t.Errorf("%d attempts after the backoff", len(query.subqueries[0].attempts))
	}
}

// A replica rejects attempts with six in flight. Its limit must not exceed that again soon.
func TestLimitStaysNearTheLoadThatWasRejected(t *testing.T) {
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
		t.Errorf("limit %v before, %v twenty replies after attempts were rejected at 6", before, now)
	}
}

// A replica with a limit of one loses an attempt, which must not use up the limit until its deadline.
func TestLostAttemptsDoNotUseUpTheLimit(t *testing.T) {
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
		m.advance(100 * ms)
		for _, flight := range m.inFlight() {
			if flight.subquery != lost {
				m.answer(flight)
				answered++
			}
		}
		m.iterate()
	}
	if len(lost.attempts) != 1 || answered < 60 {
		t.Errorf("%d attempts of the lost subquery; %d of 120 later ones answered in 12 s",
			len(lost.attempts), answered)
	}
}

// A replica is full during the backoff, and at its limit unless it has neither replied nor been sent anything for
// silentAfter.
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

// sentAt returns a list of one attempt in flight.
func sentAt(at time.Duration) []*attempt { return []*attempt{{sentAt: at}} }

// A reply raises the limit by one up to its ceiling, doubles it after a reinstatement, and halves it if latency has
// risen, at most once in an interval.
func TestLimitAfterReplies(t *testing.T) {
	limiter := concurrencyLimiter{parameters: &parameters{timeScale: 1}}
	const now, interval = 10 * time.Second, time.Second
	for _, test := range []struct {
		name    string
		replica replicaState
		want    float64
	}{
		{"baseline latency", replicaState{limit: 4, limitCeiling: 32, recentLatency: 1, baselineLatency: 1}, 5},
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
