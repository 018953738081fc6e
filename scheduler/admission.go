package scheduler

// Admission control: a query is rejected on arrival if it is not expected to meet its latency objective.
// admissionController.decide makes the decision once for each query: Scheduler.place calls it after placing the
// query's subqueries, and Scheduler.reject carries out a rejection through Host.Reject.
//
// A query whose subqueries have been placed at n replicas is rejected if
//
//	mean(finish) x slowestFactor(n)  >  (time to the objective) / latenessFactor     [x overQuotaShare over quota]
//
// or if the replicas that finish within the right-hand side hold too little weight for any answer. finish is a
// replica's expected finish time, and slowestFactor scales it to that of the slowest of n replicas (estimate.go). For
// a query whose second phase is still to come, that phase's slowestFactor is added on the left, and an allowance for
// its work is subtracted from the time on the right. latenessFactor rises with each query that ends late and falls
// with each that ends in time, so that about one query in twenty is late.
//
// A rejection carries the time after which the client may retry: the excess of the left side over the right, at most
// Config.MaxRetryAfter. 0 means that no time is given.
//
// While peers are silent, both sides are divided by unseenLoad, the factor that allows for the work they may have
// sent, so it cancels out of the comparison above. It remains in the second phase's allowance, in the bound on each
// replica's finish, in the bound above which a replica is tested by a trial, and in the time after which the client may
// retry.
//
// A wrong estimate would never be corrected if it kept all queries away from the replicas. So a query is occasionally
// admitted against the estimate, as a trial. A trial tests the estimate; a probe (outlier.go) tests an ejected
// replica.
//
// Other rejections are decided elsewhere; the response body distinguishes them:
//
//	body                                  decided by                                  counter
//	turned back                           here; two-phase queries: twophase/query.go  turned_back; refused_questions
//	busy                                  overload, by coordinator/admission.go       busy
//	too much is open                      coordinator/arrival.go                      full
//	its time was over before it was read  coordinator/arrival.go                      expired
//	too many large requests               server/reading.go                           bad

import (
	"math"
	"slices"
	"time"
)

const (
	targetLateShare = 0.05 // share of queries that end after their objective

	// Steps of the lateness factor's logarithm. The step grows with the time since the last one: with a small fixed
	// step, a co-ordinator that sees few queries of a class would react to congestion only after it is over.
	minLatenessStep       = 0.1
	latenessStepPerSecond = 0.2 // per second since the class's lateness factor was last adjusted
	maxLatenessStep       = 0.7
	latenessDecaySeconds  = 8.0 // time constant with which the factor decays towards 1
	maxLatenessFactor     = 6.0

	// Trials of the estimate.
	firstTrialInterval     = 500 * time.Millisecond // from the first rejection to the first trial
	maxTrialInterval       = 2 * time.Second        // from a late trial to the next, at most
	maxTrialIntervalFactor = 60.0                   // upper bound of trialIntervalFactor
	maxTrialLimit          = 64.0                   // attempts in flight; more would teach the estimate nothing new

	sheddingQuietPeriod = 5 * time.Second // without a rejection, after which load shedding counts as ended

	overQuotaShare = 0.3 // share of the time to the objective that a query over its tenant's quota may use
)

// classAdmission is the state of admission control for one class.
type classAdmission struct {
	latenessFactor     float64       // multiple of the expected time that queries are assumed to need, at least 1
	latenessAdjustedAt time.Duration // when a query last changed latenessFactor
	lastExcessAt       time.Duration // when a new query last exceeded its bound; 0: never

	// Trials of the estimate.
	trialLimit    float64       // attempts in flight at a slow replica at which it gets no more trials
	nextTrialAt   time.Duration // earliest time of the next trial
	trialInterval time.Duration // from a late trial to the next
}

// admissionController decides whether a new query is admitted. Its state for each class is in classAdmission.
type admissionController struct {
	parameters     *parameters
	estimates      *latencyEstimator
	replicas       *replicaSet
	outliers       *outlierDetector
	lastRejectedAt time.Duration // 0: never
}

// admissionDecision is whether a new query is admitted or rejected.
type admissionDecision struct {
	rejected       bool
	retryAfter     time.Duration // after which the client may retry; 0: none is given
	startsShedding bool          // this is the first rejection since sheddingQuietPeriod
}

