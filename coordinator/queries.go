package coordinator

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"terntray/connpool"
	"terntray/eventloop"
	"terntray/internal/replicaproto"
	"terntray/internal/wire"
	"terntray/invariant"
	"terntray/scheduler"
)

// queryState is a query that is open; the client that asked for it gets its one answer.
type queryState struct {
	id            scheduler.RequestID
	client        *client
	request       *wire.Query
	deadline      time.Duration
	subqueries    []*subqueryState
	closed        atomic.Bool // read by all
	arrived       time.Duration
	deadlineTimer *eventloop.Timer // at the cut-off
	number        scheduler.QueryNumber
	twoPhase      *twoPhaseState // nil: it is none
}

type subqueryState struct {
	id        scheduler.RequestID
	query     *queryState
	shard     int
	wireID    string // its id on the wire
	attempts  []*attemptState
	answered  bool
	abandoned atomic.Bool // its step is over; read by all
	value     []byte
	text      []byte // what its call carries; nil: the query's
}

// attemptState is one attemptState at a part.
type attemptState struct {
	connpool.Attempt // as it is sent; no Call where there was no connection for it
	call             replicaproto.Call
	subquery         *subqueryState
	number           scheduler.AttemptNumber
	replica          scheduler.ReplicaID
	deadline         time.Duration // when it stops being awaited, as time since the process' start
	endpoint         *replica
	ended            bool              // the module has been told, or is about to be
	outcome          scheduler.Outcome // once it is over
	timeoutTimer     *eventloop.Timer  // when its time is over
}

// queryArrives takes a query in. It was whole at that time.
func (c *Coordinator) queryArrives(from *client, query *wire.Query, at time.Duration) {
	c.arriving = from
	switch {
	case from.hasDisconnected(c.loop.Now()): // while it waited; what tells that comes behind
		c.counts.Queries++
		c.counts.Disconnected++
	case c.queriesByRequestID[query.ID] != nil:
		c.rejectMalformed(from, http.StatusConflict, "a retrieval with this Req-Id is open")
	case c.unknownShard(query) >= 0:
		c.rejectMalformed(from, http.StatusBadRequest, fmt.Sprintf("there is no segment %d", c.unknownShard(query)))
	case c.unanswered >= c.maxOpen || c.front.crowded(len(c.queries)):
		c.counts.Queries++
		c.counts.Rejected++
		c.counts.RejectedFull++
		from.answer(turnedBack("too much is open"))
	case c.loop.EarliestArrival(at)+query.Deadline <= c.loop.Now():
		c.counts.Queries++
		c.counts.Rejected++
		c.counts.RejectedExpired++
		from.answer(turnedBack("its time was over before it was read"))
	default:
		c.counts.Queries++
		c.acceptQuery(from, query, at)
	}
	c.arriving = nil
}

// rejectMalformed answers what is no query and ends its client's connection.
func (c *Coordinator) rejectMalformed(from *client, status int, words string) {
	c.counts.Malformed++
	from.ends.Store(true)
	from.answer(plainly(status, words))
}

func (c *Coordinator) unknownShard(query *wire.Query) int {
	for _, p := range query.Subqueries {
		if p.Shard >= c.shards {
			return p.Shard
		}
	}
	return -1
}

func (c *Coordinator) acceptQuery(from *client, query *wire.Query, at time.Duration) {
	at = c.loop.EarliestArrival(at)
	q := &queryState{id: c.newID(), client: from, request: query, arrived: at, deadline: at + query.Deadline}
	track := c.classes[query.Class]
	c.lastNumber++
	number := c.lastNumber
	hint := time.Duration(0)
	for _, p := range query.Subqueries {
		hint += p.Hint
	}
	if query.TwoPhase != nil {
		if err := c.beginTwoPhase(q); err != nil {
			c.counts.Queries--
			c.rejectMalformed(from, http.StatusBadRequest, err.Error())
			return
		}
	}
	q.number = number
	c.queries[q.id], c.queriesByRequestID[query.ID] = q, q
	from.open, c.arriving = q, nil
	c.unanswered++
	left := max(0, q.deadline-c.loop.Now())
	q.deadlineTimer = c.loop.After(left, "", func() { c.deadlinePassed(q) })
	c.trace("retrieval=%s track=%s left=%v parts=%d", query.ID, query.Class, left, len(query.Subqueries))
	if q.twoPhase != nil {
		c.startFirstPhase(q, track, left, hint)
		return
	}
	c.unanswered += len(query.Subqueries)
	c.scheduler.QueryArrives(c.loop.Now(), scheduler.QueryArrival{ID: q.id, Number: number, Class: track, Tenant: c.tenantOf(query),
		TimeLeft: left, WorkHint: hint, Subqueries: len(query.Subqueries)})
	for _, asked := range query.Subqueries {
		p := &subqueryState{id: c.newID(), query: q, shard: asked.Shard, wireID: wire.SubqueryID(query.ID, asked.Shard)}
		q.subqueries, c.subqueries[p.id] = append(q.subqueries, p), p
		c.scheduler.SubqueryArrives(c.loop.Now(), scheduler.SubqueryArrival{ID: p.id, Query: number, Shard: scheduler.ShardNumber(p.shard),
			Weight: asked.Weight, WorkHint: asked.Hint})
	}
}

