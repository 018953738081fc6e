package scheduler

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// One of two holders stops answering and is ejected for silence. When it answers again it is reinstated with a
// concurrency limit of one.
func TestSilentReplicaIsEjectedAndReinstatedWithALimitOfOne(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	var hung []*modelAttempt
	for round := range 30 {
		m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.advance(100 * ms)
		for _, flight := range m.inFlight() {
			if attempt := flight.attempt(); attempt.to == 105 {
				hung = append(hung, attempt)
			} else {
				m.answer(flight)
			}
		}
		m.iterate()
		if round == 20 && !m.ejected(105) {
			t.Fatalf("not ejected, though %d of its attempts hang", len(hung))
		}
	}
	replica := m.replica(105)
	m.answerAllAfter(ms)
	if replica.classes[0].ejected || replica.limit != 1 {
		t.Errorf("ejected %v, limit %v after it answered", replica.classes[0].ejected, replica.limit)
	}
	logs := strings.Join(m.logs, "\n")
	if !strings.Contains(logs, "no replies to attempts in flight") || !strings.Contains(logs, "answered an attempt") {
		t.Errorf("logs: %s", logs)
	}
}

// A replica answers one class and hangs on another. It is ejected only for the class that hangs, so that no more
// attempts pile up there, and an answer reinstates it.
func TestReplicaThatHangsOnOneClassIsEjectedForItAlone(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	hung := 0
	for range 40 {
		m.replica(102).slowdown = 3 // so that the other is preferred
		m.newQuery(0, 1, 3*time.Second)
		m.newQuery(2, 1, 3*time.Second)
		m.iterate()
		m.advance(60 * ms)
		hung = 0
		for _, flight := range m.inFlight() {
			if flight.subquery.query.class == 0 && flight.attempt().to == 105 {
				hung++
			} else {
				m.answer(flight)
			}
		}
		m.iterate()
	}
	replica := m.replica(105)
	if !replica.classes[0].ejected || replica.classes[2].ejected || hung > 8 {
		t.Fatalf("ejected by class: %v, %d attempts hang", replica.classes, hung)
	}
	m.answerAllAfter(ms)
	if replica.classes[0].ejected {
		t.Error("still ejected after it answered")
	}
}

// Both holders of a shard are silent. One is ejected; the other is not, as it may be silent only because it carries the
// load of both.
func TestLastHolderIsNotEjectedForSilence(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	for range 20 {
		m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.advance(100 * ms)
	}
	if a, b := m.ejected(102), m.ejected(105); a == b {
		t.Errorf("ejected: %v and %v", a, b)
	}
}

// One connection reset may be caused by the network and does not eject a replica. An unreachable replica is ejected at
// once.
func TestOneResetDoesNotEjectButUnreachableDoes(t *testing.T) {
	m := newModel(t, 0)
	m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	flight := m.inFlight()[0]
	replica := m.replica(flight.attempt().to)
	m.endAttempt(flight.subquery, flight.number, ConnectionReset)
	m.iterate()
	if replica.classes[0].ejected {
		t.Error("ejected after one connection reset")
	}
	m.newQuery(0, 4, 3*time.Second)
	m.iterate()
	flight = m.inFlight()[0]
	replica = m.replica(flight.attempt().to)
	m.endAttempt(flight.subquery, flight.number, Unreachable)
	m.iterate()
	if !replica.classes[0].ejected {
		t.Error("not ejected though it is unreachable")
	}
}

// All holders are ejected, and a probe becomes due while two queries wait. The younger query sends it, as the older one
// has too little time left to be open when the probe is answered.
func TestProbeGoesWithAYoungQuery(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102)
	m.scheduler.outliers.eject(m.now, m.replica(102), nil, "test")
	old := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	m.replica(102).nextProbeAt = m.now + 2*time.Second // due when the first has a third of its time left
	m.advance(1900 * ms)
	young := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	m.advance(200 * ms)
	if len(old.subqueries[0].attempts) != 0 || len(young.subqueries[0].attempts) != 1 {
		t.Errorf("probes: %d with the old, %d with the young",
			len(old.subqueries[0].attempts), len(young.subqueries[0].attempts))
	}
}

