package server

import (
	"fmt"
	"net"

	"terntray/invariant"
)

// CloseReason is the reason why a client connection was closed.
type CloseReason int

// Close reasons.
const (
	closedLastResponse CloseReason = iota // its last response was written
	closedByClient                        // the client closed it
	closedWriteFailed                     // writing a response failed or timed out
	closedBadRequest                      // the client sent an invalid request
	closedSlowRequest                     // a request was not received completely within its timeout
	closedIdle                            // the idle timeout expired
	closedEvicted                         // evicted to make room for other connections
	closedShutdown                        // the process is shutting down
	closedByPanic                         // its goroutine panicked
	closeReasonCount                      // number of reasons
)

// closeReasonNames are the names of the reasons in the counters.
var closeReasonNames = [closeReasonCount]string{
	"last_answer", "by_client", "unwritable", "bad_request", "slow_request", "idle", "evicted", "shutdown", "broken",
}

// String returns the name of the reason in the counters and the log.
func (reason CloseReason) String() string { return closeReasonNames[reason] }

// CloseCounts holds the number of closed client connections by reason.
type CloseCounts [closeReasonCount]int

// String formats the counts as part of the counters line, with a leading space.
func (counts CloseCounts) String() string {
	line := ""
	for reason, count := range counts {
		line += fmt.Sprintf(" closed_%s=%d", CloseReason(reason), count)
	}
	return line
}

// ConnClosed describes a closed connection.
type ConnClosed struct {
	Reason    CloseReason
	Address   net.Addr         // of the client; nil if unknown
	Violation invariant.Reason // the invariant that the close violated; Allowed if none
}

// timeoutReason returns the reason for closing a connection whose read deadline has expired.
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

// responseCloseReason returns the reason for closing a connection after a response.
func (client *ClientConn) responseCloseReason() CloseReason {
	if client.writeFailed {
		return closedWriteFailed
	}
	return closedLastResponse
}
