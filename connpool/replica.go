package connpool

import (
	"cmp"
	"slices"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// replicaState is what the pool knows about one replica.
type replicaState struct {
	id       scheduler.ReplicaID
	addr     string
	protocol replicaproto.Protocol // spoken at addr
	removed  bool                  // from the endpoint list
	draining bool
	conns    []*connection // connections that have not ended, in order of opening

	// waiting are the attempts without a connection, in order of sending: all connections carry as many as the
	// replica accepts at a time. Only protocols with Traits.LimitsStreams state that number.
	waiting []*Attempt
	// waitingSince is when waiting became non-empty, or when rejectIfAllConnsRefuse last checked it.
	waitingSince time.Duration
}

// acceptsNew reports whether new attempts may be sent to the replica.
func (replica *replicaState) acceptsNew() bool { return !replica.removed && !replica.draining }

func (replica *replicaState) traits() replicaproto.Traits {
	return replicaproto.TraitsOf(replica.protocol)
}

func (replica *replicaState) hasConnWithCurrentProtocol() bool {
	return slices.ContainsFunc(replica.conns, func(conn *connection) bool { return conn.protocol == replica.protocol })
}

// ReplicaListed notifies the pool of a replica's address and protocol, and of whether it is draining. A draining
// replica gets nothing new, and attempts whose writing has not begun are rejected.
//
// A new address may belong to another machine, and a new protocol to another process. Connections to the previous
// address, or with the previous protocol, are closed once their attempts are over. Attempts whose writing has not begun
// on a connection to the previous address are sent to the new one.
func (pool *Pool) ReplicaListed(now time.Duration, id scheduler.ReplicaID, addr string, protocol replicaproto.Protocol,
	draining bool) {
	pool.now = now
	listed := pool.replicas[id]
	if listed == nil {
		listed = &replicaState{id: id}
		pool.replicas[id] = listed
	}
	listed.removed, listed.draining = false, draining
	listed.addr, listed.protocol = addr, protocol
	if draining {
		pool.withdrawUnstarted(listed)
	}
	for _, conn := range slices.Clone(listed.conns) {
		if conn.addr != addr {
			pool.requeueUnstarted(conn, 0, slotLost)
		}
		if !conn.matchesReplica() && len(conn.outstanding) == 0 {
			pool.close(conn)
		}
	}
	if !draining {
		pool.assignWaiting(listed)
	}
}

// ReplicaRemoved notifies the pool that a replica was removed from the endpoint list. Its idle connections are
// closed; the others are closed when their attempts are over.
func (pool *Pool) ReplicaRemoved(now time.Duration, id scheduler.ReplicaID) {
	pool.now = now
	removed := pool.replicas[id]
	if removed == nil {
		pool.host.ReplicaForgotten(id)
		return
	}
	removed.removed = true
	pool.withdrawUnstarted(removed)
	for _, conn := range slices.Clone(removed.conns) {
		if len(conn.outstanding) == 0 {
			pool.close(conn)
		}
	}
	pool.forgetRemoved(removed)
}

// ReplicaRestarted notifies the pool of when a replica's process started; older connections are closed. A machine
// that vanished and came back does not close its old connections: they stay silent until something is written, and
// then break, losing the attempt. The margin of ConnectTimeout allows for inexact start times.
func (pool *Pool) ReplicaRestarted(now time.Duration, id scheduler.ReplicaID, startedAt time.Duration) {
	pool.now = now
	restarted := pool.replicas[id]
	if restarted == nil {
		return
	}
	for _, conn := range slices.Clone(restarted.conns) {
		if conn.state == established && conn.establishedAt < startedAt-pool.limits.ConnectTimeout {
			pool.close(conn)
		}
	}
}

// forgetRemoved deletes a removed replica once it has no connections left.
func (pool *Pool) forgetRemoved(replica *replicaState) {
	if replica.removed && len(replica.conns) == 0 && pool.replicas[replica.id] == replica {
		delete(pool.replicas, replica.id)
		pool.host.ReplicaForgotten(replica.id)
	}
}

// withdrawUnstarted rejects the attempts whose writing has not begun, as their replica is draining or was removed.
// They never ran.
func (pool *Pool) withdrawUnstarted(replica *replicaState) {
	pool.rejectWaiting(replica)
	for _, conn := range replica.conns {
		for _, attempt := range slices.Clone(conn.outstanding) {
			if !attempt.finished && pool.host.Withdraw(conn.id, attempt) {
				pool.release(attempt, unreplied)
				pool.finish(attempt, scheduler.Overloaded, pool.now)
			}
		}
	}
}

// rejectWaiting rejects the attempts that wait for a slot: they were never sent.
func (pool *Pool) rejectWaiting(replica *replicaState) {
	waiting := replica.waiting
	replica.waiting = nil
	pool.finishAll(waiting, scheduler.Overloaded, pool.now)
}

// enqueue lets a new attempt wait for a slot.
func (pool *Pool) enqueue(attempt *Attempt, replica *replicaState) {
	if len(replica.waiting) == 0 {
		replica.waitingSince = pool.now
		if len(replica.conns) > 0 {
			pool.record(replica.conns[0], StreamLimit, nil)
		}
	}
	replica.waiting = append(replica.waiting, attempt)
	for _, conn := range replica.conns {
		pool.scheduleWakeup(conn)
	}
}

// requeue puts attempts that were on a connection back into the queue, which stays in order of sending.
func (pool *Pool) requeue(replica *replicaState, attempts []*Attempt) {
	if len(replica.waiting) == 0 {
		replica.waitingSince = pool.now
	}
	replica.waiting = append(replica.waiting, attempts...)
	slices.SortFunc(replica.waiting, func(a, b *Attempt) int { return cmp.Compare(a.ID, b.ID) })
}

// assignWaiting assigns waiting attempts to connections in order of sending, while there are free slots.
func (pool *Pool) assignWaiting(replica *replicaState) {
	for len(replica.waiting) > 0 {
		first := replica.waiting[0]
		conn := pool.choose(replica, first)
		if conn == nil {
			return
		}
		replica.waiting = replica.waiting[1:]
		pool.assign(first, conn)
	}
}

// allConnsRefuse reports whether all of the replica's connections have been established and none of them accepts
// attempts any more: each has a stream limit of 0, is going away or is closing.
func (replica *replicaState) allConnsRefuse() bool {
	return !slices.ContainsFunc(replica.conns, func(conn *connection) bool {
		acceptsSome := conn.maxAttempts > 0 && conn.state != closing && !conn.goingAway
		return !conn.wasEstablished || acceptsSome
	})
}