// All holders but one are ejected, and that one is too slow for the objective, so queries are rejected. If all of them
// were, no probe would be sent and the others would stay ejected though they are healthy.
func TestRejectionDoesNotStopProbes(t *testing.T) {
	m := newModel(t, 0)
	for _, id := range m.holdersOf(0)[1:] {
		m.scheduler.outliers.eject(m.now, m.replica(id), nil, "test")
	}
	probes := 0
	for range 100 {
		m.nextShard = 0
		m.scheduler.classes[0].admission.latenessFactor = maxLatenessFactor
		m.scheduler.classes[0].subqueryWork = 300 * ms
		query := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		for _, subquery := range query.subqueries {
			for _, attempt := range subquery.attempts {
				if attempt.to != m.holdersOf(0)[0] {
					probes++
				}
			}
		}
		m.answerAllAfter(100 * ms)
	}
	if probes == 0 {
		t.Error("no probe sent within 10 s")
	}
}

// A probe is sent to an ejected holder when it is due. The first attempt of a subquery that can go elsewhere is a probe
// only if the probe is overdue by maxProbeInterval. The interval doubles if the subquery is queued for another replica.
func TestClaimProbe(t *testing.T) {
	const now = time.Minute
	for _, test := range []struct {
		name        string
		ejected     bool
		nextProbeAt time.Duration
		elsewhere   bool
		attempts    int
		want        bool
		interval    time.Duration // from the next probe to the one after it
	}{
		{"in use", false, 0, true, 1, false, 0},
		{"not due", true, now + 1, true, 1, false, 0},
		{"due, in parallel with an attempt", true, now, true, 1, true, 2 * firstProbeInterval},
		{"due, in place of an attempt elsewhere", true, now, true, 0, false, 0},
		{"overdue, in place of an attempt elsewhere", true, now - maxProbeInterval, true, 0, true, 2 * firstProbeInterval},
		{"due, no holder in use", true, now, false, 0, true, firstProbeInterval},
	} {
		replicas := newReplicaSet(cellLayout{cells: 1, cellsPerShard: 1})
		ejected := replicas.newState(now, 0)
		ejected.state = Ready
		ejected.classes = []replicaClassState{{ejected: test.ejected}}
		ejected.nextProbeAt = test.nextProbeAt
		ejected.probeInterval = firstProbeInterval
		detector := outlierDetector{
			parameters: &parameters{timeScale: 1, hedgeAllowed: true},
			replicas:   &replicas,
			hasRoom:    func(*replicaState, *subquery) bool { return true },
		}
		subquery := &subquery{query: &query{class: &class{}}}
		if test.elsewhere {
			subquery.replica = &replicaState{}
		}
		for range test.attempts {
			subquery.attempts = append(subquery.attempts, &attempt{})
		}
		got := detector.claimProbe(now, subquery)
		if (got != nil) != test.want {
			t.Errorf("%s: probe %v", test.name, got != nil)
		}
		if test.want && (ejected.nextProbeAt != now+firstProbeInterval || ejected.probeInterval != test.interval) {
			t.Errorf("%s: next probe in %v, interval %v", test.name, ejected.nextProbeAt-now, ejected.probeInterval)
		}
	}
}

// Three attempts in a row without an answer eject a replica for their class. Attempts that end at the same time count
// as one.
func TestConsecutiveErrorsEject(t *testing.T) {
	var logs []string
	replica := &replicaState{id: 7, classes: make([]replicaClassState, 2)}
	detector := outlierDetector{
		parameters: &parameters{timeScale: 1},
		classes:    2,
		log:        func(text string) { logs = append(logs, text) },
	}
	failing := &class{index: 1}
	for _, endedAt := range []time.Duration{1, 1, 1, 2, 2, 3} {
		if replica.ejectedForAny() {
			t.Fatalf("ejected before the attempt that ends at %v", endedAt)
		}
		detector.failed(endedAt, replica, failing)
	}
	if replica.classes[0].ejected || !replica.classes[1].ejected {
		t.Errorf("ejected by class: %v", replica.classes)
	}
	if want := []string{"replica 7 ejected: consecutive errors"}; !slices.Equal(logs, want) {
		t.Errorf("logs %q", logs)
	}
}
