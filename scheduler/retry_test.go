package scheduler

import (
	"testing"
	"time"

	"terntray/invariant"
)

// While connections are slow to open, each holder may be unreachable once. The subquery's last attempt then waits until
// a probe is due, but not forever.
func TestSubqueryIsRetriedAfterAllHoldersWereUnreachable(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	query := m.newQuery(0, 1, 3*time.Second)
	for range 30 {
		m.iterate()
		m.advance(10 * ms)
		for _, flight := range m.inFlight() {
			m.endAttempt(flight.subquery, flight.number, Unreachable)
		}
	}
	if query.ended || len(query.subqueries[0].attempts) != 2 {
		t.Errorf("ended %v, %d attempts within 0.3 s", query.ended, len(query.subqueries[0].attempts))
	}
	if m.advance(1500 * ms); query.ended || len(query.subqueries[0].attempts) != 3 {
		t.Errorf("ended %v, %d attempts after both holders were unreachable",
			query.ended, len(query.subqueries[0].attempts))
	}
}

// A holder with no retry tokens and nothing in flight is sent one retry, as nothing else would earn it a token.
func TestIdleHolderWithoutTokensGetsOneRetry(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102)
	m.replica(102).retryTokens = 0
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	m.endAttempt(query.subqueries[0], 0, Failed)
	m.iterate()
	m.advance(600 * ms)
	if n := len(query.subqueries[0].attempts); n != 2 {
		t.Errorf("%d attempts", n)
	}
}

// Where hedges are not allowed, attempts have a timeout. It must not be shorter than the attempt's own work, however
// fast its replica was before.
func TestTimeoutIsNotShorterThanTheWork(t *testing.T) {
	m := newModel(t, 0)
	m.scheduler.parameters.hedgeAllowed = false
	for _, replica := range m.scheduler.replicas.all {
		replica.slowdown = 0.05
	}
	query := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	attempts, work := query.subqueries[0].attempts, m.scheduler.classes[0].subqueryWork
	if len(attempts) != 1 || attempts[0].timeout < work {
		t.Errorf("%d attempts, the first with a timeout of %v for work of %v", len(attempts), attempts[0].timeout, work)
	}
}

// Whether a subquery may have a further attempt depends on its class's effect and on the ends of its attempts.
func TestAllowsFurther(t *testing.T) {
	const window = time.Second
	neverRan := &attempt{ended: true}
	mayHaveRun := &attempt{ended: true, mayHaveRun: true}
	inFlight := &attempt{}
	for _, test := range []struct {
		name     string
		effect   invariant.Effect
		attempts []*attempt
		now      time.Duration
		want     bool
	}{
		{"first", invariant.NonIdempotent, nil, 0, true},
		{"non-idempotent, never ran", invariant.NonIdempotent, []*attempt{neverRan}, 0, true},
		{"non-idempotent, may have run", invariant.NonIdempotent, []*attempt{neverRan, mayHaveRun}, 0, false},
		{"non-idempotent, in flight", invariant.NonIdempotent, []*attempt{inFlight}, 0, false},
		{"keyed, in its window", invariant.Keyed, []*attempt{mayHaveRun}, window - 1, true},
		{"keyed, after its window", invariant.Keyed, []*attempt{mayHaveRun}, window, false},
		{"keyed, never ran, after its window", invariant.Keyed, []*attempt{neverRan}, window, true},
		{"idempotent", invariant.Idempotent, []*attempt{mayHaveRun, inFlight}, window, true},
		{"idempotent, no attempt left", invariant.Idempotent, []*attempt{neverRan, neverRan, neverRan}, 0, false},
	} {
		budget := retryBudget{parameters: &parameters{maxAttempts: 3}}
		class := &class{effect: test.effect, keyWindow: window}
		subquery := &subquery{query: &query{class: class}, attempts: test.attempts}
		if got := budget.allowsFurther(test.now, subquery); got != test.want {
			t.Errorf("%s: allowed %v, want %v", test.name, got, test.want)
		}
	}
}

// The retry budget allows, within its span, a fixed number of retries and a share of the arrivals.
func TestRetryBudget(t *testing.T) {
	for _, test := range []struct {
		arrivals, retries int
		span              time.Duration
		want              bool
	}{
		{0, 0, time.Second, true},
		{0, 1, time.Second, true},
		{0, 2, time.Second, false},
		{9, 2, time.Second, false},
		{10, 2, time.Second, true},
		{0, 1000, 0, true},
	} {
		budget := retryBudget{parameters: &parameters{
			retryBudgetSpan: test.span, retryBudgetMin: 2, retryBudgetShare: 0.1, maxAttempts: 3,
		}}
		for range test.arrivals {
			budget.countArrival(0)
		}
		replica := &replicaState{}
		for range test.retries {
			budget.countAttempt(0, &subquery{isRetry: true}, replica)
		}
		if got := budget.hasRoom(); got != test.want {
			t.Errorf("%d arrivals, %d retries in %v: allowed %v", test.arrivals, test.retries, test.span, got)
		}
		budget.expire(test.span + 1)
		if test.span > 0 && (len(budget.arrivals)+len(budget.furtherAttempts) > 0 || !budget.hasRoom()) {
			t.Errorf("%d arrivals and %d retries still count after the span",
				len(budget.arrivals), len(budget.furtherAttempts))
		}
	}
}

// An attempt fails shortly before its query is given up. A retry that cannot be answered before that is not sent: it would
// reach its replica about when the client gets its answer.
func TestRetryThatCannotBeAnsweredInTimeIsNotSent(t *testing.T) {
	m := newModel(t, 0)
	m.keepOnly(102, 105)
	for range 100 {
		m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.answerAllAfter(20 * ms)
	}
	query := m.newQuery(0, 1, 420*ms)
	m.iterate()
	m.advance(420*ms - answerMargin - 10*ms)
	for _, flight := range m.inFlight() {
		if flight.subquery.query == query {
			m.endAttempt(flight.subquery, flight.number, Failed)
		}
	}
	sent := len(m.sent)
	m.iterate()
	m.advance(5 * ms)
	if len(m.sent) > sent {
		t.Errorf("a retry was sent %v before the deadline", query.deadlineAt-m.now)
	}
	if !query.ended {
		t.Error("the query is open though no answer can come")
	}
}
