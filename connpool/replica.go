package connpool

import (
	"cmp"
	"slices"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// replicaState is what the pool knows of one replica.
type replicaState struct {
	id       scheduler.ReplicaID
	addr     string
	protocol replicaproto.Protocol // that it speaks there
	removed  bool                  // from the endpoint list
	draining bool
	conns    []*connection // that have not ended, in order of opening

	// waiting are attempts without a connection, in order of sending: all connections carry as many as the replica
	// takes at a time. Only protocols with Traits.LimitsStreams state that number.
	waiting []*Attempt
	// waitingSince is when waiting began to fill, or when it was last looked at since.
	waitingSince time.Duration
}

// takesNew tells whether new attempts may go to the replica.
func (replica *replicaState) takesNew() bool { return !replica.removed && !replica.draining }

func (replica *replicaState) traits() replicaproto.Traits {
	return replicaproto.TraitsOf(replica.protocol)
}

func (replica *replicaState) hasConnOfItsProtocol() bool {
	return slices.ContainsFunc(replica.conns, func(conn *connection) bool { return conn.protocol == replica.protocol })
}

// ReplicaListed tells a replica's address and protocol, and whether it drains: then nothing new goes to it, and what
// has not been begun is taken back. At another address there may be another machine, and another protocol is another
// process: what was not begun for the old one goes to the new.
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
		pool.takeBackUnbegun(listed)
	}
	for _, conn := range slices.Clone(listed.conns) {
		if conn.addr != addr {
			pool.requeueUnbegun(conn, 0, placeLost)
		}
		if !conn.atReplicasAddress() && len(conn.outstanding) == 0 {
			pool.close(conn)
		}
	}
	if !draining {
		pool.fill(listed)
	}
}

// ReplicaRemoved tells that a replica is gone from the endpoint list. Its idle connections are closed; the others end
// with their attempts.
func (pool *Pool) ReplicaRemoved(now time.Duration, id scheduler.ReplicaID) {
	pool.now = now
	removed := pool.replicas[id]
	if removed == nil {
		pool.host.ReplicaForgotten(id)
		return
	}
	removed.removed = true
	pool.takeBackUnbegun(removed)
	for _, conn := range slices.Clone(removed.conns) {
		if len(conn.outstanding) == 0 {
			pool.close(conn)
		}
	}
	pool.forgetRemoved(removed)
}

// ReplicaRestarted tells when a replica's process started; connections that are older are closed. A machine that
// vanished and came back does not close its old connections: they stay silent until something is written, and then
// break. An attempt sent on one would be lost. The margin of ConnectTimeout allows for inexact start times.
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

// forgetRemoved lets go of a removed replica once it has no connection left.
func (pool *Pool) forgetRemoved(replica *replicaState) {
	if replica.removed && len(replica.conns) == 0 && pool.replicas[replica.id] == replica {
		delete(pool.replicas, replica.id)
		pool.host.ReplicaForgotten(replica.id)
	}
}

// takeBackUnbegun ends what has not been begun for a replica that takes nothing new: it never ran.
func (pool *Pool) takeBackUnbegun(replica *replicaState) {
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

// rejectWaiting ends what waits for a place: it never left.
func (pool *Pool) rejectWaiting(replica *replicaState) {
	waiting := replica.waiting
	replica.waiting = nil
	pool.finishAll(waiting, scheduler.Overloaded, pool.now)
}

// enqueue has a new attempt wait for a place.
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

// requeue has attempts that were on a connection wait for a place again, each at its place in the order of sending.
func (pool *Pool) requeue(replica *replicaState, attempts []*Attempt) {
	if len(replica.waiting) == 0 {
		replica.waitingSince = pool.now
	}
	replica.waiting = append(replica.waiting, attempts...)
	slices.SortFunc(replica.waiting, func(a, b *Attempt) int { return cmp.Compare(a.ID, b.ID) })
}

// fill puts waiting attempts on connections, as far as there are places, in order of sending.
func (pool *Pool) fill(replica *replicaState) {
	for len(replica.waiting) > 0 {
		first := replica.waiting[0]
		conn := pool.choose(replica, first)
		if conn == nil {
			return
		}
		replica.waiting = replica.waiting[1:]
		pool.put(first, conn)
	}
}

// takesNothing tells whether every connection to a replica has come up and none takes any attempt: then those that
// wait do so in vain.
func (replica *replicaState) takesNothing() bool {
	return !slices.ContainsFunc(replica.conns, func(conn *connection) bool {
		takesSome := conn.maxAttempts > 0 && conn.state != closing && !conn.goingAway
		return !conn.wasEstablished || takesSome
	})
}
