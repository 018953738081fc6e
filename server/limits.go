package server

import (
	"time"

	"terntray/internal/wire"
)

// Request sizes, in bytes.
const (
	maxReadAhead      = wire.MaxHead + wire.MaxBody // buffered from a client that sends before its response is written
	maxRequestBytes   = 2 * maxReadAhead            // one request on the wire, with the overhead of many small chunks
	smallRequestBytes = 4 << 10                     // from this size on a request needs reserved memory
	largeRequestBytes = 16 << 10                    // from this size on it needs more
	mediumReservation = 32 << 10                    // for a request between both sizes: its buffer, body and text
	largeReservation  = 256 << 10                   // for one of any size
)

// Data that a client sends beyond maxReadAhead is read and discarded, in order to detect a disconnect.
const (
	discardBufferBytes = 16 << 10
	maxDiscardedBytes  = 8 << 20   // in search of a FIN, before a request is processed anyway; two hosts buffer less
	discardBurstBytes  = 256 << 10 // discarded between two pauses, so that no client keeps the core busy
	lingerBufferBytes  = 4 << 10
	maxLingerBytes     = 256 << 10 // read after the last response of a connection
)

// Connection timeouts.
const (
	requestTimeout  = 1500 * time.Millisecond // first to last byte of a request; for the first request, from accept
	idleTimeout     = 2000 * time.Millisecond // between two requests
	writeTimeout    = 3 * time.Second         // for writing a response
	finalWaitTime   = 5 * time.Millisecond    // wait before closing, for a request that is already on its way
	lateRequestTime = 50 * time.Millisecond   // for the rest of a request that arrived in part during that wait
	discardPause    = time.Millisecond        // between two bursts of discarded data
	lingerTimeout   = 300 * time.Millisecond  // for data that arrives after the last response
)

// Limits on client connections, as fractions of the process's memory and descriptors. A divisor of N allows 1/N.
const (
	connMemoryDivisor    = 2        // of the memory, for client connections
	connBytes            = 16 << 10 // memory used by a typical client connection
	requestMemoryDivisor = 6        // of the memory, for requests that are not small
	unlimitedMemory      = 1 << 40  // bytes for them if no limit is configured
	activeSocketDivisor  = 3        // of the sockets, for clients that have sent requests
	maxActiveShare       = 0.7      // of those sockets, in use before the longest idle connection is evicted
	freeSlotDivisor      = 10       // of the slots, kept free by evicting idle clients
	defaultMaxConns      = 1 << 16  // connections if no limit is configured
	minConns             = 2        // connections allowed even if there are too few sockets
)

// Listener timeouts and intervals.
const (
	bindTimeout        = 2 * time.Second        // for retrying an address in use or a temporary resource shortage
	bindRetryInterval  = bindTimeout / 20       // between two attempts to bind
	acceptRetryWait    = 10 * time.Millisecond  // after a failed accept
	acceptLogInterval  = time.Second            // between two log lines about failed accepts
	silentGrace        = 25 * time.Millisecond  // for a new connection's first request; clients send it at once
	slotPatience       = 500 * time.Millisecond // from the arrival of a request, for a slot; then it is shed
	shedWriteTimeout   = 5 * time.Millisecond   // for the response to a connection that is shed
	slotRetryInterval  = 5 * time.Millisecond   // between two attempts to free a slot by evicting idle clients
	shutdownAcceptTime = 700 * time.Millisecond // after the start of shutdown, in which clients may still connect
	finalAcceptTime    = 50 * time.Millisecond  // then, to accept connections already queued by the kernel
)

// The platform may kill the process from shutdownAcceptTime and the longest deadline of any class after the start of
// shutdown.
const (
	maxCountedDeadline = 3 * time.Second        // longer deadlines of classes count as this
	killMargin         = 100 * time.Millisecond // before that, in which answers reach their clients
)