// tenantOf is who asks for a query. One that the settings do not name has no share, and nothing is charged to another's.
// Guards against: tenants that are turned back as what others ask for is charged to them. Could hurt: never, where nobody
// is named there is no tenant.
func (c *Coordinator) tenantOf(query *wire.Query) scheduler.TenantIndex {
	if t, named := c.tenants[inValues.Replace(query.Tenant)]; named {
		return t
	}
	return scheduler.TenantIndex(len(c.tenants))
}

// deadlinePassed answers a query that the module has left open until its cut-off. Guards against: a fault of the
// module that would lose it. Could hurt: never, as its time is over.
func (c *Coordinator) deadlinePassed(q *queryState) {
	if !q.closed.Load() {
		c.log.Printf("event=overdue retrieval=%s stalled=%v loop_late=%v", q.request.ID, c.loop.StalledFor(), c.loop.LateBy())
		c.Fail(q.id)
		c.scheduler.ClientDisconnects(c.loop.Now(), q.id)
	}
}

// newID gives an id that nothing open has.
func (c *Coordinator) newID() scheduler.RequestID {
	for {
		c.lastID++
		if c.queries[c.lastID] == nil && c.subqueries[c.lastID] == nil {
			return c.lastID
		}
	}
}

func (c *Coordinator) queriesInOrder() []*queryState {
	byID := func(a, b *queryState) int { return cmp.Compare(a.id, b.id) }
	return slices.SortedFunc(maps.Values(c.queries), byID)
}

// clientDisconnected ends what a client that is gone has open.
func (c *Coordinator) clientDisconnected(from *client) {
	if q := from.open; q != nil {
		c.counts.Disconnected++
		c.trace("retrieval=%s left after=%v", q.request.ID, c.loop.Now()-q.arrived)
		c.scheduler.ClientDisconnects(c.loop.Now(), q.id)
		c.closeQuery(q)
	}
}

// closeQuery ends a query: nothing of it is sent from now on.
func (c *Coordinator) closeQuery(q *queryState) {
	q.closed.Store(true)
	q.client.open = nil
	c.loop.Cancel(q.deadlineTimer)
	delete(c.queries, q.id)
	delete(c.queriesByRequestID, q.request.ID)
	c.unanswered--
	for _, p := range q.subqueries {
		if !p.answered {
			c.unanswered--
		}
		c.releaseAttempts(p)
	}
	if q.twoPhase != nil {
		c.closeTwoPhase(q)
	}
}

// releaseAttempts lets go of the attempts of a part whose step or query is over, as far as they are.
func (c *Coordinator) releaseAttempts(p *subqueryState) {
	c.withdrawUnsent(p)
	for _, l := range p.attempts {
		if l.ended && l.Call != nil {
			c.fleet.pool.Forget(c.loop.Now(), &l.Attempt)
		}
	}
	c.forgetIfSettled(p)
}

// withdrawUnsent keeps what has not gone out yet of a part of which nothing more is wanted from going out.
func (c *Coordinator) withdrawUnsent(p *subqueryState) {
	for _, l := range p.attempts {
		switch {
		case l.ended:
		case c.fleet.pool.Withdraw(c.loop.Now(), &l.Attempt):
			c.notifyEndedSoon(l, scheduler.Cancelled)
		default: // it is begun: if that fails, it is not begun anew
			c.fleet.pool.NoRetransmit(&l.Attempt)
		}
	}
}

// unwanted tells whether nothing more is wanted of a part.
func (p *subqueryState) unwanted() bool { return p.abandoned.Load() || p.query.closed.Load() }

