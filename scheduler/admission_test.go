package scheduler

import (
	"math"
	"testing"
	"time"
)

// Clients disconnect before their answers come. That says nothing of how long queries take, so the lateness factor
// must not rise and nobody be rejected for it.
func TestClientsThatDisconnectCauseNoRejection(t *testing.T) {
	m := newModel(t, 0)
	for range 40 {
		query := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.pass(10 * ms)
		query.ended = true
		m.scheduler.ForgetQuery(m.now, query.id)
		m.iterate()
	}
	if m.rejected > 0 || m.scheduler.classes[0].admission.latenessFactor > 1 {
		t.Errorf("%d rejected, expected to take %v times as long",
			m.rejected, m.scheduler.classes[0].admission.latenessFactor)
	}
}

// One of many co-ordinators sees a query of a class every few seconds. If each moved the lateness factor by one small
// step, a jam would be over before it was noticed; so a query after a long quiet time moves it further.
func TestLatenessOfARareClassCountsMore(t *testing.T) {
	m := newModel(t, 0)
	m.pass(5 * time.Second)
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	m.pass(1100 * ms)
	if m.scheduler.classes[0].admission.latenessFactor < 1.5 || query.ended {
		t.Errorf("%.2f times the expected after a late one, ended %v",
			m.scheduler.classes[0].admission.latenessFactor, query.ended)
	}
}

// Replicas answer slowly for a while. Queries are rejected while they do, and not any more once the jam is over.
func TestRejectionBeginsAndEndsWithTheJam(t *testing.T) {
	m := newModel(t, 0)
	load := func(n int, took time.Duration) int {
		before := m.rejected
		for range n {
			m.newQuery(0, 4, 3*time.Second)
			m.iterate()
			m.pass(20 * ms)
			for _, flight := range m.inFlight() {
				if m.now-flight.attempt().sentAt >= took {
					m.answer(flight)
				}
			}
			m.iterate()
		}
		return m.rejected - before
	}
	calm, jam := load(40, 60*ms), load(100, 1500*ms)
	m.answerAllAfter(100 * ms)
	m.pass(20 * time.Second)
	load(40, 60*ms)
	if after := load(40, 60*ms); calm > 0 || jam < 30 || after > 0 {
		t.Errorf("rejected: %d in calm, %d in the jam, %d after it", calm, jam, after)
	}
}

// Each of many co-ordinators admits a query now and then against its estimate. If each did so as often as one alone,
// all together would keep a jam up for good. So the more there are the rarer their trials, and far rarer those with
// large queries; but small ones not so rare that a wrong estimate stands for long.
func TestManyCoordinatorsTryAsRarelyTogetherAsFew(t *testing.T) {
	admitted := func(coordinators, subqueries int) (n int) {
		m := newModel(t, 0)
		m.restartAsOneOf(coordinators, 0)
		m.keepOnly(102, 105)
		for m.now < 12*time.Second {
			for _, id := range []ReplicaID{102, 105} {
				m.replica(id).outstandingWork = 20 * time.Second // the estimate speaks against all
			}
			query := m.newQuery(0, subqueries, time.Second)
			m.iterate()
			if len(query.subqueries[0].attempts) > 0 {
				n++
			}
			m.pass(100 * ms)
		}
		return n
	}
	few, many, large := admitted(3, 1), admitted(48, 1), admitted(48, 60)
	if few < 3 || many > few/2 || many < 1 || large > 1 {
		t.Errorf("of one subquery %d admitted by one of 3 co-ordinators, %d by one of 48; of sixty %d", few, many, large)
	}
}

// At the same load per replica a query of one subquery may be in time where the slowest of sixty is not.
func TestLargeQueriesAreRejectedBeforeSmallOnes(t *testing.T) {
	m := newModel(t, 0)
	m.restartAsOneOf(9, 0)
	for _, id := range m.order {
		m.replica(id).outstandingWork = 500 * ms
	}
	large, small := m.newQuery(0, 60, 3*time.Second), m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	if !large.ended || small.ended {
		t.Errorf("rejected: 60 subqueries %v, one subquery %v", large.ended, small.ended)
	}
}

// Work is taken for far longer than it is, so that all queries look late. Nothing would ever correct that but queries
// that are admitted against the estimate.
func TestEstimateOfLongWorkIsCorrectedByTrials(t *testing.T) {
	m := newModel(t, 0)
	m.scheduler.classes[0].subqueryWork, m.scheduler.classes[0].workPerHint = 5*time.Second, 60
	served := 0
	for range 200 {
		query := m.newQuery(0, 2, 3*time.Second)
		m.iterate()
		m.answerAllAfter(40 * ms)
		if query.ended && query.subqueries[0].answered {
			served++
		}
	}
	if served < 150 {
		t.Errorf("%d of 200 succeeded while replicas answer in 40 ms", served)
	}
}

// Nothing answers. Trials against the estimate must stay few, as each of them fails.
func TestTrialsAreFewWhileTheJamIsReal(t *testing.T) {
	m := newModel(t, 0)
	m.scheduler.classes[0].subqueryWork, m.scheduler.classes[0].workPerHint = 5*time.Second, 60
	admitted := 0
	for range 200 {
		query := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		if !query.ended {
			admitted++
		}
		m.pass(50 * ms) // nothing answers
	}
	if admitted < 2 || admitted > 12 {
		t.Errorf("%d of 200 admitted within 10 s of a jam", admitted)
	}
}

// The lateness factor holds its level where targetLateShare of the queries are late, and stays within its bounds.
func TestLatenessFactor(t *testing.T) {
	after := func(queries, late int) float64 {
		class := &classAdmission{latenessFactor: 2}
		for n := range queries {
			class.adjustLatenessFactor(0, n%queries >= late)
		}
		return class.latenessFactor
	}
	if level := after(100, 5); math.Abs(level-2) > 1e-9 {
		t.Errorf("%v where one of twenty is late", level)
	}
	if more := after(100, 10); more <= 2 {
		t.Errorf("%v where one of ten is late", more)
	}
	if least, most := after(1000, 0), after(1000, 1000); least != 1 || most != maxLatenessFactor {
		t.Errorf("from %v to %v", least, most)
	}
	class := &classAdmission{latenessFactor: 2}
	class.decayLatenessFactor(latenessDecaySeconds)
	if math.Abs(class.latenessFactor-1-1/math.E) > 1e-9 {
		t.Errorf("%v after it has faded", class.latenessFactor)
	}
}
