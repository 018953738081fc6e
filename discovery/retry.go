package discovery

import (
	"context"
	"time"

	"terntray/internal/wire"
)

// retryInterval is the minimum time between the starts of two watches, except on demand.
const retryInterval = 200 * time.Millisecond

// startWatch starts a watch on its own goroutine and restarts it after a failure, until the context is cancelled.
func (watcher *Watcher) startWatch(ctx context.Context, address string) {
	startedAt := watcher.loop.Now()
	post := func(fn func()) {
		watcher.loop.Post(func() {
			if ctx.Err() == nil {
				fn()
			}
		})
	}
	deliver := func(list *wire.EndpointList) {
		post(func() { watcher.listReceived(address, list) })
	}
	watch := newWatch(address, watcher.hold, watcher.responseTimeout(), deliver)
	watcher.running.Go(func() {
		err := watch.run(ctx)
		post(func() { watcher.watchEnded(ctx, address, startedAt, err) })
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
