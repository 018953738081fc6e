package server

import (
	"errors"
	"os"
	"time"

	"terntray/internal/wire"
)

// response is a response as it is written.
type response struct {
	bytes []byte
	last  bool // the connection ends with it
}

// Respond gives the open request its one response. It is called on the loop. Last tells build whether the
// connection ends with the response, which has to say so.
func (client *ClientConn) Respond(build func(last bool) []byte) {
	client.responses <- client.newResponse(build)
	client.wake()
}

// CloseAfterResponse has the connection end with the response to the open request. Any goroutine may call it.
func (client *ClientConn) CloseAfterResponse() { client.closeAfterResponse.Store(true) }

// newResponse makes a response. One look decides both what the response says of its connection and what becomes
// of that: with two, a connection that is evicted in between would end although its response keeps it, and the
// client's next request would be read and dropped.
func (client *ClientConn) newResponse(build func(last bool) []byte) response {
	last := client.isLastResponse()
	return response{bytes: build(last), last: last}
}

// isLastResponse tells whether a response made now is the connection's last.
func (client *ClientConn) isLastResponse() bool {
	hasToGo := client.evicted.Load() || client.server.slots.waiting.Load()
	return client.closeAfterResponse.Load() || client.server.isShuttingDown() || hasToGo
}

// respondNow makes and writes a response; it tells whether the connection goes on.
func (client *ClientConn) respondNow(build func(last bool) []byte) bool {
	return client.writeResponse(client.newResponse(build))
}

// refuse answers what is no request and ends the connection: where the next request begins is in doubt.
func (client *ClientConn) refuse(err error) (goesOn bool) {
	client.postRefused()
	refused := wire.AsProtocolError(err)
	text := wire.TextResponse(refused.Status, refused.Message, true)
	return client.writeResponse(response{bytes: text, last: true})
}

// writeResponse writes a response and tells whether the connection goes on. No request is open afterwards; none was
// before where the response refuses what never became a request (refuse, reserveForLargeRequest).
func (client *ClientConn) writeResponse(response response) bool {
	if !client.write(response.bytes) {
		client.writeFailed = true
		return false
	}
	client.requestOpen = false
	client.waitingSince = time.Now()
	client.markIdle()
	if client.holdsLargeSlot && client.requests.Buffered() < largeRequestBytes {
		client.holdsLargeSlot = false
		client.server.largeSlots.release()
	}
	last := response.last || client.discardedBytes > 0
	if last {
		client.linger()
	}
	return !last
}

func (client *ClientConn) write(bytes []byte) bool {
	client.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := client.conn.Write(bytes)
	return err == nil
}

// linger closes the connection's sending side and reads what still comes, for lingerTimeout and maxLingerBytes at
// the most. Without it unread bytes would have the kernel reset the connection, and the client would lose its
// last response.
func (client *ClientConn) linger() {
	half, ok := client.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, 4<<10)
	until := time.Now().Add(lingerTimeout)
	for read := 0; read < maxLingerBytes; {
		client.conn.SetReadDeadline(until)
		count, err := client.conn.Read(buffer)
		read += count
		// The notification of this very response may come late, and sets a read deadline in the past.
		wasWoken := errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until)
		if err != nil && !wasWoken {
			return
		}
	}
}
