package replicaconn

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"terntray/invariant"
	"terntray/scheduler"
)

// Endpoint is a replica as described by the endpoint list.
type Endpoint struct {
	id      scheduler.ReplicaID
	uid     string
	addr    string
	tlsName string       // the name of the TLS settings in the configuration; empty for cleartext
	state   atomic.Int32 // an invariant.EndpointState; read by any goroutine
}

// ID returns the replica's id in package scheduler.
func (endpoint *Endpoint) ID() scheduler.ReplicaID { return endpoint.id }

// Addr returns the replica's host and port.
func (endpoint *Endpoint) Addr() string { return endpoint.addr }

// State returns the replica's state according to the endpoint list. It is safe for concurrent use.
func (endpoint *Endpoint) State() invariant.EndpointState {
	return invariant.EndpointState(endpoint.state.Load())
}

// SetState sets the replica's state according to the endpoint list. From then on no attempt begins that the state
// forbids, even if the pool has already assigned it to a connection.
func (endpoint *Endpoint) SetState(state invariant.EndpointState) { endpoint.state.Store(int32(state)) }

// EndpointOf returns the endpoint of a replica's uid, and creates it if it is new. Its id is a hash of the uid, so that
// all co-ordinators use the same id. If another replica has that id already, the next free one is used.
func (driver *Driver) EndpointOf(uid string) *Endpoint {
	hash := fnv.New32a()
	hash.Write([]byte(uid))
	id := scheduler.ReplicaID(hash.Sum32())
	for driver.endpoints[id] != nil && driver.endpoints[id].uid != uid {
		id++
	}
	if driver.endpoints[id] == nil {
		driver.endpoints[id] = &Endpoint{id: id, uid: uid}
	}
	return driver.endpoints[id]
}

// EndpointByID returns the endpoint of a replica's id. An unknown replica counts as removed.
func (driver *Driver) EndpointByID(id scheduler.ReplicaID) *Endpoint {
	if known := driver.endpoints[id]; known != nil {
		return known
	}
	unknown := &Endpoint{id: id}
	unknown.SetState(invariant.Removed)
	return unknown
}

// EndpointCount returns the number of replicas that are listed, or that were removed but still have connections.
func (driver *Driver) EndpointCount() int { return len(driver.endpoints) }

// UID returns the uid of a replica, for the log.
func (driver *Driver) UID(id scheduler.ReplicaID) string {
	if known := driver.endpoints[id]; known != nil {
		return known.uid
	}
	return "-"
}

// UpdateEndpoint sets a replica's address, its model, which determines its protocol, and whether it is draining.
func (driver *Driver) UpdateEndpoint(endpoint *Endpoint, addr, model string, draining bool) {
	protocol, tlsName := driver.config.Replicas.ProtocolOf(model, addr)
	endpoint.addr = addr
	endpoint.tlsName = tlsName
	driver.pool.ReplicaListed(driver.loop.Now(), endpoint.id, addr, protocol, draining)
}

// Remove notifies the pool that a replica was removed from the endpoint list.
func (driver *Driver) Remove(endpoint *Endpoint) {
	driver.pool.ReplicaRemoved(driver.loop.Now(), endpoint.id)
}

// RemoveUnlisted removes all replicas whose uid is not in listed.
func (driver *Driver) RemoveUnlisted(listed map[string]bool) {
	for _, endpoint := range driver.endpoints {
		if !listed[endpoint.uid] {
			endpoint.SetState(invariant.Removed)
			driver.Remove(endpoint)
		}
	}
}

// Restarted notifies the pool of when a replica's process started. If that time is not exact, connections that were
// established shortly after it may belong to the previous process, and are closed as well.
func (driver *Driver) Restarted(endpoint *Endpoint, startedAt time.Duration, exact bool) {
	closeBefore := startedAt
	if !exact {
		closeBefore += driver.config.Limits.ConnectTimeout
	}
	driver.pool.ReplicaRestarted(driver.loop.Now(), endpoint.id, closeBefore)
}
