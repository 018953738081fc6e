package scheduler

import (
	"testing"
	"time"
)

// While connections are slow to open each holder may be unreachable once. The subquery's last attempt waits for a
// probe to be due, but not for good.
func TestSubqueryWhoseHoldersCouldNotBeReachedIsRetried(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	query := m.newQuery(0, 1, 3*time.Second)
	for range 30 {
		m.iterate()
		m.pass(10 * ms)
		for _, flight := range m.inFlight() {
			m.endAttempt(flight.subquery, flight.number, Unreachable)
		}
	}
	if query.ended || len(query.subqueries[0].attempts) != 2 {
		t.Errorf("ended %v, %d attempts within 0.3 s", query.ended, len(query.subqueries[0].attempts))
	}
	if m.pass(1500 * ms); query.ended || len(query.subqueries[0].attempts) != 3 {
		t.Errorf("ended %v, %d attempts after both holders could not be reached",
			query.ended, len(query.subqueries[0].attempts))
	}
}

// A holder has no retry tokens and nothing in flight. It gets one retry, as nothing else would ever earn it any.
func TestIdleHolderWithoutTokensGetsOneRetry(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102)
	m.replica(102).retryTokens = 0
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	m.endAttempt(query.subqueries[0], 0, Failed)
	m.iterate()
	m.pass(600 * ms)
	if n := len(query.subqueries[0].attempts); n != 2 {
		t.Errorf("%d attempts", n)
	}
}

// Where hedges are not allowed attempts have a timeout. It leaves an attempt the time for its own work, however quick
// its replica was with others.
func TestTimeoutLeavesAnAttemptItsOwnWork(t *testing.T) {
	m := newModel(t, 0)
	m.scheduler.hedgeAllowed = false
	for _, replica := range m.scheduler.replicas.all {
		replica.slowdown = 0.05
	}
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	attempts, work := query.subqueries[0].attempts, m.scheduler.classes[0].subqueryWork
	if len(attempts) != 1 || attempts[0].timeout < work {
		t.Errorf("%d attempts, the first has %v for work of %v", len(attempts), attempts[0].timeout, work)
	}
}
