package discovery

import (
	"context"
	"slices"
	"time"

	"terntray/internal/wire"
)

// retryInterval is the minimum time between the starts of two watches, except on demand.
const retryInterval = 200 * time.Millisecond

// startWatch starts a watch on its own goroutine and restarts it after a failure, until the context is cancelled.
//
// A watch that ran for retryInterval or longer is restarted by its goroutine at once, except on demand: after a stall in
// which the watch ended, the event loop waits for the new one's list (HasCaughtUp), and cannot start it meanwhile.
func (watcher *Watcher) startWatch(ctx context.Context, address string) {
	unlessDone := func(do func()) func() {
		return func() {
			if ctx.Err() == nil {
				do()
			}
		}
	}
	deliver := func(list *wire.EndpointList) {
		watcher.loop.PostUrgent(unlessDone(func() { watcher.listReceived(address, list) }))
	}
	watch := newWatch(address, watcher.hold, watcher.responseTimeout(), deliver)
	watcher.addWatch(ctx, watch)
	watcher.running.Go(func() {
		for {
			started := time.Now()
			err := watch.run(ctx)
			failedAt := watcher.loop.Since(time.Now())
			report := unlessDone(func() { watcher.reportFailure(address, err, failedAt) })
			if watcher.onDemand || ctx.Err() != nil || time.Since(started) < retryInterval {
				startedAt := watcher.loop.Since(started)
				watcher.loop.Post(report)
				watcher.loop.Post(unlessDone(func() { watcher.watchEnded(ctx, address, startedAt) }))
				return
			}
			watcher.running.Go(func() { watcher.loop.Post(report) }) // Post may block, the restart must not
		}
	})
}

// activeWatch is a watch that may still deliver lists: until its context is cancelled.
type activeWatch struct {
	ctx   context.Context
	watch *watch
}

func (active activeWatch) isOver() bool { return active.ctx.Err() != nil }

// addWatch adds a watch to the active ones, and removes those that are over.
func (watcher *Watcher) addWatch(ctx context.Context, started *watch) {
	isOver := func(active activeWatch) bool { return active.isOver() || active.ctx == ctx }
	watcher.active = append(slices.DeleteFunc(watcher.active, isOver), activeWatch{ctx, started})
}

// HasCaughtUp reports whether all lists that have arrived from the agents were posted to the event loop.
func (watcher *Watcher) HasCaughtUp() bool {
	return !slices.ContainsFunc(watcher.active, func(active activeWatch) bool {
		return !active.isOver() && !active.watch.hasCaughtUp()
	})
}

// watchEnded handles the end of a watch that its goroutine does not restart. On demand, the scheduler requests the next poll.
// Otherwise the watch is restarted once retryInterval has passed since its start.
func (watcher *Watcher) watchEnded(ctx context.Context, address string, startedAt time.Duration) {
	isMoving := watcher.stopMove != nil
	if watcher.onDemand && !isMoving {
		return
	}
	wait := startedAt + retryInterval - watcher.loop.Now()
	watcher.loop.After(wait, "", func() {
		if ctx.Err() == nil {
			watcher.startWatch(ctx, address)
		}
	})
}

// reportFailure logs a failure and notifies the Handler. During a move to another address the scheduler is not
// notified, as it has no list from the new address yet; nor if a list has come since the failure.
func (watcher *Watcher) reportFailure(address string, cause error, failedAt time.Duration) {
	isMoving := watcher.stopMove != nil
	isRepaired := watcher.listedAt > failedAt
	notifyScheduler := !isMoving && !isRepaired && (watcher.onDemand || !watcher.failing)
	if notifyScheduler || !watcher.failing {
		watcher.log.Printf("event=poll_failed at=%s cause=%q", address, cause)
	}
	watcher.failing = !isRepaired
	watcher.handler.PollFailed(notifyScheduler)
}
