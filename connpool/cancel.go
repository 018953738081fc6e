package connpool

import "time"

const (
	cancelBurst           = 60.0 // bucket size; typical rapid-reset protections tolerate about a hundred resets at once
	cancelTokensPerSecond = 30.0 // refill rate over time
	cancelTokensPerReply  = 0.5  // a client that receives replies does not look like an attacker
	// cancelTimerSlack is added to timer delays, so that rounding does not make them end just before a token is there.
	cancelTimerSlack = time.Millisecond
)

// cancelQueue holds the cancellations of one connection that have not been sent yet. Where a cancellation resets a
// stream, a token bucket limits the rate: a replica, or a proxy in front of it, may take a burst of resets for a
// rapid reset attack (CVE-2023-44487) and close the connection.
type cancelQueue struct {
	pending  []*Attempt    // abandoned attempts, in order; each holds its slot until its cancellation is sent
	tokens   float64       // cancellations that may be sent immediately, as of tokensAt
	tokensAt time.Duration // time since process start
}

// refill adds the tokens that have accrued since tokensAt.
func (cancels *cancelQueue) refill(now time.Duration) {
	refilled := cancelTokensPerSecond * (now - cancels.tokensAt).Seconds()
	cancels.tokens = min(cancelBurst, cancels.tokens+refilled)
	cancels.tokensAt = now
}

// nextAllowedAt returns the time at which a token for the next cancellation will be available.
func (cancels *cancelQueue) nextAllowedAt(now time.Duration) time.Duration {
	missing := max(0, 1-cancels.tokens)
	return now + time.Duration(missing/cancelTokensPerSecond*float64(time.Second)) + cancelTimerSlack
}

// Withdraw takes back an attempt of which nothing has been written, and reports whether it succeeded. If it did, the
// pool reports nothing further about the attempt.
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

// Abandon notifies the pool that the result of an attempt is no longer needed. The replica is notified if writing of
// the attempt has begun.
//
// If the attempt was sent at least the connect timeout ago and nothing has been received on its connection since, the
// connection becomes suspect: new attempts use another one, and it is closed once its attempts are over. A connection
// to a machine that vanished stays open and silent. Opening a new one shows immediately whether the machine is back,
// and an attempt whose new connection cannot be opened is known never to have run. A replica that is merely slow costs
// one additional connection.
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
	if attempt.unconfirmed { // there is nothing to cancel
		pool.release(attempt, replied)
		return
	}
	pool.cancel(conn, attempt)
	lastHeard := conn.lastReplyAt
	if conn.traits.Pings { // any input, even a ping answer, shows that the connection is alive
		lastHeard = max(lastHeard, conn.lastByteAt)
	}
	if lastHeard < attempt.SentAt && now-attempt.SentAt >= pool.limits.ConnectTimeout {
		conn.suspect = true
	}
}

// cancel notifies the replica that an attempt was abandoned, immediately or as soon as a token is available.
func (pool *Pool) cancel(conn *connection, attempt *Attempt) {
	if !conn.traits.LimitsStreams {
		pool.host.Abandon(conn.id, attempt)
		return
	}
	conn.cancels.pending = append(conn.cancels.pending, attempt)
	pool.sendPendingCancels(conn)
}

// sendPendingCancels sends pending cancellations in order while tokens are available.
func (pool *Pool) sendPendingCancels(conn *connection) {
	conn.cancels.refill(pool.now)
	for len(conn.cancels.pending) > 0 && conn.cancels.tokens >= 1 {
		conn.cancels.tokens--
		cancelled := conn.cancels.pending[0]
		conn.cancels.pending = conn.cancels.pending[1:]
		pool.host.Abandon(conn.id, cancelled)
		pool.release(cancelled, unreplied)
	}
	pool.scheduleWakeup(conn)
}
