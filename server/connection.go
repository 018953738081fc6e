package server

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"terntray/eventloop"
	"terntray/internal/netconn"
	"terntray/internal/wire"
)

// ClientConn is a client connection. It is served by one goroutine, which keeps reading while a request is open, to
// detect a client that disconnects, and is woken up when the response is ready. At most one request is open at a
// time; pipelined requests wait in the buffer.
//
// Unless noted otherwise, fields are accessed only by that goroutine.
type ClientConn struct {
	server   *Server
	conn     net.Conn
	requests wire.RequestReader

	requestOpen    bool      // a request was read and has not been answered
	requestCount   int       // requests read so far
	admitted       bool      // the next request was admitted before it was parsed; see rejectWhileShedding
	reserved       int       // bytes of request memory that it holds
	discardedBytes int       // received beyond maxReadAhead; if not 0, the connection closes after its response
	waitingSince   time.Time // time of accept, of the last response, or of the first byte of an incomplete request
	finalWaitEnds  time.Time // end of the last wait before the connection closes; zero if it is not about to close
	writeFailed    bool      // writing a response failed

	responses          chan response // from the event loop; at most one
	woken              atomic.Bool   // wake was called since the goroutine last checked
	closeAfterResponse atomic.Bool   // the connection closes after the next response

	disconnected atomic.Bool  // the client has disconnected: nothing more is sent to replicas on its behalf
	lastSeen     atomic.Int64 // loop time at which the client was last known to be connected
	idleSince    atomic.Int64 // loop time since which no request is open; 0 while one is
	sentRequest  atomic.Bool  // the client has sent a request; written with the connTable locked
	evicted      atomic.Bool  // selected for eviction; written with the connTable locked
}

// NewConn returns a ClientConn for an accepted connection. Call Serve to serve it.
func (server *Server) NewConn(conn net.Conn) *ClientConn {
	client := &ClientConn{server: server, conn: conn, responses: make(chan response, 1), waitingSince: time.Now()}
	client.markIdle()
	return client
}

// markIdle records that no request is open.
func (client *ClientConn) markIdle() {
	client.idleSince.Store(max(1, int64(client.server.loop.Since(client.waitingSince))))
}

// wake interrupts a blocking read of the connection's goroutine. It may be called from any goroutine.
func (client *ClientConn) wake() {
	client.woken.Store(true)
	client.conn.SetReadDeadline(pastDeadline)
}

// Serve serves the connection until it ends; the caller closes it. A panic ends only this connection and is handled
// as a disconnect of the client.
func (client *ClientConn) Serve() {
	reason := closedByPanic
	cause := eventloop.Recover(func() { reason = client.serve() })
	if cause != "" {
		client.server.log.Printf("event=client_panic cause=%q", cause)
		client.postDisconnected()
	}
	client.postClosed(reason)
}

// serve serves requests until the connection ends and returns the reason.
func (client *ClientConn) serve() CloseReason {
	for {
		if !client.writePending() {
			return client.responseCloseReason()
		}
		step, reason := client.takeRequest()
		if step == awaitInput {
			if !client.reserveForLargeRequest() {
				return client.responseCloseReason()
			}
			step, reason = client.awaitBytes()
		}
		if step == closeConn {
			return reason
		}
	}
}

// nextStep is what the connection's goroutine does next.
type nextStep int

const (
	proceed    nextStep = iota // check for a response to write and a request to process
	awaitInput                 // read: no complete request is buffered, or a request is open
	closeConn                  // end the connection with the accompanying reason
)

// writePending writes the response from the event loop, if there is one. It reports whether the connection stays open.
func (client *ClientConn) writePending() bool {
	select {
	case response := <-client.responses:
		return client.writeResponse(response)
	default:
		return true
	}
}

// awaitBytes reads until data arrives, the read deadline expires or wake is called. It returns proceed or closeConn.
func (client *ClientConn) awaitBytes() (step nextStep, reason CloseReason) {
	deadline := client.readDeadline()
	client.conn.SetReadDeadline(deadline)
	if client.woken.Swap(false) {
		return proceed, 0
	}
	count, err := client.read()
	if err == nil {
		return proceed, 0
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		client.markDisconnected()
		return closeConn, closedByClient
	}
	hasTimedOut := !client.requestOpen && count == 0 && !time.Now().Before(deadline)
	if !hasTimedOut { // interrupted by wake
		return proceed, 0
	}
	// The connection is about to close. A request may already be on its way, so wait another finalWaitTime, and repeat
	// that while unread data is available: this process may have been stalled for the entire first wait.
	if client.finalWaitEnds.IsZero() || netconn.Peek(client.conn) == netconn.Readable {
		client.finalWaitEnds = time.Now().Add(finalWaitTime)
		return proceed, 0
	}
	return closeConn, client.timeOut()
}

// timeOut ends a connection whose read deadline has expired.
func (client *ClientConn) timeOut() CloseReason {
	reason := client.timeoutReason()
	if reason == closedSlowRequest {
		client.respondError(&wire.ProtocolError{
			Status:  http.StatusRequestTimeout,
			Message: "the request did not come whole in time",
		})
	}
	return reason
}

// takeRequest processes the next request if none is open and the next one is completely buffered: it answers the
// request or passes it to the event loop.
func (client *ClientConn) takeRequest() (step nextStep, reason CloseReason) {
	if client.requestOpen {
		return awaitInput, 0
	}
	if client.requests.Buffered() > 0 {
		unread := client.peekForUnread()
		if client.disconnected.Load() {
			return closeConn, closedByClient
		}
		if unread {
			return awaitInput, 0
		}
	}
	if !client.rejectWhileShedding() {
		return closeConn, client.responseCloseReason()
	}
	request, expectsContinue, err := client.requests.Next()
	if err != nil {
		client.respondError(err)
		return closeConn, closedBadRequest
	}
	if expectsContinue {
		client.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if request == nil {
		return awaitInput, 0
	}
	if !client.dispatch(request) {
		return closeConn, client.responseCloseReason()
	}
	return proceed, 0
}

// receivedAt returns the loop time at which the request just read was received. The operating system may have received
// it long before it was read: before accept, or while this process was stalled. Its response, and the deadlines sent to
// replicas, would be late by that time. known is false if the operating system does not report it; the time is that of
// reading then.
func (client *ClientConn) receivedAt() (at time.Duration, known bool) {
	now := client.server.now()
	ago, known := netconn.SinceLastData(client.conn)
	return now - ago, known
}
