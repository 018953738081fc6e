package scheduler

import (
	"cmp"
	"math"
)

// newTerms gives what follows from a valid Config.
func newTerms(config *Config) terms {
	t := terms{
		self: config.SelfIndex, balancers: config.Coordinators, cells: config.Cells, reach: config.CellsPerShard,
		maxAttempts: cmp.Or(config.MaxAttempts, math.MaxInt), mayCancel: config.CancelAllowed, mayCopy: config.HedgeAllowed,
		ownZone: config.Zone, quickest: math.MaxInt64, maxReturn: config.MaxRetryAfter,
		warmAfter: config.SlowStart.WarmAfter, tipOver: config.SlowStart.OverloadFor,
		tipMultiple: config.SlowStart.OverloadMultiple, startShare: config.SlowStart.StartCapacity,
		asks: config.Discovery == DiscoverySubscribe, askEvery: cmp.Or(config.PollInterval, math.MaxInt64),
		tells: config.Gossip && config.Coordinators > 1, sized: config.ListedSizes,
	}
	for _, class := range config.Classes {
		t.quickest = min(t.quickest, class.Objective)
		t.slowest = max(t.slowest, class.Deadline)
	}
	t.zonePenalty = scale(t.quickest, config.CrossZonePrice)
	t.tempo = min(1, float64(t.quickest)/float64(usualPace))
	t.unseen = 1 + unseenMore*max(0, math.Log(float64(t.balancers)/fewAlike))
	if t.unseen > 1 { // few see what is out themselves
		t.spreads = spreads
	}
	t.thrift = 1 / (1 + math.Pow(wasteWeighs*config.WastePrice, 2))
	if budget := config.RetryBudget; budget != nil {
		t.budgetSpan, t.budgetShare, t.budgetFree = budget.Span, budget.Share, budget.Free
	}
	for _, quota := range config.TenantQuotas {
		if !t.tells {
			quota /= float64(t.balancers) // nobody tells what the others take
		}
		t.quota = append(t.quota, quota)
	}
	return t
}

// newClasses gives each class its settings, and what is expected of it before anything was seen.
func newClasses(configs []ClassConfig) []class {
	var classes []class
	for n, config := range configs {
		classes = append(classes, class{
			index: n, agreed: config.Objective, cutOff: config.Deadline, window: config.KeyWindow,
			stretch: config.ObjectivePerHint, need: config.CompleteShare, floor: config.LeastShare,
			effect: config.Effect, fetch: config.FetchSubqueries,
			unit: scale(config.Objective, startUnit), hintUnit: 1, longer: 1,
		})
	}
	return classes
}
