package scheduler

// Slow start: how much a cold replica is sent, all co-ordinators together.

import (
	"time"
)

const (
	coldLanes  = 2.0 // parts side by side that a cold budget counts on
	coldSafety = 0.8 // share of this instance's part of the cold budget that it uses
	coldMany   = 2.0 // its divisor where it is less than a part
	coldFlow   = 0.5 // share of the multiple that topples, of what warm ones get
)

func (c *Scheduler) coldFor(r *replicaState) bool {
	return c.overloadMultiple > 0 && r.startedAt != StartUnknown && c.now-r.startedAt < c.warmUpTime+c.overloadTime
}

func (c *Scheduler) warmth(r *replicaState) float64 {
	age := max(0, (c.now-r.startedAt).Seconds()/c.warmUpTime.Seconds())
	return min(1, c.startCapacity+(1-c.startCapacity)*age)
}

// coldRoom keeps to this instance's share of a cold replica's budget: where that is less than a part, chance
// lets each go or not, as many as it and what warm ones get allow. Guards against: pushing over a fresh
// replica, and leaving it idle. Could hurt: where the warm ones are sent far more than they can do.
func (c *Scheduler) coldRoom(r *replicaState, p *subquery) bool {
	if !c.coldFor(r) || p == nil {
		return true
	}
	takes := c.coldTakes(r, p.work)
	if burst := scale(c.overloadTime, 1/coldSafety-1); takes <= burst {
		return c.now >= r.slowStartUsedUntil+takes-burst
	}
	allowed, asked := coldFlow*c.overloadMultiple*c.warmth(r)*c.flow/max(1, c.warm), 0.0
	allowed += (1 - c.blank) * flowFades / takes.Seconds() / coldMany
	for back := range c.cellsPerShard {
		asked += c.asked[(int(r.cell)-back+c.cells)%c.cells]
	}
	return c.random.of(uint64(p.id), uint64(r.id))*asked < allowed
}

// countSent notes that a subquery's work goes to a replica.
func (c *Scheduler) countSent(r *replicaState, work time.Duration) {
	if c.coldFor(r) {
		r.slowStartUsedUntil = max(r.slowStartUsedUntil, c.now) + c.coldTakes(r, work)
	}
}

// countAnswered notes that a replica has answered. What warm ones answer shows what one of them can do; what they are sent
// does not, while they are sent too much.
func (c *Scheduler) countAnswered(r *replicaState) {
	if !c.coldFor(r) {
		c.flow++
	}
}

// coldTakes is the time in which the share allows for so much work; warm, a replica does what others do.
func (c *Scheduler) coldTakes(r *replicaState, work time.Duration) time.Duration {
	share := coldSafety * c.overloadMultiple * c.warmth(r) * min(c.parallelism, coldLanes) / float64(c.coordinators)
	return scale(work, 1/share)
}
