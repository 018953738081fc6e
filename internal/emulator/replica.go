package emulator

import (
	"slices"
	"time"

	"terntray/scheduler"
)

// Condition is the state of a replica's health.
type Condition int

const (
	Healthy    Condition = iota
	Slow                 // its work takes longer by its factor
	Silent               // takes attempts and answers none; what it took is lost
	Paused               // its process stands still, and goes on with what it has when it is sound
	Failing              // answers with an error at once
	Overloaded           // turns all away at once
	Resetting            // closes the connection on which an attempt comes
	Down                 // cannot be reached; what it had is lost
)

var conditionNames = [...]string{"sound", "slow", "silent", "stopped", "erring", "full", "closing", "down"}

func (c Condition) String() string { return conditionNames[c] }

// Replica works on as many attempts side by side as it has cores, the rest in order of arrival (0: on all at once).
// A queue of more than Room turns away. Cancelled attempts that wait are dropped where Cancels is set.
type Replica struct {
	ID             scheduler.ReplicaID
	Cell           scheduler.CellNumber
	Cores          int
	QueueLimit     int // attempts that may wait; 0: any number
	SupportsCancel bool
	StartedAt      time.Duration // decide.LongAgo: warm since ever
	Warmup         Warmup

	world           *Simulation
	health          Condition
	factor          float64
	queue           []*attempt
	busy            []*attempt
	epoch           int // counts what was lost with its process or its condition
	AttemptsStarted int // attempts that it has begun
}

// Warmup tells how a fresh replica works: from Share of its speed up to all of it after Warm.
type Warmup struct {
	StartSpeed float64
	Duration   time.Duration
}

// SetCondition changes the condition; factor is for Slow.
func (r *Replica) SetCondition(c Condition, factor float64) {
	was, before := r.health, r.slowness()
	r.health, r.factor = c, factor
	if now := r.slowness(); now != before {
		for _, l := range r.busy { // what is left of them goes on at the new speed
			r.finish(l, time.Duration(float64(l.done-r.world.Now)*now/before))
		}
	}
	switch {
	case c == Down || c == Resetting:
		r.lose(scheduler.ConnectionReset)
	case was == Silent || c == Silent:
		r.lose(-1)
	}
	if was == Down && c != Down {
		r.StartedAt = r.world.Now
	}
	if was == Paused && c != Paused {
		for _, l := range r.busy {
			r.finish(l, l.work)
		}
		r.next()
	}
}

// Idle tells whether no attempt waits or is worked on.
func (r *Replica) Idle() bool { return len(r.queue)+len(r.busy) == 0 }

// lose lets go of all that the replica has; below 0 nobody hears of it.
func (r *Replica) lose(how scheduler.Outcome) {
	all := slices.Concat(r.busy, r.queue)
	r.busy, r.queue = nil, nil
	r.epoch++
	for _, l := range all {
		if how >= 0 {
			l.outcome(how)
		}
	}
}

// takes has an attempt arrive.
func (r *Replica) takes(l *attempt) {
	switch {
	case r.health == Down:
		l.outcome(scheduler.Unreachable)
	case r.health == Resetting:
		l.mayHaveRun = true
		l.outcome(scheduler.ConnectionReset)
	case r.health == Silent:
		l.mayHaveRun = true
		r.AttemptsStarted++
	case r.health == Failing:
		l.mayHaveRun = true
		r.AttemptsStarted++
		l.outcome(scheduler.Failed)
	case r.health == Overloaded, r.QueueLimit > 0 && len(r.queue) >= r.QueueLimit:
		l.outcome(scheduler.Overloaded)
	default:
		r.queue = append(r.queue, l)
		r.next()
	}
}

func (r *Replica) next() {
	for len(r.queue) > 0 && r.health != Paused && (r.Cores == 0 || len(r.busy) < r.Cores) {
		l := r.queue[0]
		r.queue = r.queue[1:]
		l.mayHaveRun = true
		r.busy = append(r.busy, l)
		r.AttemptsStarted++
		r.finish(l, time.Duration(float64(l.work)*r.slowness()))
	}
}

// slowness is by how much longer work takes now.
func (r *Replica) slowness() float64 {
	by := 1.0
	if r.health == Slow {
		by = r.factor
	}
	if r.Warmup.Duration > 0 && r.StartedAt != scheduler.StartUnknown {
		age := min(1, (r.world.Now-r.StartedAt).Seconds()/r.Warmup.Duration.Seconds())
		by /= r.Warmup.StartSpeed + (1-r.Warmup.StartSpeed)*age
	}
	return by
}

func (r *Replica) finish(l *attempt, after time.Duration) {
	epoch, done := r.epoch, r.world.Now+after
	l.done = done
	r.world.Schedule(done, func() {
		at := slices.Index(r.busy, l)
		if r.epoch != epoch || at < 0 || l.done != done || r.health == Paused {
			return
		}
		r.busy = slices.Delete(r.busy, at, at+1)
		l.outcome(scheduler.Succeeded)
		r.next()
	})
}

// cancels has an attempt called off: one that still waits is dropped, one that is worked on goes on.
func (r *Replica) cancels(l *attempt) {
	if at := slices.Index(r.queue, l); at >= 0 && r.SupportsCancel {
		r.queue = slices.Delete(r.queue, at, at+1)
	}
}
