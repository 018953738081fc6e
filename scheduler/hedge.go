package scheduler

// Hedges: when a further attempt of a straggling subquery is sent to another replica while one is in flight. A
// straggler is an attempt that takes several times the expected time while most of its query is answered. Attempts
// that hang are hedged as well. Inputs are the attempt's age, the time left to the objective, the retry budget and
// tokens (retry.go), the replicas' reported utilization and the hedge tokens that replies earn. The attempt in flight
// is not cancelled; the first answer counts.
//
//	case                                  age of the attempt                            hedge token
//	straggler                             stragglerFactor x expected time x slowdown;   one
//	                                      less in a query of many subqueries
//	straggler, of the last twelfth        lastStragglerFactor x expected time           none
//	straggler, the only one missing       as any straggler                              none
//	attempt that hangs (outlier.go)       any, once it is presumed lost                 as above
//
// The ages of stragglers are also multiplied by the mean lateness of the query's other subqueries. Every hedge needs a
// retry token of the replica that it is sent to, and room in the retry budget.

import (
	"math"
	"time"
)

const (
	answeredForHedge = 0.8 // share of a query's other subqueries that must be answered before one is a straggler

	// manySubqueries is the number of subqueries above which a query, as it has more stragglers, hedges them at an
	// earlier age and with more time left to the objective.
	manySubqueries = 12.0

	// Multiples of an attempt's expected time.
	minStragglerFactor  = 2.5 // age of a straggler in a query of many subqueries, at least
	stragglerFactor     = 6.0 // age of a straggler in a query of few subqueries
	lastStragglerFactor = 1.5 // age of a straggler among the last twelfth of a query; a slowdown above 1 does not count

	// hedgeSlackFactor is a multiple of a hedge's expected time. While more time than that is left to the objective, or
	// until the query is given up, the attempt in flight is waited for.
	hedgeSlackFactor = 2.5

	hedgeTokensPerReply = 0.3             // hedge tokens that a reply from any replica earns
	maxHedgeTokens      = 24.0            // hedge tokens that can be accumulated
	maxMissingTokenFree = 1.5             // missing subqueries of a query up to which a hedge needs no token
	lastShareDivisor    = 12.0            // in a large query, the last twelfth needs no token either
	idleUtilization     = 0.4             // share of a replica's cores in use up to which hedges cause no delay
	busyUtilization     = 0.7             // share of cores in use from which a queue forms that hedges lengthen
	utilizationStep     = 0.05            // weight of a load report in the mean utilization
	loadReportMaxAge    = 2 * time.Second // below which a replica's own report is preferred to the mean of all
	loadReportsTimeout  = 5 * time.Second // without any load report, after which replicas count as idle
)

// hedgePolicy decides which attempts are hedged, and at which replica.
type hedgePolicy struct {
	parameters *parameters
	estimates  *latencyEstimator
	limits     *concurrencyLimiter
	outliers   *outlierDetector
	retries    *retryBudget
	placement  *placement

	tokens           float64 // hedge tokens that replies have earned
	meanUtilization  float64 // moving average of the share of cores in use, over all load reports
	lastLoadReportAt time.Duration
}

// loadReported records a load report, the share of a replica's cores in use; replica is nil if it is unknown.
func (h *hedgePolicy) loadReported(now time.Duration, replica *replicaState, utilization float64) {
	h.meanUtilization += utilizationStep * (utilization - h.meanUtilization)
	h.lastLoadReportAt = now
	if replica != nil {
		replica.utilization = utilization
		replica.utilizationAt = now
	}
}

// expireLoadReports resets the mean utilization once no replica has reported for loadReportsTimeout.
func (h *hedgePolicy) expireLoadReports(now time.Duration) {
	if now > h.lastLoadReportAt+loadReportsTimeout {
		h.meanUtilization = 0
	}
}

// earn adds the hedge tokens that a reply earns.
func (h *hedgePolicy) earn(now time.Duration, replica *replicaState) {
	earned := hedgeTokensPerReply * h.parameters.hedgeScale * h.headroom(now, replica)
	h.tokens = min(maxHedgeTokens*h.parameters.hedgeScale, h.tokens+earned)
}

// spend removes a token for a hedge that is sent, or what is left of one if the hedge needs no token.
func (h *hedgePolicy) spend() { h.tokens = max(0, h.tokens-1) }

