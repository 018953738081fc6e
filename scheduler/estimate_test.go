package scheduler

import (
	"math"
	"slices"
	"testing"
	"time"
)

// This co-ordinator is stalled and then receives all answers at once. Its own stall must not be attributed to the
// replicas.
func TestLocalStallDoesNotRaiseSlowdowns(t *testing.T) {
	for _, slow := range []bool{false, true} {
		m := newModel(t, 0)
		m.newQuery(0, 4, 3*time.Second)
		m.iterate()
		if slow {
			m.advance(700 * ms)
		}
		m.now += 800*ms - min(m.now-time.Second, 700*ms)
		for _, flight := range m.inFlight() {
			m.answer(flight)
		}
		var slowdowns []float64
		for _, replica := range m.scheduler.replicas.all {
			slowdowns = append(slowdowns, replica.slowdown)
		}
		if got := slices.Max(slowdowns) > 1.1; got != slow {
			t.Errorf("slowdowns %v after 800 ms, replicas slow: %v", slowdowns, slow)
		}
	}
}

// A replica of twice the size takes half the time for a subquery, if the settings say that listed sizes state this.
func TestListedSizesScaleExpectedTimes(t *testing.T) {
	for kind, want := range map[string]bool{"off": false, "nominal": true} {
		m := newModel(t, 0)
		m.settings["weightKind"] = kind
		m.start(1)
		for n, id := range m.order {
			replica := m.replicas[id]
			m.scheduler.EndpointListed(m.now, Endpoint{
				ID:      id,
				State:   replica.state,
				Started: replica.startedAt,
				Cell:    CellNumber(replica.cell),
				Size:    float64(1 + n%2),
			})
		}
		m.iterate()
		m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		small := m.scheduler.estimates.timePerWork(m.replica(m.order[0]))
		large := m.scheduler.estimates.timePerWork(m.replica(m.order[1]))
		if got := small > 1.9*large; got != want {
			t.Errorf("%s: time per work %.2f at the small and %.2f at the large replica", kind, small, large)
		}
	}
}

// Many attempts are sent with the same estimate of the work, and all replies show that it is four times too high. They
// must move the estimate to what they show and not beyond it, and never outside its bounds.
func TestConcurrentRepliesDoNotOvercorrectWork(t *testing.T) {
	m := newModel(t, 0)
	start := m.scheduler.classes[0].subqueryWork
	for range 60 {
		m.newQuery(0, 4, 3*time.Second)
	}
	m.iterate()
	for range 60 {
		m.answerAllAfter(start / 4)
	}
	if got := m.scheduler.classes[0].subqueryWork; got < start/16 || got > start {
		t.Errorf("work of %v after replies in %v, from %v", got, start/4, start)
	}
	for range 4000 {
		m.scheduler.classes[0].learnWork(-1)
	}
	if work := m.scheduler.classes[0].subqueryWork; work < minWork || math.IsNaN(m.scheduler.classes[0].workPerHint) {
		t.Errorf("work of %v, hint %v after 4000 downward corrections", work, m.scheduler.classes[0].workPerHint)
	}
}

// Replies wait unread because this co-ordinator's core is busy. Latency explained by that must not halve limits or
// raise slowdowns; the same latency without a read delay does.
func TestReadDelayIsNotAttributedToReplicas(t *testing.T) {
	for _, delay := range []time.Duration{0, 200 * ms} {
		m := newModel(t, 0)
		m.keepOnly(102)
		replica := m.replica(102)
		for range 20 {
			m.newQuery(0, 1, 3*time.Second)
			m.iterate()
			m.answerAllAfter(80 * ms)
		}
		before := replica.limit
		for range 8 {
			m.scheduler.ReadDelayed(m.now, delay)
			m.newQuery(0, 1, 3*time.Second)
			m.iterate()
			m.answerAllAfter(500 * ms)
		}
		if kept := replica.limit >= before && replica.slowdown < 2; kept != (delay > 0) {
			t.Errorf("read delay %v: limit %v before, %v after, slowdown %v",
				delay, before, replica.limit, replica.slowdown)
		}
	}
}
