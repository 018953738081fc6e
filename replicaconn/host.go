package replicaconn

import (
	"errors"
	"time"

	"terntray/connpool"
	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// poolHost carries out what the pool decides. Its methods are called on the event loop.
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
	host.onSession(id, func(session replicaproto.Session) { session.Queue(attempt.Call) })
	host.flushLater(id)
}

// Withdraw takes a call out of the queue, unless it is begun.
func (host poolHost) Withdraw(id connpool.ConnID, attempt *connpool.Attempt) (taken bool) {
	host.onSession(id, func(session replicaproto.Session) { taken = session.Withdraw(attempt.Call) })
	return taken
}

// Abandon has the replica told that nobody waits for a call.
func (host poolHost) Abandon(id connpool.ConnID, attempt *connpool.Attempt) {
	host.onSession(id, func(session replicaproto.Session) { session.Abandon(attempt.Call) })
	host.flushLater(id)
}

// Stage is how far a call has come. Once its connection has been given back, it stays as it is.
func (host poolHost) Stage(id connpool.ConnID, attempt *connpool.Attempt) replicaproto.Stage {
	conn := host.driver.conns[id]
	if conn == nil {
		return attempt.Call.Stage
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return attempt.Call.Stage
}

// PeerOpen tells whether the replica has not closed a connection.
func (host poolHost) PeerOpen(id connpool.ConnID) bool { return host.driver.conns[id].peerOpen() }

// Ping asks the replica for a sign of life.
func (host poolHost) Ping(id connpool.ConnID) {
	host.onSession(id, func(session replicaproto.Session) { session.Ping() })
	host.flushLater(id)
}

// ScheduleWakeup has the pool notified when a time has passed.
func (host poolHost) ScheduleWakeup(id connpool.ConnID, after time.Duration) {
	driver := host.driver
	driver.loop.After(after, "", func() { driver.pool.Wakeup(driver.loop.Now(), id) })
}

// AttemptEnded reports how an attempt ended.
func (host poolHost) AttemptEnded(attempt connpool.AttemptID, outcome scheduler.Outcome, took time.Duration) {
	host.driver.handler.AttemptEnded(attempt, outcome, took)
}

// ReplicaForgotten lets go of a removed replica.
func (host poolHost) ReplicaForgotten(id scheduler.ReplicaID) { delete(host.driver.endpoints, id) }

// Record reports what happened to a connection.
func (host poolHost) Record(event connpool.Event) {
	host.driver.handler.ConnEvent(ConnEvent{
		Event:      event,
		ReplicaUID: host.driver.UID(event.Replica),
		Addr:       host.driver.conns[event.Conn].addr,
		TLSFailed:  errors.As(event.Cause, new(*tlsError)),
	})
}

// onSession has something done to a connection's session, unless the connection has been given back.
func (host poolHost) onSession(id connpool.ConnID, do func(replicaproto.Session)) {
	conn := host.driver.conns[id]
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	do(conn.session)
}

// flushLater has a connection's writer woken up at the end of this iteration of the loop.
func (host poolHost) flushLater(id connpool.ConnID) {
	host.driver.unflushed = append(host.driver.unflushed, host.driver.conns[id])
}
