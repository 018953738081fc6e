// Package discovery follows the list of replicas' endpoints that a discovery agent serves: it polls the whole
// list, then watches for changes, retries, and moves to another agent while the old one is still heard.
//
// How a new endpoint list reaches the decisions:
//
//  1. A watch (watch.go, a goroutine) reads the list from its connection and posts it to the event loop.
//  2. Watcher.received, on the loop, drops endpoints that cannot be used, keeps the rest as the list that is known
//     (endpoints.go), and hands what came to the Handler.
//  3. The Handler, which is the coordinator (coordinator/endpoints.go), passes each endpoint on to the connections, to
//     the connection pool and to the scheduler, which decides at the end of the same iteration.
//
// A poll that fails is retried (retry.go); the list that is known stays in force meanwhile.
package discovery

import (
	"context"
	"log"
	"sync"
	"time"

	"terntray/eventloop"
	"terntray/internal/wire"
)

const (
	defaultHold = 5 * time.Second // for which the agent may hold a poll back, where the settings imply no time
	maxHold     = time.Minute     // the longest such time
)

// Handler takes what discovery says. The Watcher calls it on the event loop.
type Handler interface {
	// EndpointsReceived takes the whole list (All) or the endpoints that have changed.
	EndpointsReceived(list *wire.EndpointList)
	// EndpointsKnown takes the whole list as it was last known: at the start, and for a scheduler that has lost it.
	EndpointsKnown(list *wire.EndpointList)
	// PollFailed tells that a poll failed. The scheduler has to be told where that is news to it: it asked for
	// the poll, or it is the first failure in a row.
	PollFailed(isNews bool)
}

// Config sets a Watcher up.
type Config struct {
	Address      string            // of the discovery agent
	Known        wire.EndpointList // as it was known when the process was last configured
	OnDemand     bool              // changes come only to those who poll, and the scheduler decides when (Poll)
	PollInterval time.Duration     // the longest time between two polls of the scheduler; 0: not stated
}

// hold is how long the agent may hold a poll back while nothing changes. Half of the interval leaves room for a
// second poll before silence means that the list is out of date.
func (config *Config) hold() time.Duration {
	if config.PollInterval <= 0 {
		return defaultHold
	}
	return min(config.PollInterval/2, maxHold)
}

// Watcher follows the endpoint list. Its methods and fields belong to the event loop.
type Watcher struct {
	handler  Handler
	loop     *eventloop.Loop
	log      *log.Logger
	onDemand bool
	hold     time.Duration

	address   string // of the agent that is followed
	failing   bool   // the last poll failed
	endpoints endpointTable

	stopWatch context.CancelFunc
	stopMove  context.CancelFunc // of the watch at a new address that has yet to tell the whole list; nil: none
	running   sync.WaitGroup     // the watches' goroutines
}

// New makes a watcher that does nothing yet.
func New(config Config, handler Handler, loop *eventloop.Loop, logger *log.Logger) *Watcher {
	return &Watcher{
		handler:   handler,
		loop:      loop,
		log:       logger,
		onDemand:  config.OnDemand,
		hold:      config.hold(),
		address:   config.Address,
		endpoints: endpointTable{known: config.Known},
		stopWatch: func() {},
	}
}

// Start hands over the list as it was last known and, unless polls are on demand, begins to follow it.
func (watcher *Watcher) Start() {
	watcher.Redeliver()
	if !watcher.onDemand {
		watcher.Poll()
	}
}

// Stop ends all watches and waits for that. The loop has ended.
func (watcher *Watcher) Stop() {
	watcher.stopWatch()
	watcher.cancelMove()
	watcher.running.Wait()
}

// Redeliver hands over the whole list as it is known.
func (watcher *Watcher) Redeliver() {
	list := watcher.endpoints.whole()
	watcher.dropUnusable(list)
	watcher.endpoints.update(list)
	watcher.handler.EndpointsKnown(list)
}

// Poll begins a watch in place of the present one.
func (watcher *Watcher) Poll() {
	watcher.stopWatch()
	ctx, stop := context.WithCancel(context.Background())
	watcher.stopWatch = stop
	watcher.start(ctx, watcher.address)
}

// IsEmpty tells whether no endpoint is known.
func (watcher *Watcher) IsEmpty() bool { return len(watcher.endpoints.known.Endpoints) == 0 }

// received takes what a watch has read.
func (watcher *Watcher) received(address string, list *wire.EndpointList) {
	if address != watcher.address {
		watcher.finishMove(address)
	}
	watcher.failing = false
	watcher.dropUnusable(list)
	watcher.endpoints.update(list)
	watcher.handler.EndpointsReceived(list)
	if len(list.Endpoints) > 0 {
		watcher.log.Printf("event=endpoint_list rev=%d all=%t endpoints=%d",
			list.Revision, list.All, len(list.Endpoints))
	}
}

func (watcher *Watcher) dropUnusable(list *wire.EndpointList) {
	if unusable := list.DropUnusable(); len(unusable) > 0 {
		watcher.log.Printf("event=unusable_endpoints rev=%d endpoints=%q", list.Revision, unusable)
	}
}