// forgetIfSettled lets go of a part that nothing can be told of any more.
func (c *Coordinator) forgetIfSettled(p *subqueryState) {
	if p.unwanted() && !slices.ContainsFunc(p.attempts, func(l *attemptState) bool { return !l.ended }) {
		delete(c.subqueries, p.id)
	}
}

// answerOnce gives a query its one answer.
func (c *Coordinator) answerOnce(id scheduler.RequestID, count *int, make func(q *queryState, last bool) []byte) {
	q := c.queries[id]
	if q == nil {
		c.reportViolation(invariant.Answer{Answered: true}.Check(), "answer", fmt.Sprint(id), 0)
		return
	}
	if reason := (invariant.Answer{Late: c.loop.Now() - q.deadline, LoopStalled: c.loop.StalledFor()}).Check(); reason != invariant.Allowed {
		c.reportViolation(reason, "answer", q.request.ID, 0)
	}
	*count++
	if count != &c.counts.Succeeded && c.loop.Now()-q.arrived > (q.deadline-q.arrived)/2 && !c.anyWrittenWhole(q) {
		c.counts.WaitedUnsent++
	}
	c.closeQuery(q)
	q.client.answer(func(last bool) []byte { return make(q, last) })
}

// anyWrittenWhole tells whether any attempt was written whole.
func (c *Coordinator) anyWrittenWhole(q *queryState) bool {
	return slices.ContainsFunc(q.subqueries, func(p *subqueryState) bool {
		return slices.ContainsFunc(p.attempts, c.fleet.went)
	})
}

// Complete answers with the parts that are in.
func (c *Coordinator) Complete(id scheduler.RequestID, whole bool) {
	if q := c.queries[id]; q != nil && q.twoPhase != nil {
		c.scheduleNextPhase(q) // a step is over
		return
	}
	c.answerOnce(id, &c.counts.Succeeded, func(q *queryState, last bool) []byte {
		if !whole {
			c.counts.Partial++
		}
		var matches []wire.SubqueryValue
		for _, p := range q.subqueries {
			if p.answered {
				matches = append(matches, wire.SubqueryValue{Segment: p.shard, Payload: string(p.value)})
			}
		}
		c.trace("retrieval=%s fulfilled whole=%t parts=%d after=%v", q.request.ID, whole, len(matches), c.loop.Now()-q.arrived)
		return wire.CompleteResponse(whole, matches, last)
	})
}

// Reject answers that trying again is harmless.
func (c *Coordinator) Reject(id scheduler.RequestID, comeBack time.Duration) {
	c.answerOnce(id, &c.counts.Rejected, func(q *queryState, last bool) []byte {
		c.trace("retrieval=%s turned_back after=%v", q.request.ID, c.loop.Now()-q.arrived)
		return wire.RejectResponse(comeBack, "turned back", last)
	})
}

// Fail answers that the query failed.
func (c *Coordinator) Fail(id scheduler.RequestID) {
	c.answerOnce(id, &c.counts.Failed, func(q *queryState, last bool) []byte {
		c.trace("retrieval=%s scrapped after=%v", q.request.ID, c.loop.Now()-q.arrived)
		return refusal(http.StatusInternalServerError, "scrapped", last)
	})
}

func refusal(status int, words string, last bool) []byte {
	return wire.Respond(status, "text/plain", []byte(words+"\n"), 0, last)
}

// StartAttempt sends an attempt of a part.
func (c *Coordinator) StartAttempt(id scheduler.RequestID, to scheduler.ReplicaID, timeout time.Duration) {
	p := c.subqueries[id]
	if p == nil {
		c.log.Printf("event=unknown_part id=%d", id)
		return
	}
	wait := p.query.deadline - c.loop.Now()
	if timeout > 0 {
		wait = min(wait, timeout)
	}
	l := &attemptState{subquery: p, number: scheduler.AttemptNumber(len(p.attempts)), deadline: c.loop.Now() + wait, replica: to, endpoint: c.fleet.endpoint(to)}
	l.SentAt, l.NonIdempotent = c.loop.Now(), c.effects[p.query.request.Class] == invariant.NonIdempotent
	earlier := p.attempts
	p.attempts = append(p.attempts, l)
	c.countStarted(l, earlier)
	switch {
	case c.checkStart(l, earlier) != invariant.Allowed:
		c.notifyEndedSoon(l, scheduler.NeverSent)
	case !c.fleet.send(l):
		c.notifyEndedSoon(l, scheduler.Unreachable)
	default:
		l.timeoutTimer = c.loop.After(wait, "", func() { c.abandonAttempt(l, scheduler.TimedOut) })
	}
}

