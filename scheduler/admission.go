package scheduler

// Admission: which queries are rejected on arrival because they cannot be expected to meet their latency objective.
// admissionController.decide decides, once for each query: Scheduler.place asks it when the query's subqueries have
// been placed, and Scheduler.reject carries a rejection out through Host.Reject.
//
// A query whose subqueries have just been placed at n replicas is rejected if
//
//	mean(finish) x slowestFactor(n)  >  (time to the objective) / latenessFactor     [x overQuotaShare over quota]
//
// or if the replicas that finish within the right-hand side hold too little weight for any answer. finish is a
// replica's expected finish, slowestFactor what the slowest of n takes (estimate.go). A query with a second phase to
// come adds that phase's slowestFactor on the left, and takes an allowance for its work off the time on the right.
// latenessFactor grows with each query that ends late and shrinks with each in time, so that about one in twenty is
// late.
//
// The rejection carries the time after which the client may retry: by how much the left side is larger, at most
// Config.MaxRetryAfter. 0 means that no time is told.
//
// Where peers are silent, both sides are divided by unseenLoad, which multiplies expected times for what they may
// have sent: it cancels out of the comparison above. It does remain in the second phase's allowance, in the bound
// on each replica's finish, in the bound that a trial is judged by, and in the time after which the client may
// retry.
//
// Estimates may be wrong for good if nothing goes to the replicas any more: so from time to time one query is
// admitted against the estimate, as a trial. A trial tests the estimate; a probe (outlier.go) tests an ejected
// replica.
//
// Other rejections are decided elsewhere; the body of the answer tells which it was:
//
//	body                                  decided by                                       counter
//	turned back                           here; of a two-phase query twophase/query.go     turned_back; refused_questions
//	busy                                  package overload, by coordinator/admission.go    busy
//	too much is open                      coordinator/arrival.go                           full
//	its time was over before it was read  coordinator/arrival.go                           expired
//	too many large requests               server/reading.go                                bad

import (
	"math"
	"slices"
	"time"
)

const (
	targetLateShare = 0.05 // share of queries to end after their objective

	// Steps of the lateness factor's logarithm. A step after a longer time is larger, as a co-ordinator that sees few
	// queries of a class would notice a jam only once it is over.
	minLatenessStep       = 0.1
	latenessStepPerSecond = 0.2 // for each second since a query of the class was last judged
	maxLatenessStep       = 0.7
	latenessDecaySeconds  = 8.0 // seconds in which what it is over 1 fades to a third
	maxLatenessFactor     = 6.0

	// Trials of the estimate.
	firstTrialInterval     = 500 * time.Millisecond // from the first rejection to the first trial
	maxTrialInterval       = 2 * time.Second        // longest wait for the next after a late one
	maxTrialIntervalFactor = 60.0                   // times these, with very many co-ordinators or subqueries
	maxTrialLimit          = 64.0                   // attempts in flight; from then on enough is learned

	sheddingQuietPeriod = 5 * time.Second // without a rejection, after which shedding counts as ended

	overQuotaShare = 0.3 // of the time to the objective that a query beyond its tenant's quota may expect
)

