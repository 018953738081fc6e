package scheduler

// Hedges: when a second attempt of a straggling subquery goes to another replica while the first is in flight. A
// straggler takes several times the expected time while most of its query is answered, or hangs. Inputs are the
// attempt's age, the time left to the objective, the retry budget and tokens (retry.go), the replicas' reported
// utilization and the hedge tokens that replies earn. The attempt in flight goes on; the first answer counts.
//
//	case                                  age of the attempt                            hedge token
//	straggler                             hedgePatience x expected time x slowdown;     one
//	                                      less in a query of many subqueries
//	straggler, of the last twelfth        lastStragglerAge x expected time              none
//	straggler, the only one missing       as any straggler                              none
//	attempt that hangs (outlier.go)       any, once it counts as lost                   as above
//
// Ages of stragglers are multiplied by how late the query's other subqueries were as well. All need a retry token of
// the hedge's replica and a place in the retry budget.

import (
	"math"
	"time"
)

const (
	answeredForHedge    = 0.8  // share of a query's other subqueries that must be answered before one is a straggler
	manySubqueries      = 12.0 // subqueries; a query of more has more stragglers: less patience, and more room for a hedge
	minStragglerFactor  = 2.5  // times the expected time; an attempt is a straggler no sooner
	stragglerFactor     = 6.0  // times the expected time after which a hedge is thought of
	hedgeHeadroomFactor = 2.5  // times a hedge's expected time; while more is left the first attempt is waited for

	hedgeTokensPerReply    = 0.3             // hedges that a reply earns, from whichever replica
	maxHedgeTokens         = 24.0            // hedges that may be saved up
	maxMissingWithoutToken = 1.5             // subqueries; while no more of a query are missing, a hedge needs no token
	lastShareDivisor       = 12.0            // of a large query the last twelfth needs none either
	lastStragglerFactor    = 1.5             // times the expected time at a sound replica, for the last twelfth
	idleUtilization        = 0.4             // share of a replica's cores in use, up to which hedges delay nobody
	busyUtilization        = 0.7             // the same; from here a queue forms, and each hedge makes it longer
	utilizationStep        = 0.05            // weight of a load report in the mean utilization
	loadReportMaxAge       = 2 * time.Second // for which a replica's own report tells more than the mean of all
	loadReportsTimeout     = 5 * time.Second // without any load report, after which replicas count as idle
)

// hedgePolicy decides on hedges.
type hedgePolicy struct {
	parameters *parameters
	estimates  *latencyEstimator
	limits     *concurrencyLimiter
	outliers   *outlierDetector
	retries    *retryBudget
	placement  *placement

	tokens           float64 // hedges that replies have earned
	meanUtilization  float64 // share of the replicas' cores in use, by their reports
	lastLoadReportAt time.Duration
}

// loadReported records a replica's report of the share of its cores in use; replica is nil if it is not known.
func (h *hedgePolicy) loadReported(now time.Duration, replica *replicaState, utilization float64) {
	h.meanUtilization += utilizationStep * (utilization - h.meanUtilization)
	h.lastLoadReportAt = now
	if replica != nil {
		replica.utilization = utilization
		replica.utilizationAt = now
	}
}

// expireLoadReports lets replicas count as idle once nobody has reported for a while.
func (h *hedgePolicy) expireLoadReports(now time.Duration) {
	if now > h.lastLoadReportAt+loadReportsTimeout {
		h.meanUtilization = 0
	}
}

// earn adds the tokens of a reply.
func (h *hedgePolicy) earn(now time.Duration, replica *replicaState) {
	earned := hedgeTokensPerReply * h.parameters.hedgeScale * h.headroom(now, replica)
	h.tokens = min(maxHedgeTokens*h.parameters.hedgeScale, h.tokens+earned)
}

// spend takes a token for a hedge that is sent. One that needs no token takes what there is.
func (h *hedgePolicy) spend() { h.tokens = max(0, h.tokens-1) }

