package scheduler

import (
	"slices"
	"testing"
	"time"
)

// The only replica takes one attempt at a time. Queued subqueries must be sent in order of arrival of their queries.
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
		t.Errorf("subqueries were sent in the order %v", m.sent)
	}
}

// A subquery waits behind another until its answer could no longer arrive in time. It must not be sent, and its query
// ends.
func TestQueuedSubqueryWithTooLittleTimeIsNotSent(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102)
	m.replica(102).limit = 1
	first, second := m.newQuery(0, 1, 3*time.Second), m.newQuery(0, 1, 600*ms)
	m.iterate()
	m.advance(590 * ms)
	if first.ended || !second.ended || len(second.subqueries[0].attempts) > 0 {
		t.Errorf("first ended %v, second ended %v after %d attempts",
			first.ended, second.ended, len(second.subqueries[0].attempts))
	}
}

// With many open queries, iterations between ticks consider only queries with new events. Queued subqueries must still
// be sent with each reply.
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
			t.Fatalf("no subquery was sent after a reply: %d in flight, limit %v",
				len(replica.outstanding), replica.limit)
		}
	}
}
