package connpool

// How the connection for an attempt is selected:
//
//   - Established connections are preferred to those being opened, and among them the one with the most attempts, up to
//     attemptsBeforeNewConn; beyond that a new connection is opened while the replica has fewer than its share. All
//     attempts on a connection are affected when it fails, so few should share one while the limits allow more
//     connections.
//   - Where the protocol is not multiplexed a non-idempotent attempt has a connection to itself, the one that has been
//     idle for longest: a malformed reply to another attempt, or a replica that closes the connection after a reply,
//     would leave it unknown whether the attempt ran. If connections have recently broken on their first use after
//     being idle, a new one is opened for it. A replica may exceed its share by a connection or two because of this.
//   - A connection on which only a reply is withheld counts as idle: its replica is done with the attempt, and the next
//     reply confirms the withheld one. Where malformed input was received lately it does not, as that would spoil both.
//   - Where the protocol is multiplexed, one connection carries as many attempts as its replica accepts, and another is
//     opened only beyond that, up to Limits.MaxSharedConns.

// attemptsBeforeNewConn is how many attempts a connection carries before another one is opened.
const attemptsBeforeNewConn = 4

// candidates are a replica's connections that may carry an attempt.
type candidates struct {
	preferred *connection // the best connection; nil: opening a new one is better, if that is possible
	fallback  *connection // the best of those that are better avoided
	accepting int         // number of connections that accept new attempts, including full ones
}

// choose returns the connection for an attempt, opening one if that is better; nil if there is none.
func (pool *Pool) choose(replica *replicaState, attempt *Attempt) *connection {
	found := pool.findCandidates(replica, attempt)
	switch {
	case found.preferred != nil:
		return found.preferred
	case replica.traits().Multiplexed && found.accepting >= pool.limits.MaxSharedConns:
		if found.fallback == nil {
			return nil
		}
		pool.close(found.fallback) // it is idle and not trusted; a new connection replaces it
		return pool.open(replica)
	case pool.makeRoomForNew(replica, attempt, found.fallback == nil):
		return pool.open(replica)
	}
	return found.fallback
}

func (pool *Pool) findCandidates(replica *replicaState, attempt *Attempt) candidates {
	var found candidates
	for _, conn := range replica.conns {
		if conn.acceptsNew() {
			found.accepting++
		}
		if !pool.hasSlot(conn, attempt) {
			continue
		}
		if pool.shouldAvoid(conn, attempt) {
			if found.fallback == nil || isBetterFallback(conn, found.fallback) {
				found.fallback = conn
			}
		} else if found.preferred == nil || isBetterFit(conn, found.preferred, attempt) {
			found.preferred = conn
		}
	}
	return found
}

// hasSlot reports whether an attempt can be assigned to a connection now. Where replies name subqueries, two attempts
// at one subquery must not share a connection, or a reply to one could end the other.
func (pool *Pool) hasSlot(conn *connection, attempt *Attempt) bool {
	if !conn.acceptsNew() || pool.idleTooLong(conn) {
		return false
	}
	if conn.unanswered()+conn.abandonedRunning(pool.now) >= conn.maxAttempts {
		return false
	}
	return conn.traits.RepliesNameAttempts || !conn.hasSeen(attempt.Call.SubqueryID)
}

// shouldAvoid reports whether an attempt should rather be sent on another connection, although this one has a slot.
func (pool *Pool) shouldAvoid(conn *connection, attempt *Attempt) bool {
	needsFresh := pool.needsFreshConn(attempt)
	isUp := conn.state == established
	if conn.traits.Multiplexed {
		isIdle := len(conn.outstanding) == 0
		return needsFresh && isUp && isIdle && pool.now-conn.idleSince >= pool.limits.ConnectTimeout
	}
	sharing := pool.sharing(conn)
	switch {
	case sharing > 0 && conn.exclusive, sharing >= attemptsBeforeNewConn:
		return true
	case attempt.NonIdempotent && sharing > 0:
		return true
	}
	return needsFresh && isUp
}

// sharing returns the number of attempts with which another one would share the risk of a failure of the connection.
func (pool *Pool) sharing(conn *connection) int {
	if pool.now < pool.distrustInputUntil {
		return len(conn.outstanding)
	}
	return conn.unanswered()
}

// needsFreshConn reports whether an attempt should be sent on a new connection: it is non-idempotent, and connections
// have recently broken on their first use after being idle.
func (pool *Pool) needsFreshConn(attempt *Attempt) bool {
	return attempt.NonIdempotent && pool.now < pool.avoidIdleUntil
}

// isBetterFallback reports whether a is a better fallback than b: it is established and b is not, or it carries fewer
// attempts.
func isBetterFallback(a, b *connection) bool {
	aUp, bUp := a.state == established, b.state == established
	if aUp != bUp {
		return aUp
	}
	return len(a.outstanding) < len(b.outstanding)
}

// isBetterFit reports whether a is preferable to b: it is established and b is not, or it carries more attempts. For
// a non-idempotent attempt, which either would carry alone, the connection that has been idle for longer is
// preferable.
func isBetterFit(a, b *connection, attempt *Attempt) bool {
	aUp, bUp := a.state == established, b.state == established
	if aUp != bUp {
		return aUp
	}
	return len(a.outstanding) > len(b.outstanding) || attempt.NonIdempotent && a.idleSince < b.idleSince
}

// makeRoomForNew reports whether a connection may be opened for an attempt. If the pool is full, it closes an idle
// connection of any replica to make room. The replica's share may be exceeded if there is no fallback or the attempt
// needs a fresh connection.
func (pool *Pool) makeRoomForNew(replica *replicaState, attempt *Attempt, noFallback bool) bool {
	needsFresh := pool.needsFreshConn(attempt)
	if len(pool.conns) < pool.limits.MaxConns {
		return needsFresh || noFallback || len(replica.conns) < pool.sharePerReplica()
	}
	return (needsFresh || noFallback) && pool.closeLongestIdle()
}

// sharePerReplica returns each replica's share of Limits.MaxConns.
func (pool *Pool) sharePerReplica() int {
	return max(2, pool.limits.MaxConns/max(1, len(pool.replicas)))
}
