package scheduler

// The scheduler's main loop. Each kind of event has a method that records it. After all events of one time, Decide
// consults the policies in order, each in a file of its own, and carries out their decisions through the Host in
// host.go.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	tickInterval = 10 * time.Millisecond // between full scans: short compared with any subquery's work

	wakeupName = "look" // passed to the host and back with each wakeup

	// maxOpenForFullScan is the number of open queries up to which each iteration considers all of them.
	maxOpenForFullScan = 64
)

// Scheduler makes the decisions of one co-ordinator. It does no I/O, reads no clock and starts no goroutine: the same
// events at the same times produce the same decisions. Its methods must be called from one goroutine, with times that
// do not go backwards.
type Scheduler struct {
	parameters parameters
	host       Host
	random     random

	// Known replicas and open queries.
	classes         []class
	replicas        replicaSet
	open            []*query // in order of arrival
	queriesByID     map[RequestID]*query
	queriesByNumber map[QueryNumber]*query
	subqueries      map[RequestID]*subquery // those of open queries or with attempts in flight

	// Policies.
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
	wakeupAt   time.Duration // when the next wakeup is due; math.MaxInt64: none is requested
	stalled    time.Duration // how long this co-ordinator was stalled before now
	readDelay  time.Duration // how long replies may wait unread; 0: no known wait

	poller endpointPoller
	shadow *shadow // another configuration whose decisions are compared; nil: none
}

// New creates a Scheduler. It returns an error if the configuration is invalid.
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
	scheduler.estimates.meanSize = 1
	scheduler.hedges.tokens = maxHedgeTokens * scheduler.parameters.hedgeScale
	scheduler.quotas = newTenantQuotas(scheduler.parameters.tenantQuotas)
	scheduler.connectPolicies()
	return scheduler, nil
}

// connectPolicies gives each policy its references to the parameters and other policies of this Scheduler. It must be
// called again on a copy of a Scheduler.
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

// Decide is called after all events of this time. In order, it polls the endpoint list if that is due, ejects
// unresponsive replicas, ends and places queries, sends queued subqueries, sends hedges and gossips. With few open
// queries each iteration considers all of them; otherwise only ticks do, and iterations between ticks consider the
// queries with new events.
func (scheduler *Scheduler) Decide(now time.Duration) {
	scheduler.advanceClock(now)
	scheduler.pollEndpoints()
	scheduler.retries.expire(now)
	fullScan := len(scheduler.open) <= maxOpenForFullScan || now >= scheduler.lastTickAt+tickInterval
	if fullScan {
		scheduler.tick()
	}
	for _, query := range scheduler.open {
		if fullScan || query.touched {
			scheduler.endIfDue(query)
			scheduler.place(query)
		}
	}
	scope := releaseWhereRoom
	if fullScan {
		scope = releaseEverything
	}
	scheduler.release(scope)
	for _, query := range scheduler.open {
		if fullScan || query.touched {
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

// tick applies the passage of time to the policies and checks the replicas.
func (scheduler *Scheduler) tick() {
	elapsed := scheduler.now - scheduler.lastTickAt
	seconds := elapsed.Seconds()
	scheduler.lastTickAt = scheduler.now
	scheduler.quotas.refill(elapsed)
	for index := range scheduler.classes {
		scheduler.classes[index].admission.decayLatenessFactor(seconds)
	}
	scheduler.slowStart.decay(seconds)
	scheduler.hedges.expireLoadReports(scheduler.now)
	kept := slowdownDecay(seconds)
	for _, replica := range scheduler.replicas.all {
		if replica.state == Ready {
			scheduler.slowStart.countReadyReplica(replica, scheduler.now)
		}
		scheduler.outliers.detect(scheduler.now, replica)
		scheduler.outliers.unloadLost(scheduler.now, replica)
		replica.decaySlowdown(kept)
		if replica.state != Removed {
			replica.lastListedAt = scheduler.now
		}
	}
	scheduler.estimates.meanSize = scheduler.replicas.meanSize(scheduler.estimates.meanSize)
}

// place queues a query's subqueries for replicas. For a new query, admission then accepts or rejects it on the basis of
// that placement.
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

// hedge sends the hedges that are due for a query's subqueries.
func (scheduler *Scheduler) hedge(query *query) {
	for _, subquery := range query.subqueries {
		latest := subquery.lastInFlight()
		if latest == nil || query.ended || query.suspectedQueryOfDeath() {
			continue
		}
		target := scheduler.hedges.target(scheduler.now, latest)
		scheduler.shadowHedge(latest, target)
		if target != nil {
			scheduler.hedges.spend()
			scheduler.startAttempt(subquery, target)
		}
	}
}

// advanceClock sets the current time and, if a requested wakeup comes late, how long this co-ordinator was stalled.
// Without that, its own stalls would look like slow replicas.
func (scheduler *Scheduler) advanceClock(now time.Duration) {
	if now > scheduler.now {
		scheduler.now = now
		scheduler.stalled = max(0, now-scheduler.wakeupAt-tickInterval)
	}
}

// wakeBy requests a wakeup at a time, unless an earlier one is due.
func (scheduler *Scheduler) wakeBy(at time.Duration) {
	if at < scheduler.wakeupAt {
		scheduler.wakeupAt = max(at, scheduler.now+time.Millisecond)
		scheduler.host.ScheduleWakeup(wakeupName, scheduler.wakeupAt-scheduler.now)
	}
}

// oldestArrival returns when the oldest open query arrived, or math.MaxInt64 if none is open.
func (scheduler *Scheduler) oldestArrival() time.Duration {
	if len(scheduler.open) == 0 {
		return math.MaxInt64
	}
	return scheduler.open[0].arrivedAt
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
