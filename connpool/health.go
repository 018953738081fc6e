package connpool

import (
	"errors"
	"time"
)

const (
	// maxOvertaken is how many replies on other connections, to later attempts, make a silent connection suspect.
	maxOvertaken = 8
	// pingAfter is the share of Limits.ConnectTimeout after which a connection with outstanding attempts on which
	// nothing comes is pinged. The answer has the rest of that time.
	pingAfter = 0.5
	// lateWakeup is how late a wakeup must be to show that this process stood still.
	lateWakeup = 30 * time.Millisecond
)

// liveness is what shows whether a connection, and what is behind it, is alive.
type liveness struct {
	lastReplyAt time.Duration
	overtaken   int           // replies on other connections to later attempts than the first here, since that reply
	lastByteAt  time.Duration // anything came
	pingPending bool          // a ping was sent and nothing has come since
	pingSentAt  time.Duration
}

// noteBytes notes that something came.
func (seen *liveness) noteBytes(at time.Duration) {
	seen.lastByteAt = max(seen.lastByteAt, at)
	seen.pingPending = false
}

var errPingTimeout = errors.New("a ping had no answer in time")

// noteReply notes that a reply to an attempt came. Other connections to the same replica that have been silent
// since before that attempt was sent become suspect after maxOvertaken such replies: the replica lives, and yet
// nothing comes there. Where the protocol has pings, those tell. Attempts of very different cost can look the same,
// and cost a new connection then.
func (pool *Pool) noteReply(conn *connection, replied *Attempt, at time.Duration) {
	conn.lastReplyAt, conn.overtaken = at, 0
	conn.cancels.tokens += cancelRegainReply
	for _, other := range conn.replica.conns {
		if other == conn || !other.silentSince(replied.SentAt) {
			continue
		}
		other.overtaken++
		if other.overtaken >= maxOvertaken {
			other.suspect = true
		}
	}
}

// silentSince tells whether an attempt that was sent before a time is outstanding here, and no reply has come
// since. Of connections with pings it is not asked.
func (conn *connection) silentSince(sentAt time.Duration) bool {
	if conn.traits.Pings || len(conn.outstanding) == 0 {
		return false
	}
	return conn.outstanding[0].SentAt < sentAt && conn.lastReplyAt < sentAt
}

// scheduleWakeup has Wakeup called when something will be due on a connection, unless it is called earlier anyway.
func (pool *Pool) scheduleWakeup(conn *connection) {
	if conn.state == closing {
		return
	}
	due := pool.nextDue(conn)
	if due < conn.wakeupAt {
		conn.wakeupAt = due
		pool.host.ScheduleWakeup(conn.id, max(0, due-pool.now))
	}
}

// nextDue is the earliest time at which Wakeup has something to do for a connection.
func (pool *Pool) nextDue(conn *connection) time.Duration {
	due := never
	isUp := conn.state == established
	if isUp && len(conn.outstanding) == 0 && pool.idleTimeout <= maxIdleTimeout {
		due = conn.idleSince + pool.idleTimeout
	}
	if isUp && len(conn.outstanding) > 0 && conn.traits.Pings {
		due = min(due, pool.pingDue(conn))
	}
	if len(conn.cancels.pending) > 0 {
		due = min(due, conn.cancels.nextDue(pool.now))
	}
	if isUp && len(conn.replica.waiting) > 0 && conn.maxAttempts == 0 {
		due = min(due, conn.replica.waitingSince+pool.limits.ConnectTimeout)
	}
	return due
}

// Wakeup tells that a time has passed that Host.ScheduleWakeup was given for a connection.
func (pool *Pool) Wakeup(now time.Duration, id ConnID) {
	pool.now = now
	if reset := pool.pendingResets[id]; reset != nil {
		pool.resolveReset(id, reset)
		return
	}
	conn := pool.conns[id]
	if conn == nil || conn.state == closing || now < conn.wakeupAt {
		return
	}
	stoodStill := now-conn.wakeupAt > lateWakeup
	conn.wakeupAt = never
	if pool.idleTooLong(conn) {
		pool.close(conn)
		return
	}
	if conn.traits.Pings && conn.state == established && len(conn.outstanding) > 0 {
		pool.checkAlive(conn, stoodStill)
	}
	if len(conn.cancels.pending) > 0 && conn.state != closing {
		pool.sendPendingCancels(conn)
	}
	pool.rejectIfReplicaTakesNothing(conn.replica)
	pool.scheduleWakeup(conn)
}

// checkAlive pings a silent connection, and closes it if a ping had no answer in time: its machine has vanished, or
// reads nothing. Where this process itself stood still the answer may lie unread, so the wait starts again.
func (pool *Pool) checkAlive(conn *connection, stoodStill bool) {
	switch {
	case stoodStill:
		conn.noteBytes(pool.now)
	case pool.now < pool.pingDue(conn):
	case conn.pingPending:
		pool.fail(conn, PingTimeout, errPingTimeout)
	default:
		conn.pingPending = true
		conn.pingSentAt = pool.now
		pool.host.Ping(conn.id)
	}
}

// pingDue is when a connection with outstanding attempts is to be pinged or, after a ping, when it counts as dead.
func (pool *Pool) pingDue(conn *connection) time.Duration {
	timeout := float64(pool.limits.ConnectTimeout)
	if conn.pingPending {
		return conn.pingSentAt + time.Duration((1-pingAfter)*timeout)
	}
	return max(conn.lastByteAt, conn.outstanding[0].SentAt) + time.Duration(pingAfter*timeout)
}

// rejectIfReplicaTakesNothing ends what waits for a replica that takes no attempts at all for as long as opening a
// connection may take: it never left.
func (pool *Pool) rejectIfReplicaTakesNothing(replica *replicaState) {
	if len(replica.waiting) == 0 || pool.now < replica.waitingSince+pool.limits.ConnectTimeout {
		return
	}
	replica.waitingSince = pool.now
	if replica.takesNothing() {
		pool.rejectWaiting(replica)
	}
}
