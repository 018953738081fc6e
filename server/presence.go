package server

import (
	"time"

	"terntray/internal/netconn"
)

// Whether a client is still there. A query whose client has left must not send anything to replicas any more;
// what tells of the leaving may wait behind a full inbox of the loop, or lie unread in the kernel while this
// process stood still.

// seenRecently is how old the knowledge that a client is there may be when an attempt is written. An attempt may
// begin 0.1 s after its client has left at the latest, and one write may take 60 ms (replicaconn's writeTimeout);
// these 40 ms and those 60 ms stay within that.
const seenRecently = 40 * time.Millisecond

// HasDisconnected tells whether the client has left by a loop time that is about now. It asks the kernel where the last
// look was a while ago, as the connection's reader may not have been able to tell yet. Any goroutine may call it.
func (client *ClientConn) HasDisconnected(now time.Duration) bool {
	if client.left.Load() {
		return true
	}
	if now-time.Duration(client.lastSeen.Load()) < seenRecently {
		return false
	}
	if netconn.HasHungUp(client.conn) {
		client.left.Store(true)
		return true
	}
	client.lastSeen.Store(int64(now))
	return false
}

// peekForUnread asks the kernel, before a request is taken, whether more of the client lies unread, and notes a
// client that has left. Without it, requests would run whose clients left while the requests lay unread, after a
// stall of this process or behind many others. What a client sends is read up to its end, as far as machines
// buffer.
func (client *ClientConn) peekForUnread() bool {
	switch netconn.Peek(client.conn) {
	case netconn.Ended:
		client.leave()
	case netconn.Readable:
		return client.discardedBytes <= maxDiscardedBytes
	}
	client.lastSeen.Store(int64(client.server.now()))
	return false
}
