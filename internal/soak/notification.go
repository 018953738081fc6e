package soak

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// notification is a change of an endpoint with the time from which on the co-ordinator must know it.
type notification struct {
	uid         string
	state       endpointState
	effectiveAt time.Duration
}

// notifications returns the notifications of all agents of a co-ordinator, sorted by effective time. Those of a
// replaced agent count until the reload that replaced it.
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

// drainingSince returns the time since which a replica has been draining or removed, according to the notifications up
// to a time. It returns false if there is no such notification or the replica is ready again. The notifications must be
// sorted by effective time.
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
