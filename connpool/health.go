package connpool

import (
	"errors"
	"time"
)

const (
	// maxOvertaken is the number of replies to later attempts on other connections that make a silent connection
	// suspect.
	maxOvertaken = 8
	// pingDelayFraction is the fraction of Limits.ConnectTimeout after which a silent connection with outstanding
	// attempts is pinged. The replica has the rest of that time to answer.
	pingDelayFraction = 0.5
	// stallThreshold is the lateness of a wakeup beyond which this process counts as having been stalled.
	stallThreshold = 30 * time.Millisecond
)

// liveness is the evidence of whether a connection and the machine behind it are alive.
type liveness struct {
	lastReplyAt time.Duration
	overtaken   int           // replies on other connections since lastReplyAt, to attempts after the first here
	lastByteAt  time.Duration // when any input was last received
	pingPending bool          // a ping was sent, and no input was received since
	pingSentAt  time.Duration
}

// noteBytes notes that input was received.
func (seen *liveness) noteBytes(readAt time.Duration) {
	seen.lastByteAt = max(seen.lastByteAt, readAt)
	seen.pingPending = false
}

var errPingTimeout = errors.New("no answer to a ping in time")

// noteReply notes a reply to an attempt. Other connections to the same replica that have been silent since before
// that attempt was sent become suspect after maxOvertaken such replies: the replica is alive, but nothing arrives on
// them. This is not needed where the protocol has pings. Attempts whose costs differ widely can have the same effect;
// the price is a new connection.
func (pool *Pool) noteReply(conn *connection, replied *Attempt, readAt time.Duration) {
	conn.lastReplyAt, conn.overtaken = readAt, 0
	conn.cancels.tokens += cancelTokensPerReply
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

// silentSince reports whether an attempt that was sent before sentAt is outstanding on the connection, and no reply
// has been received since sentAt. It is always false for protocols with pings, which detect dead connections
// themselves.
func (conn *connection) silentSince(sentAt time.Duration) bool {
	first := conn.firstUnanswered()
	if conn.traits.Pings || first == nil {
		return false
	}
	return first.SentAt < sentAt && conn.lastReplyAt < sentAt
}

// scheduleWakeup schedules a call of Wakeup for the next time that something is due on a connection, unless an
// earlier one is scheduled already.
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

// nextDue returns the earliest time at which Wakeup has something to do for a connection.
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
		due = min(due, conn.cancels.nextAllowedAt(pool.now))
	}
	if isUp && len(conn.replica.waiting) > 0 && conn.maxAttempts == 0 {
		due = min(due, conn.replica.waitingSince+pool.limits.ConnectTimeout)
	}
	return due
}

// Wakeup notifies the pool that a delay that it passed to Host.ScheduleWakeup for a connection is over.
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
	wasStalled := now-conn.wakeupAt > stallThreshold
	conn.wakeupAt = never
	if pool.idleTooLong(conn) {
		pool.close(conn)
		return
	}
	if conn.traits.Pings && conn.state == established && len(conn.outstanding) > 0 {
		pool.checkAlive(conn, wasStalled)
	}
	if len(conn.cancels.pending) > 0 && conn.state != closing {
		pool.sendPendingCancels(conn)
	}
	pool.rejectIfAllConnsRefuse(conn.replica)
	pool.scheduleWakeup(conn)
}

// checkAlive pings a silent connection, and closes it if a ping was not answered in time: the machine has vanished,
// or the replica does not read. If this process itself was stalled, the answer may not have been read yet, so the
// wait starts again.
func (pool *Pool) checkAlive(conn *connection, wasStalled bool) {
	switch {
	case wasStalled:
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

// pingDue returns the time at which a connection with outstanding attempts is to be pinged or, while a ping is pending,
// the time from which the connection counts as dead.
func (pool *Pool) pingDue(conn *connection) time.Duration {
	timeout := float64(pool.limits.ConnectTimeout)
	if conn.pingPending {
		return conn.pingSentAt + time.Duration((1-pingDelayFraction)*timeout)
	}
	return max(conn.lastByteAt, conn.outstanding[0].SentAt) + time.Duration(pingDelayFraction*timeout)
}

// rejectIfAllConnsRefuse rejects the attempts that wait for a replica if they have waited for the connect timeout and
// none of its connections accepts an attempt. They were never sent.
func (pool *Pool) rejectIfAllConnsRefuse(replica *replicaState) {
	if len(replica.waiting) == 0 || pool.now < replica.waitingSince+pool.limits.ConnectTimeout {
		return
	}
	replica.waitingSince = pool.now
	if replica.allConnsRefuse() {
		pool.rejectWaiting(replica)
	}
}
