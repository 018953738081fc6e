package replicaconn

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"terntray/invariant"
	"terntray/scheduler"
)

// Endpoint is a replica as the endpoint list names it.
type Endpoint struct {
	id      scheduler.ReplicaID
	uid     string
	addr    string
	tlsName string       // the configuration's name for the TLS that it needs; empty: cleartext
	state   atomic.Int32 // an invariant.EndpointState; read by all
}

// ID is the replica's id in package scheduler.
func (endpoint *Endpoint) ID() scheduler.ReplicaID { return endpoint.id }

// Addr is its host and port.
func (endpoint *Endpoint) Addr() string { return endpoint.addr }

// State is what the endpoint list says of it. Any goroutine may ask.
func (endpoint *Endpoint) State() invariant.EndpointState {
	return invariant.EndpointState(endpoint.state.Load())
}

// SetState notes what the endpoint list says. From then on no attempt begins that the state forbids, whatever the pool
// has put on a connection already.
func (endpoint *Endpoint) SetState(state invariant.EndpointState) { endpoint.state.Store(int32(state)) }

// EndpointOf gives the endpoint of a replica's uid, which is made if it is new. Its id is drawn from the uid alone, so
// that all co-ordinators use the same; should two uids draw one id, the later takes the next.
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

// EndpointByID gives the endpoint of a replica's id; one that is not known counts as removed.
func (driver *Driver) EndpointByID(id scheduler.ReplicaID) *Endpoint {
	if known := driver.endpoints[id]; known != nil {
		return known
	}
	unknown := &Endpoint{id: id}
	unknown.SetState(invariant.Removed)
	return unknown
}

// EndpointCount is how many replicas are listed, or were and still have connections.
func (driver *Driver) EndpointCount() int { return len(driver.endpoints) }

// UID names a replica in the log.
func (driver *Driver) UID(id scheduler.ReplicaID) string {
	if known := driver.endpoints[id]; known != nil {
		return known.uid
	}
	return "-"
}

// UpdateEndpoint tells where a replica is, its model, from which its protocol follows, and whether it drains.
func (driver *Driver) UpdateEndpoint(endpoint *Endpoint, addr, model string, draining bool) {
	protocol, tlsName := driver.config.Replicas.ProtocolOf(model, addr)
	endpoint.addr = addr
	endpoint.tlsName = tlsName
	driver.pool.ReplicaListed(driver.loop.Now(), endpoint.id, addr, protocol, draining)
}

// Remove tells that a replica is gone from the endpoint list.
func (driver *Driver) Remove(endpoint *Endpoint) {
	driver.pool.ReplicaRemoved(driver.loop.Now(), endpoint.id)
}

// RemoveUnlisted removes all replicas but those with the uids given.
func (driver *Driver) RemoveUnlisted(listed map[string]bool) {
	for _, endpoint := range driver.endpoints {
		if !listed[endpoint.uid] {
			endpoint.SetState(invariant.Removed)
			driver.Remove(endpoint)
		}
	}
}

// Restarted tells when a replica's process started. If that is not exact, connections that are little younger may be
// the process' before, and are closed as well.
func (driver *Driver) Restarted(endpoint *Endpoint, startedAt time.Duration, exact bool) {
	closeBefore := startedAt
	if !exact {
		closeBefore += driver.config.Limits.ConnectTimeout
	}
	driver.pool.ReplicaRestarted(driver.loop.Now(), endpoint.id, closeBefore)
}
