package connpool

import (
	"slices"
	"time"

	"terntray/internal/replicaproto"
)

// maxRecentIDs is how many subquery ids a connection remembers after their attempts.
const maxRecentIDs = 128

// connectionState is where a connection is in its life. The states follow one another; connecting may go straight to
// closing.
type connectionState int

const (
	connecting  connectionState = iota // Host.Open was called; attempts are queued on it already
	established                        // it has come up, and attempts are written
	closing                            // Host.Close was called, or it has ended
)

// connection is one connection to a replica. It is made by Pool.open, and ends in Pool.ConnEnded.
type connection struct {
	id       ConnID
	replica  *replicaState
	addr     string // of the replica when the connection was opened
	protocol replicaproto.Protocol
	traits   replicaproto.Traits // of the protocol

	state          connectionState
	wasEstablished bool          // it has been established at some time
	establishedAt  time.Duration // when

	// Each of these keeps new attempts away; the connection is closed once the last attempt on it is over.
	suspect   bool // nothing came for an abandoned attempt, later attempts were answered elsewhere, or a write failed
	goingAway bool // the replica said that it takes nothing new here
	failed    bool // closed, as what came on it cannot be used or a ping had no answer

	outstanding []*Attempt // without a reply, in order of sending
	maxAttempts int        // that the replica takes at a time, here
	exclusive   bool       // it carries a non-idempotent attempt, and nothing else goes here (not if multiplexed)
	recent      []recentID // of attempts that were released, the latest last

	idleSince  time.Duration // while it is established and carries nothing
	idleBefore time.Duration // how long it was idle before the first of the outstanding attempts

	liveness
	cancels  cancelQueue
	wakeupAt time.Duration // when Wakeup will be called; never: it will not
}

// recentID is a subquery whose attempt has left its connection.
type recentID struct {
	subquery  string
	busyUntil time.Duration // until then the replica may still work on it
}

// atReplicasAddress tells whether the connection leads to where the replica is now, in the protocol it speaks now.
func (conn *connection) atReplicasAddress() bool {
	return conn.addr == conn.replica.addr && conn.protocol == conn.replica.protocol
}

// takesNew tells whether new attempts may be put here at all.
func (conn *connection) takesNew() bool {
	return conn.state != closing && !conn.suspect && !conn.goingAway && conn.atReplicasAddress()
}

// knows tells whether an attempt at a subquery is outstanding here, or was of late.
func (conn *connection) knows(subquery string) bool {
	return conn.outstandingFor(subquery) != nil || conn.recentlySent(subquery) != nil
}

// find finds an outstanding attempt by what a reply names: its id or, where that is 0, its subquery.
func (conn *connection) find(id AttemptID, subquery string) *Attempt {
	if id == 0 {
		return conn.outstandingFor(subquery)
	}
	at := slices.IndexFunc(conn.outstanding, func(attempt *Attempt) bool { return attempt.ID == id })
	if at < 0 {
		return nil
	}
	return conn.outstanding[at]
}

func (conn *connection) outstandingFor(subquery string) *Attempt {
	at := slices.IndexFunc(conn.outstanding, func(attempt *Attempt) bool { return attempt.Call.SubqueryID == subquery })
	if at < 0 {
		return nil
	}
	return conn.outstanding[at]
}

func (conn *connection) recentlySent(subquery string) *recentID {
	at := slices.IndexFunc(conn.recent, func(recent recentID) bool { return recent.subquery == subquery })
	if at < 0 {
		return nil
	}
	return &conn.recent[at]
}

// remember keeps the id of a subquery whose attempt leaves the connection.
func (conn *connection) remember(subquery string, busyUntil time.Duration) {
	if len(conn.recent) == maxRecentIDs {
		conn.recent = slices.Delete(conn.recent, 0, 1)
	}
	conn.recent = append(conn.recent, recentID{subquery, busyUntil})
}

// abandonedRunning is how many abandoned attempts the replica may still work on. They count as places taken: where
// calls are worked on in order, a new attempt would wait unread behind them. A replica that hangs costs additional
// connections by that.
func (conn *connection) abandonedRunning(now time.Duration) int {
	running := 0
	for _, recent := range conn.recent {
		if recent.busyUntil > now {
			running++
		}
	}
	return running
}
