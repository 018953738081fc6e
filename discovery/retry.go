package discovery

import (
	"context"
	"time"

	"terntray/internal/wire"
)

// retryInterval is the least time between the beginnings of two watches, where they are not on demand.
const retryInterval = 200 * time.Millisecond

// startWatch starts a watch's goroutine and restarts it after a failure, until the context ends.
func (watcher *Watcher) startWatch(ctx context.Context, address string) {
	began := watcher.loop.Now()
	post := func(do func()) {
		watcher.loop.Post(func() {
			if ctx.Err() == nil {
				do()
			}
		})
	}
	deliver := func(list *wire.EndpointList) {
		post(func() { watcher.listReceived(address, list) })
	}
	watch := newWatch(address, watcher.hold, watcher.responseTimeout(), deliver)
	watcher.running.Go(func() {
		err := watch.run(ctx)
		post(func() { watcher.watchEnded(ctx, address, began, err) })
	})
}

// watchEnded takes a watch that has ended. On demand the scheduler says when to poll again. Else the watch begins
// anew: at once, if it went well for retryInterval or longer.
func (watcher *Watcher) watchEnded(ctx context.Context, address string, began time.Duration, cause error) {
	watcher.reportFailure(address, cause)
	isMoving := watcher.stopMove != nil
	if watcher.onDemand && !isMoving {
		return
	}
	wait := began + retryInterval - watcher.loop.Now()
	watcher.loop.After(wait, "", func() {
		if ctx.Err() == nil {
			watcher.startWatch(ctx, address)
		}
	})
}

// reportFailure logs a failure and tells the handler. While the list moves to another address a failure is no news
// to the scheduler: the new address has yet to tell it.
func (watcher *Watcher) reportFailure(address string, cause error) {
	isMoving := watcher.stopMove != nil
	isNews := !isMoving && (watcher.onDemand || !watcher.failing)
	if isNews || !watcher.failing {
		watcher.log.Printf("event=poll_failed at=%s cause=%q", address, cause)
	}
	watcher.failing = true
	watcher.handler.PollFailed(isNews)
}