// countStarted counts and logs what kind of attempt goes.
func (c *Coordinator) countStarted(l *attemptState, earlier []*attemptState) {
	c.counts.Attempts++
	kind := "first"
	switch {
	case slices.ContainsFunc(earlier, func(e *attemptState) bool { return !e.ended }):
		kind = "hedge"
		c.counts.Hedges++
	case len(earlier) > 0:
		kind = "retry"
		c.counts.Retries++
	}
	if c.Trace {
		c.trace("sent=%s.%d query=%s replica=%s kind=%s left=%v", l.subquery.wireID, l.number, l.subquery.query.request.ID, c.fleet.uid(l.replica),
			kind, l.deadline-c.loop.Now())
	}
}

// CancelAttempt gives an attempt up.
func (c *Coordinator) CancelAttempt(id scheduler.RequestID, n scheduler.AttemptNumber) {
	if p := c.subqueries[id]; p != nil && int(n) < len(p.attempts) {
		c.abandonAttempt(p.attempts[n], scheduler.Cancelled)
	}
}

// abandonAttempt stops waiting for an attempt.
func (c *Coordinator) abandonAttempt(l *attemptState, how scheduler.Outcome) {
	if l.ended {
		return
	}
	c.fleet.pool.Abandon(c.loop.Now(), &l.Attempt)
	c.notifyEndedSoon(l, how)
}

// notifyEndedSoon has the module told at the start of the next turn how an attempt ended.
func (c *Coordinator) notifyEndedSoon(l *attemptState, how scheduler.Outcome) {
	l.ended, l.outcome = true, how
	c.loop.Cancel(l.timeoutTimer)
	took := c.loop.Now() - l.SentAt
	c.loop.NextIteration(func() { c.attemptEnded(l, how, took) })
}

func (c *Coordinator) attemptEnded(l *attemptState, how scheduler.Outcome, took time.Duration) {
	l.ended, l.outcome = true, how
	c.loop.Cancel(l.timeoutTimer)
	delete(c.fleet.attempts, l.ID)
	c.counts.Outcomes[how]++
	if c.Trace {
		c.trace("leg=%s.%d replica=%s outcome=%s took=%v", l.subquery.wireID, l.number, c.fleet.uid(l.replica), outcomeKeys[how], took)
	}
	c.scheduler.AttemptEnds(c.loop.Now(), scheduler.AttemptResult{Subquery: l.subquery.id, Attempt: l.number, Outcome: how, Took: took})
	if l.subquery.unwanted() && l.Call != nil {
		c.fleet.pool.Forget(c.loop.Now(), &l.Attempt)
	}
	c.forgetIfSettled(l.subquery)
}

// replyReceived takes what a replica says of a part; at is when it was read.
func (c *Coordinator) replyReceived(from *link, r *replicaproto.Event, at time.Duration) {
	ended, late := c.fleet.pool.ReplyReceived(c.loop.Now(), from.id, connpool.AttemptID(r.Attempt), r.SubqueryID, at)
	if late {
		c.counts.LateReply++
	}
	if ended == nil || c.fleet.attempts[ended.ID] == nil {
		return
	}
	l := c.fleet.attempts[ended.ID]
	if r.Busy >= 0 {
		c.scheduler.LoadReported(c.loop.Now(), l.replica, r.Busy)
	}
	how := scheduler.Failed
	switch r.End {
	case replicaproto.OK:
		if !utf8.Valid(r.Value) { // no answer can hold it as it is
			break
		}
		how = scheduler.Succeeded
		if l.subquery.query.twoPhase != nil {
			how = c.phaseReplyReceived(l, r.Value, at-l.SentAt)
		}
		if p := l.subquery; how == scheduler.Succeeded && !p.answered && !p.unwanted() {
			p.answered, p.value = true, r.Value
			c.unanswered--
		}
	case replicaproto.Rejected:
		how = scheduler.Overloaded
	}
	c.attemptEnded(l, how, at-l.SentAt)
	if l.subquery.answered { // its other attempts, where nothing may be called off
		c.withdrawUnsent(l.subquery)
	}
}
