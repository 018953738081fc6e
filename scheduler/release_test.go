package scheduler

import (
	"slices"
	"testing"
	"time"
)

// One replica takes one attempt at a time. The queued subqueries are sent in the order in which their queries
// arrived.
func TestSubqueriesAreSentInOrderOfArrival(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102)
	m.replica(102).limit = 1
	for range 6 {
		m.newQuery(0, 1, 3*time.Second)
		m.iterate()
	}
	for range 6 {
		m.answerAllAfter(80 * ms)
	}
	if len(m.sent) < 4 || !slices.IsSorted(m.sent) {
		t.Errorf("subqueries left in the order %v", m.sent)
	}
}

// A subquery waits behind another until its answer could not come in time. It is not sent any more, and its query
// ends.
func TestQueuedSubqueryWithTooLittleTimeIsNotSent(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102)
	m.replica(102).limit = 1
	first, second := m.newQuery(0, 1, 3*time.Second), m.newQuery(0, 1, 600*ms)
	m.iterate()
	m.pass(590 * ms)
	if first.ended || !second.ended || len(second.subqueries[0].attempts) > 0 {
		t.Errorf("first ended %v, second ended %v after %d attempts",
			first.ended, second.ended, len(second.subqueries[0].attempts))
	}
}

// With many queries open an iteration between ticks looks only at those for which something came in. Queued
// subqueries must be sent with each reply all the same.
func TestIterationsWithManyOpenQueriesSendWithEachReply(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102)
	replica := m.replica(102)
	m.scheduler.classes[0].subqueryWork, m.scheduler.classes[0].workPerHint = ms, 0.0125
	for range 3 * maxOpenForFullScan {
		m.newQuery(0, 1, 3*time.Second)
	}
	m.iterate()
	for range 50 {
		sent := len(m.sent)
		flight := m.inFlight()[0]
		m.now += 100 * time.Microsecond
		m.answer(flight)
		m.iterate()
		if len(m.sent) == sent && len(replica.outstanding) < int(replica.limit) && replica.queuedWork > 0 {
			t.Fatalf("nothing left with a reply: %d out, limit %v", len(replica.outstanding), replica.limit)
		}
	}
}
