package server

import (
	"time"

	"terntray/internal/wire"
)

// Sizes of requests.
const (
	maxReadAhead      = wire.MaxHead + wire.MaxBody // bytes that a client may send ahead of its response
	maxRequestBytes   = 2 * maxReadAhead            // bytes of one request on the wire, if in many small chunks
	largeRequestBytes = 16 << 10                    // bytes from which on a request needs a large-request slot
)

// What a client sends beyond maxReadAhead is read and discarded, to notice its end.
const (
	discardBufferBytes = 16 << 10
	maxDiscardedBytes  = 8 << 20   // bytes looked through for the client's end: more than two machines buffer
	discardBurstBytes  = 256 << 10 // bytes between two pauses, so that no client keeps the core busy
	maxLingerBytes     = 256 << 10 // bytes read after a connection's last response
)

// Times of a connection.
const (
	requestTimeout  = 1500 * time.Millisecond // from a request's first byte to its last; for the first one, from accept
	idleTimeout     = 2000 * time.Millisecond // between two requests
	writeTimeout    = 3 * time.Second         // for a response that the client does not read
	finalWaitTime   = 5 * time.Millisecond    // for a request that crosses the close of its connection
	lateRequestTime = 50 * time.Millisecond   // for the rest of a request of which only a piece has crossed the close
	discardPause    = time.Millisecond        // between two bursts of discarded bytes
	lingerTimeout   = 300 * time.Millisecond  // for what a client still sends after its last response
)

// Shares of the machine's limits that client connections may use.
const (
	connMemoryDivisor   = 2        // one part in so many of the memory may be client connections
	connBytes           = 16 << 10 // bytes that the connection of a usual client takes
	largeMemoryDivisor  = 8        // one part in so many of the memory may be large requests
	activeSocketDivisor = 3        // one part in so many of the sockets may be clients that send requests
	activeKeptShare     = 0.7      // of those, so many may be open before the one idle for longest has to go
	freeSlotDivisor     = 10       // one part in so many of the slots is kept free, as long as clients are idle
	defaultMaxConns     = 1 << 16  // connections, where the machine sets no limit
	silentIdleWeight    = 20       // times as long as others a connection counts as idle that has sent no request
	leastConnsBySocket  = 2        // connections, however few sockets the machine allows
)

// Times of the listener.
const (
	bindTimeout        = 2 * time.Second        // for an address that is in use, or a shortage of this machine
	bindRetryInterval  = bindTimeout / 20       // between two tries
	acceptRetryWait    = 10 * time.Millisecond  // after an accept that failed
	acceptLogInterval  = time.Second            // between two log lines about accepts that failed
	slotRetryInterval  = 5 * time.Millisecond   // between two tries to free a slot by evicting idle clients
	shutdownAcceptTime = 700 * time.Millisecond // after the start of the shutdown: clients may still connect
	finalAcceptTime    = 50 * time.Millisecond  // to accept what the kernel has queued when that is over
)
