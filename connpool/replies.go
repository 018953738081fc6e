package connpool

import (
	"fmt"
	"time"

	"terntray/scheduler"
)

// BytesReceived tells that anything came on a connection, the answer to a ping included.
func (p *Pool) BytesReceived(now time.Duration, id ConnID, at time.Duration) {
	p.now = now
	if conn := p.conns[id]; conn != nil {
		conn.noteBytes(at)
		p.scheduleWakeup(conn)
	}
}

// ReplyReceived tells that a reply was read at a time. It names its attempt or, with 0, its subquery alone. The result
// is the attempt that it ends; nil where none waits for it. Then the reply is late (its attempt was abandoned), or else
// a protocol error that ends the connection.
func (p *Pool) ReplyReceived(now time.Duration, id ConnID, attempt AttemptID, subquery string, at time.Duration) (
	ended *Attempt, late bool) {
	p.now = now
	conn := p.conns[id]
	if conn == nil || conn.failed {
		return nil, false
	}
	conn.noteBytes(at)
	replied := conn.find(attempt, subquery)
	if replied != nil && !replied.finished {
		replied.finished = true
		p.release(replied, true)
		p.noteReply(conn, replied, at)
		return replied, false
	}
	before := conn.recentlySent(subquery)
	if replied == nil && before == nil {
		p.fail(conn, Malformed, fmt.Errorf("a reply to %.60q, which is not outstanding on this connection", subquery))
		return nil, false
	}
	conn.lastReplyAt, conn.overtaken = at, 0
	if replied != nil {
		conn.pendingCancels = without(conn.pendingCancels, replied)
		p.release(replied, true)
	} else {
		before.busyUntil = 0
	}
	return nil, true
}

// AttemptSettled tells that the replica ended an attempt without an answer, at a time, and whether it said that the
// attempt never ran.
func (p *Pool) AttemptSettled(now time.Duration, id ConnID, attempt AttemptID, neverRan bool, at time.Duration) {
	p.now = now
	conn := p.conns[id]
	if conn == nil {
		return
	}
	conn.noteBytes(at)
	settled := conn.find(attempt, "")
	if settled == nil {
		return
	}
	conn.pendingCancels = without(conn.pendingCancels, settled)
	outcome := scheduler.Failed
	if neverRan {
		outcome = scheduler.Overloaded
	}
	p.finish(settled, outcome, at)
	p.release(settled, true)
}

// MalformedReceived tells that what came on a connection cannot be used. Nothing that follows can be trusted, so the
// connection is closed.
func (p *Pool) MalformedReceived(now time.Duration, id ConnID, cause error) {
	p.now = now
	if conn := p.conns[id]; conn != nil {
		p.fail(conn, Malformed, cause)
	}
}

// fail closes a connection that is itself at fault.
func (p *Pool) fail(conn *connection, kind EventKind, cause error) {
	if conn.state != closing {
		conn.failed = true
		p.record(conn, kind, cause)
		p.close(conn)
	}
}
