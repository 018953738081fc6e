package scheduler

// Admission: which queries are rejected on arrival because they cannot be expected to meet their latency objective.
//
// A new query that has just been placed is expected to take the mean of its replicas' expected finish, times what the
// slowest of so many takes. It is rejected if that is more than the time to its objective, over the class's lateness
// factor: a factor that grows with each query that ends late and shrinks with each in time, so that about one in
// twenty is late. A tenant above its quota gets a share of that time only. The client is told to retry after the
// excess.
//
// Estimates may be wrong for good if nothing goes to the replicas any more: so from time to time one query is admitted
// against the estimate, as a probe of it.

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
	latenessFade          = 8.0 // seconds in which what it is over 1 fades to a third
	maxLatenessFactor     = 6.0

	// Probes of the estimate.
	firstAdmissionProbe = 500 * time.Millisecond // from the first rejection to the first probe
	maxAdmissionProbe   = 2 * time.Second        // longest wait for the next after a late one
	rarestProbes        = 60.0                   // times these, among many co-ordinators: about a minute
	maxProbeLimit       = 64.0                   // probes in flight; from then on enough is learned

	sheddingQuiet = 5 * time.Second // without a rejection, after which shedding counts as ended

	overQuotaShare = 0.3 // of the time to the objective that a query beyond its tenant's quota may expect
)

// classAdmission is the state of admission control for one class.
type classAdmission struct {
	latenessFactor float64       // times the expected time that queries are taken to need, at least 1
	lastJudgedAt   time.Duration // when a query last moved latenessFactor
	lastLateAt     time.Duration // when a new query was last expected to be late; 0: never

	// Probes of the estimate.
	probeLimit    float64       // that may be in flight at a replica
	nextProbeAt   time.Duration // from when one may be admitted
	probeInterval time.Duration // from a late one to the next
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
	rejected     bool
	retryAfter   time.Duration // the client may retry then; 0: no time is named
	beginsToShed bool          // it is the first rejection after a quiet time
}

// decide admits or rejects a query whose subqueries have just been placed. unseenLoad multiplies expected times, for
// what silent peers may have sent.
func (a *admissionController) decide(
	now time.Duration, query *query, placed []*subquery, unseenLoad float64,
) admissionDecision {
	excess, bound := a.expectedExcess(now, query, unseenLoad)
	if excess <= 0 || a.admitAsProbe(now, query, placed, bound) {
		return admissionDecision{}
	}
	begins := a.lastRejectedAt == 0 || now > a.lastRejectedAt+sheddingQuiet
	a.lastRejectedAt = now
	return admissionDecision{
		rejected:     true,
		retryAfter:   min(excess, a.parameters.maxRetryAfter),
		beginsToShed: begins,
	}
}

// expectedExcess is by how much a query is expected to miss the bound that its objective sets to its expected time; 0
// or less: it meets it. It changes nothing.
func (a *admissionController) expectedExcess(
	now time.Duration, query *query, unseenLoad float64,
) (excess, bound time.Duration) {
	left := query.objectiveAt - query.arrivedAt
	fetchFactor := 0.0
	if query.class.fetchSubqueries > 0 && query.phase == 0 {
		// The second phase's subqueries take as long as the first's.
		fetchFactor = a.estimates.slowestFactor(query.class.fetchSubqueries)
		left -= scale(query.class.subqueryWork, unseenLoad*fetchFactor)
	}
	bound = scale(left, 1/(query.class.admission.latenessFactor*unseenLoad))
	if query.overQuota {
		bound = scale(bound, overQuotaShare)
	}
	replicas, sum := a.expectedSum(now, query)
	factor := fetchFactor + a.estimates.slowestFactor(len(replicas))
	excess = scale(sum, factor/(unseenLoad*float64(max(1, len(replicas))))) - bound
	inTime := func(subquery *subquery) bool {
		return subquery.replica == nil || a.finish(now, subquery.replica) <= bound
	}
	if !query.reachesMinimum(inTime) {
		for _, replica := range replicas {
			excess = max(excess, a.finish(now, replica)-bound)
		}
	}
	return excess, bound
}

