package coordinator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"terntray/connpool"
	"terntray/eventloop"
	"terntray/internal/replicaproto"
	"terntray/internal/wire"
	"terntray/invariant"
	"terntray/replicaconn"
	"terntray/scheduler"
)

// queryState is a query that a client has sent and that has had no answer. It exists from acceptQuery to closeQuery
// and belongs to the event loop. Times are loop times.
type queryState struct {
	id            scheduler.RequestID   // towards the scheduler; may be used again once the query is closed
	number        scheduler.QueryNumber // the same, never used again
	client        client                // gets the one answer
	request       *wire.Query
	arrived       time.Duration // when its last byte may have arrived at the earliest
	deadline      time.Duration // when its client stops waiting
	deadlineTimer *eventloop.Timer
	subqueries    []*subqueryState // of the present phase, where it has two
	twoPhase      *twoPhaseState   // nil: it has one phase
	closed        atomic.Bool      // answered, or its client has disconnected; read by any goroutine
}

// subqueryState is the part of a query that one shard answers. It is kept until its query or phase is over and all
// its attempts have ended. It belongs to the event loop.
type subqueryState struct {
	id        scheduler.RequestID
	query     *queryState
	shard     int
	wireID    string          // names it towards replicas
	text      []byte          // what its calls carry; nil: the query's text
	attempts  []*attemptState // by scheduler.AttemptNumber
	answered  bool
	value     []byte      // the answer
	abandoned atomic.Bool // its phase is over; read by any goroutine
}

// attemptState is one attempt to have a replica answer a subquery. It is kept with its subquery and belongs to the
// event loop; its call belongs to the connection that carries it.
type attemptState struct {
	connpool.Attempt // no Call where there was no connection for it
	call             replicaproto.Call
	subquery         *subqueryState
	number           scheduler.AttemptNumber
	replica          scheduler.ReplicaID
	endpoint         *replicaconn.Endpoint
	deadline         time.Duration     // loop time at which it times out
	timeoutTimer     *eventloop.Timer  // for deadline
	ended            bool              // the scheduler knows its outcome, or will in the next iteration
	outcome          scheduler.Outcome // once it has ended
}

// unwanted reports whether no answer to a subquery is wanted any more. It may be called from any goroutine.
func (subquery *subqueryState) unwanted() bool {
	return subquery.abandoned.Load() || subquery.query.closed.Load()
}

// hasAttemptInFlight reports whether any attempt has not ended.
func (subquery *subqueryState) hasAttemptInFlight() bool { return anyInFlight(subquery.attempts) }

func anyInFlight(attempts []*attemptState) bool {
	return slices.ContainsFunc(attempts, func(attempt *attemptState) bool { return !attempt.ended })
}

// callText is what a call of the subquery carries to a replica.
func (subquery *subqueryState) callText() []byte {
	if subquery.text != nil {
		return subquery.text
	}
	return subquery.query.request.Text
}

// name names an attempt in the log: its subquery's id towards replicas, a dot, its number.
func (attempt *attemptState) name() string {
	return fmt.Sprintf("%s.%d", attempt.subquery.wireID, attempt.number)
}

// newRequestID draws an id that no open query and no known subquery has.
func (c *Coordinator) newRequestID() scheduler.RequestID {
	for {
		c.lastID++
		if c.queries[c.lastID] == nil && c.subqueries[c.lastID] == nil {
			return c.lastID
		}
	}
}

// queriesInOrder are the open queries by id.
func (c *Coordinator) queriesInOrder() []*queryState {
	byID := func(a, b *queryState) int { return cmp.Compare(a.id, b.id) }
	return slices.SortedFunc(maps.Values(c.queries), byID)
}

// effectOf is what running a query's subqueries twice would do.
func (c *Coordinator) effectOf(query *queryState) invariant.Effect {
	return c.classes[query.request.Class].effect
}

// anyWrittenWhole reports whether any attempt of a query was written to its last byte.
func (c *Coordinator) anyWrittenWhole(query *queryState) bool {
	return slices.ContainsFunc(query.subqueries, func(subquery *subqueryState) bool {
		return slices.ContainsFunc(subquery.attempts, func(attempt *attemptState) bool {
			return attempt.Call != nil && c.replicas.WrittenWhole(&attempt.Attempt)
		})
	})
}

// closeQuery ends a query: from now on nothing of it is sent. The caller has answered it, or its client is gone.
func (c *Coordinator) closeQuery(query *queryState) {
	query.closed.Store(true)
	delete(c.queriesByClient, query.client)
	c.loop.Cancel(query.deadlineTimer)
	delete(c.queries, query.id)
	delete(c.queriesByRequestID, query.request.ID)
	c.openWork--
	for _, subquery := range query.subqueries {
		c.releaseSubquery(subquery)
	}
	if query.twoPhase != nil {
		c.closeTwoPhase(query)
	}
}

// addSubquery adds a subquery to a query, before the scheduler is told of it.
func (c *Coordinator) addSubquery(query *queryState, shard int, wireID string, text []byte) *subqueryState {
	subquery := &subqueryState{id: c.newRequestID(), query: query, shard: shard, wireID: wireID, text: text}
	query.subqueries = append(query.subqueries, subquery)
	c.subqueries[subquery.id] = subquery
	c.openWork++
	return subquery
}

// markAnswered takes a subquery's answer.
func (c *Coordinator) markAnswered(subquery *subqueryState, value []byte) {
	subquery.answered = true
	subquery.value = value
	c.openWork--
}

// releaseSubquery lets go of a subquery whose query or phase is over, and of its attempts as far as they have
// ended.
func (c *Coordinator) releaseSubquery(subquery *subqueryState) {
	if !subquery.answered {
		c.openWork--
	}
	c.withdrawUnsent(subquery)
	for _, attempt := range subquery.attempts {
		if attempt.ended && attempt.Call != nil {
			c.replicas.Forget(&attempt.Attempt)
		}
	}
	c.forgetIfSettled(subquery)
}

// forgetIfSettled forgets a subquery of which neither an answer is wanted nor an attempt out.
func (c *Coordinator) forgetIfSettled(subquery *subqueryState) {
	if subquery.unwanted() && !subquery.hasAttemptInFlight() {
		delete(c.subqueries, subquery.id)
	}
}
