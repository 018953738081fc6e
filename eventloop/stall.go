package eventloop

import "time"

const (
	stallThreshold = 30 * time.Millisecond // lateness that shows a stall; a busy core delays less
	catchUpPause   = 2 * time.Millisecond  // after a stall, for other goroutines to read and post what came meanwhile
)

// stall is a span in which the process stood still, as times since the loop's start; zero: none so far.
type stall struct {
	from, until time.Duration
}

// noteStallAndCatchUp measures how late the loop is against the time at which it was due. After a stall it sleeps for
// catchUpPause, so that readers can post what has arrived. Without that, timers would report attempts as timed out
// whose replies have arrived and are only unread.
func (loop *Loop) noteStallAndCatchUp(due time.Duration) {
	loop.lateBy = max(0, loop.Since(time.Now())-due)
	if loop.lateBy <= stallThreshold {
		return
	}
	time.Sleep(catchUpPause)
	loop.stall = stall{from: due, until: loop.Since(time.Now())}
}

// LateBy is the larger of two spans: how much later than due the present iteration began, and how long the last one
// took. Either delays whatever waits for the loop.
func (loop *Loop) LateBy() time.Duration { return loop.lateBy }

// StalledFor is for how long the process stood still before the present iteration, 0 if it did not.
func (loop *Loop) StalledFor() time.Duration {
	if loop.stall.until <= loop.completed {
		return 0
	}
	return loop.now - loop.stall.from
}

// EarliestArrival is the earliest time at which something may have arrived that was read at a time. What is read at
// the end of a stall may have waited since its beginning.
func (loop *Loop) EarliestArrival(read time.Duration) time.Duration {
	stalled := loop.stall.until > 0
	if stalled && read >= loop.stall.from && read <= loop.stall.until+catchUpPause {
		return loop.stall.from
	}
	return read
}
