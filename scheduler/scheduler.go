package scheduler

// The loop: what happens is told by one method each, and TurnEnds decides, once all that has come in at one time is told.
// New is handed the host and the configuration; everything else acts through the Host in host.go. docs/design.md tells the
// mechanism and its departures.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"terntray/invariant"
)

const (
	sweepEvery = 10 * time.Millisecond // between looks at the clock: small beside any part's work
	endMargin  = 20 * time.Millisecond // answers leave this long before cut-off or agreed time: two sweeps
	rounding   = 0.00005               // weight; half of what sums may fall short by

	fewOpen = 64 // queries that cost a turn little

	sameShare  = 0.01 // of a cut-off; first tries differ by less on their way
	sharesKept = 16   // queries; the last ones that tell what first tries come with
)

const replayable, referenced, singleUse = invariant.Idempotent, invariant.Keyed, invariant.NonIdempotent

// New starts a co-ordinator. It fails if the configuration is not valid.
func New(host Host, seed uint64, config Config) (*Scheduler, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	c := &Scheduler{
		host: host, seed: seed, parameters: newParameters(&config), classes: newClasses(config.Classes),
		lanes: startLanes, typical: 1, wakeAt: math.MaxInt64, blank: 1, askWait: askFirst,
		byID: map[RequestID]*query{}, byNum: map[QueryNumber]*query{},
		subqueries: map[RequestID]*subquery{}, replicasByID: map[ReplicaID]*replicaState{},
		holdersByCell: make([][]*replicaState, config.Cells), asked: make([]float64, config.Cells),
	}
	c.copies = maxCopies * c.hedgeScale
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
	q := &query{id: arrival.ID, number: arrival.Number, class: t, tenant: tenant, arrived: now, due: arrival.Subqueries}
	q.endAt = now + left
	q.agreed = now + min(t.agreed+scale(hint, t.stretch), t.cutOff, left)
	if gone := t.cutOff - left; c.laterTry(float64(left) / float64(t.cutOff)) {
		if q.agreed = min(q.agreed, now+t.agreed+scale(hint, t.stretch)-gone); q.agreed <= now {
			q.agreed, q.judged, q.past = q.endAt, true, true
		}
	}
	q.touched, c.open = true, append(c.open, q)
	c.byID[q.id], c.byNum[q.number] = q, q
	known := int(tenant) < len(c.tenantQuotas)
	if q.overShare = known && c.allowance[tenant] < 1 && (c.unseenLoadFactor <= 1 || c.heard()); known && !q.overShare {
		c.allowance[tenant]--
	}
	q.overShare = q.overShare || q.past
	c.taken = append(c.taken, now)
}

// laterTry tells whether a query with this share of its cut-off left must be a client's further try: most
// of late came with more, it alone with this; what is missing has passed. Guards against: work for agreed
// times that are over. Could hurt: clients whose first tries each have a time of their own.
func (c *Scheduler) laterTry(share float64) bool {
	usual, more := false, false
	for n, s := range c.shares {
		usual = usual || math.Abs(s-share) < sameShare
		same := func(o float64) bool { return math.Abs(s-o) < sameShare }
		more = more || s > share && slices.ContainsFunc(c.shares[:n], same)
	}
	if c.shares = append(c.shares, share); len(c.shares) > sharesKept {
		c.shares = c.shares[1:]
	}
	return more && !usual
}

// SubqueryArrives takes one subquery of the present phase of a query.
func (c *Scheduler) SubqueryArrives(now time.Duration, arrival SubqueryArrival) {
	c.clock(now)
	id, number, shard := arrival.ID, arrival.Query, arrival.Shard
	weight, hint := arrival.Weight, arrival.WorkHint
	q := c.byNum[number]
	if q == nil || !q.goesOn || q.step == 0 { // what a later step asks again is not asked for anew
		c.taken = append(c.taken, now)
	}
	if q == nil {
		return
	}
	work := cmp.Or(scale(max(0, hint), q.class.hintUnit), q.class.unit)
	p := &subquery{id: id, query: q, shard: shard, weight: weight, work: work, hintUnit: q.class.hintUnit}
	if p.spent, p.again = q.spent[shard], q.spent[shard] > 0; q.reserves && q.step == 0 {
		p.spent = 1
	}
	q.subqueries, c.subqueries[id] = append(q.subqueries, p), p
	c.asked[int(shard)%c.cells]++
}

// UsePhases tells that a query's steps are whole or nothing and end by NextStep alone; if reserves, the
// first leaves each part an attempt for the next.
func (c *Scheduler) UsePhases(id RequestID, reserves bool) {
	if q := c.byID[id]; q != nil {
		q.goesOn, q.reserves = true, reserves
	}
}

// StartNextPhase ends a query's present step and tells how many parts the next has; with none it is fulfilled.
func (c *Scheduler) StartNextPhase(now time.Duration, id RequestID, parts int) {
	c.clock(now)
	switch q := c.byID[id]; {
	case q == nil:
	case parts == 0:
		c.end(q, now <= q.agreed)
	default:
		c.advance(q, parts)
	}
}

