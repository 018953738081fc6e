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
	"terntray/server"
)

// openQuery is a query that is open; the client that asked for it gets its one answer.
type openQuery struct {
	id       scheduler.RequestID
	client   client
	query    *wire.Query
	cutOff   time.Duration
	parts    []*part
	closed   atomic.Bool // read by all
	came     time.Duration
	ends     *eventloop.Timer // at the cut-off
	number   scheduler.QueryNumber
	question *question // nil: it is none
}

type part struct {
	id       scheduler.RequestID
	of       *openQuery
	shard    int
	wire     string // its id on the wire
	attempts []*attempt
	in       bool
	done     atomic.Bool // its step is over; read by all
	value    []byte
	text     []byte // what its call carries; nil: the query's
}

// attempt is one attempt at a part.
type attempt struct {
	connpool.Attempt // as it is sent; no Call where there was no connection for it
	call             replicaproto.Call
	part             *part
	number           scheduler.AttemptNumber
	to               scheduler.ReplicaID
	deadline         time.Duration // when it stops being awaited, as time since the process' start
	endpoint         *replica
	over             bool              // the module has been told, or is about to be
	outcome          scheduler.Outcome // once it is over
	ends             *eventloop.Timer  // when its time is over
}

// arrives takes a query in. It was whole at that time.
func (c *Coordinator) arrives(from client, query *wire.Query, at time.Duration) {
	c.arriving = from
	switch {
	case from.HasGone(c.loop.Now()): // while it waited; what tells that comes behind
		c.counts.Taken++
		c.counts.Left++
	case c.byQuery[query.ID] != nil:
		c.bad(from, http.StatusConflict, "a retrieval with this Req-Id is open")
	case c.unknownShard(query) >= 0:
		c.bad(from, http.StatusBadRequest, fmt.Sprintf("there is no segment %d", c.unknownShard(query)))
	case c.held >= c.maxOpen || c.server.IsCrowded(len(c.queries)):
		c.counts.Taken++
		c.counts.TurnedBack++
		c.counts.Full++
		from.Respond(server.Rejection("too much is open"))
	case c.loop.EarliestArrival(at)+query.Deadline <= c.loop.Now():
		c.counts.Taken++
		c.counts.TurnedBack++
		c.counts.Expired++
		from.Respond(server.Rejection("its time was over before it was read"))
	default:
		c.counts.Taken++
		c.take(from, query, at)
	}
	c.arriving = nil
}

// bad answers what is no query and ends its client's connection.
func (c *Coordinator) bad(from client, status int, words string) {
	c.counts.Bad++
	from.CloseAfterResponse()
	from.Respond(server.Text(status, words))
}

func (c *Coordinator) unknownShard(query *wire.Query) int {
	for _, p := range query.Subqueries {
		if p.Shard >= c.shards {
			return p.Shard
		}
	}
	return -1
}

