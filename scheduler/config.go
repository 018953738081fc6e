package scheduler

import (
	"fmt"
	"time"

	"terntray/invariant"
)

// Config holds the deployment settings of a Scheduler. It does not change during the Scheduler's lifetime. ParseConfig
// reads it from settings whose keys the field comments give in parentheses; N counts from 0. Code that builds a Config
// directly should call Validate; New rejects invalid ones.
type Config struct {
	// Coordinators (balancers) is the number of co-ordinators serving the same replicas, including this one. At
	// least 1.
	Coordinators int

	// SelfIndex (selfIndex) is this co-ordinator's index among them, from 0. It makes its random draws differ from the
	// others'.
	SelfIndex int

	// Zone (zone) is the zone in which this co-ordinator runs.
	Zone ZoneIndex

	// Cells (familyInfo.cells) is the number of cells into which replicas are grouped. At least 1.
	Cells int

	// CellsPerShard (familyInfo.span) is the number of consecutive cells that hold a shard: shard n is held by the
	// cells n, n+1, ..., each modulo Cells. At least 1.
	CellsPerShard int

	// Classes (lanes.N) lists the query classes, by ClassIndex. At least one.
	Classes []ClassConfig

	// TenantQuotas (orgs.N.quotaPerS) lists each tenant's quota by TenantIndex, in queries per second over all
	// co-ordinators together.
	TenantQuotas []float64

	// Discovery (discovery) is how changes of the endpoint list reach this co-ordinator.
	Discovery DiscoveryMode

	// PollInterval (guarantees.askEvery) is the maximum time between two polls of the endpoint list. 0: a subscription
	// needs no renewal.
	PollInterval time.Duration

	// Gossip (bounds.peers) allows messages to the other co-ordinators.
	Gossip bool

	// ListedSizes (weightKind) reports whether Endpoint.Size states how much work a replica can do relative to the
	// others.
	ListedSizes bool

	// MaxAttempts (bounds.maxAttempts) is the maximum number of attempts of a subquery, including the first.
	// 0: no limit.
	MaxAttempts int

	// CancelAllowed (bounds.mayCancel) allows cancelling attempts whose answers are no longer needed.
	CancelAllowed bool

	// HedgeAllowed (bounds.secondCopies) allows a further attempt of a subquery while one is in flight, if the subquery
	// is idempotent, or keyed and within its KeyWindow.
	HedgeAllowed bool

	// MaxRetryAfter (bounds.maxRetryAfter) is the longest retry time that a rejection may give to the client. 0, also
	// without bounds.retryAfter: rejections give no retry time.
	MaxRetryAfter time.Duration

	// SlowStart limits the load on replicas that started recently.
	SlowStart SlowStartConfig

	// RetryBudget limits retries and hedges; nil: only MaxAttempts limits them.
	RetryBudget *RetryBudgetConfig

	// CrossZonePrice (tariffs.crossZone) is the cost of an attempt in another zone, as a share of the shortest latency
	// objective. At least 0.
	CrossZonePrice float64

	// WastePrice (tariffs.waste) is the cost of work whose answer is not used, as a share of a query's value.
	// At least 0.
	WastePrice float64
}

// ClassConfig is the configuration of one query class.
type ClassConfig struct {
	// Name (lanes.N.name) is the class's name in requests. Only the service uses and requires it; the simulator's
	// classes have none.
	Name string

	// Objective (lanes.N.aim) is the latency objective: the time within which an answer has its full value. Above 0.
	Objective time.Duration

	// ObjectivePerHint (lanes.N.aimStretch) is added to the objective per unit of a query's work hint.
	ObjectivePerHint float64

	// Deadline (lanes.N.deadline) is the time after which an answer is worthless. Above 0.
	Deadline time.Duration

	// Effect (lanes.N.effect) is the effect of running a subquery twice.
	Effect invariant.Effect

	// KeyWindow (lanes.N.window) is how long replicas recognise the key of a Keyed subquery, counted from its first
	// attempt.
	KeyWindow time.Duration

	// CompleteShare (familyInfo.classNeed) is the share of the subqueries' weight that makes an answer complete, from
	// 0 to 1.
	CompleteShare float64

	// MinimumShare (familyInfo.leastShare) is the share of the weight below which no answer may be given. At most
	// CompleteShare.
	MinimumShare float64

	// FetchSubqueries (familyInfo.classFetch) is the number of subqueries in the second phase; 0: the class has one
	// phase.
	FetchSubqueries int
}

