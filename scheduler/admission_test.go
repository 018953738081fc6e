package scheduler

import (
	"math"
	"testing"
	"time"
)

// Clients that disconnect before their answers say nothing about how long queries take, so the lateness factor must not
// rise and no query may be rejected because of them.
func TestClientsThatDisconnectCauseNoRejection(t *testing.T) {
	m := newModel(t, 0)
	for range 40 {
		query := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.advance(10 * ms)
		query.ended = true
		m.scheduler.ForgetQuery(m.now, query.id)
		m.iterate()
	}
	if m.rejected > 0 || m.scheduler.classes[0].admission.latenessFactor > 1 {
		t.Errorf("%d rejected, lateness factor %v",
			m.rejected, m.scheduler.classes[0].admission.latenessFactor)
	}
}

// One of many co-ordinators may see a query of a class only every few seconds. If each changed the lateness factor by
// one small step, congestion would be over before the factor reflected it, so the step grows with the time since the
// last query.
func TestLatenessOfARareClassCountsMore(t *testing.T) {
	m := newModel(t, 0)
	m.advance(5 * time.Second)
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	m.advance(1100 * ms)
	if m.scheduler.classes[0].admission.latenessFactor < 1.5 || query.ended {
		t.Errorf("lateness factor %.2f after a late query, ended %v",
			m.scheduler.classes[0].admission.latenessFactor, query.ended)
	}
}

// Queries are rejected while replicas answer slowly, and no longer once the congestion is over.
func TestRejectionBeginsAndEndsWithCongestion(t *testing.T) {
	m := newModel(t, 0)
	load := func(n int, took time.Duration) int {
		before := m.rejected
		for range n {
			m.newQuery(0, 4, 3*time.Second)
			m.iterate()
			m.advance(20 * ms)
			for _, flight := range m.inFlight() {
				if m.now-flight.attempt().sentAt >= took {
					m.answer(flight)
				}
			}
			m.iterate()
		}
		return m.rejected - before
	}
	before, during := load(40, 60*ms), load(100, 1500*ms)
	m.answerAllAfter(100 * ms)
	m.advance(20 * time.Second)
	load(40, 60*ms)
	if after := load(40, 60*ms); before > 0 || during < 30 || after > 0 {
		t.Errorf("rejected: %d before the congestion, %d during it, %d after it", before, during, after)
	}
}

// Each co-ordinator occasionally admits a query against its estimate, as a trial. If each of many did so as often as
// one alone, all together would sustain the congestion. So trials become rarer with the number of co-ordinators, and
// much rarer for large queries; but small queries are tried often enough that a wrong estimate is corrected soon.
func TestTrialsBecomeRarerWithMoreCoordinators(t *testing.T) {
	admitted := func(coordinators, subqueries int) (count int) {
		m := newModel(t, 0)
		m.restartAsOneOf(coordinators, 0)
		m.keepOnly(102, 105)
		for m.now < 12*time.Second {
			for _, id := range []ReplicaID{102, 105} {
				m.replica(id).outstandingWork = 20 * time.Second // so that the estimate rejects all queries
			}
			query := m.newQuery(0, subqueries, time.Second)
			m.iterate()
			if len(query.subqueries[0].attempts) > 0 {
				count++
			}
			m.advance(100 * ms)
		}
		return count
	}
	few, many, large := admitted(3, 1), admitted(48, 1), admitted(48, 60)
	if few < 3 || many > few/2 || many < 1 || large > 1 {
		t.Errorf("admitted with one subquery: %d by one of 3 co-ordinators, %d by one of 48; with sixty: %d",
			few, many, large)
	}
}

// At the same load per replica, a query of one subquery can be in time while the slowest of sixty subqueries is late.
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

// The expected work is far too long, so all queries seem to be late. Only queries that are admitted against the
// estimate can correct it.
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

// While no replica answers there must be few trials, as each of them fails.
func TestTrialsAreFewWhileCongestionIsReal(t *testing.T) {
	m := newModel(t, 0)
	m.scheduler.classes[0].subqueryWork, m.scheduler.classes[0].workPerHint = 5*time.Second, 60
	admitted := 0
	for range 200 {
		query := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		if !query.ended {
			admitted++
		}
		m.advance(50 * ms) // without any answer
	}
	if admitted < 2 || admitted > 12 {
		t.Errorf("%d of 200 admitted within 10 s of congestion", admitted)
	}
}

// The lateness factor stays constant when targetLateShare of the queries are late, and stays within its bounds.
func TestLatenessFactor(t *testing.T) {
	after := func(queries, late int) float64 {
		class := &classAdmission{latenessFactor: 2}
		for n := range queries {
			class.adjustLatenessFactor(0, n%queries >= late)
		}
		return class.latenessFactor
	}
	if factor := after(100, 5); math.Abs(factor-2) > 1e-9 {
		t.Errorf("factor %v with one of twenty queries late", factor)
	}
	if factor := after(100, 10); factor <= 2 {
		t.Errorf("factor %v with one of ten queries late", factor)
	}
	if lowest, highest := after(1000, 0), after(1000, 1000); lowest != 1 || highest != maxLatenessFactor {
		t.Errorf("factors from %v to %v", lowest, highest)
	}
	class := &classAdmission{latenessFactor: 2}
	class.decayLatenessFactor(latenessDecaySeconds)
	if math.Abs(class.latenessFactor-1-1/math.E) > 1e-9 {
		t.Errorf("factor %v after its decay", class.latenessFactor)
	}
}
