package scheduler

import (
	"maps"
	"slices"
	"time"
)

// Ledger is what the rules count over a span of time: the attempt budget's window and what cold replicas were sent. It
// belongs to the process, not to one Coordinator: one that is made anew after a fault goes on with the ledger of the one
// before.
type Ledger struct {
	taken, extras     []time.Duration             // as in Coordinator, within the budget's span
	coldUntil         map[ReplicaID]time.Duration // until when a cold replica's budget is used up
	flow, warm, blank float64
	asked             []float64
}

// Ledger is a copy of what has been counted so far.
func (c *Scheduler) Ledger() Ledger {
	l := Ledger{taken: slices.Clone(c.taken), extras: slices.Clone(c.extras), coldUntil: maps.Clone(c.coldBefore),
		flow: c.flow, warm: c.warm, blank: c.blank, asked: slices.Clone(c.asked)}
	if l.coldUntil == nil {
		l.coldUntil = map[ReplicaID]time.Duration{}
	}
	for id, r := range c.replicas.byID {
		l.coldUntil[id] = r.slowStartUsedUntil
	}
	return l
}

// Resume has a Coordinator that was just made go on with another's ledger, of the same settings and process. It is to be
// called before anything else.
func (c *Scheduler) Resume(l Ledger) {
	c.taken, c.extras = l.taken, l.extras
	c.coldBefore = l.coldUntil
	c.flow, c.warm, c.blank = l.flow, l.warm, l.blank
	copy(c.asked, l.asked)
}