func (c *Coordinator) take(from client, query *wire.Query, at time.Duration) {
	at = c.loop.EarliestArrival(at)
	q := &openQuery{id: c.newID(), client: from, query: query, came: at, cutOff: at + query.Deadline}
	track := c.tracks[query.Class]
	c.lastNumber++
	number := c.lastNumber
	hint := time.Duration(0)
	for _, p := range query.Subqueries {
		hint += p.Hint
	}
	if query.TwoPhase != nil {
		if err := c.takeQuestion(q); err != nil {
			c.counts.Taken--
			c.bad(from, http.StatusBadRequest, err.Error())
			return
		}
	}
	q.number = number
	c.queries[q.id], c.byQuery[query.ID] = q, q
	c.byClient[from] = q
	c.arriving = nil
	c.held++
	left := max(0, q.cutOff-c.loop.Now())
	q.ends = c.loop.After(left, "", func() { c.overdue(q) })
	c.trace("retrieval=%s track=%s left=%v parts=%d", query.ID, query.Class, left, len(query.Subqueries))
	if q.question != nil {
		c.takeSteps(q, track, left, hint)
		return
	}
	c.held += len(query.Subqueries)
	c.module.QueryArrives(c.loop.Now(), scheduler.QueryArrival{ID: q.id, Number: number, Class: track, Tenant: c.tenantOf(query),
		TimeLeft: left, WorkHint: hint, Subqueries: len(query.Subqueries)})
	for _, asked := range query.Subqueries {
		p := &part{id: c.newID(), of: q, shard: asked.Shard, wire: wire.SubqueryID(query.ID, asked.Shard)}
		q.parts, c.parts[p.id] = append(q.parts, p), p
		c.module.SubqueryArrives(c.loop.Now(), scheduler.SubqueryArrival{ID: p.id, Query: number, Shard: scheduler.ShardNumber(p.shard),
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

// overdue answers a query that the module has left open until its cut-off. Guards against: a fault of the
// module that would lose it. Could hurt: never, as its time is over.
func (c *Coordinator) overdue(q *openQuery) {
	if !q.closed.Load() {
		c.log.Printf("event=overdue retrieval=%s stalled=%v loop_late=%v", q.query.ID, c.loop.StalledFor(), c.loop.LateBy())
		c.Fail(q.id)
		c.module.ClientDisconnects(c.loop.Now(), q.id)
	}
}

// newID gives an id that nothing open has.
func (c *Coordinator) newID() scheduler.RequestID {
	for {
		c.lastID++
		if c.queries[c.lastID] == nil && c.parts[c.lastID] == nil {
			return c.lastID
		}
	}
}

func (c *Coordinator) inOrder() []*openQuery {
	byID := func(a, b *openQuery) int { return cmp.Compare(a.id, b.id) }
	return slices.SortedFunc(maps.Values(c.queries), byID)
}

// clientLeaves ends what a client that is gone has open.
func (c *Coordinator) clientLeaves(from client) {
	if q := c.byClient[from]; q != nil {
		c.counts.Left++
		c.trace("retrieval=%s left after=%v", q.query.ID, c.loop.Now()-q.came)
		c.module.ClientDisconnects(c.loop.Now(), q.id)
		c.close(q)
	}
}

// close ends a query: nothing of it is sent from now on.
func (c *Coordinator) close(q *openQuery) {
	q.closed.Store(true)
	c.loop.Cancel(q.ends)
	delete(c.queries, q.id)
	delete(c.byQuery, q.query.ID)
	delete(c.byClient, q.client)
	c.held--
	for _, p := range q.parts {
		if !p.in {
			c.held--
		}
		c.letGo(p)
	}
	if q.question != nil {
		c.endQuestion(q)
	}
}

// letGo lets go of the attempts of a part whose step or query is over, as far as they are.
func (c *Coordinator) letGo(p *part) {
	c.withhold(p)
	for _, l := range p.attempts {
		if l.over && l.Call != nil {
			c.fleet.pool.Forget(c.loop.Now(), &l.Attempt)
		}
	}
	c.clear(p)
}

// withhold keeps what has not gone out yet of a part of which nothing more is wanted from going out.
func (c *Coordinator) withhold(p *part) {
	for _, l := range p.attempts {
		switch {
		case l.over:
		case c.fleet.pool.Withdraw(c.loop.Now(), &l.Attempt):
			c.tell(l, scheduler.Cancelled)
		default: // it is begun: if that fails, it is not begun anew
			c.fleet.pool.NoRetransmit(&l.Attempt)
		}
	}
}

// over tells whether nothing more is wanted of a part.
func (p *part) over() bool { return p.done.Load() || p.of.closed.Load() }

// clear lets go of a part that nothing can be told of any more.
func (c *Coordinator) clear(p *part) {
	if p.over() && !slices.ContainsFunc(p.attempts, func(l *attempt) bool { return !l.over }) {
		delete(c.parts, p.id)
	}
}

// reply gives a query its one answer.
func (c *Coordinator) reply(id scheduler.RequestID, count *int, make func(q *openQuery, last bool) []byte) {
	q := c.queries[id]
	if q == nil {
		c.violated(invariant.Answer{Answered: true}.Check(), "answer", fmt.Sprint(id), 0)
		return
	}
	if reason := (invariant.Answer{Late: c.loop.Now() - q.cutOff, LoopStalled: c.loop.StalledFor()}).Check(); reason != invariant.Allowed {
		c.violated(reason, "answer", q.query.ID, 0)
	}
	*count++
	if count != &c.counts.Fulfilled && c.loop.Now()-q.came > (q.cutOff-q.came)/2 && !c.went(q) {
		c.counts.HeldBack++
	}
	c.close(q)
	q.client.Respond(func(last bool) []byte { return make(q, last) })
}

// went tells whether any attempt was written whole.
func (c *Coordinator) went(q *openQuery) bool {
	return slices.ContainsFunc(q.parts, func(p *part) bool {
		return slices.ContainsFunc(p.attempts, c.fleet.went)
	})
}

// Complete answers with the parts that are in.
func (c *Coordinator) Complete(id scheduler.RequestID, whole bool) {
	if q := c.queries[id]; q != nil && q.question != nil {
		c.stepSoon(q) // a step is over
		return
	}
	c.reply(id, &c.counts.Fulfilled, func(q *openQuery, last bool) []byte {
		if !whole {
			c.counts.Partial++
		}
		var matches []wire.SubqueryValue
		for _, p := range q.parts {
			if p.in {
				matches = append(matches, wire.SubqueryValue{Shard: p.shard, Payload: string(p.value)})
			}
		}
		c.trace("retrieval=%s fulfilled whole=%t parts=%d after=%v", q.query.ID, whole, len(matches), c.loop.Now()-q.came)
		return wire.CompleteResponse(whole, matches, last)
	})
}

// Reject answers that trying again is harmless.
func (c *Coordinator) Reject(id scheduler.RequestID, comeBack time.Duration) {
	c.reply(id, &c.counts.TurnedBack, func(q *openQuery, last bool) []byte {
		c.trace("retrieval=%s turned_back after=%v", q.query.ID, c.loop.Now()-q.came)
		return wire.RejectResponse(comeBack, "turned back", last)
	})
}

// Fail answers that the query failed.
func (c *Coordinator) Fail(id scheduler.RequestID) {
	c.reply(id, &c.counts.Scrapped, func(q *openQuery, last bool) []byte {
		c.trace("retrieval=%s scrapped after=%v", q.query.ID, c.loop.Now()-q.came)
		return wire.TextResponse(http.StatusInternalServerError, "scrapped", last)
	})
}

// StartAttempt sends an attempt of a part.
func (c *Coordinator) StartAttempt(id scheduler.RequestID, to scheduler.ReplicaID, timeout time.Duration) {
	p := c.parts[id]
	if p == nil {
		c.log.Printf("event=unknown_part id=%d", id)
		return
	}
	wait := p.of.cutOff - c.loop.Now()
	if timeout > 0 {
		wait = min(wait, timeout)
	}
	l := &attempt{part: p, number: scheduler.AttemptNumber(len(p.attempts)), deadline: c.loop.Now() + wait, to: to, endpoint: c.fleet.endpoint(to)}
	l.SentAt, l.NonIdempotent = c.loop.Now(), c.effects[p.of.query.Class] == invariant.NonIdempotent
	earlier := p.attempts
	p.attempts = append(p.attempts, l)
	c.noteSent(l, earlier)
	switch {
	case c.mayDecide(l, earlier) != invariant.Allowed:
		c.tell(l, scheduler.NeverSent)
	case !c.fleet.send(l):
		c.tell(l, scheduler.Unreachable)
	default:
		l.ends = c.loop.After(wait, "", func() { c.giveUp(l, scheduler.TimedOut) })
	}
}

// noteSent counts and logs what kind of attempt goes.
func (c *Coordinator) noteSent(l *attempt, earlier []*attempt) {
	c.counts.Attempts++
	kind := "first"
	switch {
	case slices.ContainsFunc(earlier, func(e *attempt) bool { return !e.over }):
		kind = "hedge"
		c.counts.Hedges++
	case len(earlier) > 0:
		kind = "retry"
		c.counts.Retries++
	}
	if c.Trace {
		c.trace("sent=%s.%d query=%s replica=%s kind=%s left=%v", l.part.wire, l.number, l.part.of.query.ID, c.fleet.uid(l.to),
			kind, l.deadline-c.loop.Now())
	}
}

// CancelAttempt gives an attempt up.
func (c *Coordinator) CancelAttempt(id scheduler.RequestID, n scheduler.AttemptNumber) {
	if p := c.parts[id]; p != nil && int(n) < len(p.attempts) {
		c.giveUp(p.attempts[n], scheduler.Cancelled)
	}
}

// giveUp stops waiting for an attempt.
func (c *Coordinator) giveUp(l *attempt, how scheduler.Outcome) {
	if l.over {
		return
	}
	c.fleet.pool.Abandon(c.loop.Now(), &l.Attempt)
	c.tell(l, how)
}

// tell has the module told at the start of the next turn how an attempt ended.
func (c *Coordinator) tell(l *attempt, how scheduler.Outcome) {
	l.over, l.outcome = true, how
	c.loop.Cancel(l.ends)
	took := c.loop.Now() - l.SentAt
	c.loop.NextIteration(func() { c.ends(l, how, took) })
}

func (c *Coordinator) ends(l *attempt, how scheduler.Outcome, took time.Duration) {
	l.over, l.outcome = true, how
	c.loop.Cancel(l.ends)
	delete(c.fleet.attempts, l.ID)
	c.counts.Outcomes[how]++
	if c.Trace {
		c.trace("leg=%s.%d replica=%s outcome=%s took=%v", l.part.wire, l.number, c.fleet.uid(l.to), outcomeNames[how], took)
	}
	c.module.AttemptEnds(c.loop.Now(), scheduler.AttemptResult{Subquery: l.part.id, Attempt: l.number, Outcome: how, Took: took})
	if l.part.over() && l.Call != nil {
		c.fleet.pool.Forget(c.loop.Now(), &l.Attempt)
	}
	c.clear(l.part)
}

// replied takes what a replica says of a part; at is when it was read.
func (c *Coordinator) replied(from *link, r *replicaproto.Event, at time.Duration) {
	ended, late := c.fleet.pool.ReplyReceived(c.loop.Now(), from.id, connpool.AttemptID(r.Attempt), r.SubqueryID, at)
	if late {
		c.counts.Late++
	}
	if ended == nil || c.fleet.attempts[ended.ID] == nil {
		return
	}
	l := c.fleet.attempts[ended.ID]
	if r.Busy >= 0 {
		c.module.LoadReported(c.loop.Now(), l.to, r.Busy)
	}
	how := scheduler.Failed
	switch r.End {
	case replicaproto.OK:
		if !utf8.Valid(r.Value) { // no answer can hold it as it is
			break
		}
		how = scheduler.Succeeded
		if l.part.of.question != nil {
			how = c.tells(l, r.Value, at-l.SentAt)
		}
		if p := l.part; how == scheduler.Succeeded && !p.in && !p.over() {
			p.in, p.value = true, r.Value
			c.held--
		}
	case replicaproto.Rejected:
		how = scheduler.Overloaded
	}
	c.ends(l, how, at-l.SentAt)
	if l.part.in { // its other attempts, where nothing may be called off
		c.withhold(l.part)
	}
}
