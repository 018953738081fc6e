package connpool

import (
	"slices"
	"time"

	"terntray/internal/replicaproto"
)

// maxRecentIDs is the number of subquery ids that a connection remembers after their attempts were released.
const maxRecentIDs = 128

// connectionState is the stage of a connection's lifecycle. The states follow one another; connecting may change
// directly to closing.
type connectionState int

const (
	connecting  connectionState = iota // Host.Open was called; attempts may be queued on the connection already
	established                        // the connection is up, and attempts are written
	closing                            // Host.Close was called, or the connection has ended
)

// connection is one connection to a replica. Pool.open creates it, and Pool.ConnEnded removes it.
type connection struct {
	id       ConnID
	replica  *replicaState
	addr     string // the replica's address when the connection was opened
	protocol replicaproto.Protocol
	traits   replicaproto.Traits // of protocol

	state          connectionState
	wasEstablished bool          // whether the connection has ever been established
	establishedAt  time.Duration // valid if wasEstablished

	// Each of these flags excludes the connection from new attempts; it is closed once its last attempt is over.
	// suspect: no input followed an abandoned attempt, later attempts were answered elsewhere, a write failed, or a
	// message stalled.
	suspect   bool
	goingAway bool // the replica accepts nothing new on this connection
	failed    bool // closed because of malformed input or a ping timeout

	outstanding []*Attempt // attempts without a reply, in order of sending
	maxAttempts int        // concurrent attempts that the replica accepts on this connection
	exclusive   bool       // reserved for one non-idempotent attempt (only if the protocol is not multiplexed)
	recent      []recentID // recently released attempts, oldest first

	idleSince  time.Duration // valid while the connection is established and has no attempts
	idleBefore time.Duration // idle time before the first of the outstanding attempts was sent

	liveness
	cancels  cancelQueue
	wakeupAt time.Duration // when Wakeup will be called; never: no call is scheduled
}

// recentID identifies a subquery whose attempt was released from its connection.
type recentID struct {
	subquery  string
	busyUntil time.Duration // until when the replica may still be working on it
}

// matchesReplica reports whether the connection uses the replica's current address and protocol.
func (conn *connection) matchesReplica() bool {
	return conn.addr == conn.replica.addr && conn.protocol == conn.replica.protocol
}

// acceptsNew reports whether new attempts may be assigned to the connection, regardless of its free slots.
func (conn *connection) acceptsNew() bool {
	return conn.state != closing && !conn.suspect && !conn.goingAway && conn.matchesReplica()
}

// hasSeen reports whether an attempt at a subquery is outstanding on the connection, or was until recently.
func (conn *connection) hasSeen(subquery string) bool {
	return conn.outstandingFor(subquery) != nil || conn.recentFor(subquery) != nil
}

// find returns the outstanding attempt that a reply refers to, by attempt id or, if id is 0, by subquery; nil if
// there is none.
func (conn *connection) find(id AttemptID, subquery string) *Attempt {
	if id == 0 {
		return conn.outstandingFor(subquery)
	}
	i := slices.IndexFunc(conn.outstanding, func(attempt *Attempt) bool { return attempt.ID == id })
	if i < 0 {
		return nil
	}
	return conn.outstanding[i]
}

func (conn *connection) outstandingFor(subquery string) *Attempt {
	i := slices.IndexFunc(conn.outstanding, func(attempt *Attempt) bool { return attempt.Call.SubqueryID == subquery })
	if i < 0 {
		return nil
	}
	return conn.outstanding[i]
}

func (conn *connection) recentFor(subquery string) *recentID {
	i := slices.IndexFunc(conn.recent, func(recent recentID) bool { return recent.subquery == subquery })
	if i < 0 {
		return nil
	}
	return &conn.recent[i]
}

// remember records the subquery id of an attempt that is released from the connection.
func (conn *connection) remember(subquery string, busyUntil time.Duration) {
	if len(conn.recent) == maxRecentIDs {
		conn.recent = slices.Delete(conn.recent, 0, 1)
	}
	conn.recent = append(conn.recent, recentID{subquery, busyUntil})
}

// unanswered returns the number of outstanding attempts to which the replica has not replied.
func (conn *connection) unanswered() int {
	count := 0
	for _, attempt := range conn.outstanding {
		if !attempt.unconfirmed {
			count++
		}
	}
	return count
}

// firstUnanswered returns the first attempt without any reply, or nil if there is none.
func (conn *connection) firstUnanswered() *Attempt {
	for _, attempt := range conn.outstanding {
		if !attempt.unconfirmed {
			return attempt
		}
	}
	return nil
}

// abandonedRunning returns the number of abandoned attempts that the replica may still be working on. They count as
// occupied slots: where a replica processes calls in order, a new attempt would wait unread behind them. The cost is
// additional connections to a replica that hangs.
func (conn *connection) abandonedRunning(now time.Duration) int {
	running := 0
	for _, recent := range conn.recent {
		if recent.busyUntil > now {
			running++
		}
	}
	return running
}
