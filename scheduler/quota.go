package scheduler

import "time"

const (
	quotaBurst    = 2.0 // seconds of its quota that a tenant may send at once
	minQuotaBurst = 2.0 // queries; the least of it
)

// tenantQuotas counts what each tenant may still send within its quota. A query beyond it is not rejected for that
// alone: admission gives it less of the time to its objective.
type tenantQuotas struct {
	rates  []float64 // queries a second, by tenant
	tokens []float64 // queries that are left now, by tenant
}

func newTenantQuotas(rates []float64) tenantQuotas {
	quotas := tenantQuotas{rates: rates}
	for _, rate := range rates {
		quotas.tokens = append(quotas.tokens, burst(rate))
	}
	return quotas
}

func burst(rate float64) float64 { return max(minQuotaBurst, rate*quotaBurst) }

// take counts a query of a tenant and reports whether the tenant is over its quota. Unless the quota is enforced none
// is.
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

// peerAdmitted counts a query of a tenant that another co-ordinator has admitted.
func (q *tenantQuotas) peerAdmitted(tenant TenantIndex) {
	if int(tenant) < len(q.rates) {
		q.tokens[tenant] = max(0, q.tokens[tenant]-1)
	}
}

// refill adds what the quotas allow for a time that has passed.
func (q *tenantQuotas) refill(passed time.Duration) {
	for tenant, rate := range q.rates {
		q.tokens[tenant] = min(burst(rate), q.tokens[tenant]+rate*passed.Seconds())
	}
}
