package connpool

import "time"

// Where giving an attempt up resets a stream, cancellations are limited by a token bucket for each connection: a replica,
// or something in front of it, may take a rush of them for a rapid reset attack (CVE-2023-44487) and close the
// connection. What is not sent yet holds its place among the attempts that the replica takes.
const (
	cancelBurst       = 60.0 // tokens in a full bucket; common protections allow some hundred resets in one go
	cancelsPerSecond  = 30.0 // tokens regained with time
	cancelRegainReply = 0.5  // tokens regained by a reply: a client that gets replies is no attacker
	cancelTimerSlack  = time.Millisecond
)

// Withdraw takes back an attempt of which nothing has been written, and tells whether it could. Nothing follows then.
func (p *Pool) Withdraw(now time.Duration, attempt *Attempt) bool {
	p.now = now
	if attempt.finished {
		return false
	}
	if attempt.conn != nil && !p.host.Withdraw(attempt.conn.id, attempt) {
		return false
	}
	attempt.finished = true
	return true
}

// Abandon tells that nobody waits for an attempt any more. The replica is told if the attempt has been begun.
//
// If nothing came on its connection since it was sent, for longer than opening a connection may take, the connection is
// suspect: the next attempt opens another, and this one ends with its attempts. Connections to a machine that vanished
// stay open and silent; a new one shows at once whether the machine is back, and what it cannot carry never ran. A slow
// replica costs one more connection by that.
func (p *Pool) Abandon(now time.Duration, attempt *Attempt) {
	p.now = now
	attempt.finished = true
	conn := attempt.conn
	if conn == nil || p.host.Withdraw(conn.id, attempt) {
		p.release(attempt, false)
		return
	}
	if conn.state == closing {
		return
	}
	p.cancel(conn, attempt)
	lastHeard := conn.lastReplyAt
	if conn.traits.Pings { // anything that came shows that the connection is not silent
		lastHeard = max(lastHeard, conn.lastByteAt)
	}
	if lastHeard < attempt.SentAt && now-attempt.SentAt >= p.limits.ConnectTimeout {
		conn.suspect = true
	}
}

// cancel has the replica told that an attempt is abandoned, at once or as soon as there is a token for it.
func (p *Pool) cancel(conn *connection, attempt *Attempt) {
	if !conn.traits.LimitsStreams {
		p.host.Abandon(conn.id, attempt)
		return
	}
	conn.pendingCancels = append(conn.pendingCancels, attempt)
	p.sendPendingCancels(conn)
}

// sendPendingCancels sends cancellations in order, as far as there are tokens.
func (p *Pool) sendPendingCancels(conn *connection) {
	regained := cancelsPerSecond * (p.now - conn.cancelTokensAt).Seconds()
	conn.cancelTokens = min(cancelBurst, conn.cancelTokens+regained)
	conn.cancelTokensAt = p.now
	for len(conn.pendingCancels) > 0 && conn.cancelTokens >= 1 {
		conn.cancelTokens--
		cancelled := conn.pendingCancels[0]
		conn.pendingCancels = conn.pendingCancels[1:]
		p.host.Abandon(conn.id, cancelled)
		p.release(cancelled, false)
	}
	p.scheduleWakeup(conn)
}

// nextCancelDue is when there will be a token for the next cancellation.
func (p *Pool) nextCancelDue(conn *connection) time.Duration {
	missing := max(0, 1-conn.cancelTokens)
	return p.now + time.Duration(missing/cancelsPerSecond*float64(time.Second)) + cancelTimerSlack
}
