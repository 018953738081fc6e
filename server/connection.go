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
	finalPeekEnds  time.Time // end of the last wait before the connection closes; zero: it is not about to
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
		next := client.takeRequest()
		if next.ended {
			return next.reason
		}
		if next.handled {
			continue
		}
		if !client.reserveForLargeRequest() {
			return client.endOfResponses()
		}
		reason, ended := client.awaitBytes()
		if ended {
			return reason
		}
	}
}

// writePending writes the response that the loop has made, if any; it tells whether the connection goes on.
func (client *ClientConn) writePending() bool {
	select {
	case response := <-client.responses:
		return client.finishRequest(response)
	default:
		return true
	}
}

// awaitBytes reads what comes next, until the read deadline or until it is woken.
func (client *ClientConn) awaitBytes() (reason CloseReason, ended bool) {
	deadline := client.readDeadline()
	client.conn.SetReadDeadline(deadline)
	if client.woken.Swap(false) {
		return 0, false
	}
	count, err := client.read()
	if err == nil {
		return 0, false
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		client.leave()
		return closedByClient, true
	}
	wasWoken := client.requestOpen || count > 0 || time.Now().Before(deadline)
	if wasWoken {
		return 0, false
	}
	// One more wait for a request that crosses the close, also where this process stood still over all of the
	// first one.
	if client.finalPeekEnds.IsZero() || netconn.Peek(client.conn) == netconn.Readable {
		client.finalPeekEnds = time.Now().Add(finalPeekTime)
		return 0, false
	}
	return client.timeOut(), true
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

// nextRequest is what became of the look for a next request.
type nextRequest struct {
	handled bool // one was read and answered, or handed over
	ended   bool // the connection ends
	reason  CloseReason
}

// takeRequest takes the next request, if none is open and one is in whole.
func (client *ClientConn) takeRequest() nextRequest {
	if client.requestOpen {
		return nextRequest{}
	}
	if client.requests.Buffered() > 0 {
		unread := client.hasUnread()
		if client.left.Load() {
			return nextRequest{ended: true, reason: closedByClient}
		}
		if unread {
			return nextRequest{}
		}
	}
	if !client.rejectWhileShedding() {
		return nextRequest{ended: true, reason: client.endOfResponses()}
	}
	request, expectsContinue, err := client.requests.Next()
	if err != nil {
		client.refuse(err)
		return nextRequest{ended: true, reason: closedBadRequest}
	}
	if expectsContinue {
		client.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if request == nil {
		return nextRequest{}
	}
	goesOn := client.dispatch(request, client.receivedAt())
	return nextRequest{handled: true, ended: !goesOn, reason: client.endOfResponses()}
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
