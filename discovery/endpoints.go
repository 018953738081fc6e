package discovery

import "terntray/internal/wire"

// endpointTable is the endpoint list as it is known: the last whole one and all changes since.
type endpointTable struct {
	known wire.EndpointList
}

// full is the list as one that names all endpoints.
func (table *endpointTable) full() *wire.EndpointList {
	list := table.known
	list.All = true
	return &list
}

// update applies a whole list, or changes.
func (table *endpointTable) update(list *wire.EndpointList) {
	table.known.Revision = list.Revision
	if list.All {
		table.known.Endpoints = list.Endpoints
		return
	}
	table.applyChanges(list.Endpoints)
}

// applyChanges replaces endpoints by their new states; removed ones are dropped.
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
