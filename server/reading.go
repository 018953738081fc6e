package server

import "time"

// longAgo as a read deadline has a read return at once.
var longAgo = time.Unix(1, 0)

// read reads what comes next. What comes beyond what a client may send ahead of its response is discarded, as
// only the client's end is of interest in it; the connection then ends with its response, as nothing behind it
// can be a request.
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

// mayBuffer tells whether what comes next may become a request.
func (client *ClientConn) mayBuffer() bool {
	most := maxRequestBytes
	if client.requestOpen {
		most = maxReadAhead
	}
	buffered := client.requests.Buffered()
	fits := buffered <= most
	roomForLarge := client.holdsLargeSlot || buffered < largeRequestBytes
	return client.discardedBytes == 0 && fits && roomForLarge
}

// noteFirstByte notes that a request begins to come.
func (client *ClientConn) noteFirstByte() {
	if client.requestCount > 0 {
		client.waitingSince = time.Now()
	}
	if client.finalWaitEnds.IsZero() {
		return
	}
	hasToGo := client.evicted.Load() || client.server.isShuttingDown()
	if hasToGo {
		client.finalWaitEnds = time.Now().Add(lateRequestTime)
	} else {
		client.finalWaitEnds = time.Time{}
	}
}

// discard reads and drops, with pauses between bursts.
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

// readDeadline is until when the client may be silent, or its request incomplete; zero while a request is open.
// It guards against crowds that connect and say nothing, heads without end, half requests and connections that
// are kept for good, which would use up all slots.
func (client *ClientConn) readDeadline() time.Time {
	if client.requestOpen {
		return time.Time{}
	}
	if !client.finalWaitEnds.IsZero() {
		return client.finalWaitEnds
	}
	if client.evicted.Load() {
		return longAgo
	}
	awaitsRequest := client.requestCount == 0 || client.requests.Buffered() > 0
	shutdownStart := client.server.shutdownStart.Load()
	switch {
	case shutdownStart != nil && !awaitsRequest:
		return longAgo
	case shutdownStart != nil:
		return client.shutdownReadDeadline(*shutdownStart)
	case !awaitsRequest:
		return client.waitingSince.Add(idleTimeout)
	}
	return client.waitingSince.Add(requestTimeout)
}

// reserveForLargeRequest takes a large-request slot where the request that is coming needs one. Without one the
// client is rejected; it may send its request again. It tells whether the connection goes on. The slots guard
// against many clients that send their largest requests at once, which would use up the memory.
func (client *ClientConn) reserveForLargeRequest() bool {
	isSmall := client.requests.Buffered() < largeRequestBytes
	if client.holdsLargeSlot || isSmall || client.discardedBytes > 0 {
		return true
	}
	client.holdsLargeSlot = client.server.largeSlots.tryAcquire()
	if client.holdsLargeSlot || client.requestOpen { // while a request is open, read discards what is too much
		return true
	}
	client.postRefused()
	rejection := Rejection("too many large requests")(lastResponse)
	client.writeResponse(response{bytes: rejection, last: lastResponse})
	return false
}
