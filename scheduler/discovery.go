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
	clear(c.held)
	if old {
		c.refilled = now
	} else {
		c.subscribed, c.askWait = true, askFirst
	}
	for r := 0; full && r < len(c.life); r++ {
		c.life[r] = Removed
	}
}

// EndpointListed takes one entry of the list that EndpointListBegins opened.
func (c *Scheduler) EndpointListed(now time.Duration, endpoint Endpoint) {
	id, started := endpoint.ID, endpoint.Started
	clear(c.held)
	r, known := c.index[id]
	if !known {
		r = c.room()
		delete(c.index, c.id[r])
		c.index[id], c.id[r], c.started[r], c.growing[r] = r, id, StartUnknown, false
		c.pace[r], c.recent[r], c.usual[r], c.limit[r] = 1, 1, 1, startCap
		c.credit[r], c.ceiling[r] = startCredit, maxCap
		c.toldAt[r], c.ahead[r], c.fullTo[r] = 0, 0, 0
		c.coldAt[r] = c.coldBefore[id]
		delete(c.coldBefore, id)
		c.sound(r)
	}
	c.life[r], c.cell[r], c.zone[r], c.size[r] = endpoint.State, endpoint.Cell, endpoint.Zone, cmp.Or(max(0, endpoint.Size), 1)
	if started > c.started[r] {
		c.started[r], c.limit[r] = started, startCap
		c.sound(r)
		if c.coldFor(r) { // slow at first
			c.pace[r], c.usual[r] = 1/math.Sqrt(c.warmth(r)), 1
			c.host.Log(fmt.Sprintf("replica %d is cold: easing it in", c.id[r]))
		}
	}
}

func (c *Scheduler) EndpointPollFailed(now time.Duration) {
	c.clock(now)
	c.subscribed = false
	c.askAt = now + scale(c.askWait, 0.5+c.chance())
	c.askWait = min(askMost, c.askEvery/4, 2*c.askWait)
}

// follow asks to be told of changes to the list. Guards against: a list that is lost, silently or not. Could
// hurt: by adding to the load of a list service that is swamped, hence the wait.
func (c *Scheduler) follow() {
	if c.asks && !c.subscribed {
		if c.now >= c.askAt {
			c.askAt = c.now + min(askPatience, c.askEvery/2)
			c.host.PollEndpoints()
		}
		c.wake(c.askAt)
	}
}
