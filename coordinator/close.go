package coordinator

import (
	"fmt"

	"terntray/invariant"
)

// closeReason says why a client's connection was closed from this side, or ended.
type closeReason int

const (
	closedLastAnswer  closeReason = iota // its last answer was written
	closedByClient                       // the client closed it
	closedUnwritable                     // an answer could not be written, or not in time
	closedBadRequest                     // what came is no request
	closedSlowRequest                    // a request did not come whole in time
	closedIdle                           // nothing came for long
	closedEvicted                        // to make room for others
	closedShutdown                       // this process ends
	closedBroken                         // its driver panicked
	closeReasons                         // how many there are
)

var closeReasonNames = [closeReasons]string{
	"last_answer", "by_client", "unwritable", "bad_request", "slow_request", "idle", "evicted", "shutdown", "broken",
}

func (r closeReason) String() string { return closeReasonNames[r] }

// closeCounts are how many clients' connections have ended, by reason.
type closeCounts [closeReasons]int

func (n closeCounts) String() (line string) {
	for r, count := range n {
		line += fmt.Sprintf(" closed_%s=%d", closeReason(r), count)
	}
	return line
}

// silentReason is why a connection goes on which nothing came in its time.
func (k *client) silentReason() closeReason {
	switch {
	case k.requests.Buffered() > 0:
		return closedSlowRequest
	case k.evicted.Load():
		return closedEvicted
	case k.c.shuttingDown.Load():
		return closedShutdown
	}
	return closedIdle
}

// endedAfterAnswer is why a connection ends with an answer that was given.
func (k *client) endedAfterAnswer() closeReason {
	if k.unwritable {
		return closedUnwritable
	}
	return closedLastAnswer
}

// noteClosed counts why a connection has ended, and whether it was allowed to.
func (k *client) noteClosed(reason closeReason) {
	closing := invariant.ClientClose{RequestOpen: k.busy, ClientGone: k.gone.Load() || k.unwritable}
	refused, id := closing.Check(), k.conn.RemoteAddr()
	k.c.loop.Post(func() {
		k.c.counts.ClientConnsClosed[reason]++
		if refused != invariant.Allowed {
			k.c.reportViolation(refused, "close", fmt.Sprint(id, " ", reason), 0)
		}
	})
}
