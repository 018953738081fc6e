package connpool

// Which connection carries an attempt:
//
//   - A connection that is up is preferred to one that is being opened, and among those the one with most attempts, up
//     to attemptsBeforeNewConn of them; then a new one is opened while the replica has fewer than its share. Attempts
//     on one connection share its fate, so that few should be there where descriptors allow more connections.
//   - Where the protocol is not multiplexed a non-idempotent attempt goes alone, on the connection that has been idle
//     for longest: a malformed reply to another attempt, or a replica that closes after a reply, would leave it unknown
//     whether the attempt ran. While idle connections have lately proved to be broken, it goes on a new one. Each
//     replica may have a connection or two more by that.
//   - Where the protocol is multiplexed, one connection carries all that its replica takes, and another is opened only
//     beyond that, up to Limits.MaxSharedConns.

// attemptsBeforeNewConn is how many attempts a connection carries before another one is opened.
const attemptsBeforeNewConn = 4

// candidates are the connections of a replica that may carry an attempt.
type candidates struct {
	preferred *connection // the best; nil: a new connection is better, if there may be one
	fallback  *connection // the best of those that should rather not carry it
	takeNew   int         // how many take new attempts in general, full ones included
}

// choose picks a connection for an attempt, opening one if that is better; nil if there is none.
func (pool *Pool) choose(replica *replicaState, attempt *Attempt) *connection {
	found := pool.findCandidates(replica, attempt)
	switch {
	case found.preferred != nil:
		return found.preferred
	case replica.traits().Multiplexed && found.takeNew >= pool.limits.MaxSharedConns:
		if found.fallback == nil {
			return nil
		}
		pool.close(found.fallback) // it is idle and not trusted; a new one takes its place
		return pool.open(replica)
	case pool.makeRoomForNew(replica, attempt, found.fallback == nil):
		return pool.open(replica)
	}
	return found.fallback
}

func (pool *Pool) findCandidates(replica *replicaState, attempt *Attempt) candidates {
	var found candidates
	for _, conn := range replica.conns {
		if conn.takesNew() {
			found.takeNew++
		}
		if !pool.hasPlace(conn, attempt) {
			continue
		}
		if pool.shouldAvoid(conn, attempt) {
			if found.fallback == nil || lessLoaded(conn, found.fallback) {
				found.fallback = conn
			}
		} else if found.preferred == nil || fillsBetter(conn, found.preferred, attempt) {
			found.preferred = conn
		}
	}
	return found
}

// hasPlace tells whether an attempt can be put on a connection now. Where replies name subqueries, two attempts at
// one subquery must not share a connection, or a reply to one could end the other.
func (pool *Pool) hasPlace(conn *connection, attempt *Attempt) bool {
	if !conn.takesNew() || pool.idleTooLong(conn) {
		return false
	}
	if len(conn.outstanding)+conn.abandonedRunning(pool.now) >= conn.maxAttempts {
		return false
	}
	return conn.traits.RepliesNameAttempts || !conn.knows(attempt.Call.SubqueryID)
}

// shouldAvoid tells whether an attempt should rather go on another connection than one that has a place for it.
func (pool *Pool) shouldAvoid(conn *connection, attempt *Attempt) bool {
	needsFresh := pool.needsFreshConn(attempt)
	isUp := conn.state == established
	isIdle := len(conn.outstanding) == 0
	if conn.traits.Multiplexed {
		return needsFresh && isUp && isIdle && pool.now-conn.idleSince >= pool.limits.ConnectTimeout
	}
	switch {
	case conn.exclusive, len(conn.outstanding) >= attemptsBeforeNewConn:
		return true
	case attempt.NonIdempotent && !isIdle:
		return true
	}
	return needsFresh && isUp
}

// needsFreshConn tells whether an attempt should go on a new connection: it may not run twice, and connections have
// lately broken at their first use after being idle.
func (pool *Pool) needsFreshConn(attempt *Attempt) bool {
	return attempt.NonIdempotent && pool.now < pool.distrustIdleUntil
}

// lessLoaded tells whether a is better than b as a fallback: it is up, or carries less.
func lessLoaded(a, b *connection) bool {
	aUp, bUp := a.state == established, b.state == established
	if aUp != bUp {
		return aUp
	}
	return len(a.outstanding) < len(b.outstanding)
}

// fillsBetter tells whether a is better than b: it is up, or carries more; for a non-idempotent attempt, which both
// would carry alone, also if it has been idle for longer.
func fillsBetter(a, b *connection, attempt *Attempt) bool {
	aUp, bUp := a.state == established, b.state == established
	if aUp != bUp {
		return aUp
	}
	return len(a.outstanding) > len(b.outstanding) || attempt.NonIdempotent && a.idleSince < b.idleSince
}

// makeRoomForNew tells whether a connection may be opened for an attempt. Where the pool is full it closes an idle
// connection elsewhere for it. Without a fallback it may exceed the replica's share of the connections.
func (pool *Pool) makeRoomForNew(replica *replicaState, attempt *Attempt, noFallback bool) bool {
	needsFresh := pool.needsFreshConn(attempt)
	if len(pool.conns) < pool.limits.MaxConns {
		return needsFresh || noFallback || len(replica.conns) < pool.sharePerReplica()
	}
	return (needsFresh || noFallback) && pool.closeLongestIdle()
}

// sharePerReplica is how many connections a replica may have while others could need them.
func (pool *Pool) sharePerReplica() int {
	return max(2, pool.limits.MaxConns/max(1, len(pool.replicas)))
}