// classAdmission is the state of admission control for one class.
type classAdmission struct {
	latenessFactor     float64       // times the expected time that queries are taken to need, at least 1
	latenessAdjustedAt time.Duration // when a query last moved latenessFactor
	lastExcessAt       time.Duration // when a new query last exceeded its bound; 0: never

	// Trials of the estimate.
	trialLimit    float64       // attempts in flight at a slow replica, from which no trial goes there
	nextTrialAt   time.Duration // from when one may be admitted
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

// admissionDecision says what becomes of a new query.
type admissionDecision struct {
	rejected       bool
	retryAfter     time.Duration // the client may retry then; 0: no time is named
	startsShedding bool          // it is the first rejection after a quiet time
}

// decide admits or rejects a query whose subqueries have just been placed. unseenLoad multiplies expected times, for
// what silent peers may have sent; 1: the peers tell.
func (a *admissionController) decide(
	now time.Duration, query *query, placed []*subquery, unseenLoad float64,
) admissionDecision {
	excess, bound := a.expectedExcess(now, query, unseenLoad)
	if excess <= 0 || a.admitAsTrial(now, query, placed, bound) {
		return admissionDecision{}
	}
	begins := a.lastRejectedAt == 0 || now > a.lastRejectedAt+sheddingQuietPeriod
	a.lastRejectedAt = now
	return admissionDecision{
		rejected:       true,
		retryAfter:     min(excess, a.parameters.maxRetryAfter),
		startsShedding: begins,
	}
}

// expectedExcess is by how much a query is expected to miss the bound on its expected time; 0 or less: it meets it.
// It changes nothing.
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

// fetchPhaseFactor is the slowest factor of a second phase that is still to come; 0: none is. Its subqueries are taken to
// need as long as the first phase's.
func (a *admissionController) fetchPhaseFactor(query *query) float64 {
	if query.class.fetchSubqueries == 0 || query.phase > 0 {
		return 0
	}
	return a.estimates.slowestFactor(query.class.fetchSubqueries)
}

// finishBound is the bound on a query's expected time: the time to the objective less the second phase's work, over
// the lateness factor and unseenLoad, and overQuotaShare of that beyond the tenant's quota.
func finishBound(query *query, fetchFactor, unseenLoad float64) time.Duration {
	left := query.objectiveAt - query.arrivedAt
	left -= scale(query.class.subqueryWork, unseenLoad*fetchFactor)
	bound := scale(left, 1/(query.class.admission.latenessFactor*unseenLoad))
	if query.overQuota {
		bound = scale(bound, overQuotaShare)
	}
	return bound
}

// minimumWeightInTime reports whether the subqueries whose replicas are expected to finish within the bound, and those that
// are queued for none, weigh enough for an answer.
func (a *admissionController) minimumWeightInTime(now time.Duration, query *query, bound time.Duration) bool {
	return query.reachesMinimum(func(subquery *subquery) bool {
		return subquery.replica == nil || a.expectedFinish(now, subquery.replica) <= bound
	})
}

// expectedFinishSum lists the replicas that a query's subqueries are queued for, and the sum of their expected finishes.
// Subqueries at one replica end together.
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

// admitAsTrial admits a query that would be rejected, as a trial of the estimate at the replicas whose expected
// finish exceeds the bound, or to bring an ejected replica its long overdue probe. No trial goes to a slow replica
// with trialLimit attempts in flight; each trial that ends in time doubles that limit, a late one begins anew after
// a wait.
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
	bound = scale(bound, state.latenessFactor) // the lateness factor fades by itself and needs no trial
	tooSlow := func(subquery *subquery) bool {
		return subquery.replica != nil && a.expectedFinish(now, subquery.replica) > bound
	}
	worthATrial := func(subquery *subquery) bool { return tooSlow(subquery) || a.probeOverdue(now, subquery) }
	atTrialLimit := func(subquery *subquery) bool {
		return tooSlow(subquery) && float64(len(subquery.replica.outstanding)) >= state.trialLimit
	}
	query.admittedAsTrial = now >= state.nextTrialAt &&
		slices.ContainsFunc(placed, worthATrial) && !slices.ContainsFunc(placed, atTrialLimit)
	return query.admittedAsTrial
}

// probeOverdue reports whether an ejected holder of a subquery's shard has long been due for a probe, which a query
// brings.
func (a *admissionController) probeOverdue(now time.Duration, subquery *subquery) bool {
	for _, replica := range a.replicas.holders(subquery.shard) {
		if a.outliers.probeOverdue(now, replica, subquery.query.class) {
			return true
		}
	}
	return false
}

// trialIntervalFactor multiplies the times between trials of the estimate: other co-ordinators admit some as well,
// and all of them load the same replicas; large queries load them more.
func (a *admissionController) trialIntervalFactor(query *query) float64 {
	crowd := max(1, float64(a.parameters.coordinators)/fewCoordinators)
	size := max(1, float64(len(query.subqueries))/canaryThreshold)
	return a.parameters.timeScale * min(maxTrialIntervalFactor, crowd*math.Pow(size, 2))
}

// recordOutcome counts whether a query met its objective, once, as soon as that is known.
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

// recordTrialOutcome lets more trials go after one in time; after a late one it waits, longer each time.
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

// adjustLatenessFactor raises the factor by a late query and lowers it by one in time, so that they balance at
// targetLateShare.
func (c *classAdmission) adjustLatenessFactor(now time.Duration, inTime bool) {
	direction := 1 - targetLateShare
	if inTime {
		direction = -targetLateShare
	}
	step := max(minLatenessStep, min(maxLatenessStep, latenessStepPerSecond*(now-c.latenessAdjustedAt).Seconds()))
	c.latenessFactor = max(1, min(maxLatenessFactor, c.latenessFactor*math.Exp(step*direction)))
	c.latenessAdjustedAt = now
}

// decayLatenessFactor lets the factor return to 1 as seconds pass.
func (c *classAdmission) decayLatenessFactor(seconds float64) {
	c.latenessFactor = 1 + (c.latenessFactor-1)*math.Exp(-seconds/latenessDecaySeconds)
}
