package server

import "time"

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
	roomForLarge := client.holdsLargeSlot || buffered < largeRequestBytes
	return client.discardedBytes == 0 && fits && roomForLarge
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

// reserveForLargeRequest acquires a large-request slot if the request being received needs one. If none is free the
// request is rejected, and the client may retry it. It reports whether the connection stays open. The slots bound the
// memory used by many clients that send requests of the maximum size at once.
func (client *ClientConn) reserveForLargeRequest() bool {
	isSmall := client.requests.Buffered() < largeRequestBytes
	if client.holdsLargeSlot || isSmall || client.discardedBytes > 0 {
		return true
	}
	client.holdsLargeSlot = client.server.largeSlots.tryAcquire()
	if client.holdsLargeSlot || client.requestOpen { // while a request is open, read discards the excess
		return true
	}
	client.postRefused()
	rejection := Rejection("too many large requests")(lastResponse)
	client.writeResponse(response{bytes: rejection, last: lastResponse})
	return false
}
