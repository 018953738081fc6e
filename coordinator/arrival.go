package coordinator

import (
	"fmt"
	"net/http"
	"time"

	"terntray/internal/wire"
	"terntray/scheduler"
	"terntray/server"
)

// queryArrives handles a query that had fully arrived from a client at the loop time arrived. It answers the query at
// once, opens it, or drops it if its client has disconnected. A connected client gets exactly one answer.
//
// Until the query is answered or open, c.arriving is the client, so that the query is answered even after a panic; see
// recoverFromPanic.
func (c *Coordinator) queryArrives(from client, request *wire.Query, arrived time.Duration) {
	c.arriving = from
	unknownShard, hasUnknown := c.unknownShard(request)
	switch {
	case from.HasDisconnected(c.loop.Now()): // the client disconnected while the query waited for the loop
		c.counts.Queries++
		c.counts.Disconnected++
	case c.queriesByRequestID[request.ID] != nil:
		c.rejectMalformed(from, http.StatusConflict, "a retrieval with this Req-Id is open")
	case c.usedIDs.contains(request.ID, c.loop.Now()):
		c.rejectMalformed(from, http.StatusConflict, "a retrieval with this Req-Id came before")
	case hasUnknown:
		c.rejectMalformed(from, http.StatusBadRequest, fmt.Sprintf("there is no segment %d", unknownShard))
	case c.isFull():
		c.counts.RejectedFull++
		c.rejectArrival(from, "too much is open")
	case c.deadlineOf(request, arrived) <= c.loop.Now():
		c.counts.RejectedExpired++
		c.rejectArrival(from, "its time was over before it was read")
	default:
		c.counts.Queries++
		c.acceptQuery(from, request, arrived)
	}
	c.arriving = nil
}

// deadlineOf returns the time by which a query is answered: its client's deadline, or earlier during a shutdown.
func (c *Coordinator) deadlineOf(request *wire.Query, arrived time.Duration) time.Duration {
	deadline := arrived + request.Timeout
	if answerBy, limited := c.server.AnswerBy(); limited {
		return min(deadline, answerBy)
	}
	return deadline
}

// isFull reports whether too much is open to accept another query.
func (c *Coordinator) isFull() bool {
	return c.openWork >= c.maxOpen || c.server.IsNearConnLimit(len(c.queries))
}

// unknownShard returns the first shard in a query that does not exist, if there is one.
func (c *Coordinator) unknownShard(request *wire.Query) (shard int, found bool) {
	for _, subquery := range request.Subqueries {
		if subquery.Shard >= c.shards {
			return subquery.Shard, true
		}
	}
	return 0, false
}

// rejectArrival rejects a query that is not accepted; its client may send it again.
func (c *Coordinator) rejectArrival(from client, reason string) {
	c.counts.Queries++
	c.counts.Rejected++
	from.Respond(server.Rejection(reason))
}

// rejectMalformed answers an invalid request and closes its client's connection.
func (c *Coordinator) rejectMalformed(from client, status int, reason string) {
	c.counts.Malformed++
	from.CloseAfterResponse()
	from.Respond(server.Text(status, reason))
}

// acceptQuery opens a query and notifies the scheduler.
func (c *Coordinator) acceptQuery(from client, request *wire.Query, arrived time.Duration) {
	query := &queryState{
		id:       c.newRequestID(),
		number:   c.nextQueryNumber(),
		client:   from,
		request:  request,
		arrived:  arrived,
		deadline: c.deadlineOf(request, arrived),
	}
	if request.TwoPhase != nil {
		if err := c.beginTwoPhase(query); err != nil {
			c.counts.Queries--
			c.rejectMalformed(from, http.StatusBadRequest, err.Error())
			return
		}
	}
	c.openQuery(query)
	if query.twoPhase != nil {
		c.startFirstPhase(query)
	} else {
		c.startSinglePhase(query)
	}
}

func (c *Coordinator) nextQueryNumber() scheduler.QueryNumber {
	c.lastNumber++
	return c.lastNumber
}

// openQuery registers a query as open and sets its deadline timer.
func (c *Coordinator) openQuery(query *queryState) {
	c.queries[query.id] = query
	c.queriesByRequestID[query.request.ID] = query
	c.queriesByClient[query.client] = query
	c.arriving = nil
	c.openWork++
	timeLeft := c.timeLeft(query)
	query.deadlineTimer = c.loop.After(timeLeft, "", func() { c.deadlinePassed(query) })
	c.trace("query_arrived=%s class=%s left=%v subqueries=%d",
		query.request.ID, query.request.Class, timeLeft, len(query.request.Subqueries))
}

// startSinglePhase notifies the scheduler of a query and of all its subqueries.
func (c *Coordinator) startSinglePhase(query *queryState) {
	c.scheduler.QueryArrives(c.loop.Now(), c.arrivalOf(query, len(query.request.Subqueries)))
	for _, requested := range query.request.Subqueries {
		subquery := c.addSubquery(query, requested.Shard, wire.SubqueryID(query.request.ID, requested.Shard), nil)
		c.scheduler.SubqueryArrives(c.loop.Now(), scheduler.SubqueryArrival{
			ID:       subquery.id,
			Query:    query.number,
			Shard:    scheduler.ShardNumber(requested.Shard),
			Weight:   requested.Weight,
			WorkHint: requested.Hint,
		})
	}
}

// arrivalOf describes a query for the scheduler; subqueries is the number of subqueries that the query starts with.
func (c *Coordinator) arrivalOf(query *queryState, subqueries int) scheduler.QueryArrival {
	hint := time.Duration(0)
	for _, requested := range query.request.Subqueries {
		hint += requested.Hint
	}
	return scheduler.QueryArrival{
		ID:         query.id,
		Number:     query.number,
		Class:      c.classes[query.request.Class].index,
		Tenant:     c.tenantOf(query.request),
		TimeLeft:   max(0, query.arrived+query.request.Timeout-c.loop.Now()),
		AnswerIn:   c.timeLeft(query),
		WorkHint:   hint,
		Subqueries: subqueries,
	}
}

// timeLeft returns the time until a query's deadline, or 0 after it.
func (c *Coordinator) timeLeft(query *queryState) time.Duration {
	return max(0, query.deadline-c.loop.Now())
}

// tenantOf returns the tenant that a query is charged to. All tenants that the settings do not name share one index
// without a quota: charging them to a configured tenant would get that tenant's queries rejected.
func (c *Coordinator) tenantOf(request *wire.Query) scheduler.TenantIndex {
	if tenant, named := c.tenants[separators.Replace(request.Tenant)]; named {
		return tenant
	}
	return scheduler.TenantIndex(len(c.tenants))
}
