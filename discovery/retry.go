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
func (watcher *Watcher) startWatch(ctx context.Context, address string) {
	startedAt := watcher.loop.Now()
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
		err := watch.run(ctx)
		watcher.loop.Post(unlessDone(func() { watcher.watchEnded(ctx, address, startedAt, err) }))
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

// watchEnded handles the end of a watch. On demand, the scheduler requests the next poll. Otherwise the watch is
// restarted: immediately if it ran for retryInterval or longer, else once that time has passed since its start.
func (watcher *Watcher) watchEnded(ctx context.Context, address string, startedAt time.Duration, cause error) {
	watcher.reportFailure(address, cause)
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
// notified, as it has no list from the new address yet.
func (watcher *Watcher) reportFailure(address string, cause error) {
	isMoving := watcher.stopMove != nil
	notifyScheduler := !isMoving && (watcher.onDemand || !watcher.failing)
	if notifyScheduler || !watcher.failing {
		watcher.log.Printf("event=poll_failed at=%s cause=%q", address, cause)
	}
	watcher.failing = true
	watcher.handler.PollFailed(notifyScheduler)
}
