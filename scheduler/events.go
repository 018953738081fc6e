package scheduler

import (
	"math"
	"time"
)

// Identifiers and indexes, each with its own type.
type (
	RequestID     uint32 // a query or one of its subqueries
	ReplicaID     uint32
	QueryNumber   int64 // links a query to its subqueries
	AttemptNumber int   // of a subquery, from 0
	ClassIndex    int   // in Config.Classes
	TenantIndex   int   // in Config.TenantQuotas
	ShardNumber   int
	CellNumber    int
	ZoneIndex     int
)

// QueryArrival is a client's query, or a client's retry of one, as the scheduler receives it.
type QueryArrival struct {
	ID         RequestID
	Number     QueryNumber // links the query to its subqueries
	Class      ClassIndex
	Tenant     TenantIndex
	TimeLeft   time.Duration // until the client's deadline
	AnswerIn   time.Duration // until the query has to be answered if that is earlier; 0: by the client's deadline
	WorkHint   time.Duration // the client's estimate of the whole query's work; 0: none
	Subqueries int           // of its first phase
}

// SubqueryArrival is one shard's part of a query that has already arrived.
type SubqueryArrival struct {
	ID       RequestID
	Query    QueryNumber
	Shard    ShardNumber
	Weight   float64       // share of the answer that it contributes, from 0 to 1
	WorkHint time.Duration // the client's estimate of its work; 0: none
}

// AttemptResult is the end of one attempt at a subquery.
type AttemptResult struct {
	Subquery RequestID
	Attempt  AttemptNumber
	Outcome  Outcome
	Took     time.Duration // from its start to its end, or until its reply was read
}

// UnconfirmedReply is a reply to an attempt whose value cannot be used until its length is confirmed. The attempt's end
// follows.
type UnconfirmedReply struct {
	Subquery RequestID
	Attempt  AttemptNumber
	Took     time.Duration // from the attempt's start until the reply was read
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. Overloaded, Unreachable and NeverSent prove that the attempt never ran. Overloaded also covers attempts
// that were not sent because the endpoint drains, a GOAWAY was received or the connection is full.
const (
	Succeeded       Outcome = iota
	Failed                  // the replica answered with an error
	Overloaded              // the replica, or the path to it, rejected the attempt
	TimedOut                // its timeout passed
	Unreachable             // no connection to the replica could be established
	ConnectionReset         // the connection ended before the reply was complete
	Cancelled               // the Scheduler cancelled it
	NeverSent               // it was cancelled or withheld before any of it was written
	MalformedReply          // its reply could not be used; the replica is alive
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID      ReplicaID
	State   EndpointState
	Started time.Duration // when its process started, as time since this process' start; StartUnknown if unknown
	Cell    CellNumber
	Zone    ZoneIndex
	Size    float64 // relative to the other replicas; 0: unknown, counts as 1
}

// EndpointState is the state of a replica in the endpoint list.
type EndpointState int

// The endpoint states.
const (
	Ready    EndpointState = iota
	Draining               // accepts no further attempts
	Removed
)

// StartUnknown is the start time of a replica whose start is not known.
const StartUnknown = time.Duration(math.MinInt64 / 4)