func (c *Scheduler) advance(q *query, parts int) {
	if q.spent == nil {
		q.spent = map[ShardNumber]int{}
	}
	for _, p := range q.subqueries {
		c.drop(p)
		if q.goesOn {
			q.spent[p.shard] += len(p.attempts)
		}
	}
	q.step, q.due, q.subqueries, q.touched = q.step+1, parts, nil, true
	q.got, q.in, q.ratio, q.sent, q.deaths = 0, 0, 0, 0, 0
}

// AttemptEnds takes the outcome of an attempt. One that is not known, or that has ended before, changes nothing.
func (c *Scheduler) AttemptEnds(now time.Duration, result AttemptResult) {
	c.clock(now)
	id, n, how, took := result.Subquery, result.Attempt, result.Outcome, result.Took
	p := c.subqueries[id]
	if p == nil || int(n) >= len(p.attempts) || n < 0 || p.attempts[n].done {
		return
	}
	l, r, t := p.attempts[n], p.attempts[n].replica, p.query.class
	p.query.touched = true
	l.done, l.ran = true, how != Overloaded && how != Unreachable && how != NeverSent
	r.unload(func(o *attempt) bool { return o == l })
	if times := float64(now-l.sentAt-c.stalled+jitter) / float64(l.base+jitter); !c.gossipEnabled {
	} else if times > toldLate && c.behind == 0 {
		c.tallies[lateAttempts].add(now, r.cell, l.work, times)
	} else if how != Cancelled { // else it may go on there
		c.tallies[endedAttempts].add(now, r.cell, l.work, 1)
	}
	switch how {
	case Succeeded:
		if c.answered(r, t, l, took); r == p.query.suspect && l.sentAt > p.query.diedAt {
			p.query.deaths = 0 // it lives: the connection alone was lost
		}
		if !p.in && !p.gone && !p.query.ended {
			p.in, p.query.got, p.query.in = true, p.query.got+p.weight, p.query.in+1
			p.query.ratio += float64(took) / float64(scale(l.base, r.slowdown)+1)
			c.drop(p)
		}
	case ConnectionReset, MalformedReply, Failed, TimedOut, Overloaded, Unreachable:
		switch {
		case how == Overloaded:
			c.halve(r)
			r.limitCeiling = max(1, min(r.limitCeiling, float64(len(r.outstanding))))
			if c.unseenLoadFactor > 1 { // full of what others sent
				r.fullUntil = c.now + scale(fullWait, 0.5+c.chance())
			}
		case how == Unreachable:
			c.setAside(r, nil, "cannot be reached")
		case how == ConnectionReset && took >= staleTook && (p.query.diedAt != c.now || p.query.suspect != r): // quicker: it idled
			p.query.deaths, p.query.diedAt, p.query.suspect = p.query.deaths+1, c.now, r
		}
		if r.lastErrorAt != c.now {
			r.forClass(t).consecutiveErrors++
		}
		if r.lastErrorAt = c.now; r.forClass(t).consecutiveErrors >= errorLimit {
			c.setAside(r, t, "brings errors only")
		}
	}
	switch {
	case p.running() || p.held:
	case p.in || p.gone:
		delete(c.subqueries, id)
	case c.mayRepeat(p):
		c.hold(p, nil)
	default:
		c.drop(p)
		c.short(p.query)
	}
}

// LoadReported tells the share of its cores that a replica has in use, as it says itself.
func (c *Scheduler) LoadReported(now time.Duration, id ReplicaID, busy float64) {
	c.clock(now)
	c.busy, c.reportAt = c.busy+busyStep*(busy-c.busy), now
	if r, known := c.replicasByID[id]; known {
		r.utilization, r.utilizationAt = busy, now
	}
}

// ClientDisconnects tells that nobody waits for a query any more; that it was not fulfilled then says nothing.
func (c *Scheduler) ClientDisconnects(now time.Duration, id RequestID) {
	c.clock(now)
	if q := c.byID[id]; q != nil {
		q.judged = true
		c.end(q, false)
	}
}

func (c *Scheduler) Wakeup(now time.Duration, name string) {
	if c.clock(now); now >= c.wakeAt {
		c.wakeAt = math.MaxInt64
	}
}

// ReadDelayed tells for how long what comes for this co-ordinator may wait unread, as its own core is busy. Guards
// against: taking that for slow replicas. Could hurt: by learning less of them while its core is short.
func (c *Scheduler) ReadDelayed(now, unread time.Duration) {
	c.clock(now)
	c.behind = unread
}

// clock takes the time, and by how much this co-ordinator stood still: a look that it asked for is late.
// Guards against: taking that for slow replicas. Should also cover: a starved machine.
func (c *Scheduler) clock(now time.Duration) {
	if now > c.now {
		c.now, c.stalled = now, max(0, now-c.wakeAt-sweepEvery)
	}
}

