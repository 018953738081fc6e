package soak

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// notification is a change of an endpoint as it counts as told to a coordinator.
type notification struct {
	uid         string
	state       endpointState
	effectiveAt time.Duration
}

// notifications are what a coordinator's agents have told it, in order. An agent that it has left counts until it was
// left.
func (c *coordinator) notifications() (all []notification) {
	until := time.Duration(math.MaxInt64)
	for _, agent := range slices.Backward(c.allAgents()) {
		agent.mu.Lock()
		for _, notification := range agent.notifications {
			if notification.effectiveAt <= until {
				all = append(all, notification)
			}
		}
		until = agent.effectiveFrom - reloadTime
		agent.mu.Unlock()
	}
	slices.SortStableFunc(all, func(a, b notification) int { return cmp.Compare(a.effectiveAt, b.effectiveAt) })
	return all
}

// drainingSince is since when, as of a time, a coordinator has been notified that a replica drains or was removed;
// false: it has not, or the replica was ready again. The notifications are in order.
func drainingSince(notifications []notification, uid string, by time.Duration) (time.Duration, bool) {
	var since time.Duration
	draining := false
	for _, notification := range notifications {
		if notification.effectiveAt > by {
			break
		}
		if notification.uid != uid {
			continue
		}
		if notification.state == stateReady {
			draining = false
			continue
		}
		if !draining {
			draining = true
			since = notification.effectiveAt
		}
	}
	return since, draining
}
