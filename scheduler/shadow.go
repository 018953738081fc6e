package scheduler

// Shadow evaluation counts what would be decided under another configuration, before that is rolled out. It decides
// nothing: at some decisions of this Scheduler the same policies are asked again, on the same state and under the
// other configuration, and only the difference is counted. What would follow from a different decision is not
// played out.

import (
	"errors"
	"time"
)

// ErrShadowMismatch says that a configuration cannot be compared with the one that decides.
var ErrShadowMismatch = errors.New(
	"the shadow configuration has other classes, cells or cells of a shard than the one that decides")

// ShadowCounts counts queries and attempts and, by kind, where the other configuration would have decided otherwise.
type ShadowCounts struct {
	Queries               int // placed
	WouldReject           int // of them, those admitted that would have been rejected
	WouldAdmit            int // the other way round
	Subqueries            int // of those queries
	WouldPlaceElsewhere   int // of them, those whose fastest holder would have been another
	Attempts              int // started
	WouldTimeOutOtherwise int // of them, those that would have had another time-out, or none where they have one
	WouldNotHedge         int // hedges that would not have been started
	WouldHedge            int // attempts without a hedge at a time when one would have been started
}

// shadow is the other configuration and what was counted.
type shadow struct {
	parameters parameters
	slowStart  slowStartSettings
	classes    []class
	counts     ShadowCounts
}

// EnableShadow counts from now on what would be decided under another configuration. It fails if that is not valid,
// or with ErrShadowMismatch.
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

// ShadowCounts tells the counts so far; enabled is false if there is no other configuration.
func (scheduler *Scheduler) ShadowCounts() (counts ShadowCounts, enabled bool) {
	if scheduler.shadow == nil {
		return ShadowCounts{}, false
	}
	return scheduler.shadow.counts, true
}

// scheduler is a copy of the Scheduler that decides, under the other configuration. It shares queries and replicas
// with it, so nothing may be changed through it.
func (s *shadow) scheduler(decides *Scheduler) *Scheduler {
	other := *decides
	other.parameters = s.parameters
	other.slowStart.settings = s.slowStart
	if other.parameters.gossipEnabled {
		other.gossip.lastReceivedAt = decides.now // as if peers told what they send
	}
	other.connectPolicies()
	return &other
}

// shadowAttempt compares the time-out of an attempt that was just started.
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

// shadowHedge compares where a hedge beside an attempt goes now; nil: it gets none. An attempt counts once for a
// hedge that it did not get.
func (scheduler *Scheduler) shadowHedge(straggler *attempt, target *replicaState) {
	if scheduler.shadow == nil {
		return
	}
	other := scheduler.shadow.scheduler(scheduler)
	otherTarget := other.hedges.target(other.now, straggler)
	switch {
	case target != nil && otherTarget == nil:
		scheduler.shadow.counts.WouldNotHedge++
	case target == nil && otherTarget != nil && !straggler.shadowCounted:
		straggler.shadowCounted = true
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

// query is a copy of a query under the other configuration: its class has the other spans, and what was learned of
// it.
func (s *shadow) query(q *query) *query {
	configured := &s.classes[q.class.index]
	class := *q.class
	class.objective = configured.objective
	class.deadline = configured.deadline
	class.fetchSubqueries = configured.fetchSubqueries
	other := *q
	other.class = &class
	other.objectiveAt += class.objective - q.class.objective
	return &other
}