func (c *Scheduler) wake(at time.Duration) {
	if at < c.wakeAt {
		c.wakeAt = max(at, c.now+time.Millisecond)
		c.host.ScheduleWakeup("look", c.wakeAt-c.now)
	}
}

// Decide decides, once all that has come in at this time is told. All is looked at in each turn while
// little is open, else once in a sweep, and in between what something came in for.
func (c *Scheduler) Decide(now time.Duration) {
	c.clock(now)
	c.follow()
	c.taken, c.extras = after(c.taken, now-c.retryBudgetSpan+1), after(c.extras, now-c.retryBudgetSpan)
	all := len(c.open) <= fewOpen || now >= c.refilled+sweepEvery
	if all {
		c.refill()
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
			c.further(q)
		}
		q.touched = false
	}
	c.open = slices.DeleteFunc(c.open, func(q *query) bool { return q.ended })
	for kind := range c.tallies {
		t := &c.tallies[kind]
		if kind == int(sentAttempts) || now >= t.since+tellWait {
			for _, message := range t.take(attemptsTold(kind), c.cells, c.lanes) {
				c.host.Broadcast(message)
			}
		} else if len(t.cells) > 0 {
			c.wake(t.since + tellWait)
		}
	}
	if len(c.open) > 0 {
		c.wake(now + sweepEvery)
	}
}

// refill lets go of what time takes away and looks after the replicas.
func (c *Scheduler) refill() {
	passed := (c.now - c.refilled).Seconds()
	for t, q := range c.tenantQuotas {
		c.allowance[t] = min(max(leastBurst, q*shareBurst), c.allowance[t]+q*passed)
	}
	for n := range c.classes {
		c.classes[n].longer = 1 + (c.classes[n].longer-1)*math.Exp(-passed/longerFades)
	}
	fade := math.Exp(-passed / flowFades)
	c.flow, c.warm, c.blank = c.flow*fade, 0, c.blank*fade
	size, active := 0.0, 0.0
	if c.now > c.reportAt+shedQuiet {
		c.busy = 0 // nobody tells it any more
	}
	for n := range c.asked {
		c.asked[n] *= fade
	}
	for _, r := range c.replicas {
		if r.state == Ready {
			if size, active = size+r.size, active+1; !c.coldFor(r) {
				c.warm++
			}
		}
		c.watch(r)
		r.unload(func(l *attempt) bool { return l.passed > 0 && c.stuck(l) }) // lost, it would hold a place
		if r.state != Removed {
			r.lastListedAt = c.now
		}
		if len(r.outstanding) == 0 {
			r.slowdown = math.Pow(r.slowdown, math.Exp(-passed/paceFades))
		}
	}
	c.refilled = c.now
	if active > 0 {
		c.typical = size / active
	}
}

func (c *Scheduler) settle(q *query) {
	if q.waiting() {
		if !q.ended && c.now >= q.endAt-endMargin { // what it waits for never came
			c.giveUp(q)
		}
		return
	}
	if c.now > q.agreed {
		c.judge(q, false)
	}
	need, _ := q.bounds()
	switch {
	case q.got >= need:
		c.answer(q, q.step == 0 || q.firstWhole)
	case c.now >= q.endAt-endMargin || q.doubtful() && (q.deaths > 1 || !c.sendable(q.suspect, q.class, nil)):
		c.giveUp(q)
	}
}

func (c *Scheduler) answer(q *query, whole bool) {
	c.host.Complete(q.id, whole)
	switch {
	case q.goesOn:
		q.due = math.MaxInt // NextStep comes in the next turn
	case q.class.fetch == 0 || q.step > 0:
		c.end(q, c.now <= q.agreed)
	default:
		q.firstWhole = whole
		c.advance(q, q.class.fetch)
	}
}

func (c *Scheduler) giveUp(q *query) {
	if _, floor := q.bounds(); q.got >= floor && (q.class.fetch == 0 || q.step > 0) {
		c.host.Complete(q.id, false)
	} else {
		c.host.Fail(q.id)
	}
	c.end(q, false)
}

func (c *Scheduler) end(q *query, kept bool) {
	q.ended = true
	c.judge(q, kept)
	for _, p := range q.subqueries {
		c.drop(p)
	}
	delete(c.byID, q.id)
	delete(c.byNum, q.number)
}

// drop abandons a part, or what is still out of one that is in: nothing more is sent for it.
func (c *Scheduler) drop(p *subquery) {
	c.hold(p, nil)
	p.held, p.gone = false, p.gone || !p.in
	for n, l := range p.attempts {
		if !l.done && c.cancelAllowed {
			c.host.CancelAttempt(p.id, AttemptNumber(n))
		}
	}
	if !p.running() {
		delete(c.subqueries, p.id)
	}
}

func (c *Scheduler) short(q *query) {
	if !q.ended && !(q.reserves && q.step == 0) && !q.reaches(func(p *subquery) bool { return p.in || !p.gone }) {
		c.giveUp(q)
	}
}
