package scheduler

// The scheduler's loop. Each kind of event has a method, which records it. Once all events of one time are in,
// Decide asks the policies in order, each of which has a file of its own, and carries out what they answer through
// the Host in host.go.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	tickInterval = 10 * time.Millisecond // between looks at the clock: short beside any subquery's work

	wakeupName = "look" // handed to the host and back with each wakeup

	// fewOpen is the number of open queries up to which all are looked at in each iteration.
	fewOpen = 64
)

// Scheduler makes the decisions of one co-ordinator. It does no I/O, reads no clock and starts no goroutine: the same
// events at the same times give the same decisions. Its methods are to be called from one goroutine, with times that
// do not go back.
type Scheduler struct {
	parameters parameters
	host       Host
	random     random

	// What the scheduler knows of.
	classes         []class
	replicas        replicaSet
	open            []*query // in order of arrival
	queriesByID     map[RequestID]*query
	queriesByNumber map[QueryNumber]*query
	subqueries      map[RequestID]*subquery // those with attempts in flight or of open queries

	// The policies.
	estimates     latencyEstimator
	limits        concurrencyLimiter
	outliers      outlierDetector
	retries       retryBudget
	hedges        hedgePolicy
	admission     admissionController
	quotas        tenantQuotas
	clientRetries clientRetryDetector
	placement     placement
	slowStart     slowStart
	gossip        gossip

	// Time.
	now        time.Duration
	lastTickAt time.Duration
	wakeupAt   time.Duration // when the next wakeup is due; math.MaxInt64: none is asked for
	stalled    time.Duration // for which this co-ordinator stood still before now
	readDelay  time.Duration // for which replies may wait unread; 0: not known to wait

	poller endpointPoller
	shadow *shadow // another configuration to compare decisions with; nil: none
}

// New starts a Scheduler. It fails if the configuration is not valid.
func New(host Host, seed uint64, config Config) (*Scheduler, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	scheduler := &Scheduler{
		parameters:      newParameters(&config),
		host:            host,
		random:          random{seed: seed, selfIndex: config.SelfIndex},
		classes:         newClasses(config.Classes),
		replicas:        newReplicaSet(config.cellLayout()),
		queriesByID:     map[RequestID]*query{},
		queriesByNumber: map[QueryNumber]*query{},
		subqueries:      map[RequestID]*subquery{},
		wakeupAt:        math.MaxInt64,
		poller:          newEndpointPoller(&config),
		slowStart:       newSlowStart(&config),
	}
	scheduler.estimates.parallelism = initialParallelism
	scheduler.estimates.typicalSize = 1
	scheduler.hedges.tokens = maxHedgeTokens * scheduler.parameters.hedgeScale
	scheduler.quotas = newTenantQuotas(scheduler.parameters.tenantQuotas)
	scheduler.connectPolicies()
	return scheduler, nil
}

// connectPolicies hands each policy what it asks: the parameters and other policies of this Scheduler. A copy of a
// Scheduler has to be connected again.
func (scheduler *Scheduler) connectPolicies() {
	parameters := &scheduler.parameters
	scheduler.estimates.parameters = parameters
	scheduler.limits.parameters = parameters
	scheduler.retries.parameters = parameters
	scheduler.outliers = outlierDetector{
		parameters: parameters,
		replicas:   &scheduler.replicas,
		classes:    len(scheduler.classes),
		limits:     &scheduler.limits,
		hasRoom:    scheduler.slowStartAdmits,
		log:        scheduler.host.Log,
	}
	scheduler.placement = placement{
		parameters: parameters,
		replicas:   &scheduler.replicas,
		estimates:  &scheduler.estimates,
		hasRoom:    scheduler.slowStartAdmits,
	}
	scheduler.hedges.parameters = parameters
	scheduler.hedges.estimates = &scheduler.estimates
	scheduler.hedges.limits = &scheduler.limits
	scheduler.hedges.outliers = &scheduler.outliers
	scheduler.hedges.retries = &scheduler.retries
	scheduler.hedges.placement = &scheduler.placement
	scheduler.admission.parameters = parameters
	scheduler.admission.estimates = &scheduler.estimates
	scheduler.admission.replicas = &scheduler.replicas
	scheduler.admission.outliers = &scheduler.outliers
}

