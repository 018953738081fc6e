package server

import (
	"time"

	"terntray/internal/netconn"
)

// This file detects disconnected clients. Nothing may be sent to replicas for a query whose client has disconnected,
// but the notification of that may be delayed by a full event loop queue, or the FIN may be unread in the kernel while
// this process is stalled.

// maxPresenceAge is how long a client is assumed to be still connected after the last check. An attempt may start at
// most 0.1 s after its client has disconnected, and one write to a replica may take 60 ms (replicaconn's writeTimeout),
// which leaves 40 ms.
const maxPresenceAge = 40 * time.Millisecond

// HasDisconnected reports whether the client has disconnected; now is the current loop time. If the last check is
// older than maxPresenceAge it asks the kernel, as the connection's goroutine may not have noticed yet. It may be
// called from any goroutine.
func (client *ClientConn) HasDisconnected(now time.Duration) bool {
	if client.disconnected.Load() {
		return true
	}
	if now-time.Duration(client.lastSeen.Load()) < maxPresenceAge {
		return false
	}
	if netconn.HasHungUp(client.conn) {
		client.disconnected.Store(true)
		return true
	}
	client.lastSeen.Store(int64(now))
	return false
}

// peekForUnread is called before a request is processed. It checks the socket, records a disconnect, and reports
// whether there is unread data that has to be read first. Without this check, a request whose client disconnected
// while the request was unread, because this process was stalled or busy with other requests, would still be
// executed. Data is read up to the client's FIN, within maxDiscardedBytes.
func (client *ClientConn) peekForUnread() bool {
	switch netconn.Peek(client.conn) {
	case netconn.Ended:
		client.markDisconnected()
	case netconn.Readable:
		return client.discardedBytes <= maxDiscardedBytes
	}
	client.lastSeen.Store(int64(client.server.now()))
	return false
}
