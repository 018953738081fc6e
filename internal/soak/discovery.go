package soak

import (
	"sync"
)

// endpointState is the state of a replica in discovery.
type endpointState string

// The values on the wire.
const (
	stateReady    endpointState = "ready"
	stateDraining endpointState = "draining"
	stateRemoved  endpointState = "gone"
)

// endpoint is a replica in the wire format of discovery.
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

// endpointList is a response of discovery: all endpoints, or only those that changed.
type endpointList struct {
	Revision  int        `json:"rev"`
	Full      bool       `json:"all"`
	Endpoints []endpoint `json:"targets"`
}

// endpointHistory holds every revision of the endpoint list, so that each agent can lag behind.
type endpointHistory struct {
	mu      sync.Mutex
	changes []endpoint // revision n is changes[n-1]
	agents  []*agent
}

// publish adds a revision and notifies the agents.
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

// subscribe adds an agent and notifies it of the current revision and all later ones.
func (h *endpointHistory) subscribe(agent *agent) {
	h.mu.Lock()
	h.agents = append(h.agents, agent)
	revision := len(h.changes)
	h.mu.Unlock()
	agent.publish(revision)
}

// listAt returns the endpoints as of a revision without the removed ones, and the endpoints that changed after the
// revision since. Both are in the order in which the endpoints first appeared.
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
