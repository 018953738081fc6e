package scheduler

import (
	"fmt"
	"time"

	"terntray/invariant"
)

// Config is what the deployment's settings tell a Scheduler. It does not change while the Scheduler lives.
// ParseConfig reads it from the settings' keys, which the fields' comments name in brackets; N counts from 0.
// Whoever builds one in code calls Validate. New takes valid ones only.
type Config struct {
	// Coordinators (balancers) is the number of co-ordinators that serve the same replicas, this one included. At
	// least 1.
	Coordinators int

	// SelfIndex (selfIndex) is this co-ordinator's number among them, from 0. It sets its draws of chance apart from
	// the others'.
	SelfIndex int

	// Zone (zone) is the zone that this co-ordinator runs in.
	Zone ZoneIndex

	// Cells (familyInfo.cells) is the number of cells into which replicas are grouped. At least 1.
	Cells int

	// CellsPerShard (familyInfo.span) is the number of successive cells that hold a shard: shard n is held by the
	// cells n, n+1, ..., each modulo Cells. At least 1.
	CellsPerShard int

	// Classes (lanes.N) are the classes of queries, by ClassIndex. At least one.
	Classes []ClassConfig

	// TenantQuotas (orgs.N.quotaPerS) are the queries for each second that all co-ordinators together owe a tenant,
	// by TenantIndex.
	TenantQuotas []float64

	// Discovery (discovery) tells how changes of the endpoint list reach this co-ordinator.
	Discovery DiscoveryMode

	// PollInterval (guarantees.askEvery) is the longest time between two polls of the endpoint list. 0: a
	// subscription needs no renewal.
	PollInterval time.Duration

	// Gossip (bounds.peers) allows messages to the other co-ordinators.
	Gossip bool

	// ListedSizes (weightKind) tells that Endpoint.Size says how much work a replica can do beside others.
	ListedSizes bool

	// MaxAttempts (bounds.maxAttempts) is the largest number of attempts of a subquery, the first included. 0: any
	// number.
	MaxAttempts int

	// CancelAllowed (bounds.mayCancel) allows that attempts are cancelled whose answers are no longer of use.
	CancelAllowed bool

	// HedgeAllowed (bounds.secondCopies) allows a second attempt of an idempotent subquery while the first is out.
	HedgeAllowed bool

	// MaxRetryAfter (bounds.maxRetryAfter) is the longest time after which a rejected client may be told to come
	// again. 0, also without bounds.retryAfter: none is told.
	MaxRetryAfter time.Duration

	// SlowStart limits what replicas are sent that started a short while ago.
	SlowStart SlowStartConfig

	// RetryBudget limits retries and hedged attempts; nil: nothing limits them but MaxAttempts.
	RetryBudget *RetryBudgetConfig

	// CrossZonePrice (tariffs.crossZone) is what an attempt in another zone costs, as a share of the shortest latency
	// objective. At least 0.
	CrossZonePrice float64

	// WastePrice (tariffs.waste) is what work costs whose answer nobody uses, as a share of a query's value. At least
	// 0.
	WastePrice float64
}

