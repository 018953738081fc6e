// Package connpool decides about the connections to replicas: which one carries an attempt, when one is opened,
// avoided or closed, how many attempts share it, and what its end proves of each of them (evidence.go).
//
// A Pool is notified of what happens, by one method for each event, and acts through a Host. It does no I/O, has no
// clock and no goroutine; times are spans since the process' start, and "now" is the time of the event loop's
// iteration. It knows neither frames nor streams: of a protocol it sees the replicaproto.Traits alone.
//
// What holds:
//   - Each attempt that Send accepted ends once: by Host.AttemptEnded or as the result of ReplyReceived. After Withdraw
//     or Abandon its sender knows how it ended, and neither follows.
//   - An attempt is reported as never run only on evidence: it was not written whole, the replica said so as its
//     protocol defines, or there was no connection.
//   - An attempt that was on a connection which ended, or which takes nothing new, goes on another at most once, and
//     only if it was not written whole.
//   - Attempts that wait for a place on a connection get one in order of sending.
//   - No more connections exist than Limits allow, and a replica that drains or was removed gets nothing new.
//
// Which replica gets an attempt, and whether a subquery is attempted again, is up to package scheduler.
package connpool

import (
	"slices"
	"time"

	"terntray/scheduler"
)

const (
	never          = time.Duration(1 << 62) // a time that does not come
	maxIdleTimeout = 24 * time.Hour         // idle connections are not closed where the limit is longer than this
)

// Pool is the connections of one process. It belongs to one goroutine.
type Pool struct {
	host     Host
	limits   Limits
	replicas map[scheduler.ReplicaID]*replicaState
	conns    map[ConnID]*connection // all that have not ended
	byAge    []*connection          // the same, in order of opening
	now      time.Duration          // of the latest event
	lastID   ConnID

	// idleTimeout is how long a connection may be idle. It starts as Limits.IdleTimeout and gets shorter as
	// connections break at their first use after being idle (learnIdleTimeout).
	idleTimeout time.Duration
	// distrustIdleUntil is the time until which non-idempotent attempts avoid connections that have been idle.
	distrustIdleUntil time.Duration
	// pendingResets are connections that ended a moment ago, until it shows whether their replica lives.
	pendingResets map[ConnID]*pendingReset
}

// New makes a pool without connections.
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

// ConnCount is how many connections have not ended, those that are being opened included.
func (pool *Pool) ConnCount() int { return len(pool.conns) }

// Send accepts an attempt for a replica. It returns false where no connection carries the attempt and none can be
// opened: then the attempt never ran, and nothing follows.
func (pool *Pool) Send(now time.Duration, attempt *Attempt, to scheduler.ReplicaID) bool {
	pool.now = now
	replica := pool.replicas[to]
	return replica != nil && replica.addr != "" && replica.takesNew() && pool.place(attempt, replica)
}

// place puts an attempt on a connection, or has it wait for a place where the replica states how many it takes.
func (pool *Pool) place(attempt *Attempt, replica *replicaState) bool {
	attempt.replica = replica
	limitsStreams := replica.traits().LimitsStreams
	if limitsStreams && len(replica.waiting) > 0 {
		pool.enqueue(attempt, replica)
		return true
	}
	if conn := pool.choose(replica, attempt); conn != nil {
		pool.put(attempt, conn)
		return true
	}
	if limitsStreams && replica.hasConnOfItsProtocol() {
		pool.enqueue(attempt, replica)
		return true
	}
	return false
}

// put has an attempt written on a connection.
func (pool *Pool) put(attempt *Attempt, conn *connection) {
	if len(conn.outstanding) == 0 && conn.state == established {
		conn.idleBefore = pool.now - conn.idleSince
	}
	attempt.conn = conn
	conn.outstanding = append(conn.outstanding, attempt)
	if attempt.NonIdempotent && !conn.traits.Multiplexed {
		conn.exclusive = true
	}
	pool.host.Write(conn.id, attempt)
	pool.scheduleWakeup(conn)
}

// finish reports an attempt's end, unless it has ended or its sender no longer waits; at is when it ended.
func (pool *Pool) finish(attempt *Attempt, outcome scheduler.Outcome, at time.Duration) {
	if !attempt.finished {
		attempt.finished = true
		pool.host.AttemptEnded(attempt.ID, outcome, at-attempt.SentAt)
	}
}

// finishAll reports the end of several attempts.
func (pool *Pool) finishAll(attempts []*Attempt, outcome scheduler.Outcome, at time.Duration) {
	for _, attempt := range attempts {
		pool.finish(attempt, outcome, at)
	}
}

// Forget tells that nothing is awaited any more of an attempt that is over, as its query has ended. One whose
// cancellation is still to be sent holds its place until then.
func (pool *Pool) Forget(now time.Duration, attempt *Attempt) {
	pool.now = now
	if attempt.conn == nil || !slices.Contains(attempt.conn.cancels.pending, attempt) {
		pool.release(attempt, unreplied)
	}
}

// replyState is whether a replica has ended an attempt that is released.
type replyState int

const (
	unreplied replyState = iota // the replica may still work on it
	replied
)

// release takes an attempt of which nothing more is awaited off its connection, or out of its replica's queue, and
// gives its place to the next. Its subquery's id stays known there for a while: a reply that still comes for it is no
// protocol error, and no other attempt with that id goes on this connection.
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
	if state == unreplied && !conn.traits.LimitsStreams && pool.FullyWritten(attempt) {
		busyUntil = attempt.Call.Deadline
	}
	conn.remember(attempt.Call.SubqueryID, busyUntil)
	conn.outstanding = without(conn.outstanding, attempt)
	pool.becomeIdle(conn)
	pool.fill(conn.replica)
}

// FullyWritten tells whether an attempt was written whole, as far as that is known.
func (pool *Pool) FullyWritten(attempt *Attempt) bool {
	return attempt.conn != nil && pool.host.Stage(attempt.conn.id, attempt) == written
}

// without returns the attempts but one, in their order; the slice it is given is changed.
func without(attempts []*Attempt, gone *Attempt) []*Attempt {
	return slices.DeleteFunc(attempts, func(attempt *Attempt) bool { return attempt == gone })
}
