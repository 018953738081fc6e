package discovery

import "terntray/internal/wire"

// endpointTable is the endpoint list as it is known: the last whole one and all changes since.
type endpointTable struct {
	known wire.EndpointList
}

// whole is the list as one that names all endpoints.
func (table *endpointTable) whole() *wire.EndpointList {
	list := table.known
	list.All = true
	return &list
}

// update applies a whole list, or changes.
func (table *endpointTable) update(list *wire.EndpointList) {
	table.known.Rev = list.Rev
	if list.All {
		table.known.Targets = list.Targets
		return
	}
	table.change(list.Targets)
}

// change replaces endpoints by their new states; removed ones are dropped.
func (table *endpointTable) change(changed []wire.Target) {
	isChanged := map[string]bool{}
	for _, target := range changed {
		isChanged[target.UID] = true
	}
	var kept []wire.Target
	for _, target := range table.known.Targets {
		if !isChanged[target.UID] {
			kept = append(kept, target)
		}
	}
	for _, target := range changed {
		if target.State != wire.Removed {
			kept = append(kept, target)
		}
	}
	table.known.Targets = kept
}
