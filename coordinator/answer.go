package coordinator

import (
	"fmt"
	"net/http"
	"time"

	"terntray/internal/wire"
	"terntray/invariant"
	"terntray/scheduler"
	"terntray/server"
)

// finalResult says how a query was answered.
type finalResult int

const (
	succeeded finalResult = iota
	rejected              // the client may send the query again
	failed
)

// answer gives a query its one answer and closes the query. render builds the answer; its parameter last says whether
// the connection ends with this answer. A query that was already answered gets no second answer; a late answer is
// still given. Both count as violations.
func (c *Coordinator) answer(id scheduler.RequestID, result finalResult, render renderAnswer) {
	query := c.queries[id]
	if query == nil {
		c.reportViolation(invariant.Answer{Answered: true}.Check(), "answer", fmt.Sprint(id), noReplica)
		return
	}
	late := invariant.Answer{Late: c.loop.Now() - query.deadline, LoopStalled: c.loop.StalledFor()}
	if reason := late.Check(); reason != invariant.Allowed {
		c.reportViolation(reason, "answer", query.request.ID, noReplica)
	}
	c.countAnswer(query, result)
	c.closeQuery(query)
	query.client.Respond(func(last bool) []byte { return render(query, last) })
}

// renderAnswer builds the bytes of an answer.
type renderAnswer func(query *queryState, last bool) []byte

func (c *Coordinator) countAnswer(query *queryState, result finalResult) {
	switch result {
	case succeeded:
		c.counts.Succeeded++
		return
	case rejected:
		c.counts.Rejected++
	case failed:
		c.counts.Failed++
	}
	halfTimeout := (query.deadline - query.arrived) / 2
	if c.age(query) > halfTimeout && !c.anyFullyWritten(query) {
		c.counts.WaitedUnsent++
	}
}

// age returns how long a query's client has been waiting.
func (c *Coordinator) age(query *queryState) time.Duration { return c.loop.Now() - query.arrived }

// Complete implements scheduler.Host. It answers a query with the answers that its subqueries have had; complete says
// that none is missing. For a two-phase query, Complete means that a phase is over.
func (c *Coordinator) Complete(id scheduler.RequestID, complete bool) {
	if query := c.queries[id]; query != nil && query.twoPhase != nil {
		c.scheduleNextStep(query)
		return
	}
	c.answer(id, succeeded, func(query *queryState, last bool) []byte {
		if !complete {
			c.counts.Partial++
		}
		var values []wire.SubqueryValue
		for _, subquery := range query.subqueries {
			if subquery.answered {
				values = append(values, wire.SubqueryValue{Shard: subquery.shard, Payload: string(subquery.value)})
			}
		}
		c.trace("query_succeeded=%s complete=%t subqueries=%d after=%v",
			query.request.ID, complete, len(values), c.age(query))
		return wire.CompleteResponse(complete, values, last)
	})
}

// Reject implements scheduler.Host. It answers that the client may send the query again after the given time; 0 means
// at any time.
func (c *Coordinator) Reject(id scheduler.RequestID, retryAfter time.Duration) {
	c.answer(id, rejected, func(query *queryState, last bool) []byte {
		c.trace("query_rejected=%s after=%v", query.request.ID, c.age(query))
		return wire.RejectResponse(retryAfter, "turned back", last)
	})
}

// Fail implements scheduler.Host. It answers that the query failed.
func (c *Coordinator) Fail(id scheduler.RequestID) {
	c.answer(id, failed, func(query *queryState, last bool) []byte {
		c.trace("query_failed=%s after=%v", query.request.ID, c.age(query))
		return server.Text(http.StatusInternalServerError, failedText)(last)
	})
}

// failedText is the body of the answer to a failed query.
const failedText = "scrapped"

// deadlinePassed fails a query that is still open at its deadline, so that its client gets an answer. Unless this
// process was stalled, it is a fault of the scheduler that the query is still open.
func (c *Coordinator) deadlinePassed(query *queryState) {
	if query.closed.Load() {
		return
	}
	c.log.Printf("event=overdue query=%s stalled=%v loop_late=%v",
		query.request.ID, c.loop.StalledFor(), c.loop.LateBy())
	c.Fail(query.id)
	c.scheduler.ForgetQuery(c.loop.Now(), query.id)
}

// clientDisconnected closes the open query, if any, of a client that has disconnected.
func (c *Coordinator) clientDisconnected(from client) {
	query := c.queriesByClient[from]
	if query == nil {
		return
	}
	c.counts.Disconnected++
	c.trace("query_disconnected=%s after=%v", query.request.ID, c.age(query))
	c.scheduler.ForgetQuery(c.loop.Now(), query.id)
	c.closeQuery(query)
}
