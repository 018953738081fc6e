package soak

import (
	"sync"
)

// endpointState is a replica's state as discovery tells it.
type endpointState string

// The states on the wire.
const (
	stateReady    endpointState = "ready"
	stateDraining endpointState = "draining"
	stateRemoved  endpointState = "gone"
)

// endpoint is a replica as discovery tells it.
type endpoint struct {
	UID      string        `json:"uid"`
	Address  string        `json:"endpoint"`
	Zone     string        `json:"az"`
	Model    string        `json:"model"`
	Cell     int           `json:"pod_group"`
	State    endpointState `json:"state"`
	Capacity float64       `json:"capacity_hint"`
	BootMS   int64         `json:"boot_ms"`
}

// endpointList is an answer of discovery: all endpoints, or those that changed.
type endpointList struct {
	Revision  int        `json:"rev"`
	Full      bool       `json:"all"`
	Endpoints []endpoint `json:"targets"`
}

// endpointHistory is what discovery knows: every revision, so that each agent can be behind by some.
type endpointHistory struct {
	mu      sync.Mutex
	changes []endpoint // revision n is changes[n-1]
	agents  []*agent
}

// publish makes a new revision and has the agents learn of it.
func (h *endpointHistory) publish(change endpoint) {
	h.mu.Lock()
	h.changes = append(h.changes, change)
	revision := len(h.changes)
	agents := h.agents
	h.mu.Unlock()
	for _, agent := range agents {
		agent.publish(revision)
	}
}

// subscribe adds an agent, which learns of all revisions so far and to come.
func (h *endpointHistory) subscribe(agent *agent) {
	h.mu.Lock()
	h.agents = append(h.agents, agent)
	revision := len(h.changes)
	h.mu.Unlock()
	agent.publish(revision)
}

// listAt is the list as of a revision without what was removed, and the endpoints that changed after another revision, in
// the order in which they first appeared.
func (h *endpointHistory) listAt(revision, since int) (all, changed []endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	latest := map[string]endpoint{}
	changedAfter := map[string]bool{}
	var order []string
	for n, change := range h.changes[:revision] {
		if _, known := latest[change.UID]; !known {
			order = append(order, change.UID)
		}
		latest[change.UID] = change
		if n >= since {
			changedAfter[change.UID] = true
		}
	}
	for _, uid := range order {
		if changedAfter[uid] {
			changed = append(changed, latest[uid])
		}
		if latest[uid].State != stateRemoved {
			all = append(all, latest[uid])
		}
	}
	return all, changed
}