// SlowStartConfig describes the capacity of replicas that have just started.
type SlowStartConfig struct {
	// OverloadMultiple (guarantees.tipMultiple) is the load, as a multiple of its current capacity, at which a starting
	// replica counts as overloaded. 0 or less: there is no slow start, and the other fields are ignored.
	OverloadMultiple float64

	// StartCapacity (guarantees.startCapacity) is the share of its full capacity that a replica has at its start.
	// Above 0.
	StartCapacity float64

	// WarmAfter (guarantees.warmAfter) is the time from the start of a replica to its full capacity. Above 0.
	WarmAfter time.Duration

	// OverloadFor (guarantees.overloadFor) is the time over which OverloadMultiple is measured. Above 0.
	OverloadFor time.Duration
}

// RetryBudgetConfig limits the attempts beyond the first of each subquery.
type RetryBudgetConfig struct {
	// Span (guarantees.ratioSpan) is the sliding window over which attempts are counted. Above 0.
	Span time.Duration

	// Share (guarantees.extraRatio) is the maximum number of retries and hedges within Span, as a share of the queries
	// and subqueries that arrived. Above 0.
	Share float64

	// MinRetries (guarantees.minExtra) is the number of retries and hedges allowed within Span in addition to that
	// share.
	MinRetries float64
}

// DiscoveryMode is how changes of the endpoint list reach a co-ordinator.
type DiscoveryMode int

// The discovery modes.
const (
	DiscoveryAutomatic DiscoveryMode = iota + 1 // changes are sent without a request
	DiscoverySubscribe                          // changes are sent only after Host.PollEndpoints
)

// SettingError reports a setting that a Scheduler cannot use.
type SettingError struct {
	Key    string // path of the setting
	Found  string // its value, or "nothing"
	Wanted string // what is accepted
}

// Error returns the key of the setting, its value and the accepted values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: found %s, wanted %s", e.Key, e.Found, e.Wanted)
}

// Values of SettingError.Wanted.
const (
	wantedAboveZero  = "a number above 0"
	wantedAtLeastOne = "a number of at least 1"
	wantedNumber     = "a finite number"
	wantedDuration   = "at most 1e15 microseconds"
	wantedEffect     = "pure, token or side_effect"
	wantedDiscovery  = "automatic or subscribe"
)

// Validate returns a *SettingError for the first setting that no Scheduler can use, or nil. It checks that
// Coordinators, Cells, CellsPerShard and the number of Classes are at least 1; that each class's Objective and Deadline
// are above 0 and its Effect is known; that with slow start its other fields are above 0; that with a retry budget its
// Span and Share are above 0; and that Discovery is known. The caller must ensure the other constraints stated on the
// fields.
func (config *Config) Validate() error {
	check := checker{}
	check.atLeastOne("balancers", config.Coordinators)
	check.atLeastOne("familyInfo.cells", config.Cells)
	check.atLeastOne("familyInfo.span", config.CellsPerShard)
	check.atLeastOne("lanes.count", len(config.Classes))
	for n, class := range config.Classes {
		check.durationAboveZero(classKey(n, "aim"), class.Objective)
		check.durationAboveZero(classKey(n, "deadline"), class.Deadline)
		known := class.Effect >= invariant.Idempotent && class.Effect <= invariant.NonIdempotent
		check.require(known, classKey(n, "effect"), class.Effect, wantedEffect)
	}
	if slowStart := config.SlowStart; slowStart.OverloadMultiple > 0 {
		check.aboveZero("guarantees.startCapacity", slowStart.StartCapacity)
		check.durationAboveZero("guarantees.warmAfter", slowStart.WarmAfter)
		check.durationAboveZero("guarantees.overloadFor", slowStart.OverloadFor)
	}
	if budget := config.RetryBudget; budget != nil {
		check.durationAboveZero("guarantees.ratioSpan", budget.Span)
		check.aboveZero("guarantees.extraRatio", budget.Share)
	}
	discovery := config.Discovery
	known := discovery == DiscoveryAutomatic || discovery == DiscoverySubscribe
	check.require(known, "discovery", discovery, wantedDiscovery)
	return check.err
}

// classKey returns the path of a class's setting.
func classKey(class int, name string) string { return fmt.Sprintf("lanes.%d.%s", class, name) }

// checker keeps the first error that it finds.
type checker struct{ err error }

func (c *checker) require(holds bool, key string, found any, wanted string) {
	if !holds && c.err == nil {
		c.err = &SettingError{Key: key, Found: fmt.Sprint(found), Wanted: wanted}
	}
}

func (c *checker) atLeastOne(key string, found int) {
	c.require(found >= 1, key, found, wantedAtLeastOne)
}

func (c *checker) aboveZero(key string, found float64) {
	c.require(found > 0, key, found, wantedAboveZero)
}

func (c *checker) durationAboveZero(key string, found time.Duration) {
	c.require(found > 0, key, found, wantedAboveZero)
}
