package eventloop

import "time"

const (
	stallThreshold = 30 * time.Millisecond // an iteration that is later than this shows a stall; a busy core delays less
	catchUpPause   = 2 * time.Millisecond  // after a stall, for other goroutines to read and post what came meanwhile
)

// stall is a span in which the process stood still, as times since the loop's start; zero: none so far.
type stall struct {
	from, until time.Duration
}

// noteStall measures how late the loop is against the time at which it was due. After a stall it pauses, so that
// readers can post what has arrived. Without that, timers would report attempts as timed out whose replies have
// arrived and are only unread.
func (l *Loop) noteStall(due time.Duration) {
	l.lateBy = max(0, l.Since(time.Now())-due)
	if l.lateBy <= stallThreshold {
		return
	}
	time.Sleep(catchUpPause)
	l.stall = stall{from: due, until: l.Since(time.Now())}
}

// LateBy is how much later than due the present iteration began.
func (l *Loop) LateBy() time.Duration { return l.lateBy }

// StalledFor is for how long the process stood still before the present iteration, 0 if it did not.
func (l *Loop) StalledFor() time.Duration {
	if l.stall.until <= l.completed {
		return 0
	}
	return l.now - l.stall.from
}

// EarliestArrival is the earliest time at which something may have arrived that was read at a time. What is read at
// the end of a stall may have waited since its beginning.
func (l *Loop) EarliestArrival(read time.Duration) time.Duration {
	stalled := l.stall.until > 0
	if stalled && read >= l.stall.from && read <= l.stall.until+catchUpPause {
		return l.stall.from
	}
	return read
}
