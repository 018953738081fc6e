package scheduler

import (
	"cmp"
	"math"
	"time"
)

const (
	// longObjective is the latency objective for which the constants of waiting times are meant. Where all objectives
	// are shorter, parameters.timeScale shortens those times alike.
	longObjective = 1500 * time.Millisecond

	// fewCoordinators is the number up to which each co-ordinator sees enough of the load by itself.
	fewCoordinators = 8.0

	// unseenLoadGrowth is added to parameters.unseenLoadFactor each time that the number of co-ordinators beyond
	// fewCoordinators grows e-fold.
	unseenLoadGrowth = 0.5

	// fanoutGrowth is parameters.fanoutSpread among many co-ordinators.
	fanoutGrowth = 1.2

	// wastePriceWeight multiplies the price of waste; its square is what hedges are divided by, beside 1.
	wastePriceWeight = 22.0

	// initialUnitShare is the share of the latency objective that a subquery is taken to need before any was seen.
	initialUnitShare = 0.08
)

// parameters are the settings in the form that the policies use, and what follows from settings alone. They do not
// change while the Scheduler lives.
type parameters struct {
	coordinators int // how many there are
	layout       cellLayout
	ownZone      ZoneIndex

	maxAttempts   int // of a subquery, the first included; math.MaxInt: any number
	cancelAllowed bool
	hedgeAllowed  bool

	shortestObjective time.Duration // of all classes
	longestDeadline   time.Duration // of all classes
	crossZoneDelay    time.Duration // added to the expected time at a replica of another zone, for what crossing costs
	maxRetryAfter     time.Duration // 0: rejected clients are told no time

	retryBudgetSpan  time.Duration // over which attempts are counted; 0: no budget
	retryBudgetShare float64       // further attempts in that time, for each subquery that came
	retryBudgetMin   float64       // further attempts in that time beside that share

	tenantQuotas []float64 // queries a second, by tenant: this co-ordinator's share where the others' use is not known

	gossipEnabled bool // messages to the other co-ordinators are allowed, and there are others
	listedSizes   bool // Endpoint.Size tells how much work a replica can do

	// hedgeScale multiplies the hedges that may be earned and saved: 1 where waste costs nothing, less where it does.
	hedgeScale float64

	// timeScale multiplies the waiting times that are meant for longObjective: 1 or less.
	timeScale float64

	// fanoutSpread is how much longer the slowest subquery takes, as a multiple of one's expected time, for each
	// e-fold of subqueries. 0 among few co-ordinators, as their estimates contain what others send.
	fanoutSpread float64

	// unseenLoadFactor multiplies the expected time at a replica, for work that other co-ordinators have sent
	// there: 1 among few.
	unseenLoadFactor float64
}

// newParameters derives them from a valid Config.
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
	derived.timeScale = min(1, float64(derived.shortestObjective)/float64(longObjective))
}

func (derived *parameters) setLoadFactors(config *Config) {
	crowd := math.Log(float64(config.Coordinators) / fewCoordinators)
	derived.unseenLoadFactor = 1 + unseenLoadGrowth*max(0, crowd)
	if derived.manyCoordinators() {
		derived.fanoutSpread = fanoutGrowth
	}
	derived.hedgeScale = 1 / (1 + math.Pow(wastePriceWeight*config.WastePrice, 2))
}

// manyCoordinators reports whether there are so many that each sees too little of the load by itself.
func (derived *parameters) manyCoordinators() bool { return derived.unseenLoadFactor > 1 }

// setTenantQuotas takes the quotas whole where gossip tells what the other co-ordinators admit, else a fair share.
func (derived *parameters) setTenantQuotas(quotas []float64) {
	for _, quota := range quotas {
		if !derived.gossipEnabled {
			quota /= float64(derived.coordinators)
		}
		derived.tenantQuotas = append(derived.tenantQuotas, quota)
	}
}

// newClasses gives each class its settings, and what is expected of it before anything was seen.
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
			subqueryWork:     scale(config.Objective, initialUnitShare),
			workPerHint:      1,
			admission:        classAdmission{latenessFactor: 1},
		})
	}
	return classes
}
