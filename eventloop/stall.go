package eventloop

import "time"

const (
	stallThreshold = 30 * time.Millisecond  // lateness above it is a stall; a busy core causes less
	catchUpPause   = 2 * time.Millisecond   // after a stall, lets other goroutines read and post what has arrived
	maxCatchUp     = 100 * time.Millisecond // after a stall, to wait for urgent input
	catchUpRecheck = 200 * time.Microsecond // between two looks whether it was posted

	// behindThreshold is the age of the last iteration above which the loop is behind: it is due to run after maxIdle,
	// and less than stallThreshold later.
	behindThreshold = maxIdle + stallThreshold
)

// stall is a period in which the loop could not start an iteration, because the process did not run or because one
// iteration took that long. Its times are since the loop's start. The zero value means that there was none so far.
type stall struct {
	from, until time.Duration
}

// detectStallAndCatchUp measures how much later than due the loop runs. After a stall it sleeps for catchUpPause, so
// that other goroutines can read and post what has arrived. Without the pause, attempts would time out although
// their replies have arrived and are merely unread.
func (loop *Loop) detectStallAndCatchUp(due time.Duration) {
	loop.lateBy = max(0, loop.Since(time.Now())-due)
	if loop.lateBy <= stallThreshold {
		return
	}
	time.Sleep(catchUpPause)
	loop.waitForUrgent()
	loop.stall = stall{from: due, until: loop.Since(time.Now())}
}

// WaitAfterStall sets a function that reports whether all urgent input that has arrived was posted with PostUrgent.
// After a stall, the next iteration waits until it returns true, for at most maxCatchUp. Otherwise the iteration could
// decide by older input that was posted earlier. WaitAfterStall must be called before Run.
func (loop *Loop) WaitAfterStall(caughtUp func() bool) { loop.caughtUp = caughtUp }

func (loop *Loop) waitForUrgent() {
	if loop.caughtUp == nil {
		return
	}
	end := time.Now().Add(maxCatchUp)
	for !loop.caughtUp() && time.Now().Before(end) {
		loop.takeUrgent()
		time.Sleep(catchUpRecheck)
	}
}

// IsBehind reports whether, at a time since the loop's start, no iteration has called its urgent functions for so long
// that the process or the loop must have been stalled. What the loop has decided before may then be outdated. It may be
// called from any goroutine.
func (loop *Loop) IsBehind(now time.Duration) bool {
	loop.iterated.L.Lock()
	defer loop.iterated.L.Unlock()
	return loop.isBehind(now)
}

// AwaitIteration waits until the loop is no longer behind. It may be called from any goroutine but the loop's own.
func (loop *Loop) AwaitIteration() {
	loop.iterated.L.Lock()
	defer loop.iterated.L.Unlock()
	for loop.isBehind(loop.Since(time.Now())) {
		loop.iterated.Wait()
	}
}

// isBehind is IsBehind for a caller that holds the mutex of iterated.
func (loop *Loop) isBehind(now time.Duration) bool {
	return loop.running && now-loop.urgentUntil > behindThreshold
}

// LateBy returns the larger of two durations: how much later than due the current iteration started, and how long
// the previous one took. Either delays everything that waits for the loop.
func (loop *Loop) LateBy() time.Duration { return loop.lateBy }

// StalledFor returns the time from the start of a stall to the current iteration, or 0 if there was no stall since the
// last iteration that ended without a panic.
func (loop *Loop) StalledFor() time.Duration {
	if loop.stall.until <= loop.lastCompleted {
		return 0
	}
	return loop.now - loop.stall.from
}

// EarliestArrival returns the earliest time at which data that was read at the given time may have arrived. Data read
// during a stall, or at most catchUpPause after it, may have been waiting since the stall began.
func (loop *Loop) EarliestArrival(read time.Duration) time.Duration {
	stalled := loop.stall.until > 0
	if stalled && read >= loop.stall.from && read <= loop.stall.until+catchUpPause {
		return loop.stall.from
	}
	return read
}
