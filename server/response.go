package server

import (
	"errors"
	"os"
	"time"

	"terntray/internal/wire"
)

// lastResponse, passed to a function that builds a response, means that the connection closes after it.
const lastResponse = true

// response is an encoded response.
type response struct {
	bytes []byte
	last  bool // the connection closes after it
}

// Respond sends the response to the open request; it is called once per request, on the event loop. The argument of
// build is true if the connection closes after the response, which the response then has to state.
func (client *ClientConn) Respond(build func(last bool) []byte) {
	client.responses <- client.newResponse(build)
	client.wake()
}

// CloseAfterResponse makes the connection close after the response to the open request. It may be called from any
// goroutine.
func (client *ClientConn) CloseAfterResponse() { client.closeAfterResponse.Store(true) }

// newResponse builds a response. isLastResponse is evaluated once, for both the response and the connection: if it
// were evaluated twice, a connection evicted in between would close after a response that promised to keep it open,
// and the client's next request would be read and dropped.
func (client *ClientConn) newResponse(build func(last bool) []byte) response {
	last := client.isLastResponse()
	return response{bytes: build(last), last: last}
}

// isLastResponse reports whether the connection has to close after a response built now.
func (client *ClientConn) isLastResponse() bool {
	mustClose := client.evicted.Load() || client.server.slots.waiting.Load()
	return client.closeAfterResponse.Load() || client.server.isShuttingDown() || mustClose
}

// respondNow builds and writes a response. It reports whether the connection stays open.
func (client *ClientConn) respondNow(build func(last bool) []byte) bool {
	return client.writeResponse(client.newResponse(build))
}

// respondError answers an invalid request with an error and closes the connection, because it is not known where the
// next request starts.
func (client *ClientConn) respondError(err error) (staysOpen bool) {
	client.postRefused()
	protocolErr := wire.AsProtocolError(err)
	text := wire.TextResponse(protocolErr.Status, protocolErr.Message, lastResponse)
	return client.writeResponse(response{bytes: text, last: lastResponse})
}

// writeResponse writes a response and reports whether the connection stays open. Once the response is written, no
// request is open. None need be open before: respondError and reserveForLargeRequest also reject requests that are
// invalid or incomplete.
func (client *ClientConn) writeResponse(response response) bool {
	if !client.write(response.bytes) {
		client.writeFailed = true
		return false
	}
	client.requestOpen = false
	client.waitingSince = time.Now()
	client.markIdle()
	client.requests.ReleaseUnused()
	client.releaseReserved(false)
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

// linger shuts down the sending side of the connection and reads remaining input, for at most lingerTimeout and
// maxLingerBytes. Otherwise unread input would make the kernel reset the connection, and the client could lose its
// last response.
func (client *ClientConn) linger() {
	half, ok := client.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	client.requests = wire.RequestReader{} // releases its buffer
	client.releaseReserved(true)
	buffer := make([]byte, lingerBufferBytes)
	until := time.Now().Add(lingerTimeout)
	for read := 0; read < maxLingerBytes; {
		client.conn.SetReadDeadline(until)
		count, err := client.conn.Read(buffer)
		read += count
		// The wake for this response may come only now; it sets a read deadline in the past.
		wasWoken := errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until)
		if err != nil && !wasWoken {
			return
		}
	}
}
