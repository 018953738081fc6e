package scheduler

import (
	"math"
	"time"
)

// Ids, each of its own type. They tell nothing but which one is meant.
type (
	RequestID     uint32 // a query or one of its subqueries
	ReplicaID     uint32
	QueryNumber   int64 // what a query and its subqueries have in common
	AttemptNumber int   // of a subquery, from 0
	ClassIndex    int   // in Config.Classes
	TenantIndex   int   // in Config.TenantQuotas
	ShardNumber   int
	CellNumber    int
	ZoneIndex     int
)

// QueryArrival is a client's query, or a client's retry of one, as it reaches the scheduler.
type QueryArrival struct {
	ID         RequestID
	Number     QueryNumber // joins the query and its subqueries
	Class      ClassIndex
	Tenant     TenantIndex
	TimeLeft   time.Duration // until the client's deadline
	WorkHint   time.Duration // the client's estimate of the whole query's work; 0: none
	Subqueries int           // of its first phase
}

// SubqueryArrival is one shard's part of a query. The query has arrived before it.
type SubqueryArrival struct {
	ID       RequestID
	Query    QueryNumber
	Shard    ShardNumber
	Weight   float64       // share of the answer that it brings, from 0 to 1
	WorkHint time.Duration // the client's estimate of its work; 0: none
}

// AttemptResult is the end of one attempt at a subquery.
type AttemptResult struct {
	Subquery RequestID
	Attempt  AttemptNumber
	Outcome  Outcome
	Took     time.Duration // from its start to its end, or to when its reply was read
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. Overloaded, Unreachable and NeverSent prove that the attempt never ran. Overloaded also stands for
// attempts that a drain, a GOAWAY or a full connection kept from being sent.
const (
	Succeeded       Outcome = iota
	Failed                  // the replica answered with an error
	Overloaded              // the replica, or what leads to it, rejected it
	TimedOut                // its timeout passed
	Unreachable             // no connection to the replica could be opened
	ConnectionReset         // the connection ended before the reply was complete
	Cancelled               // as the Scheduler wanted
	NeverSent               // it was cancelled or withheld before anything of it was written
	MalformedReply          // what came for it cannot be used; the replica lives
)

// Endpoint is a replica as an endpoint list names it.
type Endpoint struct {
	ID      ReplicaID
	State   EndpointState
	Started time.Duration // since this process' start; StartUnknown where no start is known
	Cell    CellNumber
	Zone    ZoneIndex
	Size    float64 // relative to the other replicas; 0: not told, counts as 1
}

// EndpointState is what the endpoint list says of a replica.
type EndpointState int

// The states.
const (
	Ready    EndpointState = iota
	Draining               // takes no further attempts
	Removed
)

// StartUnknown is the start of a replica of which no start is known.
const StartUnknown = time.Duration(math.MinInt64 / 4)
