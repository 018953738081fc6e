package server

import "terntray/invariant"

// What a connection's goroutine tells the handler, through the loop.

// leave notes that the client has left, and has the loop end what it has open.
func (client *ClientConn) leave() {
	client.left.Store(true)
	if client.requestOpen {
		client.postLeft()
	}
}

func (client *ClientConn) postLeft() {
	server := client.server
	server.loop.Post(func() { server.handler.ClientDisconnected(client) })
}

// postRefused has a request counted that was answered with an error of the client.
func (client *ClientConn) postRefused() {
	server := client.server
	server.loop.Post(server.handler.RequestRefused)
}

// postClosed has the end of the connection counted, and whether the protocol allowed it.
func (client *ClientConn) postClosed(reason CloseReason) {
	server := client.server
	clientGone := client.left.Load() || client.writeFailed
	violation := invariant.ClientClose{RequestOpen: client.requestOpen, ClientGone: clientGone}.Check()
	closed := ConnClosed{Reason: reason, Address: client.conn.RemoteAddr(), Violation: violation}
	server.loop.Post(func() { server.handler.ConnClosed(closed) })
}
