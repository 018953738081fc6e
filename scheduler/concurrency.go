package scheduler

// Concurrency limits: how many subqueries may be out at a replica at a time.

import (
	"time"
)

const (
	startCap     = 8.0  // parts; the design's starting cap
	maxCap       = 32.0 // parts; more take too many halvings to bring down
	ceilingReply = 0.1  // parts by which a reply raises what the cap may grow to
	climbed      = 2.5  // times the usual latency; above queueing noise, below what stalls cost

	fullWait = 400 * time.Millisecond // from an attempt turned away to the next there
)

func (c *Scheduler) halve(r *replicaState) {
	if c.now-r.limitHalvedAt >= scale(c.classes[0].subqueryWork, r.slowdown) {
		r.limitHalvedAt, r.limit = c.now, max(1, r.limit/2)
	}
}

// full tells whether a replica turned an attempt away just now or the cap lets nothing go; in each silence one attempt
// goes all the same. Guards against: lost attempts that hold all places. Could hurt: by one, in a jam.
func (c *Scheduler) full(r *replicaState) bool {
	n := len(r.outstanding)
	return c.now < r.fullUntil || float64(n+1) > r.limit &&
		c.now-max(r.lastReplyAt, r.outstanding[n-1].sentAt) < scale(hungAfter, c.timeScale)
}