// headroom returns a replica's spare capacity for hedges, from 0 to 1: by its own load report if that is recent,
// otherwise by the mean of all. Load reports are needed because one of many co-ordinators cannot tell from its own
// attempts that hedges cause congestion.
func (h *hedgePolicy) headroom(now time.Duration, replica *replicaState) float64 {
	utilization := h.meanUtilization
	if replica.utilizationAt > 0 && now-replica.utilizationAt < loadReportMaxAge {
		utilization = replica.utilization
	}
	return max(0, min(1, (busyUtilization-utilization)/(busyUtilization-idleUtilization)))
}

// target returns the replica to which a hedge of a subquery's last attempt is to be sent now, or nil if none is.
func (h *hedgePolicy) target(now time.Duration, attempt *attempt) *replicaState {
	if !h.wanted(now, attempt) {
		return nil
	}
	best := h.placement.cheapest(attempt.subquery, func(replica *replicaState) time.Duration {
		return h.cost(now, attempt, replica)
	})
	if best == nil || attempt.subquery.query.nearlyReplied(maxMissingTokenFree) ||
		h.tokens*h.headroom(now, best) >= 1 {
		return best
	}
	return nil
}

// wanted reports whether an attempt is a straggler or hangs, and another attempt of its subquery is allowed.
func (h *hedgePolicy) wanted(now time.Duration, attempt *attempt) bool {
	subquery := attempt.subquery
	settled := subquery.answered || subquery.abandoned || subquery.queued || subquery.hasUnconfirmedReply()
	if !h.parameters.hedgeAllowed || settled || !h.retries.allowsFurther(now, subquery) || !h.retries.hasRoom() {
		return false
	}
	return now-attempt.sentAt >= attempt.stragglerAge(stragglerFactor) || h.outliers.hangs(now, attempt)
}

// cost returns the expected time of a hedge at a replica, or forbiddenCost if the hedge must not be sent there or it is
// better to wait for the attempt in flight.
func (h *hedgePolicy) cost(now time.Duration, attempt *attempt, replica *replicaState) time.Duration {
	subquery := attempt.subquery
	query := subquery.query
	mustWait := h.limits.atLimit(replica) || h.retries.backsOff(now, replica, subquery, false)
	if mustWait || subquery.mayHaveRunAt(replica) || !h.retries.hasToken(replica) {
		return forbiddenCost
	}
	age := now - attempt.sentAt
	finish := h.estimates.expectedFinish(now, replica, subquery.work)
	if finish >= min(query.givenUpAt()-now, max(age, 2*attempt.expected)) {
		return forbiddenCost
	}
	urgent := h.outliers.hangs(now, attempt) && h.headroom(now, replica) > 0
	neededAt := min(query.objectiveAt, query.givenUpAt())
	if !urgent && now+scale(finish, hedgeSlackFactor*max(1, query.relativeFanout())) <= neededAt {
		return forbiddenCost
	}
	return finish
}

// relativeFanout returns the number of the query's subqueries divided by manySubqueries.
func (q *query) relativeFanout() float64 { return float64(len(q.subqueries)) / manySubqueries }

// nearlyReplied reports whether at most the last twelfth of a query, or at most maxMissing subqueries, has no reply.
func (q *query) nearlyReplied(maxMissing float64) bool {
	return q.withoutReply() <= max(maxMissing, float64(len(q.subqueries))/lastShareDivisor)
}

// stragglerAge returns the age from which an attempt is a straggler: factor times its expected time, scaled by its
// replica's slowdown and by the lateness of the query's other subqueries, and less in a query of many subqueries. Once
// at most the last twelfth of the query is missing, lastStragglerFactor applies whatever the factor. While most of the
// others are unanswered no attempt is a straggler, as the query is heavy or the replicas are congested.
func (a *attempt) stragglerAge(factor float64) time.Duration {
	query := a.subquery.query
	fanout := query.relativeFanout()
	if query.replied < answeredForHedge*min(1, fanout)*float64(len(query.subqueries)-1) {
		return math.MaxInt64
	}
	slowdown := a.replica.slowdown
	multiple := max(minStragglerFactor, factor/max(1, fanout))
	if query.nearlyReplied(0) {
		multiple = lastStragglerFactor
		slowdown = min(1, slowdown)
	}
	lateness := max(1, (1+query.latenessSum)/(1+query.replied))
	return scale(a.expected, multiple*slowdown*lateness)
}
