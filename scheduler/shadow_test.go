package scheduler

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"
)

// Shadow evaluation counts the decisions that would be different and changes none.
func TestShadowChangesNoDecision(t *testing.T) {
	run := func(enabled bool) (sent []RequestID, counts ShadowCounts) {
		m := newModel(t, 0)
		m.restartAsOneOf(3, 0)
		if enabled {
			other := maps.Clone(m.settings)
			other["balancers"], other["weightKind"] = "400", "nominal"
			if err := m.scheduler.EnableShadow(configOf(t, other)); err != nil {
				t.Fatal(err)
			}
		}
		for n, id := range m.order {
			r := m.replicas[id]
			m.scheduler.EndpointListed(m.now, Endpoint{
				ID: id, State: r.state, Started: r.startedAt, Cell: CellNumber(r.cell), Size: float64(1 + n%3)})
		}
		m.iterate()
		for _, id := range m.order {
			m.replica(id).outstandingWork = 300 * ms
		}
		for n := range 40 {
			m.nextShard = n
			m.newQuery(0, 1+n%4, 3*time.Second)
			m.iterate()
			m.advance(10 * ms)
		}
		counts, _ = m.scheduler.ShadowCounts()
		return m.sent, counts
	}
	sentAlone, none := run(false)
	sent, counts := run(true)
	if len(sentAlone) == 0 || !slices.Equal(sentAlone, sent) {
		t.Errorf("%d attempts without a shadow, %d with one, or in a different order", len(sentAlone), len(sent))
	}
	if none != (ShadowCounts{}) {
		t.Errorf("counted without a shadow: %+v", none)
	}
	if counts.Queries != 40 || counts.WouldReject == 0 ||
		counts.WouldPlaceElsewhere == 0 || counts.WouldPlaceElsewhere > counts.Subqueries {
		t.Errorf("counted %+v", counts)
	}
}

func TestShadowWithAnIncomparableConfigurationIsRejected(t *testing.T) {
	m := newModel(t, 0)
	var invalid *SettingError
	if err := m.scheduler.EnableShadow(Config{Coordinators: 3}); !errors.As(err, &invalid) {
		t.Errorf("an incomplete configuration: %v", err)
	}
	for _, change := range []func(*Config){
		func(config *Config) { config.Classes = config.Classes[1:] },
		func(config *Config) { config.Cells++ },
		func(config *Config) { config.CellsPerShard++ },
	} {
		config := configOf(t, m.settings)
		change(&config)
		if err := m.scheduler.EnableShadow(config); !errors.Is(err, ErrShadowMismatch) {
			t.Errorf("%+v: %v", config, err)
		}
	}
	if _, enabled := m.scheduler.ShadowCounts(); enabled {
		t.Error("shadow evaluation is enabled after an error")
	}
}

// Each kind of decision that depends on HedgeAllowed is counted if it differs, and only then.
func TestShadowCountsTimeoutsAndHedges(t *testing.T) {
	run := func(allowed bool, shadow string) (counts ShadowCounts, attempts int) {
		bits := 0
		if !allowed {
			bits = 1
		}
		m := newModel(t, bits)
		other := maps.Clone(m.settings)
		other["bounds.secondCopies"] = shadow
		if err := m.scheduler.EnableShadow(configOf(t, other)); err != nil {
			t.Fatal(err)
		}
		q := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		m.advance(2500 * ms)
		counts, _ = m.scheduler.ShadowCounts()
		return counts, len(q.subqueries[0].attempts)
	}
	for _, test := range []struct {
		allowed                               bool
		shadow                                string
		attempts, timeouts, notHedged, hedged int
	}{
		{true, "true", 3, 0, 0, 0},
		{true, "false", 3, 1, 2, 0}, // the last attempt has no timeout under either
		{false, "false", 1, 0, 0, 0},
		{false, "true", 1, 1, 0, 1},
	} {
		counts, attempts := run(test.allowed, test.shadow)
		want := ShadowCounts{Queries: counts.Queries, Subqueries: counts.Subqueries, Attempts: test.attempts,
			WouldTimeOutOtherwise: test.timeouts, WouldNotHedge: test.notHedged, WouldHedge: test.hedged}
		if attempts != test.attempts || counts != want {
			t.Errorf("hedges allowed %t, in the shadow %s: %d attempts, %+v",
				test.allowed, test.shadow, attempts, counts)
		}
	}
}
