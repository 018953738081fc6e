package scheduler

import (
	"math"
	"slices"
	"testing"
	"time"
)

// This co-ordinator stood still and then finds all answers at once. Its own pause must not count as the replicas'.
func TestOwnPauseDoesNotRaiseSlowdowns(t *testing.T) {
	for _, slow := range []bool{false, true} {
		m := newModel(t, 0)
		m.newQuery(0, 4, 3*time.Second)
		m.iterate()
		if slow {
			m.pass(700 * ms)
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
			t.Errorf("slowdowns %v after 800 ms, slow %v", slowdowns, slow)
		}
	}
}

// A replica twice as large takes half the time for a subquery, where the settings say that listed sizes tell that.
func TestListedSizesCount(t *testing.T) {
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
			t.Errorf("%s: a subquery takes %.2f and %.2f", kind, small, large)
		}
	}
}

// Many attempts are sent by one estimate of the work, and all their replies show it four times too long. They move it
// to what they show and not beyond, and nothing moves it out of its bounds.
func TestManyRepliesMoveTheWorkNoFurtherThanTheyShow(t *testing.T) {
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
	if u := m.scheduler.classes[0].subqueryWork; u < minWork || math.IsNaN(m.scheduler.classes[0].workPerHint) {
		t.Errorf("work of %v, hint %v after endless surprises", u, m.scheduler.classes[0].workPerHint)
	}
}

// Replies wait here unread, as this co-ordinator's own core is busy. What that explains must not halve limits or
// raise slowdowns; without it they do.
func TestOwnReadDelaySaysNothingAgainstReplicas(t *testing.T) {
	for _, behind := range []time.Duration{0, 200 * ms} {
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
			m.scheduler.ReadDelayed(m.now, behind)
			m.newQuery(0, 1, 3*time.Second)
			m.iterate()
			m.answerAllAfter(500 * ms)
		}
		if kept := replica.limit >= before && replica.slowdown < 2; kept != (behind > 0) {
			t.Errorf("behind %v: limit %v before, %v after, slowdown %v", behind, before, replica.limit, replica.slowdown)
		}
	}
}
