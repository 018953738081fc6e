package server

import "sync/atomic"

// requestMemory bounds the memory for requests that are larger than smallRequestBytes, from their first bytes until they are
// answered. Without it, clients that send large requests at once, or stop half way through them, could use up the process's
// memory. It may be used from any goroutine.
type requestMemory struct{ available atomic.Int64 } // bytes

// tryReserve reserves bytes if as many are available.
func (memory *requestMemory) tryReserve(bytes int) bool {
	if memory.available.Add(-int64(bytes)) >= 0 {
		return true
	}
	memory.release(bytes)
	return false
}

func (memory *requestMemory) release(bytes int) { memory.available.Add(int64(bytes)) }

// reservationFor returns the bytes to reserve for a request of which a number of bytes is buffered.
func reservationFor(buffered int) int {
	switch {
	case buffered < smallRequestBytes:
		return 0
	case buffered < largeRequestBytes:
		return mediumReservation
	}
	return largeReservation
}

// reserve reserves the memory that the buffered part of a request requires, and reports whether it succeeded.
func (client *ClientConn) reserve() bool {
	required := reservationFor(client.requests.Buffered())
	if required <= client.reserved {
		return true
	}
	if !client.server.requestMemory.tryReserve(required - client.reserved) {
		return false
	}
	client.reserved = required
	return true
}

// releaseReserved releases what was reserved for a request beyond what the rest of the buffer requires. All is released once
// the connection has ended.
func (client *ClientConn) releaseReserved(hasEnded bool) {
	required := 0
	if !hasEnded {
		required = reservationFor(client.requests.Buffered())
	}
	if excess := client.reserved - required; excess > 0 {
		client.server.requestMemory.release(excess)
		client.reserved = required
	}
}

// requestMemoryBytes returns the memory for requests that the memory limit allows.
func (config *Config) requestMemoryBytes() int64 {
	if config.MemoryMB == 0 {
		return unlimitedMemory
	}
	return max(largeReservation, int64(config.MemoryMB)<<20/requestMemoryDivisor)
}
