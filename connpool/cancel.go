package connpool

import "time"

const (
	cancelBurst       = 60.0 // tokens in a full bucket; common protections allow some hundred resets in one go
	cancelsPerSecond  = 30.0 // tokens regained with time
	cancelRegainReply = 0.5  // tokens regained by a reply: a client that gets replies is no attacker
	cancelTimerSlack  = time.Millisecond
)

// cancelQueue is the cancellations of one connection that are still to be sent. Where a cancellation resets a stream,
// they are limited by a token bucket: a replica, or something in front of it, may take a rush of resets for a rapid
// reset attack (CVE-2023-44487) and close the connection.
type cancelQueue struct {
	pending  []*Attempt    // abandoned, in order; each holds its place on the connection until the replica is told
	tokens   float64       // cancellations that may be sent at once, as of tokensAt
	tokensAt time.Duration // since the process' start
}

func (cancels *cancelQueue) regain(now time.Duration) {
	regained := cancelsPerSecond * (now - cancels.tokensAt).Seconds()
	cancels.tokens = min(cancelBurst, cancels.tokens+regained)
	cancels.tokensAt = now
}

// nextDue is when there will be a token for the next cancellation.
func (cancels *cancelQueue) nextDue(now time.Duration) time.Duration {
	missing := max(0, 1-cancels.tokens)
	return now + time.Duration(missing/cancelsPerSecond*float64(time.Second)) + cancelTimerSlack
}

// Withdraw takes back an attempt of which nothing has been written, and tells whether it could. Nothing follows then.
func (pool *Pool) Withdraw(now time.Duration, attempt *Attempt) bool {
	pool.now = now
	if attempt.finished {
		return false
	}
	if attempt.conn != nil && !pool.host.Withdraw(attempt.conn.id, attempt) {
		return false
	}
	attempt.finished = true
	return true
}

// Abandon tells that nobody waits for an attempt any more. The replica is told if the attempt has been begun.
//
// If nothing came on its connection since it was sent, for longer than opening a connection may take, the
// connection is suspect: the next attempt opens another, and this one ends with its attempts. Connections to a
// machine that vanished stay open and silent; a new one shows at once whether the machine is back, and what it
// cannot carry never ran. A slow replica costs one more connection by that.
func (pool *Pool) Abandon(now time.Duration, attempt *Attempt) {
	pool.now = now
	attempt.finished = true
	conn := attempt.conn
	if conn == nil || pool.host.Withdraw(conn.id, attempt) {
		pool.release(attempt, unreplied)
		return
	}
	if conn.state == closing {
		return
	}
	pool.cancel(conn, attempt)
	lastHeard := conn.lastReplyAt
	if conn.traits.Pings { // anything that came shows that the connection is not silent
		lastHeard = max(lastHeard, conn.lastByteAt)
	}
	if lastHeard < attempt.SentAt && now-attempt.SentAt >= pool.limits.ConnectTimeout {
		conn.suspect = true
	}
}

// cancel has the replica told that an attempt is abandoned, at once or as soon as there is a token for it.
func (pool *Pool) cancel(conn *connection, attempt *Attempt) {
	if !conn.traits.LimitsStreams {
		pool.host.Abandon(conn.id, attempt)
		return
	}
	conn.cancels.pending = append(conn.cancels.pending, attempt)
	pool.sendPendingCancels(conn)
}

// sendPendingCancels sends cancellations in order, as far as there are tokens.
func (pool *Pool) sendPendingCancels(conn *connection) {
	conn.cancels.regain(pool.now)
	for len(conn.cancels.pending) > 0 && conn.cancels.tokens >= 1 {
		conn.cancels.tokens--
		cancelled := conn.cancels.pending[0]
		conn.cancels.pending = conn.cancels.pending[1:]
		pool.host.Abandon(conn.id, cancelled)
		pool.release(cancelled, unreplied)
	}
	pool.scheduleWakeup(conn)
}
