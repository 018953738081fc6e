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

// finalResult is how a query ends with an answer.
type finalResult int

const (
	succeeded finalResult = iota
	rejected              // its client may send it again
	failed
)

// answer gives a query its one answer and closes it. render makes the answer; last tells it whether the connection
// ends with it. A query that has had an answer gets no second one, and one that is late gets it all the same; both
// count as violations.
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

// renderAnswer makes the bytes of an answer.
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
	halfOfItsTime := (query.deadline - query.arrived) / 2
	if c.age(query) > halfOfItsTime && !c.anyWrittenWhole(query) {
		c.counts.WaitedUnsent++
	}
}

// age is for how long a query's client has waited.
func (c *Coordinator) age(query *queryState) time.Duration { return c.loop.Now() - query.arrived }

// Complete implements scheduler.Host: it answers with the subqueries' answers, which are all of them if complete.
// For a query of two phases it means that a phase is over.
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

// Reject implements scheduler.Host: it answers that the client may send the query again, and when; 0: at any time.
func (c *Coordinator) Reject(id scheduler.RequestID, retryAfter time.Duration) {
	c.answer(id, rejected, func(query *queryState, last bool) []byte {
		c.trace("query_rejected=%s after=%v", query.request.ID, c.age(query))
		return wire.RejectResponse(retryAfter, "turned back", last)
	})
}

// Fail implements scheduler.Host: it answers that the query failed.
func (c *Coordinator) Fail(id scheduler.RequestID) {
	c.answer(id, failed, func(query *queryState, last bool) []byte {
		c.trace("query_failed=%s after=%v", query.request.ID, c.age(query))
		return server.Text(http.StatusInternalServerError, failedText)(last)
	})
}

// failedText is the body of answers to queries that failed.
const failedText = "scrapped"

// deadlinePassed fails a query that the scheduler has left open until its deadline, which is a fault of the
// scheduler unless this process stood still. Without it the client would get no answer.
func (c *Coordinator) deadlinePassed(query *queryState) {
	if query.closed.Load() {
		return
	}
	c.log.Printf("event=overdue query=%s stalled=%v loop_late=%v",
		query.request.ID, c.loop.StalledFor(), c.loop.LateBy())
	c.Fail(query.id)
	c.scheduler.ForgetQuery(c.loop.Now(), query.id)
}

// clientDisconnected closes the query of a client that is gone, if it has one open.
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
