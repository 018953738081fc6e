package connpool

import (
	"fmt"
	"time"

	"terntray/scheduler"
)

// BytesReceived tells that anything came on a connection, the answer to a ping included.
func (pool *Pool) BytesReceived(now time.Duration, id ConnID, at time.Duration) {
	pool.now = now
	if conn := pool.conns[id]; conn != nil {
		conn.noteBytes(at)
		pool.scheduleWakeup(conn)
	}
}

// ReplyReceived tells that a reply was read at a time. It names its attempt or, with 0, its subquery alone. The
// result is the attempt that it ends; nil where none waits for it. Then the reply is late (its attempt was
// abandoned), or else a protocol error that ends the connection.
func (pool *Pool) ReplyReceived(now time.Duration, id ConnID, attempt AttemptID, subquery string, at time.Duration) (
	ended *Attempt, late bool) {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil || conn.failed {
		return nil, false
	}
	conn.noteBytes(at)
	answered := conn.find(attempt, subquery)
	if answered != nil && !answered.finished {
		answered.finished = true
		pool.release(answered, replied)
		pool.noteReply(conn, answered, at)
		return answered, false
	}
	before := conn.recentlySent(subquery)
	if answered == nil && before == nil {
		pool.fail(conn, Malformed, unexpectedReply(subquery))
		return nil, false
	}
	conn.lastReplyAt, conn.overtaken = at, 0
	if answered != nil {
		conn.cancels.pending = without(conn.cancels.pending, answered)
		pool.release(answered, replied)
	} else {
		before.busyUntil = 0
	}
	return nil, true
}

// unexpectedReply is the error of a reply to what is not outstanding.
func unexpectedReply(subquery string) error {
	return fmt.Errorf("a reply to %.60q, which is not outstanding on this connection", subquery)
}

// AttemptSettled tells that the replica ended an attempt without an answer, at a time, and whether it said that the
// attempt never ran.
func (pool *Pool) AttemptSettled(now time.Duration, id ConnID, attempt AttemptID, neverRan bool, at time.Duration) {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil {
		return
	}
	conn.noteBytes(at)
	settled := conn.find(attempt, "")
	if settled == nil {
		return
	}
	conn.cancels.pending = without(conn.cancels.pending, settled)
	outcome := scheduler.Failed
	if neverRan {
		outcome = scheduler.Overloaded
	}
	pool.finish(settled, outcome, at)
	pool.release(settled, replied)
}

// MalformedReceived tells that what came on a connection cannot be used. Nothing that follows can be trusted, so the
// connection is closed.
func (pool *Pool) MalformedReceived(now time.Duration, id ConnID, cause error) {
	pool.now = now
	if conn := pool.conns[id]; conn != nil {
		pool.fail(conn, Malformed, cause)
	}
}

// fail closes a connection that is itself at fault.
func (pool *Pool) fail(conn *connection, kind EventKind, cause error) {
	if conn.state != closing {
		conn.failed = true
		pool.record(conn, kind, cause)
		pool.close(conn)
	}
}
