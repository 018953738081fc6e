package discovery

import "terntray/internal/wire"

// endpointTable holds the last known endpoint list: the last full list with all changes since.
type endpointTable struct {
	known wire.EndpointList
}

// full returns the last known list, marked as a full list.
func (table *endpointTable) full() *wire.EndpointList {
	list := table.known
	list.All = true
	return &list
}

// update applies a full list or a list of changes.
func (table *endpointTable) update(list *wire.EndpointList) {
	table.known.Revision = list.Revision
	if list.All {
		table.known.Endpoints = list.Endpoints
		return
	}
	table.applyChanges(list.Endpoints)
}

// applyChanges replaces changed endpoints and drops removed ones.
func (table *endpointTable) applyChanges(changed []wire.Endpoint) {
	isChanged := map[string]bool{}
	for _, endpoint := range changed {
		isChanged[endpoint.UID] = true
	}
	var kept []wire.Endpoint
	for _, endpoint := range table.known.Endpoints {
		if !isChanged[endpoint.UID] {
			kept = append(kept, endpoint)
		}
	}
	for _, endpoint := range changed {
		if endpoint.State != wire.Removed {
			kept = append(kept, endpoint)
		}
	}
	table.known.Endpoints = kept
}
