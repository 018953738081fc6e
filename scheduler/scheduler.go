package scheduler

// The loop: what happens is told by one method each, and TurnEnds decides, once all that has come in at one time is told.
// New is handed the host and the configuration; everything else acts through the Host in host.go. docs/design.md tells the
// mechanism and its departures.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	sweepEvery = 10 * time.Millisecond // between looks at the clock: small beside any part's work
	endMargin  = 20 * time.Millisecond // answers leave this long before cut-off or agreed time: two sweeps

	fewOpen = 64 // queries that cost a turn little

	sameShare  = 0.01 // of a cut-off; first tries differ by less on their way
	sharesKept = 16   // queries; the last ones that tell what first tries come with
)

// New starts a co-ordinator. It fails if the configuration is not valid.
func New(host Host, seed uint64, config Config) (*Scheduler, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	c := &Scheduler{
		host: host, parameters: newParameters(&config),
		random:      random{seed: seed, selfIndex: config.SelfIndex},
		classes:     newClasses(config.Classes),
		parallelism: startLanes, typicalSize: 1, wakeupAt: math.MaxInt64, blank: 1, askWait: askFirst,
		queriesByID: map[RequestID]*query{}, queriesByNumber: map[QueryNumber]*query{},
		subqueries: map[RequestID]*subquery{},
		replicas:   newReplicaSet(config.Cells, config.CellsPerShard), asked: make([]float64, config.Cells),
	}
	c.hedgeCredit = maxCopies * c.hedgeScale
	for _, quota := range c.tenantQuotas {
		c.allowance = append(c.allowance, max(leastBurst, quota*shareBurst))
	}
	return c, nil
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// QueryArrives takes a new query, or a client's retry of one. Its subqueries follow by SubqueryArrives.
func (c *Scheduler) QueryArrives(now time.Duration, arrival QueryArrival) {
	c.clock(now)
	left, hint, tenant := arrival.TimeLeft, arrival.WorkHint, arrival.Tenant
	t := &c.classes[arrival.Class]
	q := &query{id: arrival.ID, number: arrival.Number, class: t, tenant: tenant, arrivedAt: now, expectedSubqueries: arrival.Subqueries}
	q.deadlineAt = now + left
	q.objectiveAt = now + min(t.objective+scale(hint, t.objectivePerHint), t.deadline, left)
	if gone := t.deadline - left; c.isClientRetry(float64(left) / float64(t.deadline)) {
		if q.objectiveAt = min(q.objectiveAt, now+t.objective+scale(hint, t.objectivePerHint)-gone); q.objectiveAt <= now {
			q.objectiveAt, q.judged, q.objectivePassed = q.deadlineAt, true, true
		}
	}
	q.touched, c.open = true, append(c.open, q)
	c.queriesByID[q.id], c.queriesByNumber[q.number] = q, q
	known := int(tenant) < len(c.tenantQuotas)
	if q.overQuota = known && c.allowance[tenant] < 1 && (c.unseenLoadFactor <= 1 || c.gossip.heard(c.now)); known && !q.overQuota {
		c.allowance[tenant]--
	}
	q.overQuota = q.overQuota || q.objectivePassed
	c.taken = append(c.taken, now)
}

// isClientRetry tells whether a query with this share of its cut-off left must be a client's further try: most
// of late came with more, it alone with this; what is missing has passed. Guards against: work for agreed
// times that are over. Could hurt: clients whose first tries each have a time of their own.
func (c *Scheduler) isClientRetry(share float64) bool {
	usual, more := false, false
	for n, s := range c.deadlineShares {
		usual = usual || math.Abs(s-share) < sameShare
		same := func(o float64) bool { return math.Abs(s-o) < sameShare }
		more = more || s > share && slices.ContainsFunc(c.deadlineShares[:n], same)
	}
	if c.deadlineShares = append(c.deadlineShares, share); len(c.deadlineShares) > sharesKept {
		c.deadlineShares = c.deadlineShares[1:]
	}
	return more && !usual
}

// SubqueryArrives takes one subquery of the present phase of a query.
func (c *Scheduler) SubqueryArrives(now time.Duration, arrival SubqueryArrival) {
	c.clock(now)
	id, number, shard := arrival.ID, arrival.Query, arrival.Shard
	weight, hint := arrival.Weight, arrival.WorkHint
	q := c.queriesByNumber[number]
	if q == nil || !q.callerEndsPhases || q.phase == 0 { // what a later step asks again is not asked for anew
		c.taken = append(c.taken, now)
	}
	if q == nil {
		return
	}
	work := cmp.Or(scale(max(0, hint), q.class.workPerHint), q.class.subqueryWork)
	p := &subquery{id: id, query: q, shard: shard, weight: weight, work: work, workPerHint: q.class.workPerHint}
	if p.attemptsUsed, p.isRetry = q.attemptsUsed[shard], q.attemptsUsed[shard] > 0; q.reservesAttempt && q.phase == 0 {
		p.attemptsUsed = 1
	}
	q.subqueries, c.subqueries[id] = append(q.subqueries, p), p
	c.asked[int(shard)%c.cells]++
}

// UsePhases tells that a query's steps are whole or nothing and end by NextStep alone; if reserves, the
// first leaves each part an attempt for the next.
func (c *Scheduler) UsePhases(id RequestID, reserves bool) {
	if q := c.queriesByID[id]; q != nil {
		q.callerEndsPhases, q.reservesAttempt = true, reserves
	}
}

// StartNextPhase ends a query's present step and tells how many parts the next has; with none it is fulfilled.
func (c *Scheduler) StartNextPhase(now time.Duration, id RequestID, parts int) {
	c.clock(now)
	switch q := c.queriesByID[id]; {
	case q == nil:
	case parts == 0:
		c.end(q, now <= q.objectiveAt)
	default:
		c.advance(q, parts)
	}
}

func (c *Scheduler) advance(q *query, parts int) {
	if q.attemptsUsed == nil {
		q.attemptsUsed = map[ShardNumber]int{}
	}
	for _, p := range q.subqueries {
		c.abandon(p)
		if q.callerEndsPhases {
			q.attemptsUsed[p.shard] += len(p.attempts)
		}
	}
	q.phase, q.expectedSubqueries, q.subqueries, q.touched = q.phase+1, parts, nil, true
	q.answeredWeight, q.answered, q.latenessSum, q.attemptsSent, q.suspectedCrashes = 0, 0, 0, 0, 0
}

// AttemptEnds takes the outcome of an attempt. One that is not known, or that has ended before, changes nothing.
func (c *Scheduler) AttemptEnds(now time.Duration, result AttemptResult) {
	c.clock(now)
	id, n, how, took := result.Subquery, result.Attempt, result.Outcome, result.Took
	p := c.subqueries[id]
	if p == nil || int(n) >= len(p.attempts) || n < 0 || p.attempts[n].ended {
		return
	}
	l, r, t := p.attempts[n], p.attempts[n].replica, p.query.class
	p.query.touched = true
	l.ended, l.mayHaveRun = true, how != Overloaded && how != Unreachable && how != NeverSent
	r.unload(func(o *attempt) bool { return o == l })
	if c.gossipEnabled {
		lateness := float64(now-l.sentAt-c.stalled+jitter) / float64(l.expected+jitter)

		c.gossip.attemptEnded(now, l, lateness, c.readDelay != 0, how == Cancelled)
	}
	switch how {
	case Succeeded:
		if c.answered(r, t, l, took); r == p.query.suspectedReplica && l.sentAt > p.query.suspectedCrashAt {
			p.query.suspectedCrashes = 0 // it lives: the connection alone was lost
		}
		if !p.answered && !p.abandoned && !p.query.ended {
			p.answered, p.query.answeredWeight, p.query.answered = true, p.query.answeredWeight+p.weight, p.query.answered+1
			p.query.latenessSum += float64(took) / float64(scale(l.expected, r.slowdown)+1)
			c.abandon(p)
		}
	case ConnectionReset, MalformedReply, Failed, TimedOut, Overloaded, Unreachable:
		switch {
		case how == Overloaded:
			c.halve(r)
			r.limitCeiling = max(1, min(r.limitCeiling, float64(len(r.outstanding))))
			if c.unseenLoadFactor > 1 { // full of what others sent
				r.fullUntil = c.now + scale(fullWait, 0.5+c.random.next())
			}
		case how == Unreachable:
			c.eject(r, nil, "cannot be reached")
		case how == ConnectionReset && took >= staleTook && (p.query.suspectedCrashAt != c.now || p.query.suspectedReplica != r): // quicker: it idled
			p.query.suspectedCrashes, p.query.suspectedCrashAt, p.query.suspectedReplica = p.query.suspectedCrashes+1, c.now, r
		}
		if r.lastErrorAt != c.now {
			r.forClass(t).consecutiveErrors++
		}
		if r.lastErrorAt = c.now; r.forClass(t).consecutiveErrors >= errorLimit {
			c.eject(r, t, "brings errors only")
		}
	}
	switch {
	case p.inFlight() || p.queued:
	case p.answered || p.abandoned:
		delete(c.subqueries, id)
	case c.mayRetry(p):
		p.queueFor(nil)
	default:
		c.abandon(p)
		c.failIfHopeless(p.query)
	}
}

// LoadReported tells the share of its cores that a replica has in use, as it says itself.
func (c *Scheduler) LoadReported(now time.Duration, id ReplicaID, busy float64) {
	c.clock(now)
	c.meanUtilization, c.lastLoadReportAt = c.meanUtilization+busyStep*(busy-c.meanUtilization), now
	if r, known := c.replicas.byID[id]; known {
		r.utilization, r.utilizationAt = busy, now
	}
}

// ClientDisconnects tells that nobody waits for a query any more; that it was not fulfilled then says nothing.
func (c *Scheduler) ClientDisconnects(now time.Duration, id RequestID) {
	c.clock(now)
	if q := c.queriesByID[id]; q != nil {
		q.judged = true
		c.end(q, false)
	}
}

func (c *Scheduler) Wakeup(now time.Duration, name string) {
	if c.clock(now); now >= c.wakeupAt {
		c.wakeupAt = math.MaxInt64
	}
}

// ReadDelayed tells for how long what comes for this co-ordinator may wait unread, as its own core is busy. Guards
// against: taking that for slow replicas. Could hurt: by learning less of them while its core is short.
func (c *Scheduler) ReadDelayed(now, unread time.Duration) {
	c.clock(now)
	c.readDelay = unread
}

// clock takes the time, and by how much this co-ordinator stood still: a look that it asked for is late.
// Guards against: taking that for slow replicas. Should also cover: a starved machine.
func (c *Scheduler) clock(now time.Duration) {
	if now > c.now {
		c.now, c.stalled = now, max(0, now-c.wakeupAt-sweepEvery)
	}
}

func (c *Scheduler) wakeBy(at time.Duration) {
	if at < c.wakeupAt {
		c.wakeupAt = max(at, c.now+time.Millisecond)
		c.host.ScheduleWakeup("look", c.wakeupAt-c.now)
	}
}

// Decide decides, once all that has come in at this time is told. All is looked at in each turn while
// little is open, else once in a sweep, and in between what something came in for.
func (c *Scheduler) Decide(now time.Duration) {
	c.clock(now)
	c.follow()
	c.taken, c.extras = after(c.taken, now-c.retryBudgetSpan+1), after(c.extras, now-c.retryBudgetSpan)
	all := len(c.open) <= fewOpen || now >= c.lastTickAt+sweepEvery
	if all {
		c.tick()
	}
	for _, q := range c.open {
		if all || q.touched {
			c.settle(q)
			c.place(q)
		}
	}
	c.release(all)
	for _, q := range c.open {
		if all || q.touched {
			c.hedge(q)
		}
		q.touched = false
	}
	c.open = slices.DeleteFunc(c.open, func(q *query) bool { return q.ended })

	c.broadcast()
	if len(c.open) > 0 {
		c.wakeBy(now + sweepEvery)
	}
}

// tick lets go of what time takes away and looks after the replicas.
func (c *Scheduler) tick() {
	passed := (c.now - c.lastTickAt).Seconds()
	for t, q := range c.tenantQuotas {
		c.allowance[t] = min(max(leastBurst, q*shareBurst), c.allowance[t]+q*passed)
	}
	for n := range c.classes {
		c.classes[n].latenessFactor = 1 + (c.classes[n].latenessFactor-1)*math.Exp(-passed/longerFades)
	}
	fade := math.Exp(-passed / flowFades)
	c.flow, c.warm, c.blank = c.flow*fade, 0, c.blank*fade
	size, active := 0.0, 0.0
	if c.now > c.lastLoadReportAt+shedQuiet {
		c.meanUtilization = 0 // nobody tells it any more
	}
	for n := range c.asked {
		c.asked[n] *= fade
	}
	for _, r := range c.replicas.all {
		if r.state == Ready {
			if size, active = size+r.size, active+1; !c.coldFor(r) {
				c.warm++
			}
		}
		c.detectOutlier(r)
		r.unload(func(l *attempt) bool { return l.overtaken > 0 && c.hung(l) }) // lost, it would hold a place
		if r.state != Removed {
			r.lastListedAt = c.now
		}
		if len(r.outstanding) == 0 {
			r.slowdown = math.Pow(r.slowdown, math.Exp(-passed/paceFades))
		}
	}
	c.lastTickAt = c.now
	if active > 0 {
		c.typicalSize = size / active
	}
}

func (c *Scheduler) settle(q *query) {
	if q.awaitsSubqueries() {
		if !q.ended && c.now >= q.deadlineAt-endMargin { // what it waits for never came
			c.giveUp(q)
		}
		return
	}
	if c.now > q.objectiveAt {
		c.recordOutcome(q, false)
	}
	need, _ := q.requiredWeights()
	switch {
	case q.answeredWeight >= need:
		c.answer(q, q.phase == 0 || q.firstPhaseComplete)
	case c.now >= q.deadlineAt-endMargin || q.suspectedDeadly() && (q.suspectedCrashes > 1 || !c.sendable(q.suspectedReplica, q.class, nil)):
		c.giveUp(q)
	}
}

func (c *Scheduler) answer(q *query, whole bool) {
	c.host.Complete(q.id, whole)
	switch {
	case q.callerEndsPhases:
		q.expectedSubqueries = math.MaxInt // NextStep comes in the next turn
	case q.class.fetchSubqueries == 0 || q.phase > 0:
		c.end(q, c.now <= q.objectiveAt)
	default:
		q.firstPhaseComplete = whole
		c.advance(q, q.class.fetchSubqueries)
	}
}

func (c *Scheduler) giveUp(q *query) {
	if _, floor := q.requiredWeights(); q.answeredWeight >= floor && (q.class.fetchSubqueries == 0 || q.phase > 0) {
		c.host.Complete(q.id, false)
	} else {
		c.host.Fail(q.id)
	}
	c.end(q, false)
}

func (c *Scheduler) end(q *query, kept bool) {
	q.ended = true
	c.recordOutcome(q, kept)
	for _, p := range q.subqueries {
		c.abandon(p)
	}
	delete(c.queriesByID, q.id)
	delete(c.queriesByNumber, q.number)
}

// abandon abandons a part, or what is still out of one that is in: nothing more is sent for it.
func (c *Scheduler) abandon(p *subquery) {
	p.unqueue()
	p.abandoned = p.abandoned || !p.answered
	for n, l := range p.attempts {
		if !l.ended && c.cancelAllowed {
			c.host.CancelAttempt(p.id, AttemptNumber(n))
		}
	}
	if !p.inFlight() {
		delete(c.subqueries, p.id)
	}
}

func (c *Scheduler) failIfHopeless(q *query) {
	if !q.ended && !(q.reservesAttempt && q.phase == 0) && !q.reachesMinimum(func(p *subquery) bool { return p.answered || !p.abandoned }) {
		c.giveUp(q)
	}
}

// after drops the times before one from a list in order.
func after(times []time.Duration, at time.Duration) []time.Duration {
	for len(times) > 0 && times[0] < at {
		times = times[1:]
	}
	return times
}

// oldestArrival is when the oldest open query arrived; the end of time if none is open.
func (c *Scheduler) oldestArrival() time.Duration {
	if len(c.open) == 0 {
		return math.MaxInt64
	}
	return c.open[0].arrivedAt
}
