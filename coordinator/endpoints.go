package coordinator

import (
	"time"

	"terntray/discovery"
	"terntray/internal/wire"
	"terntray/invariant"
	"terntray/scheduler"
)

// endpointHandler implements discovery.Handler. It passes each endpoint of a list on, in this order:
//
//  1. to the replica's record: its state there is what connections' writers check before each attempt (package
//     invariant), so that a draining replica gets nothing that was queued before;
//  2. to the connection pool, which opens and closes connections;
//  3. to the scheduler, which decides with all of the list at the end of the iteration.
type endpointHandler struct{ c *Coordinator }

// The states of endpoints on the wire, as the two packages that use them name them.
var (
	invariantStates = map[string]invariant.EndpointState{
		wire.Ready: invariant.Ready, wire.Draining: invariant.Draining, wire.Removed: invariant.Removed,
	}
	schedulerStates = map[string]scheduler.EndpointState{
		wire.Ready: scheduler.Ready, wire.Draining: scheduler.Draining, wire.Removed: scheduler.Removed,
	}
)

// discoveryConfig is what package discovery has to know of the deployment.
func (c *Coordinator) discoveryConfig() discovery.Config {
	return discovery.Config{
		Address:      c.deployment.Discovery,
		Known:        c.deployment.Known,
		OnDemand:     c.config.Discovery == scheduler.DiscoverySubscribe,
		PollInterval: c.config.PollInterval,
	}
}

// EndpointsReceived takes what discovery says now.
func (handler endpointHandler) EndpointsReceived(list *wire.EndpointList) {
	c := handler.c
	c.counts.EndpointLists++
	now := c.observeWallClock()
	c.incarnations.ListReceived(now)
	c.applyEndpoints(list, false)
	if !c.discovery.IsEmpty() {
		c.ready.Store(true)
	}
}

// EndpointsKnown takes the list as it was last known. Nobody is served by it alone, as a newer one may come at once.
func (handler endpointHandler) EndpointsKnown(list *wire.EndpointList) {
	handler.c.observeWallClock()
	handler.c.applyEndpoints(list, true)
}

// PollFailed counts a failure. From then on queries are served by the list as it was last known: an old list is
// better than none.
func (handler endpointHandler) PollFailed(isNews bool) {
	c := handler.c
	c.counts.EndpointListFailures++
	if !c.discovery.IsEmpty() {
		c.ready.Store(true)
	}
	if isNews {
		c.scheduler.EndpointPollFailed(c.loop.Now())
	}
}

// observeWallClock compares the wall clock with the loop's; it returns the loop's time.
func (c *Coordinator) observeWallClock() (now time.Duration) {
	wallClock := time.Now()
	now = c.loop.Since(wallClock)
	c.incarnations.ObserveWallClock(now, wallClock)
	return now
}

func (c *Coordinator) applyEndpoints(list *wire.EndpointList, isOld bool) {
	if list.All {
		c.removeUnlisted(list.Targets)
	}
	c.scheduler.EndpointListBegins(c.loop.Now(), list.All, isOld)
	for _, target := range list.Targets {
		c.applyEndpoint(target)
	}
}

// removeUnlisted has the replicas count as removed that a whole list does not name.
func (c *Coordinator) removeUnlisted(targets []wire.Target) {
	isListed := map[string]bool{}
	for _, target := range targets {
		isListed[target.UID] = true
	}
	for _, replica := range c.fleet.all {
		if !isListed[replica.uid] {
			replica.state.Store(int32(invariant.Removed))
			c.fleet.pool.ReplicaRemoved(c.loop.Now(), replica.id)
		}
	}
}

func (c *Coordinator) applyEndpoint(target wire.Target) {
	replica := c.fleet.named(target.UID)
	replica.state.Store(int32(invariantStates[target.State]))
	c.listInPool(replica, target)
	c.scheduler.EndpointListed(c.loop.Now(), scheduler.Endpoint{
		ID:      replica.id,
		State:   schedulerStates[target.State],
		Started: c.startOf(replica, target),
		Cell:    cellOf(target),
		Zone:    c.zoneOf(target),
		Size:    c.fleet.installation.SizeOf(target.Model),
	})
}

// listInPool tells the connection pool of an endpoint.
func (c *Coordinator) listInPool(replica *replica, target wire.Target) {
	if target.State == wire.Removed {
		c.fleet.pool.ReplicaRemoved(c.loop.Now(), replica.id)
		return
	}
	if replica.addr != target.Endpoint {
		c.log.Printf("event=endpoint_listed replica=%s id=%d addr=%s zone=%s",
			target.UID, replica.id, target.Endpoint, target.Zone)
	}
	replica.addr = target.Endpoint
	protocol := c.fleet.speaks(replica, target.Model)
	isDraining := target.State == wire.Draining
	c.fleet.pool.ReplicaListed(c.loop.Now(), replica.id, replica.addr, protocol, isDraining)
}

// startOf is when a replica's process started, as far as that is told, in the loop's time. It has the pool close the
// connections from before that start: whatever is written to one of them is lost.
func (c *Coordinator) startOf(replica *replica, target wire.Target) time.Duration {
	if target.BootMS <= 0 {
		return scheduler.StartUnknown
	}
	started, isExact := c.incarnations.StartOf(c.loop.Now(), target.UID, target.BootMS)
	closeBefore := started
	if !isExact { // a connection that is up by now may still be to the process before
		closeBefore += c.fleet.connectWithin
	}
	c.fleet.pool.ReplicaRestarted(c.loop.Now(), replica.id, closeBefore)
	return started
}

func cellOf(target wire.Target) scheduler.CellNumber {
	if target.Cell == nil {
		return 0
	}
	return scheduler.CellNumber(*target.Cell)
}

// zoneOf is the zone of an endpoint, -1 for one that the settings do not name.
func (c *Coordinator) zoneOf(target wire.Target) scheduler.ZoneIndex {
	if zone, named := c.zones[target.Zone]; named {
		return zone
	}
	return -1
}
