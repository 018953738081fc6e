package connpool

import (
	"time"

	"terntray/internal/replicaproto"
)

// The life of a connection: open, ConnUp, becomeIdle each time that nothing is left on it, close, and at last
// ConnEnded (evidence.go). What the replica states meanwhile, StreamLimitChanged and GoingAway, is here as well.

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

// ConnUp tells that a connection has come up: attempts on it are written from now on.
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
	pool.becomeIdle(conn)
	pool.scheduleWakeup(conn)
}

// becomeIdle closes a connection that carries nothing any more if it is not to be used again, and else has it wait.
func (pool *Pool) becomeIdle(conn *connection) {
	if len(conn.outstanding) > 0 || conn.state == closing {
		return
	}
	closeAfterUse := conn.exclusive && pool.now < pool.distrustIdleUntil
	conn.idleSince, conn.exclusive = pool.now, false
	if closeAfterUse || conn.replica.removed || !conn.takesNew() {
		pool.close(conn)
		return
	}
	pool.scheduleWakeup(conn)
}

// idleTooLong tells whether a connection has been idle for so long that the far side may have dropped it.
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

// closeLongestIdle closes the connection that has been idle for longest, to make room for another; it tells whether
// there was one.
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

// StreamLimitChanged tells how many attempts the replica takes at a time on a connection. Those that are begun go on;
// of the others, those beyond the limit wait for a place again. Otherwise the replica would refuse them.
func (pool *Pool) StreamLimitChanged(now time.Duration, id ConnID, limit int) {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil {
		return
	}
	isLower := limit < conn.maxAttempts
	conn.maxAttempts = min(limit, pool.limits.MaxStreamsPerConn)
	if isLower {
		pool.requeueUnbegun(conn, conn.maxAttempts, placeLost)
	}
	pool.fill(conn.replica)
	pool.scheduleWakeup(conn)
}

// GoingAway tells that the replica takes nothing new on a connection. What was not begun goes on another, once; this
// one is closed when its last attempt is over.
func (pool *Pool) GoingAway(now time.Duration, id ConnID, detail string) {
	pool.now = now
	conn := pool.conns[id]
	if conn == nil || conn.goingAway {
		return
	}
	conn.goingAway = true
	pool.record(conn, GoingAway, goAwayError(detail))
	pool.requeueUnbegun(conn, 0, connLost)
	if !conn.replica.takesNew() {
		pool.rejectWaiting(conn.replica)
	}
	pool.fill(conn.replica)
	if len(conn.outstanding) == 0 {
		pool.close(conn)
	}
}

// goAwayError is what a replica said when it went away.
type goAwayError string

func (err goAwayError) Error() string { return string(err) }

// record notes an event of a connection.
func (pool *Pool) record(conn *connection, kind EventKind, cause error) {
	pool.host.Record(Event{
		Conn: conn.id, Replica: conn.replica.id, Kind: kind, Outstanding: len(conn.outstanding), Cause: cause,
	})
}

// resetCall makes a call ready to be written from its start on another connection.
func resetCall(call *replicaproto.Call) {
	call.Stage = replicaproto.Waiting
	call.Stream = 0
}
