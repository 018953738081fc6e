// Package discovery keeps the endpoint list of the replicas up to date. It polls the full list from a discovery agent,
// then watches for changes, retries after failures, and can move to another agent while still watching the old one.
//
// An endpoint list is processed as follows:
//
//  1. A watch (watch.go, on its own goroutine) reads the list from its connection and posts it to the event loop, as
//     urgent: after a stall of the process, the loop waits for lists that have arrived (HasCaughtUp).
//  2. Watcher.listReceived, on the loop, drops unusable endpoints, updates the last known list (package membership) and
//     passes the list to the Handler, with the states that hold.
//  3. The Handler, implemented by the coordinator (coordinator/endpoints.go), passes each endpoint to the replica
//     connections, the connection pool and the scheduler, which makes its decisions at the end of the same iteration.
//
// A failed poll is retried (retry.go); the last known list remains in use meanwhile.
package discovery

import (
	"context"
	"log"
	"sync"
	"time"

	"terntray/eventloop"
	"terntray/internal/wire"
	"terntray/membership"
)

const (
	defaultHold = 5 * time.Second // how long the agent may hold a poll if no poll interval is configured
	maxHold     = time.Minute     // upper limit of the hold
)

// Handler receives endpoint lists. The Watcher calls it on the event loop.
type Handler interface {
	// EndpointsReceived is called with a list from the agent: the full list if All is set, else the changed endpoints.
	EndpointsReceived(list *wire.EndpointList)
	// EndpointsKnown is called with the full last known list: at the start and on Redeliver.
	EndpointsKnown(list *wire.EndpointList)
	// PollFailed is called when a poll has failed. notifyScheduler is set if the scheduler has to be notified: it
	// requested the poll, or this is the first failure since the last list was received.
	PollFailed(notifyScheduler bool)
}

// Config configures a Watcher.
type Config struct {
	Address      string            // of the discovery agent
	Known        wire.EndpointList // the last known list, from the configuration
	OnDemand     bool              // the agent does not push changes; the scheduler requests polls (Poll)
	PollInterval time.Duration     // the scheduler's maximum time between polls; 0 if not configured
}

// hold returns how long the agent may hold a poll open while nothing changes. Half of the poll interval leaves time for
// a second poll before the list counts as out of date.
func (config *Config) hold() time.Duration {
	if config.PollInterval <= 0 {
		return defaultHold
	}
	return min(config.PollInterval/2, maxHold)
}

// Watcher keeps the endpoint list up to date. It may be used only on the event loop.
type Watcher struct {
	handler  Handler
	loop     *eventloop.Loop
	log      *log.Logger
	onDemand bool
	hold     time.Duration

	address   string        // of the current agent
	failing   bool          // the last poll failed
	listedAt  time.Duration // loop time at which the last list was processed
	endpoints *membership.Table
	lift      *eventloop.Timer // for the end of withdrawals that an older list contradicts; nil: none

	stopWatch context.CancelFunc
	stopMove  context.CancelFunc // of the watch at a new address that has not sent the full list yet; nil if none
	running   sync.WaitGroup     // goroutines of the watches
	active    []activeWatch
}

// New returns a Watcher. Call Start to start it.
func New(config Config, handler Handler, loop *eventloop.Loop, logger *log.Logger) *Watcher {
	watcher := &Watcher{
		handler:   handler,
		loop:      loop,
		log:       logger,
		onDemand:  config.OnDemand,
		hold:      config.hold(),
		address:   config.Address,
		stopWatch: func() {},
	}
	watcher.dropUnusable(&config.Known)
	watcher.endpoints = membership.NewTable(config.Known)
	return watcher
}

// Start passes the last known list to the Handler and, unless polls are on demand, starts watching.
func (watcher *Watcher) Start() {
	watcher.Redeliver()
	if !watcher.onDemand {
		watcher.Poll()
	}
}

// Stop ends all watches and waits for their goroutines. It must be called after the loop has ended.
func (watcher *Watcher) Stop() {
	watcher.stopWatch()
	watcher.cancelMove()
	watcher.running.Wait()
}

// Redeliver passes the full last known list to the Handler, for a scheduler that has lost its state.
func (watcher *Watcher) Redeliver() {
	watcher.handler.EndpointsKnown(watcher.endpoints.Full(watcher.loop.Now()))
}

// Poll starts a new watch, which begins with a poll of the full list, in place of the current one.
func (watcher *Watcher) Poll() {
	watcher.stopWatch()
	ctx, stop := context.WithCancel(context.Background())
	watcher.stopWatch = stop
	watcher.startWatch(ctx, watcher.address)
}

// IsEmpty reports whether no endpoint is known.
func (watcher *Watcher) IsEmpty() bool { return watcher.endpoints.IsEmpty() }

// listReceived processes a list read by the watch of an address.
func (watcher *Watcher) listReceived(address string, list *wire.EndpointList) {
	if address != watcher.address {
		watcher.finishMove(address)
	}
	watcher.failing = false
	watcher.listedAt = watcher.loop.Now()
	watcher.dropUnusable(list)
	effective, liftIn := watcher.endpoints.Update(list, watcher.loop.Now())
	watcher.handler.EndpointsReceived(effective)
	watcher.liftWithdrawalsIn(liftIn)
	if len(list.Endpoints) > 0 {
		watcher.log.Printf("event=endpoint_list rev=%d all=%t endpoints=%d",
			list.Revision, list.All, len(list.Endpoints))
	}
}

// liftWithdrawalsIn sets the timer for the end of withdrawals; 0 means that there are none to end.
func (watcher *Watcher) liftWithdrawalsIn(delay time.Duration) {
	watcher.loop.Cancel(watcher.lift)
	watcher.lift = nil
	if delay > 0 {
		watcher.lift = watcher.loop.After(delay, "", watcher.liftWithdrawals)
	}
}

func (watcher *Watcher) liftWithdrawals() {
	lifted, nextIn := watcher.endpoints.Lifted(watcher.loop.Now())
	if len(lifted.Endpoints) > 0 {
		watcher.handler.EndpointsReceived(lifted)
	}
	watcher.liftWithdrawalsIn(nextIn)
}

func (watcher *Watcher) dropUnusable(list *wire.EndpointList) {
	if unusable := list.DropUnusable(); len(unusable) > 0 {
		watcher.log.Printf("event=unusable_endpoints rev=%d endpoints=%q", list.Revision, unusable)
	}
}
