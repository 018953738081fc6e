package scheduler

// The scheduler's loop. Each kind of event has a method; Decide decides, once all events of one time are in. The
// policies decide, each in a file of its own; here they are asked in order, and what they decide is carried out through
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
	parameters
	host   Host
	random random

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
	c := &Scheduler{
		parameters:      newParameters(&config),
		host:            host,
		random:          random{seed: seed, selfIndex: config.SelfIndex},
		classes:         newClasses(config.Classes),
		replicas:        newReplicaSet(config.Cells, config.CellsPerShard),
		queriesByID:     map[RequestID]*query{},
		queriesByNumber: map[QueryNumber]*query{},
		subqueries:      map[RequestID]*subquery{},
		wakeupAt:        math.MaxInt64,
		poller:          newEndpointPoller(&config),
		slowStart:       newSlowStart(&config),
	}
	c.estimates.parallelism = initialParallelism
	c.estimates.typicalSize = 1
	c.hedges.tokens = maxHedgeTokens * c.hedgeScale
	c.quotas = newTenantQuotas(c.tenantQuotas)
	c.connectPolicies()
	return c, nil
}

// connectPolicies hands each policy what it asks: the parameters and other policies of this Scheduler. A copy of a
// Scheduler has to be connected again.
func (c *Scheduler) connectPolicies() {
	parameters := &c.parameters
	c.estimates.parameters = parameters
	c.limits.parameters = parameters
	c.retries.parameters = parameters
	c.outliers = outlierDetector{
		parameters: parameters,
		replicas:   &c.replicas,
		classes:    len(c.classes),
		limits:     &c.limits,
		hasRoom:    c.slowStartAdmits,
		log:        c.host.Log,
	}
	c.placement = placement{
		parameters: parameters,
		replicas:   &c.replicas,
		estimates:  &c.estimates,
		hasRoom:    c.slowStartAdmits,
	}
	c.hedges.parameters = parameters
	c.hedges.estimates = &c.estimates
	c.hedges.limits = &c.limits
	c.hedges.outliers = &c.outliers
	c.hedges.retries = &c.retries
	c.hedges.placement = &c.placement
	c.admission.parameters = parameters
	c.admission.estimates = &c.estimates
	c.admission.replicas = &c.replicas
	c.admission.outliers = &c.outliers
}

// Decide decides, once all events of this time are in. All queries are looked at in each iteration while few are
// open, else at each tick; between ticks those for which something came in.
func (c *Scheduler) Decide(now time.Duration) {
	c.clock(now)
	c.pollEndpoints()
	c.retries.expire(now)
	all := len(c.open) <= fewOpen || now >= c.lastTickAt+tickInterval
	if all {
		c.tick()
	}
	for _, query := range c.open {
		if all || query.touched {
			c.settle(query)
			c.place(query)
		}
	}
	c.release(all)
	for _, query := range c.open {
		if all || query.touched {
			c.hedge(query)
		}
		query.touched = false
	}
	c.open = slices.DeleteFunc(c.open, func(query *query) bool { return query.ended })
	c.broadcast()
	if len(c.open) > 0 {
		c.wakeBy(now + tickInterval)
	}
}

// tick lets go of what time takes away and looks after the replicas.
func (c *Scheduler) tick() {
	passed := c.now - c.lastTickAt
	seconds := passed.Seconds()
	c.lastTickAt = c.now
	c.quotas.refill(passed)
	for index := range c.classes {
		c.classes[index].admission.fadeLatenessFactor(seconds)
	}
	c.slowStart.fade(seconds)
	c.hedges.forgetLoad(c.now)
	kept := slowdownKept(seconds)
	for _, replica := range c.replicas.all {
		if replica.state == Ready {
			c.slowStart.readyReplica(replica, c.now)
		}
		c.outliers.detect(c.now, replica)
		c.outliers.releaseLost(c.now, replica)
		replica.fadeSlowdown(kept)
		if replica.state != Removed {
			replica.lastListedAt = c.now
		}
	}
	c.estimates.typicalSize = c.replicas.meanSize(c.estimates.typicalSize)
}

// place queues a query's subqueries for replicas, and admits or rejects a new query by where they are.
func (c *Scheduler) place(query *query) {
	if query.awaitsSubqueries() {
		return
	}
	placed := c.placement.place(c.now, query)
	if query.admitted {
		return
	}
	query.admitted = true
	slices.SortStableFunc(query.subqueries, func(a, b *subquery) int { return cmp.Compare(a.work, b.work) })
	c.shadowQuery(query, placed)
	decision := c.admission.decide(c.now, query, placed, c.unseenLoad())
	if decision.rejected {
		c.reject(query, decision)
	}
}

func (c *Scheduler) reject(query *query, decision admissionDecision) {
	if decision.beginsToShed {
		c.host.Log("rejecting queries: expected times exceed their objectives")
	}
	c.host.Reject(query.id, decision.retryAfter)
	c.end(query, false)
}

// hedge sends a second attempt for each straggler of a query.
func (c *Scheduler) hedge(query *query) {
	for _, subquery := range query.subqueries {
		straggler := subquery.lastInFlight()
		if straggler == nil || query.ended || query.suspectedDeadly() {
			continue
		}
		target := c.hedges.target(c.now, straggler)
		c.shadowHedge(straggler, target)
		if target != nil {
			c.hedges.spend()
			c.startAttempt(subquery, target)
		}
	}
}

// clock takes the time, and for how long this co-ordinator stood still: a wakeup that it asked for is late. Without
// that a pause of its own would look like slow replicas.
func (c *Scheduler) clock(now time.Duration) {
	if now > c.now {
		c.now = now
		c.stalled = max(0, now-c.wakeupAt-tickInterval)
	}
}

// wakeBy asks for a wakeup at a time, unless one before it is due.
func (c *Scheduler) wakeBy(at time.Duration) {
	if at < c.wakeupAt {
		c.wakeupAt = max(at, c.now+time.Millisecond)
		c.host.ScheduleWakeup(wakeupName, c.wakeupAt-c.now)
	}
}

// oldestArrival is when the oldest open query arrived; the end of time if none is open.
func (c *Scheduler) oldestArrival() time.Duration {
	if len(c.open) == 0 {
		return math.MaxInt64
	}
	return c.open[0].arrivedAt
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
