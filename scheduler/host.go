// Package scheduler holds the decisions of a terntray co-ordinator: one file for each policy (placement, admission, retry and so on), this file
// names the ids and the interface through which they act.
package scheduler

import (
	"math"
	"time"
)

// Ids, each of its own type. None of them tells anything but which one is meant.
type (
	RequestID     uint32 // a query or one of its parts
	ReplicaID     uint32
	QueryNumber   int64 // what a query and its parts have in common
	AttemptNumber int   // counts the attempts of a part from 0
	ClassIndex    int
	TenantIndex   int
	ShardNumber   int
	CellNumber    int
	ZoneIndex     int
)

// Outcome is how an attempt or a probe ended.
type Outcome int

// Overloaded, Unreachable and NeverSent prove that an attempt never ran. Overloaded also stands for attempts that a
// drain, a GOAWAY or a full connection kept from being sent.
const (
	Succeeded Outcome = iota
	Failed
	Overloaded
	TimedOut
	Unreachable
	ConnectionReset
	Cancelled
	NeverSent
	MalformedReply // what came for it cannot be used; the replica lives
)

// EndpointState is what the list says of a replica.
type EndpointState int

const (
	Ready EndpointState = iota
	Draining
	Removed
)

// StartUnknown is the start of a replica of which no start is known.
const StartUnknown = time.Duration(math.MinInt64 / 4)

// Host carries out what a Coordinator decides, at once and in the order of the calls.
type Host interface {
	StartAttempt(part RequestID, to ReplicaID, timeout time.Duration) // 0: until the client gives up
	CancelAttempt(part RequestID, attempt AttemptNumber)
	Complete(query RequestID, whole bool)
	Reject(query RequestID, comeBack time.Duration) // 0: no time named
	Fail(query RequestID)
	ScheduleWakeup(name string, in time.Duration)
	PollEndpoints()
	Broadcast(message []byte) // to every other co-ordinator; it may be lost
	Log(text string)
}
