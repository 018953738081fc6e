package coordinator

import (
	"time"

	"terntray/discovery"
	"terntray/internal/wire"
	"terntray/invariant"
	"terntray/replicaconn"
	"terntray/scheduler"
)

// endpointHandler implements discovery.Handler. Of a whole list, replicas that it does not name are
// first marked as removed, and EndpointListBegins is called. Then it passes each endpoint on, in this order:
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
		Known:        c.deployment.KnownEndpoints,
		OnDemand:     c.schedulerConfig.Discovery == scheduler.DiscoverySubscribe,
		PollInterval: c.schedulerConfig.PollInterval,
	}
}

// EndpointsReceived takes what discovery says now.
func (handler endpointHandler) EndpointsReceived(list *wire.EndpointList) {
	c := handler.c
	c.counts.EndpointLists++
	now := c.observeWallClock()
	c.incarnations.ListReceived(now)
	c.applyEndpoints(list, currentList)
	if !c.discovery.IsEmpty() {
		c.ready.Store(true)
	}
}

// EndpointsKnown takes the list as it was last known. By it alone /up does not say that the process is ready, as a
// newer list may come at once.
func (handler endpointHandler) EndpointsKnown(list *wire.EndpointList) {
	handler.c.observeWallClock()
	handler.c.applyEndpoints(list, lastKnownList)
}

// PollFailed counts a failure. From then on /up says ready if any list is known: an old list is better than none.
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

// listAge is how old an endpoint list may be.
type listAge int

const (
	currentList   listAge = iota // discovery says so now
	lastKnownList                // as it was known before; it may be old
)

func (c *Coordinator) applyEndpoints(list *wire.EndpointList, age listAge) {
	if list.All {
		c.removeUnlisted(list.Endpoints)
	}
	c.scheduler.EndpointListBegins(c.loop.Now(), list.All, age == lastKnownList)
	for _, endpoint := range list.Endpoints {
		c.applyEndpoint(endpoint)
	}
}

// removeUnlisted has the replicas count as removed that a whole list does not name.
func (c *Coordinator) removeUnlisted(endpoints []wire.Endpoint) {
	isListed := map[string]bool{}
	for _, endpoint := range endpoints {
		isListed[endpoint.UID] = true
	}
	c.replicas.RemoveUnlisted(isListed)
}

func (c *Coordinator) applyEndpoint(endpoint wire.Endpoint) {
	replica := c.replicas.EndpointOf(endpoint.UID)
	replica.SetState(invariantStates[endpoint.State])
	c.connectTo(replica, endpoint)
	c.scheduler.EndpointListed(c.loop.Now(), scheduler.Endpoint{
		ID:      replica.ID(),
		State:   schedulerStates[endpoint.State],
		Started: c.observeStart(replica, endpoint),
		Cell:    cellOf(endpoint),
		Zone:    c.zoneOf(endpoint),
		Size:    c.installation.SizeOf(endpoint.Model),
	})
}

// connectTo tells the driver of connections where an endpoint is, or that it is removed.
func (c *Coordinator) connectTo(replica *replicaconn.Endpoint, endpoint wire.Endpoint) {
	if endpoint.State == wire.Removed {
		c.replicas.Remove(replica)
		return
	}
	if replica.Addr() != endpoint.Address {
		c.log.Printf("event=endpoint_listed replica=%s id=%d addr=%s zone=%s",
			endpoint.UID, replica.ID(), endpoint.Address, endpoint.Zone)
	}
	isDraining := endpoint.State == wire.Draining
	c.replicas.UpdateEndpoint(replica, endpoint.Address, endpoint.Model, isDraining)
}

// observeStart has the connections to a replica closed that are from before its process started, as whatever is
// written to one of them is lost. It returns that start, as far as it is told, in the loop's time.
func (c *Coordinator) observeStart(replica *replicaconn.Endpoint, endpoint wire.Endpoint) time.Duration {
	if endpoint.BootMS <= 0 {
		return scheduler.StartUnknown
	}
	started, isExact := c.incarnations.StartTime(c.loop.Now(), endpoint.UID, endpoint.BootMS)
	c.replicas.Restarted(replica, started, isExact)
	return started
}

func cellOf(endpoint wire.Endpoint) scheduler.CellNumber {
	if endpoint.Cell == nil {
		return 0
	}
	return scheduler.CellNumber(*endpoint.Cell)
}

// zoneOf is the zone of an endpoint, -1 for one that the settings do not name.
func (c *Coordinator) zoneOf(endpoint wire.Endpoint) scheduler.ZoneIndex {
	if zone, named := c.zones[endpoint.Zone]; named {
		return zone
	}
	return -1
}