// expectedSum lists the replicas that a query's subqueries are queued for, and the sum of their expected finishes.
// Subqueries at one replica end together.
func (a *admissionController) expectedSum(
	now time.Duration, query *query,
) (replicas []*replicaState, sum time.Duration) {
	for _, subquery := range query.subqueries {
		replica := subquery.replica
		if replica != nil && !slices.Contains(replicas, replica) {
			replicas = append(replicas, replica)
			sum += a.finish(now, replica)
		}
	}
	return replicas, sum
}

func (a *admissionController) finish(now time.Duration, replica *replicaState) time.Duration {
	return a.estimates.expectedFinish(now, replica, 0)
}

// admitAsProbe admits a query that would be rejected, to learn whether the replicas that speak against it are as slow
// as is estimated, or as a replica that it could probe is long due for that. While such a query is in flight at a
// replica no other goes; each that ends in time doubles how many may, a late one begins anew after a wait.
func (a *admissionController) admitAsProbe(
	now time.Duration, query *query, placed []*subquery, bound time.Duration,
) bool {
	state := &query.class.admission
	if state.lastLateAt == 0 || now > state.lastLateAt+sheddingQuiet {
		wait := scale(firstAdmissionProbe, a.probeIntervalFactor(query))
		state.probeLimit = 1
		state.probeInterval = wait
		state.nextProbeAt = now + wait
	}
	state.lastLateAt = now
	bound = scale(bound, state.latenessFactor) // the lateness factor fades by itself and needs no probe
	tooSlow := func(subquery *subquery) bool {
		return subquery.replica != nil && a.finish(now, subquery.replica) > bound
	}
	worthProbing := func(subquery *subquery) bool { return tooSlow(subquery) || a.probeOverdue(now, subquery) }
	probed := func(subquery *subquery) bool {
		return tooSlow(subquery) && float64(len(subquery.replica.outstanding)) >= state.probeLimit
	}
	query.admittedAsProbe = now >= state.nextProbeAt &&
		slices.ContainsFunc(placed, worthProbing) && !slices.ContainsFunc(placed, probed)
	return query.admittedAsProbe
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

// probeIntervalFactor multiplies the times between probes of the estimate: other co-ordinators admit some as well, and
// all of them load the same replicas; large queries load them more.
func (a *admissionController) probeIntervalFactor(query *query) float64 {
	crowd := max(1, float64(a.parameters.coordinators)/fewCoordinators)
	size := max(1, float64(len(query.subqueries))/canaryThreshold)
	return a.parameters.timeScale * min(rarestProbes, crowd*math.Pow(size, 2))
}

// judge counts whether a query met its objective, once, as soon as that is known.
func (a *admissionController) judge(now time.Duration, query *query, inTime bool) {
	if query.judged {
		return
	}
	query.judged = true
	if query.admittedAsProbe {
		a.judgeProbe(now, query, inTime)
	}
	rejectedOnArrival := now <= query.arrivedAt
	lateProbe := query.admittedAsProbe && !inTime
	if !rejectedOnArrival && !lateProbe {
		query.class.admission.moveLatenessFactor(now, inTime)
	}
}

// judgeProbe lets more probes go after one in time; after a late one it waits, longer each time.
func (a *admissionController) judgeProbe(now time.Duration, query *query, inTime bool) {
	state := &query.class.admission
	factor := a.probeIntervalFactor(query)
	if inTime {
		state.probeLimit = min(maxProbeLimit, 2*state.probeLimit)
		state.probeInterval = scale(firstAdmissionProbe, factor)
		return
	}
	state.probeLimit = 1
	state.nextProbeAt = now + state.probeInterval
	state.probeInterval = min(scale(maxAdmissionProbe, factor), 2*state.probeInterval)
}

// moveLatenessFactor raises the factor by a late query and lowers it by one in time, so that they balance at
// targetLateShare.
func (c *classAdmission) moveLatenessFactor(now time.Duration, inTime bool) {
	direction := 1 - targetLateShare
	if inTime {
		direction = -targetLateShare
	}
	step := max(minLatenessStep, min(maxLatenessStep, latenessStepPerSecond*(now-c.lastJudgedAt).Seconds()))
	c.latenessFactor = max(1, min(maxLatenessFactor, c.latenessFactor*math.Exp(step*direction)))
	c.lastJudgedAt = now
}

// fadeLatenessFactor lets the factor return to 1 as seconds pass.
func (c *classAdmission) fadeLatenessFactor(seconds float64) {
	c.latenessFactor = 1 + (c.latenessFactor-1)*math.Exp(-seconds/latenessFade)
}