// headroom is how much headroom a replica has for hedges, from 0 to 1: by its own report if that is fresh, else by the mean
// of all. One of many co-ordinators does not see by itself that hedges make a jam.
func (h *hedgePolicy) headroom(now time.Duration, replica *replicaState) float64 {
	utilization := h.meanUtilization
	if replica.utilizationAt > 0 && now-replica.utilizationAt < loadReportMaxAge {
		utilization = replica.utilization
	}
	return max(0, min(1, (busyUtilization-utilization)/(busyUtilization-idleUtilization)))
}

// target is where a hedge beside a subquery's last attempt is to go now; nil: nowhere.
func (h *hedgePolicy) target(now time.Duration, attempt *attempt) *replicaState {
	if !h.wanted(now, attempt) {
		return nil
	}
	best := h.placement.cheapest(attempt.subquery, func(replica *replicaState) time.Duration {
		return h.cost(now, attempt, replica)
	})
	if best == nil || attempt.subquery.query.nearlyAnswered(maxMissingWithoutToken) || h.tokens*h.headroom(now, best) >= 1 {
		return best
	}
	return nil
}

// wanted reports whether an attempt is a straggler or hangs, and another attempt of its subquery may go.
func (h *hedgePolicy) wanted(now time.Duration, attempt *attempt) bool {
	subquery := attempt.subquery
	settled := subquery.answered || subquery.abandoned || subquery.queued
	if !h.parameters.hedgeAllowed || settled || !h.retries.allowsFurther(now, subquery) || !h.retries.hasRoom() {
		return false
	}
	return now-attempt.sentAt >= attempt.stragglerAge(stragglerFactor) || h.outliers.hangs(now, attempt)
}

// cost is the expected time of a hedge at a replica; forbiddenCost: it must not go there, or the first attempt is
// better waited for.
func (h *hedgePolicy) cost(now time.Duration, attempt *attempt, replica *replicaState) time.Duration {
	subquery := attempt.subquery
	query := subquery.query
	waits := h.limits.atLimit(replica) || h.retries.backsOff(now, replica, subquery, false)
	if waits || subquery.mayHaveRunAt(replica) || !h.retries.hasToken(replica) {
		return forbiddenCost
	}
	age := now - attempt.sentAt
	finish := h.estimates.expectedFinish(now, replica, subquery.work)
	if finish >= min(query.deadlineAt-now, max(age, 2*attempt.expected)) {
		return forbiddenCost
	}
	urgent := h.outliers.hangs(now, attempt) && h.headroom(now, replica) > 0
	if !urgent && now+scale(finish, hedgeHeadroomFactor*max(1, query.relativeFanout())) <= query.objectiveAt {
		return forbiddenCost
	}
	return finish
}

// relativeFanout is the number of the query's subqueries over manySubqueries.
func (q *query) relativeFanout() float64 { return float64(len(q.subqueries)) / manySubqueries }

// nearlyAnswered reports whether no more than the last twelfth of a query, or than so many subqueries, are missing.
func (q *query) nearlyAnswered(subqueries float64) bool {
	return q.unanswered() <= max(subqueries, float64(len(q.subqueries))/lastShareDivisor)
}

// stragglerAge is the age from which an attempt is a straggler among its query's: so many times the time that the
// query's other subqueries took over theirs, fewer with many subqueries. While most others are unanswered there is
// none, as the query is heavy or the replicas are in a jam.
func (a *attempt) stragglerAge(times float64) time.Duration {
	query := a.subquery.query
	fanout := query.relativeFanout()
	if query.answered < answeredForHedge*min(1, fanout)*float64(len(query.subqueries)-1) {
		return math.MaxInt64
	}
	slowdown := a.replica.slowdown
	multiple := max(minStragglerFactor, times/max(1, fanout))
	if query.nearlyAnswered(0) {
		multiple = lastStragglerFactor
		slowdown = min(1, slowdown)
	}
	lateness := max(1, (1+query.latenessSum)/(1+query.answered))
	return scale(a.expected, multiple*slowdown*lateness)
}
