package replicaconn

import (
	"errors"
	"time"

	"terntray/connpool"
	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// poolHost carries out the decisions of the pool. Its methods are called on the event loop.
type poolHost struct{ driver *Driver }

var _ connpool.Host = poolHost{}

// Open opens a connection.
func (host poolHost) Open(id connpool.ConnID, to scheduler.ReplicaID, addr string, protocol replicaproto.Protocol) {
	opened := newConn(host.driver, id, host.driver.endpoints[to], addr, protocol)
	host.driver.conns[id] = opened
	host.driver.running.Go(opened.run)
}

// Close closes a connection.
func (host poolHost) Close(id connpool.ConnID) { host.driver.conns[id].close() }

// Write queues an attempt's call.
func (host poolHost) Write(id connpool.ConnID, attempt *connpool.Attempt) {
	host.withSession(id, func(session replicaproto.Session) { session.Queue(attempt.Call) })
	host.scheduleFlush(id)
}

// Withdraw removes a call from the queue, unless its writing has begun.
func (host poolHost) Withdraw(id connpool.ConnID, attempt *connpool.Attempt) (withdrawn bool) {
	host.withSession(id, func(session replicaproto.Session) { withdrawn = session.Withdraw(attempt.Call) })
	return withdrawn
}

// Abandon notifies the replica that the result of a call is no longer needed.
func (host poolHost) Abandon(id connpool.ConnID, attempt *connpool.Attempt) {
	host.withSession(id, func(session replicaproto.Session) { session.Abandon(attempt.Call) })
	host.scheduleFlush(id)
}

// Stage returns how far the writing of a call has progressed. It no longer changes once the connection has ended.
func (host poolHost) Stage(id connpool.ConnID, attempt *connpool.Attempt) replicaproto.Stage {
	conn := host.driver.conns[id]
	if conn == nil {
		return attempt.Call.Stage
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return attempt.Call.Stage
}

// PeerOpen reports whether the replica has not closed a connection.
func (host poolHost) PeerOpen(id connpool.ConnID) bool { return host.driver.conns[id].peerOpen() }

// Ping sends a ping to the replica.
func (host poolHost) Ping(id connpool.ConnID) {
	host.withSession(id, func(session replicaproto.Session) { session.Ping() })
	host.scheduleFlush(id)
}

// ScheduleWakeup calls the pool's Wakeup after a delay.
func (host poolHost) ScheduleWakeup(id connpool.ConnID, after time.Duration) {
	driver := host.driver
	driver.loop.After(after, "", func() { driver.pool.Wakeup(driver.loop.Now(), id) })
}

// AttemptEnded reports how an attempt ended.
func (host poolHost) AttemptEnded(attempt connpool.AttemptID, outcome scheduler.Outcome, took time.Duration) {
	host.driver.handler.AttemptEnded(attempt, outcome, took)
}

// ReplicaForgotten deletes the endpoint of a removed replica.
func (host poolHost) ReplicaForgotten(id scheduler.ReplicaID) { delete(host.driver.endpoints, id) }

// Record reports an event of a connection.
func (host poolHost) Record(event connpool.Event) {
	host.driver.handler.ConnEvent(ConnEvent{
		Event:      event,
		ReplicaUID: host.driver.UID(event.Replica),
		Addr:       host.driver.conns[event.Conn].addr,
		TLSFailed:  errors.As(event.Cause, new(*tlsError)),
	})
}

// withSession calls a function with a connection's session, unless the connection has ended.
func (host poolHost) withSession(id connpool.ConnID, do func(replicaproto.Session)) {
	conn := host.driver.conns[id]
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	do(conn.session)
}

// scheduleFlush schedules a wakeup of the connection's writer for the end of this iteration of the event loop.
func (host poolHost) scheduleFlush(id connpool.ConnID) {
	host.driver.unflushed = append(host.driver.unflushed, host.driver.conns[id])
}