// decide admits or rejects a query whose subqueries have just been placed. unseenLoad is the factor on expected times
// for work that silent peers may have sent; 1 if the peers report what they send.
func (a *admissionController) decide(
	now time.Duration, query *query, placed []*subquery, unseenLoad float64,
) admissionDecision {
	excess, bound := a.expectedExcess(now, query, unseenLoad)
	if excess <= 0 || a.admitAsTrial(now, query, placed, bound) {
		return admissionDecision{}
	}
	startsShedding := a.lastRejectedAt == 0 || now > a.lastRejectedAt+sheddingQuietPeriod
	a.lastRejectedAt = now
	return admissionDecision{
		rejected:       true,
		retryAfter:     min(excess, a.parameters.maxRetryAfter),
		startsShedding: startsShedding,
	}
}

// expectedExcess returns the bound on a query's expected time and by how much the query is expected to exceed it; 0
// or less if it does not. It has no side effects.
func (a *admissionController) expectedExcess(
	now time.Duration, query *query, unseenLoad float64,
) (excess, bound time.Duration) {
	fetchFactor := a.fetchPhaseFactor(query)
	bound = finishBound(query, fetchFactor, unseenLoad)
	replicas, sum := a.expectedFinishSum(now, query)
	factor := fetchFactor + a.estimates.slowestFactor(len(replicas))
	excess = scale(sum, factor/(unseenLoad*float64(max(1, len(replicas))))) - bound
	if a.minimumWeightInTime(now, query, bound) {
		return excess, bound
	}
	for _, replica := range replicas {
		excess = max(excess, a.expectedFinish(now, replica)-bound)
	}
	return excess, bound
}

// fetchPhaseFactor returns the slowest factor of a second phase that is still to come, or 0 if there is none. Its
// subqueries are assumed to take as long as those of the first phase.
func (a *admissionController) fetchPhaseFactor(query *query) float64 {
	if query.class.fetchSubqueries == 0 || query.phase > 0 {
		return 0
	}
	return a.estimates.slowestFactor(query.class.fetchSubqueries)
}

// finishBound returns the bound on a query's expected time: the time to the objective less the second phase's work,
// divided by the lateness factor and unseenLoad, and multiplied by overQuotaShare if the tenant is over its quota.
func finishBound(query *query, fetchFactor, unseenLoad float64) time.Duration {
	left := query.objectiveAt - query.arrivedAt
	left -= scale(query.class.subqueryWork, unseenLoad*fetchFactor)
	bound := scale(left, 1/(query.class.admission.latenessFactor*unseenLoad))
	if query.overQuota {
		bound = scale(bound, overQuotaShare)
	}
	return bound
}

// minimumWeightInTime reports whether the subqueries whose replicas are expected to finish within the bound, together
// with those that are queued for no replica, have enough weight for an answer.
func (a *admissionController) minimumWeightInTime(now time.Duration, query *query, bound time.Duration) bool {
	return query.reachesMinimum(func(subquery *subquery) bool {
		return subquery.replica == nil || a.expectedFinish(now, subquery.replica) <= bound
	})
}

// expectedFinishSum returns the replicas that a query's subqueries are queued for, and the sum of their expected
// finish times. Subqueries at the same replica count once, as they end together.
func (a *admissionController) expectedFinishSum(
	now time.Duration, query *query,
) (replicas []*replicaState, sum time.Duration) {
	for _, subquery := range query.subqueries {
		replica := subquery.replica
		if replica != nil && !slices.Contains(replicas, replica) {
			replicas = append(replicas, replica)
			sum += a.expectedFinish(now, replica)
		}
	}
	return replicas, sum
}

func (a *admissionController) expectedFinish(now time.Duration, replica *replicaState) time.Duration {
	return a.estimates.expectedFinish(now, replica, 0)
}

