package connpool

import (
	"errors"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// ConnID and AttemptID identify a connection and an attempt. Ids are never reused, and later attempts have larger
// ids.
type (
	ConnID    uint64
	AttemptID uint64
)

// Attempt is one attempt at a subquery to be sent. The exported fields are set before Send and do not change.
type Attempt struct {
	ID            AttemptID
	Call          *replicaproto.Call // written by the host; the pool reads only its subquery id and deadline
	NonIdempotent bool               // the subquery must not run twice
	SentAt        time.Duration      // time since process start

	conn         *connection   // the connection that carries it; nil while it waits for a slot
	replica      *replicaState // the replica that it is sent to
	hasMoved     bool          // it was taken off a lost connection to be sent on another, which may happen once
	noRetransmit bool          // its query is over, so it must not be sent on another connection
	finished     bool          // its end was reported, or its sender no longer waits for it
	unconfirmed  bool          // its replica has replied, but the reply is withheld
}

// mayMove reports whether the attempt may be sent on another connection if its own is lost before it was fully
// written.
func (attempt *Attempt) mayMove() bool { return !attempt.hasMoved && !attempt.noRetransmit }

// written is the only stage in which an attempt may have run.
const written = replicaproto.Written

// EventKind is the kind of a connection event, as written to the log.
type EventKind string

// The kinds of events.
const (
	ConnectFailed EventKind = "connect_failed"       // the connection could not be opened
	Dropped       EventKind = "connection_dropped"   // it ended unexpectedly, or with attempts outstanding
	Malformed     EventKind = "malformed_input"      // its input cannot be parsed or used
	PingTimeout   EventKind = "ping_timeout"         // a ping was not answered in time
	GoingAway     EventKind = "going_away"           // the replica accepts nothing new on it
	StreamLimit   EventKind = "stream_limit_reached" // attempts wait because the replica accepts no more at a time
)

// Event is an event of a connection, for the log and the counters.
type Event struct {
	Conn        ConnID
	Replica     scheduler.ReplicaID
	Kind        EventKind
	Outstanding int   // attempts on the connection without a reply
	Cause       error // nil if there is none
}

// ErrOSResourceShortage is wrapped by the cause of a connection's end if the operating system of this machine was out
// of file descriptors, local ports or memory for socket buffers. Such an end is no evidence about the replica.
var ErrOSResourceShortage = errors.New("the operating system is out of file descriptors, local ports or socket buffers")

// Host carries out the decisions of a Pool. Its methods act immediately and do not call the pool back, except for the
// notifications that are named below.
type Host interface {
	// Open opens a connection. ConnUp or ConnEnded follows.
	Open(conn ConnID, to scheduler.ReplicaID, addr string, protocol replicaproto.Protocol)
	// Close closes a connection. ConnEnded follows.
	Close(conn ConnID)
	// Write queues an attempt to be written.
	Write(conn ConnID, attempt *Attempt)
	// Withdraw removes an attempt from that queue and reports whether it succeeded; it fails if writing may have
	// begun.
	Withdraw(conn ConnID, attempt *Attempt) bool
	// Abandon notifies the replica that the result of an attempt is no longer needed.
	Abandon(conn ConnID, attempt *Attempt)
	// Stage returns how far the writing of an attempt has progressed.
	Stage(conn ConnID, attempt *Attempt) replicaproto.Stage
	// PeerOpen reports whether, as far as the operating system knows, the replica has not closed a connection.
	PeerOpen(conn ConnID) bool
	// Ping sends a ping to the replica. BytesReceived follows if the replica answers.
	Ping(conn ConnID)
	// ScheduleWakeup arranges a call of Wakeup after a delay.
	ScheduleWakeup(conn ConnID, after time.Duration)
	// AttemptEnded reports an attempt's outcome and the time since it was sent.
	AttemptEnded(attempt AttemptID, outcome scheduler.Outcome, took time.Duration)
	// ReplicaForgotten reports that a removed replica has no connections left.
	ReplicaForgotten(replica scheduler.ReplicaID)
	// Record logs and counts an event.
	Record(event Event)
}

// Limits are the timeouts and bounds of a pool's connections.
type Limits struct {
	ConnectTimeout     time.Duration // for opening a connection, and for a sign of life on an open one
	IdleTimeout        time.Duration // idle connections are closed after this time; 0: never
	MaxAttemptsPerConn int           // concurrent attempts per connection, at least 1
	MaxConns           int           // connections to all replicas together, at least 2
	MaxStreamsPerConn  int           // MaxAttemptsPerConn for multiplexed protocols; 0: the same as MaxAttemptsPerConn
	MaxSharedConns     int           // connections per replica for multiplexed protocols; 0: one
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
