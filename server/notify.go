package server

import "terntray/invariant"

// This file contains the notifications that a connection's goroutine posts to the Handler on the event loop.

// markDisconnected records that the client has disconnected and, if a request is open, notifies the Handler.
func (client *ClientConn) markDisconnected() {
	client.disconnected.Store(true)
	if client.requestOpen {
		client.postDisconnected()
	}
}

func (client *ClientConn) postDisconnected() {
	server := client.server
	server.loop.Post(func() { server.handler.ClientDisconnected(client) })
}

// postRefused reports a refused request to the Handler; see Handler.RequestRefused.
func (client *ClientConn) postRefused() {
	server := client.server
	server.loop.Post(server.handler.RequestRefused)
}

// postClosed reports to the Handler that the connection has ended, and whether closing it violated an invariant.
func (client *ClientConn) postClosed(reason CloseReason) {
	server := client.server
	clientGone := client.disconnected.Load() || client.writeFailed
	violation := invariant.ClientClose{RequestOpen: client.requestOpen, ClientGone: clientGone}.Check()
	closed := ConnClosed{Reason: reason, Address: client.conn.RemoteAddr(), Violation: violation}
	server.loop.Post(func() { server.handler.ConnClosed(closed) })
}
