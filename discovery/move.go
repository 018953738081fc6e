package discovery

import "context"

// MoveTo starts watching the list at another address, after a configuration change. The old address is watched
// until the new one has sent the full list, so that a wrong new address does not cut the process off from updates.
func (watcher *Watcher) MoveTo(address string) {
	watcher.cancelMove()
	if address == watcher.address {
		return
	}
	watcher.failing = false
	ctx, stop := context.WithCancel(context.Background())
	watcher.stopMove = stop
	watcher.startWatch(ctx, address)
}

// finishMove switches to the new address, which has sent the full list.
func (watcher *Watcher) finishMove(address string) {
	watcher.stopWatch()
	watcher.log.Printf("event=discovery_moved from=%s to=%s", watcher.address, address)
	watcher.address = address
	watcher.stopWatch = watcher.stopMove
	watcher.stopMove = nil
}

func (watcher *Watcher) cancelMove() {
	if watcher.stopMove != nil {
		watcher.stopMove()
		watcher.stopMove = nil
	}
}
