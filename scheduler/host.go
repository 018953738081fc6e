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
	TrackIndex    int
	TenantIndex   int
	ShardNumber   int
	CellNumber    int
	ZoneIndex     int
)

// Outcome is how an attempt or a probe ended.
type Outcome int

// Turned away, unreachable and moot prove that an attempt never ran.
const (
	Fulfilled Outcome = iota
	Erred
	TurnedAway
	TimedOut
	Unreachable
	Reset
	Cancelled
	Moot
	Spoilt // what came for it cannot be used; the replica lives
)

// Life is what the list says of a replica.
type Life int

const (
	Active Life = iota
	Leaving
	Left
)

// LongAgo is the start of a replica of which no start is known.
const LongAgo = time.Duration(math.MinInt64 / 4)

// Host carries out what a Coordinator decides, at once and in the order of the calls.
type Host interface {
	Send(part RequestID, to ReplicaID, timeout time.Duration) // 0: until the client gives up
	Cancel(part RequestID, attempt AttemptNumber)
	Answer(query RequestID, whole bool)
	TurnBack(query RequestID, comeBack time.Duration) // 0: no time named
	Scrap(query RequestID)
	Wake(name string, in time.Duration)
	FollowList()
	Tell(message []byte) // to every other co-ordinator; it may be lost
	Log(text string)
}
