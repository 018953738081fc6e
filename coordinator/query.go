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

// queryState is an open query. It exists from acceptQuery to closeQuery and belongs to the event loop. Times are loop
// times.
type queryState struct {
	id            scheduler.RequestID   // for the scheduler; may be reused once the query is closed
	number        scheduler.QueryNumber // for the scheduler; never reused
	client        client                // receives the answer
	request       *wire.Query
	arrived       time.Duration // earliest time at which its last byte may have arrived
	deadline      time.Duration // when its client stops waiting
	deadlineTimer *eventloop.Timer
	subqueries    []*subqueryState // of the current phase or wave, if the query has several
	twoPhase      *twoPhaseState   // nil: not a two-phase query
	closed        atomic.Bool      // answered, or its client has disconnected; read by any goroutine
}

// subqueryState is the part of a query that one shard answers. It is kept until its query or phase is over and all
// its attempts have ended. It belongs to the event loop.
type subqueryState struct {
	id        scheduler.RequestID
	query     *queryState
	shard     int
	wireID    string          // its id on the wire to replicas
	text      []byte          // text of its calls; nil: the query's text
	attempts  []*attemptState // by scheduler.AttemptNumber
	answered  bool
	value     []byte      // the answer, once answered
	key       *keyUse     // nil unless the subquery is keyed; used by any goroutine
	phaseOver atomic.Bool // its phase or wave is over; read by any goroutine
}

// attemptState is one attempt of a subquery at a replica. It is kept as long as its subquery and belongs to the event
// loop, except for its call, which belongs to the connection that carries it.
type attemptState struct {
	connpool.Attempt // Call is nil if the attempt was never passed to the driver
	call             replicaproto.Call
	subquery         *subqueryState
	number           scheduler.AttemptNumber
	replica          scheduler.ReplicaID
	endpoint         *replicaconn.Endpoint
	effect           invariant.Effect  // of running its subquery twice
	deadline         time.Duration     // loop time at which the attempt times out
	timeoutTimer     *eventloop.Timer  // for deadline, or for its query's once a reply is unconfirmed
	unconfirmed      bool              // its reply was read and is withheld until its length is confirmed
	keyTimer         *eventloop.Timer  // for the end of the key's window; nil: none
	ended            bool              // the scheduler knows the outcome or will be notified in the next iteration
	outcome          scheduler.Outcome // once ended
}

// unwanted reports whether an answer to the subquery is no longer needed. It may be called from any goroutine.
func (subquery *subqueryState) unwanted() bool {
	return subquery.phaseOver.Load() || subquery.query.closed.Load()
}

// hasAttemptInFlight reports whether any attempt has not ended.
func (subquery *subqueryState) hasAttemptInFlight() bool { return anyInFlight(subquery.attempts) }

func anyInFlight(attempts []*attemptState) bool {
	return slices.ContainsFunc(attempts, func(attempt *attemptState) bool { return !attempt.ended })
}

// callText returns the text of the subquery's calls.
func (subquery *subqueryState) callText() []byte {
	if subquery.text != nil {
		return subquery.text
	}
	return subquery.query.request.Text
}

// name returns the attempt's name in the log: the subquery's id on the wire, a dot, and the attempt's number.
func (attempt *attemptState) name() string {
	return fmt.Sprintf("%s.%d", attempt.subquery.wireID, attempt.number)
}

// newRequestID returns an id that no open query and no known subquery has.
func (c *Coordinator) newRequestID() scheduler.RequestID {
	for {
		c.lastID++
		if c.queries[c.lastID] == nil && c.subqueries[c.lastID] == nil {
			return c.lastID
		}
	}
}

// queriesInOrder returns the open queries in the order of their ids.
func (c *Coordinator) queriesInOrder() []*queryState {
	byID := func(a, b *queryState) int { return cmp.Compare(a.id, b.id) }
	return slices.SortedFunc(maps.Values(c.queries), byID)
}

// effectOf returns the effect of running a query's subqueries twice.
func (c *Coordinator) effectOf(query *queryState) invariant.Effect {
	return c.classes[query.request.Class].effect
}

// anyFullyWritten reports whether any attempt of a query was fully written.
func (c *Coordinator) anyFullyWritten(query *queryState) bool {
	return slices.ContainsFunc(query.subqueries, func(subquery *subqueryState) bool {
		return slices.ContainsFunc(subquery.attempts, func(attempt *attemptState) bool {
			return attempt.Call != nil && c.replicas.FullyWritten(&attempt.Attempt)
		})
	})
}

// closeQuery closes a query; from then on nothing is sent for it. The caller answers it, unless its client has
// disconnected.
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

// addSubquery adds a subquery to a query. The caller notifies the scheduler of it.
func (c *Coordinator) addSubquery(query *queryState, shard int, wireID string, text []byte) *subqueryState {
	subquery := &subqueryState{id: c.newRequestID(), query: query, shard: shard, wireID: wireID, text: text}
	if c.effectOf(query) == invariant.Keyed {
		subquery.key = &keyUse{window: c.classes[query.request.Class].keyWindow}
	}
	query.subqueries = append(query.subqueries, subquery)
	c.subqueries[subquery.id] = subquery
	c.openWork++
	return subquery
}

// markAnswered stores a subquery's answer.
func (c *Coordinator) markAnswered(subquery *subqueryState, value []byte) {
	subquery.answered = true
	subquery.value = value
	c.openWork--
}

// releaseSubquery releases a subquery whose query or phase is over, and its attempts that have ended.
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

// forgetIfSettled removes a subquery whose answer is no longer needed and that has no attempt in flight.
func (c *Coordinator) forgetIfSettled(subquery *subqueryState) {
	if subquery.unwanted() && !subquery.hasAttemptInFlight() {
		delete(c.subqueries, subquery.id)
	}
}
