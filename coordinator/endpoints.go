package coordinator

import (
	"time"

	"terntray/discovery"
	"terntray/internal/wire"
	"terntray/invariant"
	"terntray/replicaconn"
	"terntray/scheduler"
)

// endpointHandler implements discovery.Handler. It first marks the replicas that are missing from a full list as
// removed and calls EndpointListBegins. It then passes on each endpoint, in this order:
//
//  1. to the replica's record, whose state is checked before each attempt is written (package invariant), so that a
//     draining replica gets no attempts that were queued before;
//  2. to the connection pool, which opens and closes connections;
//  3. to the scheduler, which takes the whole list into account at the end of the iteration.
type endpointHandler struct{ c *Coordinator }

// The states of endpoints in packages invariant and scheduler, by their names on the wire.
var (
	invariantStates = map[string]invariant.EndpointState{
		wire.Ready: invariant.Ready, wire.Draining: invariant.Draining, wire.Removed: invariant.Removed,
	}
	schedulerStates = map[string]scheduler.EndpointState{
		wire.Ready: scheduler.Ready, wire.Draining: scheduler.Draining, wire.Removed: scheduler.Removed,
	}
)

// discoveryConfig returns the configuration of package discovery.
func (c *Coordinator) discoveryConfig() discovery.Config {
	return discovery.Config{
		Address:      c.deployment.Discovery,
		Known:        c.deployment.KnownEndpoints,
		OnDemand:     c.schedulerConfig.Discovery == scheduler.DiscoverySubscribe,
		PollInterval: c.schedulerConfig.PollInterval,
	}
}

// EndpointsReceived applies a list, or change of the list, that discovery has just sent.
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

// EndpointsKnown applies the last known list. It does not make the process ready, as a newer list may arrive at any
// moment.
func (handler endpointHandler) EndpointsKnown(list *wire.EndpointList) {
	handler.c.observeWallClock()
	handler.c.applyEndpoints(list, lastKnownList)
}

// PollFailed counts a failed poll, and notifies the scheduler if discovery asks for that. From then on the process is
// ready if any endpoint is known: an old list is better than none.
func (handler endpointHandler) PollFailed(notifyScheduler bool) {
	c := handler.c
	c.counts.EndpointListFailures++
	if !c.discovery.IsEmpty() {
		c.ready.Store(true)
	}
	if notifyScheduler {
		c.scheduler.EndpointPollFailed(c.loop.Now())
	}
}

// observeWallClock records the wall clock against the loop's clock, and returns the loop time.
func (c *Coordinator) observeWallClock() (now time.Duration) {
	wallClock := time.Now()
	now = c.loop.Since(wallClock)
	c.incarnations.ObserveWallClock(now, wallClock)
	return now
}

// listAge says whether an endpoint list may be out of date.
type listAge int

const (
	currentList   listAge = iota // just sent by discovery
	lastKnownList                // known from before; may be old
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

// removeUnlisted marks the replicas that are missing from a full list as removed.
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

// connectTo passes the address and state of an endpoint to the driver of replica connections.
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

// observeStart returns the loop time at which a replica's process started, or scheduler.StartUnknown. It also has
// connections from before that time closed, because anything written to them would be lost.
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

// zoneOf returns the zone of an endpoint, or -1 if the settings do not name it.
func (c *Coordinator) zoneOf(endpoint wire.Endpoint) scheduler.ZoneIndex {
	if zone, named := c.zones[endpoint.Zone]; named {
		return zone
	}
	return -1
}
