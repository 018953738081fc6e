package discovery

import "context"

// MoveTo has the list followed at another address, after a change of the configuration. The old address is heard
// until the new one has told the whole list: else a wrong new address would leave the process without any news.
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

// finishMove makes the address that has told the whole list the one that is followed.
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
