package server

import (
	"time"

	"terntray/internal/netconn"
)

// pastDeadline is a read deadline in the past, which makes a read return at once.
var pastDeadline = time.Unix(1, 0)

// read reads available data. Data beyond what a client may send ahead of its response is discarded and read only to
// detect a disconnect. The connection then closes after its response, since no request can be parsed after the gap.
func (client *ClientConn) read() (count int, err error) {
	if !client.mayBuffer() {
		return client.discard()
	}
	wasEmpty := client.requests.Buffered() == 0
	count, err = client.conn.Read(client.requests.FreeSpace())
	client.requests.Filled(count)
	if wasEmpty && count > 0 {
		client.noteFirstByte()
	}
	return count, err
}

// mayBuffer reports whether the data read next is to be buffered, and not discarded.
func (client *ClientConn) mayBuffer() bool {
	limit := maxRequestBytes
	if client.requestOpen {
		limit = maxReadAhead
	}
	buffered := client.requests.Buffered()
	fits := buffered <= limit
	isReserved := reservationFor(buffered) <= client.reserved
	return client.discardedBytes == 0 && fits && isReserved
}

// noteFirstByte updates the timeouts when the first byte of a request is received.
func (client *ClientConn) noteFirstByte() {
	if client.requestCount > 0 {
		client.waitingSince = time.Now()
	}
	if client.finalWaitEnds.IsZero() {
		return
	}
	mustClose := client.evicted.Load() || client.server.isShuttingDown()
	if mustClose {
		client.finalWaitEnds = time.Now().Add(lateRequestTime)
	} else {
		client.finalWaitEnds = time.Time{}
	}
}

// discard reads data and drops it, pausing after each discardBurstBytes.
func (client *ClientConn) discard() (count int, err error) {
	client.closeAfterResponse.Store(true)
	if err := netconn.AwaitInput(client.conn); err != nil { // the buffer is not held while there is nothing to read
		return 0, err
	}
	buffer := make([]byte, discardBufferBytes)
	count, err = client.conn.Read(buffer)
	bursts := client.discardedBytes / discardBurstBytes
	client.discardedBytes += count
	if client.discardedBytes/discardBurstBytes > bursts {
		time.Sleep(discardPause)
	}
	return count, err
}

// readDeadline returns the time by which the client must send data or complete its request; zero, for no deadline,
// while a request is open. Without it, clients that connect and send nothing, send endless heads or partial requests,
// or keep idle connections open could use up all slots.
func (client *ClientConn) readDeadline() time.Time {
	if client.requestOpen {
		return time.Time{}
	}
	if !client.finalWaitEnds.IsZero() {
		return client.finalWaitEnds
	}
	if client.evicted.Load() {
		return pastDeadline
	}
	awaitsRequest := client.requestCount == 0 || client.requests.Buffered() > 0
	shutdownStart := client.server.shutdownStart.Load()
	switch {
	case shutdownStart != nil && !awaitsRequest:
		return pastDeadline
	case shutdownStart != nil:
		return client.shutdownReadDeadline(*shutdownStart)
	case !awaitsRequest:
		return client.waitingSince.Add(idleTimeout)
	}
	return client.waitingSince.Add(requestTimeout)
}

// reserveForLargeRequest reserves memory if the request being received needs it. If there is too little the request is
// rejected, and the client may retry it. It reports whether the connection stays open.
func (client *ClientConn) reserveForLargeRequest() bool {
	if client.discardedBytes > 0 || client.reserve() || client.requestOpen { // while one is open, read discards the excess
		return true
	}
	client.postRefused()
	rejection := Rejection("too many large requests")(lastResponse)
	client.writeResponse(response{bytes: rejection, last: lastResponse})
	return false
}