// ClassConfig is one class of queries.
type ClassConfig struct {
	// Name (lanes.N.name) is the class's name in requests. Only the service uses it, and demands one; the simulator's
	// has none.
	Name string

	// Objective (lanes.N.aim) is the latency objective: the time within which an answer earns its full value. Above
	// 0.
	Objective time.Duration

	// ObjectivePerHint (lanes.N.aimStretch) is added to the objective for each unit of a query's hint of work.
	ObjectivePerHint float64

	// Deadline (lanes.N.deadline) is the time after which an answer is worth nothing. Above 0.
	Deadline time.Duration

	// Effect (lanes.N.effect) is what running a subquery twice would do.
	Effect invariant.Effect

	// KeyWindow (lanes.N.window) is the time for which replicas recognise the key of a Keyed subquery, counted from
	// its first attempt.
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

// SlowStartConfig describes replicas that have just started.
type SlowStartConfig struct {
	// OverloadMultiple (guarantees.tipMultiple) is how many times its present capacity a starting replica must be
	// sent to count as overloaded. 0 or less: there is no slow start, and the other fields mean nothing.
	OverloadMultiple float64

	// StartCapacity (guarantees.startCapacity) is the share of its full capacity that a replica has when it starts.
	// Above 0.
	StartCapacity float64

	// WarmAfter (guarantees.warmAfter) is the time from the start to full capacity. Above 0.
	WarmAfter time.Duration

	// OverloadFor (guarantees.overloadFor) is the time over which OverloadMultiple is measured. Above 0.
	OverloadFor time.Duration
}

// RetryBudgetConfig limits the attempts beyond the first of each subquery.
type RetryBudgetConfig struct {
	// Span (guarantees.ratioSpan) is the time over which attempts are counted. Above 0.
	Span time.Duration

	// Share (guarantees.extraRatio) is the largest number of further attempts within Span, as a share of the
	// subqueries that came. Above 0.
	Share float64

	// MinRetries (guarantees.minExtra) is the number of further attempts within Span that are allowed beside that share.
	MinRetries float64
}

// DiscoveryMode is how changes of the endpoint list reach a co-ordinator.
type DiscoveryMode int

// The modes.
const (
	DiscoveryAutomatic DiscoveryMode = iota + 1 // unasked
	DiscoverySubscribe                          // only after Host.PollEndpoints
)

// SettingError says that a Scheduler cannot work with a setting.
type SettingError struct {
	Key    string // the setting's path
	Found  string // its value, or "nothing"
	Wanted string // what would do
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: found %s, wanted %s", e.Key, e.Found, e.Wanted)
}

// What SettingError.Wanted says.
const (
	wantedAboveZero  = "a number above 0"
	wantedAtLeastOne = "a number of at least 1"
	wantedNumber     = "a finite number"
	wantedSpan       = "microseconds, at most 1e15"
	wantedEffect     = "pure, token or side_effect"
	wantedDiscovery  = "automatic or subscribe"
)

// Validate names the first setting with which no Scheduler can work, as a *SettingError, or returns nil. It checks
// that Coordinators, Cells, CellsPerShard and the number of Classes are at least 1; that each class's Objective and
// Deadline are above 0 and its Effect is known; where there is a slow start, that its other fields are above 0;
// where there is a retry budget, that its Span and Share are above 0; and that Discovery is known. Other
// constraints that the fields' comments state are the caller's to keep.
func (config *Config) Validate() error {
	check := checker{}
	check.atLeastOne("balancers", config.Coordinators)
	check.atLeastOne("familyInfo.cells", config.Cells)
	check.atLeastOne("familyInfo.span", config.CellsPerShard)
	check.atLeastOne("lanes.count", len(config.Classes))
	for n, class := range config.Classes {
		check.spanAboveZero(classKey(n, "aim"), class.Objective)
		check.spanAboveZero(classKey(n, "deadline"), class.Deadline)
		known := class.Effect >= invariant.Idempotent && class.Effect <= invariant.NonIdempotent
		check.that(known, classKey(n, "effect"), class.Effect, wantedEffect)
	}
	if slowStart := config.SlowStart; slowStart.OverloadMultiple > 0 {
		check.aboveZero("guarantees.startCapacity", slowStart.StartCapacity)
		check.spanAboveZero("guarantees.warmAfter", slowStart.WarmAfter)
		check.spanAboveZero("guarantees.overloadFor", slowStart.OverloadFor)
	}
	if budget := config.RetryBudget; budget != nil {
		check.spanAboveZero("guarantees.ratioSpan", budget.Span)
		check.aboveZero("guarantees.extraRatio", budget.Share)
	}
	discovery := config.Discovery
	known := discovery == DiscoveryAutomatic || discovery == DiscoverySubscribe
	check.that(known, "discovery", discovery, wantedDiscovery)
	return check.err
}

// classKey is the path of one of a class's settings.
func classKey(class int, name string) string { return fmt.Sprintf("lanes.%d.%s", class, name) }

// checker keeps the first fault that it finds.
type checker struct{ err error }

func (c *checker) that(holds bool, key string, found any, wanted string) {
	if !holds && c.err == nil {
		c.err = &SettingError{Key: key, Found: fmt.Sprint(found), Wanted: wanted}
	}
}

func (c *checker) atLeastOne(key string, found int) {
	c.that(found >= 1, key, found, wantedAtLeastOne)
}

func (c *checker) aboveZero(key string, found float64) {
	c.that(found > 0, key, found, wantedAboveZero)
}

func (c *checker) spanAboveZero(key string, found time.Duration) {
	c.that(found > 0, key, found, wantedAboveZero)
}
