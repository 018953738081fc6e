package scheduler

import (
	"testing"
	"time"
)

// A tenant sends twelve queries at once, more than its quota allows. The excess queries are marked as over quota. A
// tenant's first query is not, even if this co-ordinator's share of the quota is less than one query.
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
		t.Errorf("%d of 12 queries at once over a quota share of 2 a second", over)
	}
	m.restartAsOneOf(40, 0) // the quota share is less than one query
	if m.newQuery(0, 1, 3*time.Second); m.scheduler.open[0].overQuota {
		t.Error("the first query of a tenant counts as over its quota")
	}
}

// A quota allows a burst, refills up to that burst, and counts the queries that peers admit.
func TestTenantQuotas(t *testing.T) {
	quotas := newTenantQuotas([]float64{4, 0.5})
	take := func(tenant TenantIndex, count int) (over int) {
		for range count {
			if quotas.take(tenant, true) {
				over++
			}
		}
		return over
	}
	if over := take(0, 10); over != 2 {
		t.Errorf("%d of 10 over a quota with a burst of 8", over)
	}
	if over := take(1, 3); over != 1 {
		t.Errorf("%d of 3 over a small quota with a burst of 2", over)
	}
	quotas.refill(time.Second)
	quotas.peerAdmitted(0)
	if over := take(0, 5); over != 2 {
		t.Errorf("%d of 5 over a quota that was refilled by 4, of which a peer used one", over)
	}
	quotas.refill(time.Hour)
	if over := take(0, 10); over != 2 {
		t.Errorf("%d of 10 over a fully refilled quota with a burst of 8", over)
	}
	if quotas.take(0, false) || quotas.take(7, true) {
		t.Error("over a quota that is not enforced, or of an unknown tenant")
	}
}
