package scheduler

// Endpoint discovery: what the list says of the replicas, and when it is asked for anew.

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	askFirst    = 500 * time.Millisecond // to the next call after one for the list has failed
	askMost     = 2 * time.Second        // between such calls, and half of it: with a call that hangs, a change is known within 6 s
	askPatience = 8 * time.Second        // without any reply, after which a call counts as lost
)

// EndpointListBegins opens a list: changes, or all, when who is not told is gone; an old one is an earlier life's.
func (c *Scheduler) EndpointListBegins(now time.Duration, full, old bool) {
	c.clock(now)
	c.replicas.listChanged()
	if old {
		c.lastTickAt = now
	} else {
		c.subscribed, c.askWait = true, askFirst
	}
	if full {
		for _, r := range c.replicas.all {
			r.state = Removed
		}
	}
}

// EndpointListed takes one entry of the list that EndpointListBegins opened.
func (c *Scheduler) EndpointListed(now time.Duration, endpoint Endpoint) {
	id, started := endpoint.ID, endpoint.Started
	c.replicas.listChanged()
	r, known := c.replicas.byID[id]
	if !known {
		r = c.replicas.newState(now, c.oldestArrival())
		c.replicas.byID[id], r.id, r.startedAt, r.recovering = r, id, StartUnknown, false
		r.slowdown, r.recentLatency, r.usualLatency, r.limit = 1, 1, 1, initialLimit
		r.retryTokens, r.limitCeiling = initialRetryTokens, maxLimit
		r.utilizationAt, r.peerWork, r.fullUntil = 0, 0, 0
		c.slowStart.listed(r)
		c.outliers.forget(r)
	}
	r.state, r.cell, r.zone, r.size = endpoint.State, endpoint.Cell, endpoint.Zone, cmp.Or(max(0, endpoint.Size), 1)
	if started > r.startedAt {
		r.startedAt, r.limit = started, initialLimit
		c.outliers.forget(r)
		if c.slowStart.warmingUp(r, c.now) { // slow at first
			r.slowdown, r.usualLatency = 1/math.Sqrt(c.slowStart.capacity(r, c.now)), 1
			c.host.Log(fmt.Sprintf("replica %d is cold: easing it in", r.id))
		}
	}
}

func (c *Scheduler) EndpointPollFailed(now time.Duration) {
	c.clock(now)
	c.subscribed = false
	c.askAt = now + scale(c.askWait, 0.5+c.random.next())
	c.askWait = min(askMost, c.pollInterval/4, 2*c.askWait)
}

// follow asks to be told of changes to the list. Guards against: a list that is lost, silently or not. Could
// hurt: by adding to the load of a list service that is swamped, hence the wait.
func (c *Scheduler) follow() {
	if c.mustSubscribe && !c.subscribed {
		if c.now >= c.askAt {
			c.askAt = c.now + min(askPatience, c.pollInterval/2)
			c.host.PollEndpoints()
		}
		c.wakeBy(c.askAt)
	}
}
