package connpool

import (
	"errors"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// ConnID and AttemptID name a connection and an attempt. None is used again, and later attempts have larger ids.
type (
	ConnID    uint64
	AttemptID uint64
)

// Attempt is one attempt at a subquery as it is to be sent. The exported fields are set before Send and stay.
type Attempt struct {
	ID            AttemptID
	Call          *replicaproto.Call // for the host to write; the pool reads its subquery id and its deadline
	NonIdempotent bool               // it may not run twice
	SentAt        time.Duration      // since the process' start

	conn        *connection   // that carries it; nil while it waits for a place
	replica     *replicaState // that it is for
	hasSwitched bool          // it was taken off a connection that was lost, to go on another; that happens once
	unwanted    bool          // its query is over: no other connection may carry it
	finished    bool          // its end is reported, or its sender no longer waits for it
}

// maySwitch tells whether another connection may carry the attempt where its own is lost before it was written whole.
func (attempt *Attempt) maySwitch() bool { return !attempt.hasSwitched && !attempt.unwanted }

// written is the only stage in which an attempt may have run.
const written = replicaproto.Written

// EventKind says what happened to a connection, as it stands in the log.
type EventKind string

// The kinds of events.
const (
	ConnectFailed EventKind = "connect_failed"       // it could not be opened
	Dropped       EventKind = "connection_dropped"   // it ended with attempts on it, or without being asked to
	Malformed     EventKind = "malformed_input"      // what came on it cannot be used
	PingTimeout   EventKind = "ping_timeout"         // a ping had no answer in time
	GoingAway     EventKind = "going_away"           // the replica takes nothing new on it
	StreamLimit   EventKind = "stream_limit_reached" // attempts wait, as the replica takes no more at a time
)

// Event is something that happened to a connection, for the log and the counters.
type Event struct {
	Conn        ConnID
	Replica     scheduler.ReplicaID
	Kind        EventKind
	Outstanding int   // attempts on the connection that had no reply
	Cause       error // nil if there is none
}

// ErrShortage is wrapped by the cause of a connection's end where this machine lacked something for it (descriptors,
// ports, memory). Such an end says nothing of the replica.
var ErrShortage = errors.New("this machine lacks something for a connection")

// Host carries out what a Pool decides, at once and without calling the pool back, except where it says what follows.
type Host interface {
	// Open opens a connection. ConnUp or ConnEnded follows.
	Open(conn ConnID, to scheduler.ReplicaID, addr string, protocol replicaproto.Protocol)
	// Close closes one. ConnEnded follows.
	Close(conn ConnID)
	// Write queues an attempt to be written.
	Write(conn ConnID, attempt *Attempt)
	// Withdraw takes an attempt out of that queue and tells whether it could: not if it may have been begun.
	Withdraw(conn ConnID, attempt *Attempt) bool
	// Abandon has the replica told that nobody waits for an attempt.
	Abandon(conn ConnID, attempt *Attempt)
	// Stage is how far the writing of an attempt has come.
	Stage(conn ConnID, attempt *Attempt) replicaproto.Stage
	// PeerOpen tells whether the replica has not closed a connection, as far as the operating system knows.
	PeerOpen(conn ConnID) bool
	// Ping asks the replica for a sign of life. BytesReceived follows if it gives one.
	Ping(conn ConnID)
	// ScheduleWakeup has Wakeup called after a time.
	ScheduleWakeup(conn ConnID, after time.Duration)
	// AttemptEnded reports how an attempt ended and how long it took from its sending.
	AttemptEnded(attempt AttemptID, outcome scheduler.Outcome, took time.Duration)
	// ReplicaForgotten tells that a removed replica has no connection any more.
	ReplicaForgotten(replica scheduler.ReplicaID)
	// Record logs and counts an event.
	Record(event Event)
}

// Limits bound all connections.
type Limits struct {
	ConnectTimeout     time.Duration // for opening a connection, and for a sign of life on one
	IdleTimeout        time.Duration // after which an idle connection is closed; 0: never
	MaxAttemptsPerConn int           // attempts on a connection at a time, at least 1
	MaxConns           int           // connections to all replicas together, at least 2
	MaxStreamsPerConn  int           // the same as MaxAttemptsPerConn for multiplexed protocols; 0: MaxAttemptsPerConn
	MaxSharedConns     int           // connections to a replica, where its protocol is multiplexed; 0: one
}

func (limits Limits) withDefaults() Limits {
	limits.MaxAttemptsPerConn = max(1, limits.MaxAttemptsPerConn)
	limits.MaxConns = max(2, limits.MaxConns)
	limits.MaxSharedConns = max(1, limits.MaxSharedConns)
	if limits.MaxStreamsPerConn <= 0 {
		limits.MaxStreamsPerConn = limits.MaxAttemptsPerConn
	}
	return limits
}

func (limits Limits) idleTimeout() time.Duration {
	if limits.IdleTimeout <= 0 {
		return never
	}
	return limits.IdleTimeout
}
