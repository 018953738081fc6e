package connpool

import (
	"errors"
	"time"

	"terntray/internal/replicaproto"
)

// The life of a connection: open, ConnUp, becomeIdle each time that nothing is left on it, close, and at last ConnEnded
// (evidence.go). What the replica states meanwhile, StreamLimitChanged and GoingAway, is here as well.

// open opens a connection to a replica.
func (p *Pool) open(to *replicaState) *connection {
	p.lastID++
	opened := &connection{
		id: p.lastID, replica: to, addr: to.addr, protocol: to.protocol, traits: to.traits(),
		maxAttempts:    p.limits.MaxAttemptsPerConn,
		cancelTokens:   cancelBurst,
		cancelTokensAt: p.now,
		lastByteAt:     p.now,
		wakeupAt:       never,
	}
	if opened.traits.Multiplexed {
		opened.maxAttempts = p.limits.MaxStreamsPerConn
	}
	to.conns = append(to.conns, opened)
	p.byAge = append(p.byAge, opened)
	p.conns[opened.id] = opened
	p.host.Open(opened.id, to.id, to.addr, to.protocol)
	return opened
}

// ConnUp tells that a connection has come up: attempts on it are written from now on.
func (p *Pool) ConnUp(now time.Duration, id ConnID) {
	p.now = now
	conn := p.conns[id]
	if conn == nil {
		return
	}
	if conn.state == connecting {
		conn.state = established
	}
	conn.cameUp = true
	conn.establishedAt, conn.idleSince, conn.lastByteAt = now, now, now
	p.becomeIdle(conn)
	p.scheduleWakeup(conn)
}

// becomeIdle closes a connection that carries nothing any more if it is not to be used again, and else has it wait.
func (p *Pool) becomeIdle(conn *connection) {
	if len(conn.outstanding) > 0 || conn.state == closing {
		return
	}
	closeAfterUse := conn.exclusive && p.now < p.distrustIdleUntil
	conn.idleSince, conn.exclusive = p.now, false
	if closeAfterUse || conn.replica.removed || !conn.takesNew() {
		p.close(conn)
		return
	}
	p.scheduleWakeup(conn)
}

// idleTooLong tells whether a connection has been idle for so long that the far side may have dropped it.
func (p *Pool) idleTooLong(conn *connection) bool {
	return conn.state == established && len(conn.outstanding) == 0 && p.now-conn.idleSince >= p.idleTimeout
}

// close closes a connection; ConnEnded follows.
func (p *Pool) close(conn *connection) {
	if conn.state != closing {
		conn.state = closing
		p.host.Close(conn.id)
	}
}

// closeLongestIdle closes the connection that has been idle for longest, to make room for another; it tells whether
// there was one.
func (p *Pool) closeLongestIdle() bool {
	var longest *connection
	for _, conn := range p.byAge {
		isIdle := conn.state == established && len(conn.outstanding) == 0
		if isIdle && (longest == nil || conn.idleSince < longest.idleSince) {
			longest = conn
		}
	}
	if longest == nil {
		return false
	}
	p.close(longest)
	return true
}

// StreamLimitChanged tells how many attempts the replica takes at a time on a connection. Those that are begun go on;
// of the others, those beyond the limit wait for a place again. Otherwise the replica would refuse them.
func (p *Pool) StreamLimitChanged(now time.Duration, id ConnID, limit int) {
	p.now = now
	conn := p.conns[id]
	if conn == nil {
		return
	}
	isLower := limit < conn.maxAttempts
	conn.maxAttempts = min(limit, p.limits.MaxStreamsPerConn)
	if isLower {
		p.requeueUnbegun(conn, conn.maxAttempts, false)
	}
	p.fill(conn.replica)
	p.scheduleWakeup(conn)
}

// GoingAway tells that the replica takes nothing new on a connection. What was not begun goes on another, once; this
// one is closed when its last attempt is over.
func (p *Pool) GoingAway(now time.Duration, id ConnID, detail string) {
	p.now = now
	conn := p.conns[id]
	if conn == nil || conn.goingAway {
		return
	}
	conn.goingAway = true
	p.record(conn, GoingAway, errors.New(detail))
	p.requeueUnbegun(conn, 0, true)
	if !conn.replica.takesNew() {
		p.rejectWaiting(conn.replica)
	}
	p.fill(conn.replica)
	if len(conn.outstanding) == 0 {
		p.close(conn)
	}
}

// record notes an event of a connection.
func (p *Pool) record(conn *connection, kind EventKind, cause error) {
	p.host.Record(Event{
		Conn: conn.id, Replica: conn.replica.id, Kind: kind, Outstanding: len(conn.outstanding), Cause: cause,
	})
}

// resetCall makes a call ready to be written from its start on another connection.
func resetCall(call *replicaproto.Call) {
	call.Stage = replicaproto.Waiting
	call.Stream = 0
}
