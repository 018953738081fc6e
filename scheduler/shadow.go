package scheduler

// Shadow evaluation counts where another configuration would decide differently, before it is rolled out. It changes
// no decision: at some decisions of this Scheduler the same policies are evaluated again, on the same state but with
// the other configuration, and only the differences are counted. The consequences of a different decision are not
// simulated.

import (
	"errors"
	"time"
)

// ErrShadowMismatch is returned for a configuration that cannot be compared with the active one.
var ErrShadowMismatch = errors.New(
	"the shadow configuration has a different number of classes, cells or cells per shard than the active one")

// ShadowCounts holds the numbers of queries and attempts evaluated, and of decisions that would have been different
// under the other configuration.
type ShadowCounts struct {
	Queries               int // queries placed
	WouldReject           int // queries within their bound on expected time that would have exceeded it
	WouldAdmit            int // queries over their bound on expected time that would have met it
	Subqueries            int // subqueries of the queries placed
	WouldPlaceElsewhere   int // subqueries whose fastest holder would have been a different one
	Attempts              int // attempts started
	WouldTimeOutOtherwise int // attempts that would have had a different timeout, or none, or one where they had none
	WouldNotHedge         int // hedges that would not have been started
	WouldHedge            int // attempts without a hedge that would have been hedged
}

// shadow holds the other configuration and the counts.
type shadow struct {
	parameters parameters
	slowStart  slowStartSettings
	classes    []class
	counts     ShadowCounts
}

// EnableShadow starts counting the decisions that would be different under another configuration. It returns an error
// if the configuration is invalid, or ErrShadowMismatch.
func (scheduler *Scheduler) EnableShadow(config Config) error {
	if err := config.Validate(); err != nil {
		return err
	}
	if len(config.Classes) != len(scheduler.classes) || config.cellLayout() != scheduler.parameters.layout {
		return ErrShadowMismatch
	}
	scheduler.shadow = &shadow{
		parameters: newParameters(&config),
		slowStart:  newSlowStart(&config).settings,
		classes:    newClasses(config.Classes),
	}
	return nil
}

// ShadowCounts returns the counts so far; enabled is false if EnableShadow has not succeeded.
func (scheduler *Scheduler) ShadowCounts() (counts ShadowCounts, enabled bool) {
	if scheduler.shadow == nil {
		return ShadowCounts{}, false
	}
	return scheduler.shadow.counts, true
}

// scheduler returns a copy of the active Scheduler with the other configuration. The copy shares the queries and
// replicas of the active one, so nothing may be changed through it.
func (s *shadow) scheduler(active *Scheduler) *Scheduler {
	other := *active
	other.parameters = s.parameters
	other.slowStart.settings = s.slowStart
	if other.parameters.gossipEnabled {
		other.gossip.lastReceivedAt = active.now // assumes that the peers report what they send
	}
	other.connectPolicies()
	return &other
}

// shadowAttempt compares the timeout of an attempt that was just started.
func (scheduler *Scheduler) shadowAttempt(started *attempt, timeout time.Duration) {
	if scheduler.shadow == nil {
		return
	}
	scheduler.shadow.counts.Attempts++
	other := scheduler.shadow.scheduler(scheduler)
	if timeout != other.retries.attemptTimeout(started, other.unseenLoad()) {
		scheduler.shadow.counts.WouldTimeOutOtherwise++
	}
}

// shadowHedge compares the decision on a hedge of an attempt; target is nil if none is started. An attempt is counted
// at most once in WouldHedge.
func (scheduler *Scheduler) shadowHedge(latest *attempt, target *replicaState) {
	if scheduler.shadow == nil {
		return
	}
	other := scheduler.shadow.scheduler(scheduler)
	otherTarget := other.hedges.target(other.now, latest)
	switch {
	case target != nil && otherTarget == nil:
		scheduler.shadow.counts.WouldNotHedge++
	case target == nil && otherTarget != nil && !latest.shadowCounted:
		latest.shadowCounted = true
		scheduler.shadow.counts.WouldHedge++
	}
}

// shadowQuery compares the admission of a query that was just placed, and the placement of its subqueries.
func (scheduler *Scheduler) shadowQuery(query *query, placed []*subquery) {
	if scheduler.shadow == nil {
		return
	}
	other := scheduler.shadow.scheduler(scheduler)
	counts := &scheduler.shadow.counts
	counts.Queries++
	counts.Subqueries += len(placed)
	excess, _ := scheduler.admission.expectedExcess(scheduler.now, query, scheduler.unseenLoad())
	otherExcess, _ := other.admission.expectedExcess(other.now, scheduler.shadow.query(query), other.unseenLoad())
	switch {
	case excess <= 0 && otherExcess > 0:
		counts.WouldReject++
	case excess > 0 && otherExcess <= 0:
		counts.WouldAdmit++
	}
	for _, subquery := range placed {
		if scheduler.placement.fastest(subquery) != other.placement.fastest(subquery) {
			counts.WouldPlaceElsewhere++
		}
	}
}

// query returns a copy of a query under the other configuration. The copy's class has the other objective, deadline and
// number of fetch subqueries, and keeps its learned estimates.
func (s *shadow) query(original *query) *query {
	configured := &s.classes[original.class.index]
	class := *original.class
	class.objective = configured.objective
	class.deadline = configured.deadline
	class.fetchSubqueries = configured.fetchSubqueries
	other := *original
	other.class = &class
	other.objectiveAt += class.objective - original.class.objective
	return &other
}
