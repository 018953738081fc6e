package scheduler

import "time"

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

// Endpoint is a replica as an endpoint list names it.
type Endpoint struct {
	ID      ReplicaID
	State   EndpointState
	Started time.Duration // since this process' start; StartUnknown where no start is known
	Cell    CellNumber
	Zone    ZoneIndex
	Size    float64 // relative to the other replicas; 0: not told, counts as 1
}
