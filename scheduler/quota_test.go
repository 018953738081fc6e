package scheduler

import (
	"testing"
	"time"
)

// A tenant sends twelve queries at once, more than its quota allows. Those beyond it are marked; but the first of a
// tenant is not, even where this co-ordinator's share of the quota is less than one.
func TestQueriesBeyondTheQuotaAreMarked(t *testing.T) {
	m := newModel(t, 32)
	for range 12 {
		m.newQuery(0, 1, 3*time.Second)
	}
	over := 0
	for _, query := range m.scheduler.open {
		if query.overQuota {
			over++
		}
	}
	if over != 8 {
		t.Errorf("%d of 12 at once past a share of 2 a second", over)
	}
	m.restartAsOneOf(40, 0) // whose share would be under one query
	if m.newQuery(0, 1, 3*time.Second); m.scheduler.open[0].overQuota {
		t.Error("the first query of a tenant counts as past its share")
	}
}
