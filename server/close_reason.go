package server

import (
	"fmt"
	"net"

	"terntray/invariant"
)

// CloseReason says why a client's connection has ended.
type CloseReason int

// The reasons.
const (
	closedLastResponse CloseReason = iota // its last response was written
	closedByClient                        // the client closed it
	closedWriteFailed                     // a response could not be written, or not in time
	closedBadRequest                      // what came is no request
	closedSlowRequest                     // a request did not come whole in time
	closedIdle                            // nothing came for long
	closedEvicted                         // to make room for others
	closedShutdown                        // this process shuts down
	closedByPanic                         // its driver panicked
	closeReasonCount                      // how many reasons there are
)

// closeReasonNames are the reasons as they stand in the counters.
var closeReasonNames = [closeReasonCount]string{
	"last_answer", "by_client", "unwritable", "bad_request", "slow_request", "idle", "evicted", "shutdown", "broken",
}

// String is the reason as it stands in the counters and the log.
func (reason CloseReason) String() string { return closeReasonNames[reason] }

// CloseCounts is how many client connections have ended, by reason.
type CloseCounts [closeReasonCount]int

// String is the part of the counters' line that begins with a space.
func (counts CloseCounts) String() string {
	line := ""
	for reason, count := range counts {
		line += fmt.Sprintf(" closed_%s=%d", CloseReason(reason), count)
	}
	return line
}

// ConnClosed is a connection that has ended.
type ConnClosed struct {
	Reason    CloseReason
	Address   net.Addr         // of the client; nil: not known
	Violation invariant.Reason // the rule that the close broke; Allowed: none
}

// timeoutReason is why a connection ends on which nothing came in its time.
func (client *ClientConn) timeoutReason() CloseReason {
	switch {
	case client.requests.Buffered() > 0:
		return closedSlowRequest
	case client.evicted.Load():
		return closedEvicted
	case client.server.isShuttingDown():
		return closedShutdown
	}
	return closedIdle
}

// endOfResponses is why a connection ends with a response.
func (client *ClientConn) endOfResponses() CloseReason {
	if client.writeFailed {
		return closedWriteFailed
	}
	return closedLastResponse
}
