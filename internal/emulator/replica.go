package emulator

import (
	"slices"
	"time"

	"terntray/scheduler"
)

// Condition is a replica's health: whether it has a fault, and which.
type Condition int

// The conditions.
const (
	Healthy    Condition = iota
	Slow                 // its work takes longer by a factor
	Silent               // accepts attempts and never answers; nor does it answer attempts accepted before
	Paused               // its process is suspended; afterwards it runs its attempts again from the start
	Failing              // answers every attempt with an error immediately
	Overloaded           // rejects every attempt immediately
	Resetting            // resets connections: attempts accepted before, and those that arrive, end as ConnectionReset
	Down                 // cannot be reached; attempts accepted before end as ConnectionReset
)

var conditionNames = [...]string{
	"healthy", "slow", "silent", "paused", "failing", "overloaded", "resetting", "down"}

// String returns the condition in lower case, as it appears in the description of a history.
func (condition Condition) String() string { return conditionNames[condition] }

// Replica runs as many attempts in parallel as it has cores, in order of arrival; with Cores 0, any number of them. It
// rejects attempts that arrive while the queue is full. If SupportsCancel is set, cancelled attempts leave the queue.
type Replica struct {
	ID             scheduler.ReplicaID
	Cell           scheduler.CellNumber
	Cores          int
	QueueLimit     int // attempts that may wait; 0: any number
	SupportsCancel bool
	StartedAt      time.Duration // scheduler.StartUnknown: warm from the beginning
	Warmup         Warmup

	simulation      *Simulation
	condition       Condition
	slowFactor      float64
	queue           []*attempt
	running         []*attempt
	epoch           int // increases when all attempts are dropped, which invalidates their scheduled ends
	AttemptsStarted int
}

// Warmup describes the speed of a replica that has just started: it rises from StartSpeed, a share of full speed, to
// full speed over Duration.
type Warmup struct {
	StartSpeed float64
	Duration   time.Duration
}

// SetCondition changes the replica's condition. The factor applies to Slow.
func (replica *Replica) SetCondition(condition Condition, factor float64) {
	oldCondition, oldSlowdown := replica.condition, replica.slowdown()
	replica.condition, replica.slowFactor = condition, factor
	if slowdown := replica.slowdown(); slowdown != oldSlowdown {
		for _, attempt := range replica.running { // the remaining work continues at the new speed
			replica.scheduleEnd(attempt,
				time.Duration(float64(attempt.endsAt-replica.simulation.Now)*slowdown/oldSlowdown))
		}
	}
	switch {
	case condition == Down || condition == Resetting:
		replica.dropAll(scheduler.ConnectionReset)
	case oldCondition == Silent || condition == Silent:
		replica.dropAll(-1)
	}
	if oldCondition == Down && condition != Down {
		replica.StartedAt = replica.simulation.Now
	}
	if oldCondition == Paused && condition != Paused {
		for _, attempt := range replica.running {
			replica.scheduleEnd(attempt, attempt.work)
		}
		replica.startQueued()
	}
}

// Idle reports whether no attempt is waiting or running.
func (replica *Replica) Idle() bool { return len(replica.queue)+len(replica.running) == 0 }

// dropAll drops all attempts. They end with the outcome; if it is below 0, their ends are never reported.
func (replica *Replica) dropAll(outcome scheduler.Outcome) {
	dropped := slices.Concat(replica.running, replica.queue)
	replica.running, replica.queue = nil, nil
	replica.epoch++
	for _, attempt := range dropped {
		if outcome >= 0 {
			attempt.endAfterDelay(outcome)
		}
	}
}

// receive handles the arrival of an attempt.
func (replica *Replica) receive(attempt *attempt) {
	switch {
	case replica.condition == Down:
		attempt.endAfterDelay(scheduler.Unreachable)
	case replica.condition == Resetting:
		attempt.mayHaveRun = true
		attempt.endAfterDelay(scheduler.ConnectionReset)
	case replica.condition == Silent:
		attempt.mayHaveRun = true
		replica.AttemptsStarted++
	case replica.condition == Failing:
		attempt.mayHaveRun = true
		replica.AttemptsStarted++
		attempt.endAfterDelay(scheduler.Failed)
	case replica.condition == Overloaded, replica.QueueLimit > 0 && len(replica.queue) >= replica.QueueLimit:
		attempt.endAfterDelay(scheduler.Overloaded)
	default:
		replica.queue = append(replica.queue, attempt)
		replica.startQueued()
	}
}

// startQueued starts queued attempts while cores are free.
func (replica *Replica) startQueued() {
	for len(replica.queue) > 0 && replica.condition != Paused &&
		(replica.Cores == 0 || len(replica.running) < replica.Cores) {
		attempt := replica.queue[0]
		replica.queue = replica.queue[1:]
		attempt.mayHaveRun = true
		replica.running = append(replica.running, attempt)
		replica.AttemptsStarted++
		replica.scheduleEnd(attempt, time.Duration(float64(attempt.work)*replica.slowdown()))
	}
}

// slowdown is the factor by which work takes longer now than on a healthy, warm replica.
func (replica *Replica) slowdown() float64 {
	slowdown := 1.0
	if replica.condition == Slow {
		slowdown = replica.slowFactor
	}
	if replica.Warmup.Duration > 0 && replica.StartedAt != scheduler.StartUnknown {
		progress := min(1, (replica.simulation.Now-replica.StartedAt).Seconds()/replica.Warmup.Duration.Seconds())
		slowdown /= replica.Warmup.StartSpeed + (1-replica.Warmup.StartSpeed)*progress
	}
	return slowdown
}

// scheduleEnd sets the time after which a running attempt succeeds; it replaces an earlier one.
func (replica *Replica) scheduleEnd(attempt *attempt, after time.Duration) {
	epoch, endsAt := replica.epoch, replica.simulation.Now+after
	attempt.endsAt = endsAt
	replica.simulation.Schedule(endsAt, func() {
		index := slices.Index(replica.running, attempt)
		if replica.epoch != epoch || index < 0 || attempt.endsAt != endsAt || replica.condition == Paused {
			return
		}
		replica.running = slices.Delete(replica.running, index, index+1)
		attempt.endAfterDelay(scheduler.Succeeded)
		replica.startQueued()
	})
}

// cancel removes a cancelled attempt from the queue. A running attempt continues.
func (replica *Replica) cancel(attempt *attempt) {
	if index := slices.Index(replica.queue, attempt); index >= 0 && replica.SupportsCancel {
		replica.queue = slices.Delete(replica.queue, index, index+1)
	}
}
