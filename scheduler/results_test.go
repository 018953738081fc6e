package scheduler

import (
	"strings"
	"testing"
	"time"
)

// A reply that is withheld until its length is confirmed counts as a reply for everything but its value: the subquery is not
// hedged, the replica is not ejected for silence, and the attempt no longer counts towards the replica's load.
func TestUnconfirmedReplyIsNoSilence(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	m.advance(20 * ms)
	replied := m.inFlight()[0]
	replica := m.replica(replied.attempt().to)
	m.withholdReply(replied)
	m.iterate()
	if len(replica.outstanding) > 0 || replica.outstandingWork > 0 {
		t.Errorf("%d attempts, work %v after the reply", len(replica.outstanding), replica.outstandingWork)
	}
	m.advance(2 * time.Second)
	if attempts := query.subqueries[0].attempts; len(attempts) != 1 {
		t.Errorf("%d attempts, want 1", len(attempts))
	}
	if m.ejected(102) || m.ejected(105) {
		t.Errorf("logs: %s", strings.Join(m.logs, "\n"))
	}
	if m.answer(replied); replica.limit <= initialLimit {
		t.Errorf("limit %v after a reply, want above %v", replica.limit, initialLimit)
	}
	if m.iterate(); !query.ended {
		t.Error("the query is open after its reply was confirmed")
	}
}

// A withheld reply that proves to be malformed ends its attempt: the subquery is sent again. Such replies never count as
// answers, so a replica whose replies are all malformed is ejected for its errors.
func TestMalformedReplyIsRetriedAfterItWasWithheld(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	m.replica(105).slowdown = 3 // so that the other is preferred
	for round := range errorLimit {
		m.replica(102).slowdown = 1
		query := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.advance(20 * ms)
		for _, flight := range m.inFlight() {
			m.withholdReply(flight)
			m.iterate()
			m.advance(100 * ms)
			m.endAttempt(flight.subquery, flight.number, MalformedReply)
		}
		m.iterate()
		m.advance(300 * ms)
		attempts := query.subqueries[0].attempts
		if len(attempts) != 2 {
			t.Fatalf("round %d: %d attempts, want 2", round, len(attempts))
		}
		m.answerAllAfter(20 * ms)
	}
	if logs := strings.Join(m.logs, "\n"); !strings.Contains(logs, "consecutive errors") {
		t.Errorf("logs: %s", logs)
	}
}

// The wait for the confirmation of a reply is no sign of overload: a query whose replies all came within its objective does
// not tighten admission, although it is answered after it.
func TestWaitForConfirmationDoesNotTightenAdmission(t *testing.T) {
	m := newModel(t, 0)
	for range 5 {
		m.newQuery(0, 2, 3*time.Second)
		m.iterate()
		m.advance(20 * ms)
		withheld := m.inFlight()
		for _, flight := range withheld {
			m.withholdReply(flight)
		}
		m.iterate()
		m.advance(2500 * ms)
		for _, flight := range withheld {
			m.answer(flight)
		}
		m.iterate()
	}
	if factor := m.scheduler.classes[0].admission.latenessFactor; factor > 1 {
		t.Errorf("lateness factor %v, want 1", factor)
	}
}

// Without unconfirmed replies a query counts for admission when it is answered, not as its last reply comes: the order of
// events within an iteration decides nothing.
func TestConfirmedRepliesCountForAdmissionWhenTheQueryIsAnswered(t *testing.T) {
	m := newModel(t, 0)
	query := m.newQuery(0, 2, 3*time.Second)
	m.iterate()
	m.advance(20 * ms)
	for _, flight := range m.inFlight() {
		m.answer(flight)
	}
	open := m.scheduler.queriesByID[query.id]
	if open.objectiveRecorded {
		t.Error("the outcome is recorded before the iteration ends")
	}
	if m.iterate(); !open.objectiveRecorded {
		t.Error("the outcome of an answered query is not recorded")
	}
}