// Decide is called once all events of this time are in. In order, it polls the endpoint list if that is due, ejects
// silent replicas, ends and places queries, sends queued subqueries, sends hedges and gossips. All queries are looked
// at in each iteration while few are open, else at each tick; between ticks those for which something came in.
func (scheduler *Scheduler) Decide(now time.Duration) {
	scheduler.advanceClock(now)
	scheduler.pollEndpoints()
	scheduler.retries.expire(now)
	all := len(scheduler.open) <= fewOpen || now >= scheduler.lastTickAt+tickInterval
	if all {
		scheduler.tick()
	}
	for _, query := range scheduler.open {
		if all || query.touched {
			scheduler.settle(query)
			scheduler.place(query)
		}
	}
	scope := releaseWhereRoom
	if all {
		scope = releaseEverything
	}
	scheduler.release(scope)
	for _, query := range scheduler.open {
		if all || query.touched {
			scheduler.hedge(query)
		}
		query.touched = false
	}
	scheduler.open = slices.DeleteFunc(scheduler.open, func(query *query) bool { return query.ended })
	scheduler.broadcast()
	if len(scheduler.open) > 0 {
		scheduler.wakeBy(now + tickInterval)
	}
}

// tick lets go of what time takes away and looks after the replicas.
func (scheduler *Scheduler) tick() {
	passed := scheduler.now - scheduler.lastTickAt
	seconds := passed.Seconds()
	scheduler.lastTickAt = scheduler.now
	scheduler.quotas.refill(passed)
	for index := range scheduler.classes {
		scheduler.classes[index].admission.decayLatenessFactor(seconds)
	}
	scheduler.slowStart.decay(seconds)
	scheduler.hedges.expireLoadReports(scheduler.now)
	kept := slowdownKept(seconds)
	for _, replica := range scheduler.replicas.all {
		if replica.state == Ready {
			scheduler.slowStart.countReadyReplica(replica, scheduler.now)
		}
		scheduler.outliers.detect(scheduler.now, replica)
		scheduler.outliers.unloadLost(scheduler.now, replica)
		replica.fadeSlowdown(kept)
		if replica.state != Removed {
			replica.lastListedAt = scheduler.now
		}
	}
	scheduler.estimates.typicalSize = scheduler.replicas.meanSize(scheduler.estimates.typicalSize)
}

// place queues a query's subqueries for replicas, and admits or rejects a new query by where they are.
func (scheduler *Scheduler) place(query *query) {
	if !query.isActive() {
		return
	}
	placed := scheduler.placement.place(scheduler.now, query)
	if query.admissionDecided {
		return
	}
	query.admissionDecided = true
	slices.SortStableFunc(query.subqueries, func(a, b *subquery) int { return cmp.Compare(a.work, b.work) })
	scheduler.shadowQuery(query, placed)
	decision := scheduler.admission.decide(scheduler.now, query, placed, scheduler.unseenLoad())
	if decision.rejected {
		scheduler.reject(query, decision)
	}
}

func (scheduler *Scheduler) reject(query *query, decision admissionDecision) {
	if decision.startsShedding {
		scheduler.host.Log("rejecting queries: expected times exceed their objectives")
	}
	scheduler.host.Reject(query.id, decision.retryAfter)
	scheduler.end(query, false)
}

// hedge sends a second attempt for each straggler of a query.
func (scheduler *Scheduler) hedge(query *query) {
	for _, subquery := range query.subqueries {
		straggler := subquery.lastInFlight()
		if straggler == nil || query.ended || query.suspectedQueryOfDeath() {
			continue
		}
		target := scheduler.hedges.target(scheduler.now, straggler)
		scheduler.shadowHedge(straggler, target)
		if target != nil {
			scheduler.hedges.spend()
			scheduler.startAttempt(subquery, target)
		}
	}
}

// advanceClock sets the current time and, if a requested wakeup comes late, how long this co-ordinator was stalled.
// Without that, its own pauses would look like slow replicas.
func (scheduler *Scheduler) advanceClock(now time.Duration) {
	if now > scheduler.now {
		scheduler.now = now
		scheduler.stalled = max(0, now-scheduler.wakeupAt-tickInterval)
	}
}

// wakeBy asks for a wakeup at a time, unless one before it is due.
func (scheduler *Scheduler) wakeBy(at time.Duration) {
	if at < scheduler.wakeupAt {
		scheduler.wakeupAt = max(at, scheduler.now+time.Millisecond)
		scheduler.host.ScheduleWakeup(wakeupName, scheduler.wakeupAt-scheduler.now)
	}
}

// oldestArrival is when the oldest open query arrived; the end of time if none is open.
func (scheduler *Scheduler) oldestArrival() time.Duration {
	if len(scheduler.open) == 0 {
		return math.MaxInt64
	}
	return scheduler.open[0].arrivedAt
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
