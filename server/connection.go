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

// ClientConn is one client's connection. One goroutine drives it. It reads also while a request is open, to
// notice a client that leaves; a response wakes it. At most one request is open at a time; what a client sends
// ahead waits in the buffer.
//
// Fields without a remark belong to that goroutine.
type ClientConn struct {
	server   *Server
	conn     net.Conn
	requests wire.RequestReader

	requestOpen    bool      // a request was read and has had no response
	requestCount   int       // requests so far
	admitted       bool      // the request that is coming was admitted by its head alone
	holdsLargeSlot bool      // one of the slots for large requests
	discardedBytes int       // that came beyond maxReadAhead: the connection ends with its response
	waitingSince   time.Time // of accept, the last response, or the first byte of a request that is incomplete
	finalWaitEnds  time.Time // end of the last wait before the connection closes; zero: it is not about to close
	writeFailed    bool      // a response could not be written

	responses          chan response // from the loop; one at the most
	woken              atomic.Bool   // there is more to see to than what the client sends
	closeAfterResponse atomic.Bool   // the connection ends with the next response

	left        atomic.Bool  // the client has left: nothing that it asked for is sent any more
	lastSeen    atomic.Int64 // loop time at which the client was last known to be there
	idleSince   atomic.Int64 // loop time since which no request is open; 0: one is
	sentRequest atomic.Bool  // at least one; set under the table's lock
	evicted     atomic.Bool  // it has to go for others; set under the table's lock
}

// NewConn makes a client's connection; Serve drives it.
func (server *Server) NewConn(conn net.Conn) *ClientConn {
	client := &ClientConn{server: server, conn: conn, responses: make(chan response, 1), waitingSince: time.Now()}
	client.markIdle()
	return client
}

// markIdle notes that no request is open.
func (client *ClientConn) markIdle() {
	client.idleSince.Store(max(1, int64(client.server.loop.Since(client.waitingSince))))
}

// wake has the connection's goroutine look up from its reading. Any goroutine may call it.
func (client *ClientConn) wake() {
	client.woken.Store(true)
	client.conn.SetReadDeadline(longAgo)
}

// Serve drives the connection until it ends; its caller closes it. A panic ends this connection alone: it counts
// as if its client had left.
func (client *ClientConn) Serve() {
	reason := closedByPanic
	cause := eventloop.Recover(func() { reason = client.serve() })
	if cause != "" {
		client.server.log.Printf("event=client_panic cause=%q", cause)
		client.postLeft()
	}
	client.postClosed(reason)
}

// serve returns why the connection ends.
func (client *ClientConn) serve() CloseReason {
	for {
		if !client.writePending() {
			return client.endOfResponses()
		}
		step, reason := client.takeRequest()
		if step == awaitMore {
			if !client.reserveForLargeRequest() {
				return client.endOfResponses()
			}
			step, reason = client.awaitBytes()
		}
		if step == endConn {
			return reason
		}
	}
}

// nextStep is what a connection's goroutine does next.
type nextStep int

const (
	lookAgain nextStep = iota // for a response to write and a request to take
	awaitMore                 // no request is in whole, or one is open
	endConn                   // the reason is given with it
)

// writePending writes the response that the loop has made, if any; it tells whether the connection goes on.
func (client *ClientConn) writePending() bool {
	select {
	case response := <-client.responses:
		return client.writeResponse(response)
	default:
		return true
	}
}

// awaitBytes reads what comes next, until the read deadline or until it is woken. The step is lookAgain or endConn.
func (client *ClientConn) awaitBytes() (step nextStep, reason CloseReason) {
	deadline := client.readDeadline()
	client.conn.SetReadDeadline(deadline)
	if client.woken.Swap(false) {
		return lookAgain, 0
	}
	count, err := client.read()
	if err == nil {
		return lookAgain, 0
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		client.leave()
		return endConn, closedByClient
	}
	hasTimedOut := !client.requestOpen && count == 0 && !time.Now().Before(deadline)
	if !hasTimedOut { // it was woken
		return lookAgain, 0
	}
	// The connection is about to close. A request may cross that, so the client is given finalWaitTime more; and that
	// again for as long as something lies unread, as this process may have stood still over all of the first wait.
	if client.finalWaitEnds.IsZero() || netconn.Peek(client.conn) == netconn.Readable {
		client.finalWaitEnds = time.Now().Add(finalWaitTime)
		return lookAgain, 0
	}
	return endConn, client.timeOut()
}

// timeOut ends a connection on which nothing more came in time.
func (client *ClientConn) timeOut() CloseReason {
	reason := client.timeoutReason()
	if reason == closedSlowRequest {
		client.refuse(&wire.ProtocolError{
			Status:  http.StatusRequestTimeout,
			Message: "the request did not come whole in time",
		})
	}
	return reason
}

// takeRequest takes the next request, if none is open and one is in whole, and answers it or hands it over.
func (client *ClientConn) takeRequest() (step nextStep, reason CloseReason) {
	if client.requestOpen {
		return awaitMore, 0
	}
	if client.requests.Buffered() > 0 {
		unread := client.peekForUnread()
		if client.left.Load() {
			return endConn, closedByClient
		}
		if unread {
			return awaitMore, 0
		}
	}
	if !client.rejectWhileShedding() {
		return endConn, client.endOfResponses()
	}
	request, expectsContinue, err := client.requests.Next()
	if err != nil {
		client.refuse(err)
		return endConn, closedBadRequest
	}
	if expectsContinue {
		client.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if request == nil {
		return awaitMore, 0
	}
	if !client.dispatch(request, client.receivedAt()) {
		return endConn, client.endOfResponses()
	}
	return lookAgain, 0
}

// receivedAt is when the request that was just read came. A connection's first one may have waited for accept;
// how long ago its last bytes came is then known to the kernel alone. Without that, responses and the times told
// to replicas would be late by that wait.
func (client *ClientConn) receivedAt() time.Duration {
	now := client.server.now()
	if client.requestCount > 0 {
		return now
	}
	return now - netconn.SinceLastData(client.conn)
}
