// Package membership keeps the list of endpoints that discovery has sent, and decides which state each of them has where lists
// of different ages disagree.
//
// Another discovery agent, or one that has restarted, may send a list that is older than one before. If that list undid a
// drain, subqueries would be sent to a replica long after this process learned that it drains. So an endpoint that was
// told to drain or to be gone stays withdrawn until a list is at least as new as the one that told it, the endpoint's process
// has restarted, or withdrawalHold has passed, as revisions may also start over.
//
// The package has no I/O, clock or goroutine.
package membership

import (
	"slices"
	"time"

	"terntray/internal/wire"
)

// withdrawalHold is how long an older list cannot undo a withdrawal. Lists are late by up to ten seconds, and the agents of
// a deployment are no further apart.
const withdrawalHold = 15 * time.Second

// Table holds the last known list: the last full list with all changes since.
type Table struct {
	known     wire.EndpointList // with the states as they were sent
	withdrawn map[string]withdrawal
}

// withdrawal is what was told of an endpoint that drains or is gone.
type withdrawal struct {
	state    string
	revision int64 // of the list that told it
	bootMS   int64 // start of the process that it concerns; 0: unknown or long ago
	until    time.Duration
}

// NewTable returns a table with a list that is known from before.
func NewTable(known wire.EndpointList) *Table {
	return &Table{known: known, withdrawn: map[string]withdrawal{}}
}

// IsEmpty reports whether no endpoint is known.
func (table *Table) IsEmpty() bool { return len(table.known.Endpoints) == 0 }

// Full returns the last known list, marked as a full list, with the states that hold now.
func (table *Table) Full(now time.Duration) *wire.EndpointList {
	list := table.known
	list.All = true
	return table.withStates(&list, now)
}

// Update applies a full list or a list of changes that was received now. It returns the list with the states that hold, and
// the time after which those of some endpoints change without another list; 0 if there are none.
func (table *Table) Update(list *wire.EndpointList, now time.Duration) (effective *wire.EndpointList, changesIn time.Duration) {
	table.recordWithdrawals(list, now)
	table.known.Revision = list.Revision
	if list.All {
		table.known.Endpoints = list.Endpoints
	} else {
		table.applyChanges(list.Endpoints)
	}
	return table.withStates(list, now), table.nextLift(now)
}

// Lifted returns the endpoints whose withdrawals have been held for long enough, as a list of changes, and the time after
// which there are more; 0 if there are none.
func (table *Table) Lifted(now time.Duration) (lifted *wire.EndpointList, changesIn time.Duration) {
	lifted = &wire.EndpointList{Revision: table.known.Revision}
	for _, endpoint := range table.known.Endpoints {
		held, isHeld := table.withdrawn[endpoint.UID]
		if isHeld && endpoint.State == wire.Ready && held.until <= now {
			lifted.Endpoints = append(lifted.Endpoints, endpoint)
			delete(table.withdrawn, endpoint.UID)
		}
	}
	return lifted, table.nextLift(now)
}

// recordWithdrawals records which endpoints a list withdraws, and forgets withdrawals that it ends.
func (table *Table) recordWithdrawals(list *wire.EndpointList, now time.Duration) {
	for uid, held := range table.withdrawn {
		if held.until <= now {
			delete(table.withdrawn, uid)
		}
	}
	unlisted := map[string]wire.Endpoint{} // known, and not in the list
	for _, endpoint := range table.known.Endpoints {
		unlisted[endpoint.UID] = endpoint
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.State != wire.Ready { // it may be sent without the start of its process
			endpoint.BootMS = max(endpoint.BootMS, unlisted[endpoint.UID].BootMS)
		}
		table.recordState(endpoint, list.Revision, now)
		delete(unlisted, endpoint.UID)
	}
	if !list.All {
		return
	}
	for _, endpoint := range unlisted {
		endpoint.State = wire.Removed
		table.recordState(endpoint, list.Revision, now)
	}
}

func (table *Table) recordState(endpoint wire.Endpoint, revision int64, now time.Duration) {
	held, isHeld := table.withdrawn[endpoint.UID]
	if endpoint.State == wire.Ready {
		if isHeld && (revision >= held.revision || endpoint.BootMS > held.bootMS) {
			delete(table.withdrawn, endpoint.UID)
		}
		return
	}
	if isHeld && held.state == wire.Removed && endpoint.State == wire.Draining {
		return // what is gone does not drain
	}
	table.withdrawn[endpoint.UID] = withdrawal{
		state:    endpoint.State,
		revision: max(revision, held.revision),
		bootMS:   endpoint.BootMS,
		until:    now + withdrawalHold,
	}
}

// withStates returns a list with the states that hold now. A list in which nothing changes is returned as it is.
func (table *Table) withStates(list *wire.EndpointList, now time.Duration) *wire.EndpointList {
	changes := func(endpoint wire.Endpoint) bool { return table.stateOf(endpoint, now) != endpoint.State }
	if !slices.ContainsFunc(list.Endpoints, changes) {
		return list
	}
	effective := *list
	effective.Endpoints = nil
	for _, endpoint := range list.Endpoints {
		endpoint.State = table.stateOf(endpoint, now)
		isLeftOut := list.All && endpoint.State == wire.Removed // a full list names no removed endpoints
		if !isLeftOut {
			effective.Endpoints = append(effective.Endpoints, endpoint)
		}
	}
	return &effective
}

func (table *Table) stateOf(endpoint wire.Endpoint, now time.Duration) string {
	held, isHeld := table.withdrawn[endpoint.UID]
	if isHeld && endpoint.State == wire.Ready && held.until > now {
		return held.state
	}
	return endpoint.State
}

// nextLift returns the time until a withdrawal has been held for long enough while the known list says otherwise.
func (table *Table) nextLift(now time.Duration) (in time.Duration) {
	for _, endpoint := range table.known.Endpoints {
		held, isHeld := table.withdrawn[endpoint.UID]
		if !isHeld || endpoint.State != wire.Ready {
			continue
		}
		left := max(held.until-now, 1)
		if in == 0 || left < in {
			in = left
		}
	}
	return in
}

// applyChanges replaces changed endpoints and drops removed ones.
func (table *Table) applyChanges(changed []wire.Endpoint) {
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
