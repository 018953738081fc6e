package connpool

import (
	"fmt"
	"time"

	"terntray/scheduler"
)

// distrustInputFor is the time after malformed input within which more of it is likely, on any connection.
const distrustInputFor = 10 * time.Second

// BytesReceived notifies the pool that input of any kind, including the answer to a ping, was read from a connection.
func (pool *Pool) BytesReceived(now time.Duration, id ConnID, readAt time.Duration) {
	pool.now = now
	if conn := pool.conns[id]; conn != nil {
		conn.noteBytes(readAt)
		pool.scheduleWakeup(conn)
	}
}

// ReplyUnconfirmed notifies the pool of a reply that was read, but is withheld until its length is confirmed. The replica
// has done its work: the attempt no longer takes a slot, and only its outcome is open. The result is the attempt, or nil if
// none is waiting for the reply. ReplyReceived follows, or the end of the connection.
func (pool *Pool) ReplyUnconfirmed(now time.Duration, id ConnID, attempt AttemptID, subquery string,
	readAt time.Duration) *Attempt {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil || conn.failed {
		return nil
	}
	conn.noteBytes(readAt)
	replied := conn.find(attempt, subquery)
	if replied == nil || replied.finished || replied.unconfirmed {
		return nil
	}
	replied.unconfirmed = true
	pool.noteReply(conn, replied, readAt)
	pool.assignWaiting(conn.replica)
	return replied
}

// ReplyReceived notifies the pool of a reply and of when it was read. The reply names its attempt or, if attempt is
// 0, only its subquery. The result is the attempt that it ends, or nil if no attempt is waiting for it. In that case
// the reply is either late, as its attempt was abandoned, or a protocol error that ends the connection.
func (pool *Pool) ReplyReceived(now time.Duration, id ConnID, attempt AttemptID, subquery string,
	readAt time.Duration) (ended *Attempt, late bool) {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil {
		return nil, false
	}
	answered := conn.find(attempt, subquery)
	wasReadBefore := answered != nil && answered.unconfirmed // before the connection failed, if it has
	if conn.failed && !wasReadBefore {
		return nil, false
	}
	conn.noteBytes(readAt)
	if answered != nil && !answered.finished {
		answered.finished = true
		pool.release(answered, replied)
		if !answered.unconfirmed {
			pool.noteReply(conn, answered, readAt)
		}
		return answered, false
	}
	recent := conn.recentFor(subquery)
	if answered == nil && recent == nil {
		pool.fail(conn, Malformed, unexpectedReply(subquery))
		return nil, false
	}
	conn.lastReplyAt, conn.overtaken = readAt, 0
	if answered != nil {
		conn.cancels.pending = without(conn.cancels.pending, answered)
		pool.release(answered, replied)
	} else {
		recent.busyUntil = 0
	}
	return nil, true
}

// unexpectedReply returns the error for a reply to a subquery that is not outstanding.
func unexpectedReply(subquery string) error {
	return fmt.Errorf("reply to %.60q, which is not outstanding on this connection", subquery)
}

// AttemptSettled notifies the pool that the replica ended an attempt without an answer at the time settledAt; neverRan
// reports whether it stated that the attempt never ran.
func (pool *Pool) AttemptSettled(now time.Duration, id ConnID, attempt AttemptID, neverRan bool,
	settledAt time.Duration) {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil {
		return
	}
	conn.noteBytes(settledAt)
	settled := conn.find(attempt, "")
	if settled == nil {
		return
	}
	conn.cancels.pending = without(conn.cancels.pending, settled)
	outcome := scheduler.Failed
	if neverRan {
		outcome = scheduler.Overloaded
	}
	pool.finish(settled, outcome, settledAt)
	pool.release(settled, replied)
}

// MessageStalled notifies the pool that the rest of a message is overdue on a connection. The replica may only stand still,
// so the attempts there go on; but new ones would wait behind the message.
func (pool *Pool) MessageStalled(id ConnID) {
	if conn := pool.conns[id]; conn != nil {
		conn.suspect = true
	}
}

// MalformedReceived notifies the pool of malformed input on a connection. Nothing that follows can be trusted, so the
// connection is closed.
func (pool *Pool) MalformedReceived(now time.Duration, id ConnID, cause error) {
	pool.now = now
	if conn := pool.conns[id]; conn != nil {
		pool.fail(conn, Malformed, cause)
	}
}

// fail closes a connection that is itself at fault.
func (pool *Pool) fail(conn *connection, kind EventKind, cause error) {
	if kind == Malformed {
		pool.distrustInputUntil = pool.now + distrustInputFor
	}
	if conn.state != closing {
		conn.failed = true
		pool.record(conn, kind, cause)
		pool.close(conn)
	}
}