// admitAsTrial reports whether a query that would be rejected is admitted, either as a trial of the estimate at the
// replicas whose expected finish exceeds the bound, or to send an ejected replica its overdue probe. A slow replica
// gets no trial while it has trialLimit attempts in flight. Each trial that ends in time doubles that limit; a late
// one resets it to 1 and starts a wait.
func (a *admissionController) admitAsTrial(
	now time.Duration, query *query, placed []*subquery, bound time.Duration,
) bool {
	state := &query.class.admission
	if state.lastExcessAt == 0 || now > state.lastExcessAt+sheddingQuietPeriod {
		wait := scale(firstTrialInterval, a.trialIntervalFactor(query))
		state.trialLimit = 1
		state.trialInterval = wait
		state.nextTrialAt = now + wait
	}
	state.lastExcessAt = now
	bound = scale(bound, state.latenessFactor) // the lateness factor decays by itself and needs no trial
	tooSlow := func(subquery *subquery) bool {
		return subquery.replica != nil && a.expectedFinish(now, subquery.replica) > bound
	}
	needsTrial := func(subquery *subquery) bool { return tooSlow(subquery) || a.probeOverdue(now, subquery) }
	atTrialLimit := func(subquery *subquery) bool {
		return tooSlow(subquery) && float64(len(subquery.replica.outstanding)) >= state.trialLimit
	}
	query.admittedAsTrial = now >= state.nextTrialAt &&
		slices.ContainsFunc(placed, needsTrial) && !slices.ContainsFunc(placed, atTrialLimit)
	return query.admittedAsTrial
}

// probeOverdue reports whether the probe of an ejected holder of a subquery's shard is overdue. Only an admitted
// query can send it.
func (a *admissionController) probeOverdue(now time.Duration, subquery *subquery) bool {
	for _, replica := range a.replicas.holders(subquery.shard) {
		if a.outliers.probeOverdue(now, replica, subquery.query.class) {
			return true
		}
	}
	return false
}

// trialIntervalFactor returns the factor on the intervals between trials of the estimate. It grows with the number of
// co-ordinators beyond fewCoordinators, whose trials all load the same replicas, and with the square of the number of
// subqueries beyond canaryThreshold.
func (a *admissionController) trialIntervalFactor(query *query) float64 {
	coordinatorFactor := max(1, float64(a.parameters.coordinators)/fewCoordinators)
	sizeFactor := max(1, float64(len(query.subqueries))/canaryThreshold)
	return a.parameters.timeScale * min(maxTrialIntervalFactor, coordinatorFactor*math.Pow(sizeFactor, 2))
}

// recordOutcome adjusts the admission state to whether a query met its objective. Only the first call for a query
// has an effect.
func (a *admissionController) recordOutcome(now time.Duration, query *query, inTime bool) {
	if query.objectiveRecorded {
		return
	}
	query.objectiveRecorded = true
	if query.admittedAsTrial {
		a.recordTrialOutcome(now, query, inTime)
	}
	rejectedOnArrival := now <= query.arrivedAt
	lateTrial := query.admittedAsTrial && !inTime
	if !rejectedOnArrival && !lateTrial {
		query.class.admission.adjustLatenessFactor(now, inTime)
	}
}

// recordTrialOutcome allows more trials after one that ended in time. After a late one it delays the next, with a
// delay that doubles each time.
func (a *admissionController) recordTrialOutcome(now time.Duration, query *query, inTime bool) {
	state := &query.class.admission
	factor := a.trialIntervalFactor(query)
	if inTime {
		state.trialLimit = min(maxTrialLimit, 2*state.trialLimit)
		state.trialInterval = scale(firstTrialInterval, factor)
		return
	}
	state.trialLimit = 1
	state.nextTrialAt = now + state.trialInterval
	state.trialInterval = min(scale(maxTrialInterval, factor), 2*state.trialInterval)
}

// adjustLatenessFactor raises the factor after a late query and lowers it after one in time. The steps balance when
// targetLateShare of the queries are late.
func (c *classAdmission) adjustLatenessFactor(now time.Duration, inTime bool) {
	direction := 1 - targetLateShare
	if inTime {
		direction = -targetLateShare
	}
	step := max(minLatenessStep, min(maxLatenessStep, latenessStepPerSecond*(now-c.latenessAdjustedAt).Seconds()))
	c.latenessFactor = max(1, min(maxLatenessFactor, c.latenessFactor*math.Exp(step*direction)))
	c.latenessAdjustedAt = now
}

// decayLatenessFactor lets the factor decay towards 1 for the given number of seconds.
func (c *classAdmission) decayLatenessFactor(seconds float64) {
	c.latenessFactor = 1 + (c.latenessFactor-1)*math.Exp(-seconds/latenessDecaySeconds)
}
