package scheduler

import (
	"cmp"
	"math"
	"time"
)

const (
	// referenceObjective is the latency objective to which the constant wait times apply. If all objectives are
	// shorter, parameters.timeScale shortens those times in proportion.
	referenceObjective = 1500 * time.Millisecond

	// fewCoordinators is the number of co-ordinators up to which each of them can judge the load on the replicas from
	// its own attempts.
	fewCoordinators = 8.0

	// unseenLoadGrowth is added to parameters.unseenLoadFactor each time that the number of co-ordinators beyond
	// fewCoordinators grows by a factor of e.
	unseenLoadGrowth = 0.5

	// fanoutGrowth is parameters.fanoutSpread with more than fewCoordinators co-ordinators.
	fanoutGrowth = 1.2

	// wastePriceWeight multiplies the price of waste: parameters.hedgeScale is 1 / (1 + (wastePriceWeight x price)^2).
	wastePriceWeight = 22.0

	// initialWorkShare is the initial estimate of the work of a subquery, as a share of the latency objective.
	initialWorkShare = 0.08
)

// parameters holds the settings in the form that the policies use, and values derived from settings alone. They do not
// change during the Scheduler's lifetime.
type parameters struct {
	coordinators int // including this one
	layout       cellLayout
	ownZone      ZoneIndex

	maxAttempts   int // of a subquery, including the first; math.MaxInt: no limit
	cancelAllowed bool
	hedgeAllowed  bool

	shortestObjective time.Duration // of all classes
	longestDeadline   time.Duration // of all classes
	crossZoneDelay    time.Duration // cost of crossing zones, added to the expected time at a replica of another zone
	maxRetryAfter     time.Duration // 0: rejections give no retry time

	retryBudgetSpan  time.Duration // window over which attempts are counted; 0: no budget
	retryBudgetShare float64       // retries and hedges within the span, per query and subquery that arrived
	retryBudgetMin   float64       // retries and hedges within the span in addition to that share

	tenantQuotas []float64 // queries per second, by tenant: this co-ordinator's share if the others' usage is unknown

	gossipEnabled bool // messages to the other co-ordinators are allowed, and there are others
	listedSizes   bool // Endpoint.Size states how much work a replica can do

	// hedgeScale multiplies the hedge tokens that can be earned and saved: 1 if waste costs nothing, less if it does.
	hedgeScale float64

	// timeScale multiplies the wait times that apply to referenceObjective; at most 1.
	timeScale float64

	// fanoutSpread is how much longer the slowest subquery takes, as a multiple of the expected time of one, each time
	// that the number of subqueries grows by a factor of e. It is 0 with few co-ordinators, as their estimates include
	// the load of the others.
	fanoutSpread float64

	// unseenLoadFactor multiplies the expected time at a replica to account for work that other co-ordinators have sent
	// there; 1 with few co-ordinators.
	unseenLoadFactor float64
}

// newParameters derives the parameters from a valid Config.
func newParameters(config *Config) parameters {
	derived := parameters{
		coordinators: config.Coordinators,
		layout:       config.cellLayout(),
		ownZone:      config.Zone,

		maxAttempts:   cmp.Or(config.MaxAttempts, math.MaxInt),
		cancelAllowed: config.CancelAllowed,
		hedgeAllowed:  config.HedgeAllowed,
		maxRetryAfter: config.MaxRetryAfter,

		gossipEnabled: config.Gossip && config.Coordinators > 1,
		listedSizes:   config.ListedSizes,
	}
	if budget := config.RetryBudget; budget != nil {
		derived.retryBudgetSpan = budget.Span
		derived.retryBudgetShare = budget.Share
		derived.retryBudgetMin = budget.MinRetries
	}
	derived.setTimes(config)
	derived.setLoadFactors(config)
	derived.setTenantQuotas(config.TenantQuotas)
	return derived
}

func (config *Config) cellLayout() cellLayout {
	return cellLayout{cells: config.Cells, cellsPerShard: config.CellsPerShard}
}

func (derived *parameters) setTimes(config *Config) {
	derived.shortestObjective = math.MaxInt64
	for _, class := range config.Classes {
		derived.shortestObjective = min(derived.shortestObjective, class.Objective)
		derived.longestDeadline = max(derived.longestDeadline, class.Deadline)
	}
	derived.crossZoneDelay = scale(derived.shortestObjective, config.CrossZonePrice)
	derived.timeScale = min(1, float64(derived.shortestObjective)/float64(referenceObjective))
}

func (derived *parameters) setLoadFactors(config *Config) {
	logExcess := math.Log(float64(config.Coordinators) / fewCoordinators)
	derived.unseenLoadFactor = 1 + unseenLoadGrowth*max(0, logExcess)
	if derived.manyCoordinators() {
		derived.fanoutSpread = fanoutGrowth
	}
	derived.hedgeScale = 1 / (1 + math.Pow(wastePriceWeight*config.WastePrice, 2))
}

// manyCoordinators reports whether there are too many co-ordinators for each to judge the load from its own attempts.
func (derived *parameters) manyCoordinators() bool { return derived.unseenLoadFactor > 1 }

// setTenantQuotas uses the full quotas if gossip reports what the other co-ordinators admit, otherwise an equal share.
func (derived *parameters) setTenantQuotas(quotas []float64) {
	for _, quota := range quotas {
		if !derived.gossipEnabled {
			quota /= float64(derived.coordinators)
		}
		derived.tenantQuotas = append(derived.tenantQuotas, quota)
	}
}

// newClasses creates the classes with their settings and initial estimates.
func newClasses(configs []ClassConfig) []class {
	var classes []class
	for index, config := range configs {
		classes = append(classes, class{
			index:            index,
			objective:        config.Objective,
			deadline:         config.Deadline,
			keyWindow:        config.KeyWindow,
			objectivePerHint: config.ObjectivePerHint,
			completeWeight:   config.CompleteShare,
			minimumWeight:    config.MinimumShare,
			effect:           config.Effect,
			fetchSubqueries:  config.FetchSubqueries,
			subqueryWork:     scale(config.Objective, initialWorkShare),
			workPerHint:      1,
			admission:        classAdmission{latenessFactor: 1},
		})
	}
	return classes
}
