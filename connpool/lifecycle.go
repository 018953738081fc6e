package connpool

import (
	"time"

	"terntray/internal/replicaproto"
)

// The lifecycle of a connection: open, ConnUp, updateIdle whenever an attempt is released, close, and finally ConnEnded
// (evidence.go). StreamLimitChanged and GoingAway, by which the replica states how an open connection may be used, are
// here as well.

// open opens a connection to a replica.
func (pool *Pool) open(to *replicaState) *connection {
	pool.lastID++
	opened := &connection{
		id: pool.lastID, replica: to, addr: to.addr, protocol: to.protocol, traits: to.traits(),
		maxAttempts: pool.limits.MaxAttemptsPerConn,
		cancels:     cancelQueue{tokens: cancelBurst, tokensAt: pool.now},
		liveness:    liveness{lastByteAt: pool.now},
		wakeupAt:    never,
	}
	if opened.traits.Multiplexed {
		opened.maxAttempts = pool.limits.MaxStreamsPerConn
	}
	to.conns = append(to.conns, opened)
	pool.byAge = append(pool.byAge, opened)
	pool.conns[opened.id] = opened
	pool.host.Open(opened.id, to.id, to.addr, to.protocol)
	return opened
}

// ConnUp notifies the pool that a connection has been established. From now on the attempts on it are written.
func (pool *Pool) ConnUp(now time.Duration, id ConnID) {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil {
		return
	}
	if conn.state == connecting {
		conn.state = established
	}
	conn.wasEstablished = true
	conn.establishedAt = now
	conn.idleSince = now
	conn.lastByteAt = now
	pool.updateIdle(conn)
	pool.scheduleWakeup(conn)
}

// updateIdle is called when a connection may have become idle. A connection without outstanding attempts is closed if
// it must not be used again; otherwise its idle timeout is scheduled.
func (pool *Pool) updateIdle(conn *connection) {
	if len(conn.outstanding) > 0 || conn.state == closing {
		return
	}
	closeAfterUse := conn.exclusive && pool.now < pool.avoidIdleUntil // the next such attempt would avoid it
	conn.idleSince, conn.exclusive = pool.now, false
	if closeAfterUse || conn.replica.removed || !conn.acceptsNew() {
		pool.close(conn)
		return
	}
	pool.scheduleWakeup(conn)
}

// idleTooLong reports whether a connection has been idle for so long that the replica, or something on the network
// path, may have dropped it.
func (pool *Pool) idleTooLong(conn *connection) bool {
	return conn.state == established && len(conn.outstanding) == 0 && pool.now-conn.idleSince >= pool.idleTimeout
}

// close closes a connection; ConnEnded follows.
func (pool *Pool) close(conn *connection) {
	if conn.state != closing {
		conn.state = closing
		pool.host.Close(conn.id)
	}
}

// closeLongestIdle closes the connection that has been idle for longest, to make room for a new one, and reports
// whether there was one.
func (pool *Pool) closeLongestIdle() bool {
	var longest *connection
	for _, conn := range pool.byAge {
		isIdle := conn.state == established && len(conn.outstanding) == 0
		if isIdle && (longest == nil || conn.idleSince < longest.idleSince) {
			longest = conn
		}
	}
	if longest == nil {
		return false
	}
	pool.close(longest)
	return true
}

// StreamLimitChanged notifies the pool of how many concurrent attempts the replica accepts on a connection. Attempts
// whose writing has begun stay there; others beyond the limit wait for a slot again, as the replica would refuse
// them.
func (pool *Pool) StreamLimitChanged(now time.Duration, id ConnID, limit int) {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil {
		return
	}
	isLower := limit < conn.maxAttempts
	conn.maxAttempts = min(limit, pool.limits.MaxStreamsPerConn)
	if isLower {
		pool.requeueUnstarted(conn, conn.maxAttempts, slotLost)
	}
	pool.assignWaiting(conn.replica)
	pool.scheduleWakeup(conn)
}

// GoingAway notifies the pool that the replica accepts nothing new on a connection. Attempts whose writing has not
// begun move to another connection, at most once each. The connection is closed when its last attempt is over.
func (pool *Pool) GoingAway(now time.Duration, id ConnID, detail string) {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil || conn.goingAway {
		return
	}
	conn.goingAway = true
	pool.record(conn, GoingAway, goAwayError(detail))
	pool.requeueUnstarted(conn, 0, connGoingAway)
	if !conn.replica.acceptsNew() {
		pool.rejectWaiting(conn.replica)
	}
	pool.assignWaiting(conn.replica)
	if len(conn.outstanding) == 0 {
		pool.close(conn)
	}
}

// goAwayError is the detail that a replica gave when it announced that it closes a connection.
type goAwayError string

// Error returns the detail as the replica sent it.
func (err goAwayError) Error() string { return string(err) }

// record reports an event of a connection to the host.
func (pool *Pool) record(conn *connection, kind EventKind, cause error) {
	pool.host.Record(Event{
		Conn: conn.id, Replica: conn.replica.id, Kind: kind, Outstanding: len(conn.outstanding), Cause: cause,
	})
}

// rewindCall prepares a call for being written from its first byte on another connection.
func rewindCall(call *replicaproto.Call) {
	call.Stage = replicaproto.Waiting
	call.Stream = 0
}
