// Package connpool manages the connections to replicas: which connection carries an attempt, when connections are
// opened, avoided or closed, how many attempts share one, and what the end of a connection proves about its attempts
// (evidence.go).
//
// A Pool is notified of events by one method for each kind of event, and acts through a Host. It does no I/O and has
// neither a clock nor goroutines. Times are durations since process start, and the parameter now is the time of the
// event loop's current iteration. It is independent of the protocols: it sees only their replicaproto.Traits.
//
// Invariants:
//   - Each attempt that Send accepted ends exactly once: by Host.AttemptEnded, or as the result of ReplyReceived. After
//     Withdraw or Abandon neither follows, as the sender itself has ended the attempt.
//   - An attempt is reported as never run only on evidence: it was not fully written, the replica said so as its
//     protocol defines, or there was no connection.
//   - An attempt whose connection ended, or accepts nothing new, moves to another connection at most once, and only if
//     it was not fully written.
//   - Attempts that wait for a slot on a connection get one in order of sending.
//   - There are never more connections than Limits allow, and a replica that is draining or was removed gets no new
//     attempts.
//
// Which replica gets an attempt, and whether a subquery is attempted again, is decided by package scheduler.
package connpool

import (
	"slices"
	"time"

	"terntray/scheduler"
)

const (
	never          = time.Duration(1 << 62) // later than any time that is reached
	maxIdleTimeout = 24 * time.Hour         // with a longer idle timeout, idle connections are not closed
)

// Pool manages the connections of one process. It is not safe for concurrent use.
type Pool struct {
	host     Host
	limits   Limits
	replicas map[scheduler.ReplicaID]*replicaState
	conns    map[ConnID]*connection // all that have not ended
	byAge    []*connection          // the same, in order of opening
	now      time.Duration          // time of the latest event
	lastID   ConnID

	// idleTimeout is how long a connection may be idle. It starts as Limits.IdleTimeout and is shortened when
	// connections break on their first use after being idle (learnIdleTimeout).
	idleTimeout time.Duration
	// avoidIdleUntil is the time until which non-idempotent attempts avoid connections that have been idle.
	avoidIdleUntil time.Duration
	// distrustInputUntil is the time until which a withheld reply counts as likely to be malformed.
	distrustInputUntil time.Duration
	// pendingResets are connections that ended a moment ago, until it is known whether their replica is still alive.
	pendingResets map[ConnID]*pendingReset
}

// New returns a pool without connections.
func New(host Host, limits Limits) *Pool {
	return &Pool{
		host:          host,
		limits:        limits.withDefaults(),
		replicas:      map[scheduler.ReplicaID]*replicaState{},
		conns:         map[ConnID]*connection{},
		pendingResets: map[ConnID]*pendingReset{},
		idleTimeout:   limits.idleTimeout(),
	}
}

// ConnCount returns the number of connections that have not ended, including those that are being opened.
func (pool *Pool) ConnCount() int { return len(pool.conns) }

// Send accepts an attempt for a replica. It returns false if the replica is unknown or gets no new attempts, or if no
// connection can carry the attempt and none can be opened: then the attempt never ran, and the pool reports nothing
// about it.
func (pool *Pool) Send(now time.Duration, attempt *Attempt, to scheduler.ReplicaID) bool {
	pool.now = now
	replica := pool.replicas[to]
	return replica != nil && replica.addr != "" && replica.acceptsNew() && pool.assignOrEnqueue(attempt, replica)
}

// assignOrEnqueue assigns an attempt to a connection or, where the replica limits concurrent attempts, lets it wait
// for a slot. It returns false if neither is possible.
func (pool *Pool) assignOrEnqueue(attempt *Attempt, replica *replicaState) bool {
	attempt.replica = replica
	limitsStreams := replica.traits().LimitsStreams
	if limitsStreams && len(replica.waiting) > 0 {
		pool.enqueue(attempt, replica)
		return true
	}
	if conn := pool.choose(replica, attempt); conn != nil {
		pool.assign(attempt, conn)
		return true
	}
	if limitsStreams && replica.hasConnWithCurrentProtocol() {
		pool.enqueue(attempt, replica)
		return true
	}
	return false
}

// assign queues an attempt to be written on a connection.
func (pool *Pool) assign(attempt *Attempt, conn *connection) {
	if len(conn.outstanding) == 0 && conn.state == established {
		conn.idleBefore = pool.now - conn.idleSince
	}
	attempt.conn = conn
	if conn.unanswered() == 0 {
		conn.exclusive = false
	}
	conn.outstanding = append(conn.outstanding, attempt)
	if attempt.NonIdempotent && !conn.traits.Multiplexed {
		conn.exclusive = true
	}
	pool.host.Write(conn.id, attempt)
	pool.scheduleWakeup(conn)
}

// finish reports the outcome of an attempt, unless it has ended or its sender no longer waits for it.
func (pool *Pool) finish(attempt *Attempt, outcome scheduler.Outcome, endedAt time.Duration) {
	if !attempt.finished {
		attempt.finished = true
		pool.host.AttemptEnded(attempt.ID, outcome, endedAt-attempt.SentAt)
	}
}

// finishAll reports the end of several attempts.
func (pool *Pool) finishAll(attempts []*Attempt, outcome scheduler.Outcome, endedAt time.Duration) {
	for _, attempt := range attempts {
		pool.finish(attempt, outcome, endedAt)
	}
}

// Forget releases an attempt that is over, once its query has ended and nothing more is expected of it. An attempt
// whose cancellation is pending keeps its slot until that is sent.
func (pool *Pool) Forget(now time.Duration, attempt *Attempt) {
	pool.now = now
	if attempt.conn == nil || !slices.Contains(attempt.conn.cancels.pending, attempt) {
		pool.release(attempt, unreplied)
	}
}

// replyState is whether the replica has ended an attempt that is released.
type replyState int

const (
	unreplied replyState = iota // the replica may still be working on it
	replied                     // the replica has ended it
)

// release removes an attempt of which nothing more is expected from its connection, or from its replica's queue, and
// lets the next attempt have its slot. The connection remembers the subquery's id for a while: a late reply to it is
// not a protocol error, and no other attempt at that subquery is assigned to this connection.
func (pool *Pool) release(attempt *Attempt, state replyState) {
	conn := attempt.conn
	if conn == nil {
		if attempt.replica != nil {
			attempt.replica.waiting = without(attempt.replica.waiting, attempt)
		}
		return
	}
	if !slices.Contains(conn.outstanding, attempt) {
		return
	}
	busyUntil := time.Duration(0)
	mayBeRunning := state == unreplied && !attempt.unconfirmed
	if mayBeRunning && !conn.traits.LimitsStreams && pool.FullyWritten(attempt) {
		busyUntil = attempt.Call.Deadline
	}
	conn.remember(attempt.Call.SubqueryID, busyUntil)
	conn.outstanding = without(conn.outstanding, attempt)
	pool.updateIdle(conn)
	pool.assignWaiting(conn.replica)
}

// FullyWritten reports whether an attempt is known to have been fully written.
func (pool *Pool) FullyWritten(attempt *Attempt) bool {
	return attempt.conn != nil && pool.host.Stage(attempt.conn.id, attempt) == written
}

// without returns attempts without gone, in order. It modifies the slice.
func without(attempts []*Attempt, gone *Attempt) []*Attempt {
	return slices.DeleteFunc(attempts, func(attempt *Attempt) bool { return attempt == gone })
}
