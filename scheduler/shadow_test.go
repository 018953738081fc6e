package scheduler

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// What other settings would decide is counted and nothing else changes.
func TestWatchingDecidesNothing(t *testing.T) {
	run := func(watch bool) (sent []RequestID, w ShadowCounts) {
		m := newModel(t, 0)
		m.restartAsOneOf(3, 0)
		if watch {
			other := map[string]string{}
			for k, v := range m.settings {
				other[k] = v
			}
			other["balancers"], other["weightKind"] = "400", "nominal"
			if err := m.scheduler.EnableShadow(configOf(t, other)); err != nil {
				t.Fatal(err)
			}
		}
		for n, id := range m.order {
			r := m.replicas[id]
			m.scheduler.EndpointListed(m.now, Endpoint{ID: id, State: r.state, Started: r.startedAt, Cell: CellNumber(r.cell), Size: float64(1 + n%3)})
		}
		m.iterate()
		for _, id := range m.order {
			m.replica(id).outstandingWork = 300 * ms
		}
		for n := range 40 {
			m.nextShard = n
			m.newQuery(0, 1+n%4, 3*time.Second)
			m.iterate()
			m.pass(10 * ms)
		}
		w, _ = m.scheduler.ShadowCounts()
		return m.sent, w
	}
	as, none := run(false)
	watched, w := run(true)
	if len(as) == 0 || !slices.Equal(as, watched) {
		t.Errorf("%d legs, %d while watching", len(as), len(watched))
	}
	if none.Queries != 0 || w.Queries != 40 || w.WouldReject == 0 || w.WouldPlaceElsewhere == 0 || w.WouldPlaceElsewhere > w.Subqueries {
		t.Errorf("not watching %+v, watching %+v", none, w)
	}
	m := newModel(t, 0)
	if err := m.scheduler.EnableShadow(Config{Coordinators: 3}); err == nil {
		t.Error("settings that lack most are watched")
	}
}

// Each kind of decision that second copies reach is counted where it differs, and not where it does not.
func TestWatchingCountsTimeOutsAndCopies(t *testing.T) {
	run := func(allowed bool, watched string) (w ShadowCounts, attempts int) {
		bits := 0
		if !allowed {
			bits = 1
		}
		m := newModel(t, bits)
		other := maps.Clone(m.settings)
		other["bounds.secondCopies"] = watched
		if err := m.scheduler.EnableShadow(configOf(t, other)); err != nil {
			t.Fatal(err)
		}
		q := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.pass(2500 * ms)
		w, _ = m.scheduler.ShadowCounts()
		return w, len(q.subqueries[0].attempts)
	}
	for _, c := range []struct {
		allowed                               bool
		watched                               string
		attempts, timeOuts, notCopied, copied int
	}{
		{true, "true", 3, 0, 0, 0},
		{true, "false", 3, 1, 2, 0}, // the last attempt has no time-out under either
		{false, "false", 1, 0, 0, 0},
		{false, "true", 1, 1, 0, 1},
	} {
		w, attempts := run(c.allowed, c.watched)
		if attempts != c.attempts || w.Attempts != attempts || w.WouldTimeOutOtherwise != c.timeOuts || w.WouldNotHedge != c.notCopied || w.WouldHedge != c.copied {
			t.Errorf("copies allowed %v, watched %s: %d legs, %+v", c.allowed, c.watched, attempts, w)
		}
	}
}
