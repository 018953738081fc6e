package scheduler

import "time"

const (
	quotaBurst    = 2.0 // seconds' worth of its quota that a tenant may send at once
	minQuotaBurst = 2.0 // queries; lower bound of a tenant's burst
)

// tenantQuotas is a token bucket for each tenant. A query over its tenant's quota is not rejected for that alone:
// admission control allows it a smaller share of the time to its objective.
type tenantQuotas struct {
	rates  []float64 // queries per second, by tenant
	tokens []float64 // queries that may be sent now, by tenant; below 0 if more were sent with the quota not enforced
}

func newTenantQuotas(rates []float64) tenantQuotas {
	quotas := tenantQuotas{rates: rates}
	for _, rate := range rates {
		quotas.tokens = append(quotas.tokens, burst(rate))
	}
	return quotas
}

func burst(rate float64) float64 { return max(minQuotaBurst, rate*quotaBurst) }

// take counts a tenant's query and reports whether the tenant is over its quota. No tenant is over a quota that is not
// enforced.
func (q *tenantQuotas) take(tenant TenantIndex, enforced bool) (over bool) {
	if int(tenant) >= len(q.rates) {
		return false
	}
	if enforced && q.tokens[tenant] < 1 {
		return true
	}
	q.tokens[tenant]--
	return false
}

// peerAdmitted counts a tenant's query that another co-ordinator admitted.
func (q *tenantQuotas) peerAdmitted(tenant TenantIndex) {
	if int(tenant) < len(q.rates) {
		q.tokens[tenant] = max(0, q.tokens[tenant]-1)
	}
}

// refill adds the tokens for the elapsed time.
func (q *tenantQuotas) refill(elapsed time.Duration) {
	for tenant, rate := range q.rates {
		q.tokens[tenant] = min(burst(rate), q.tokens[tenant]+rate*elapsed.Seconds())
	}
}
