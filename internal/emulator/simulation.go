// Package emulator runs a co-ordinator among replicas and clients in virtual time: a discrete-event simulation around
// the real scheduler.Scheduler. Replicas have cores, a queue, work and faults (replica.go); the co-ordinator has a core
// of its own, on which its iterations take time (coordinator.go); clients send on an open-loop schedule (fleet.go). A
// ledger (ledger.go) checks the rules against what replicas and clients observe.
//
// A seed determines a run completely: it is the only source of randomness, and events scheduled for the same time run
// in the order in which they were scheduled. All times are since the start of the simulation. A Simulation must be used
// by one goroutine only.
package emulator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Simulation is the virtual clock and the queue of scheduled events.
type Simulation struct {
	Now  time.Duration
	Rand *rand.Rand

	events       eventQueue
	lastSequence uint64
}

// NewSimulation returns a Simulation at time 0 whose random numbers follow from the seed.
func NewSimulation(seed uint64) *Simulation {
	return &Simulation{Rand: rand.New(rand.NewPCG(seed, 0x74657272))}
}

// Schedule schedules an action for the given time, or for now, after the actions already due, if that time has passed.
func (simulation *Simulation) Schedule(when time.Duration, action func()) {
	simulation.lastSequence++
	heap.Push(&simulation.events, event{max(simulation.Now, when), simulation.lastSequence, action})
}

// RunUntil runs all events scheduled up to and including the given time, which becomes the current time.
func (simulation *Simulation) RunUntil(until time.Duration) {
	for len(simulation.events) > 0 && simulation.events[0].time <= until {
		next := heap.Pop(&simulation.events).(event)
		simulation.Now = next.time
		next.action()
	}
	simulation.Now = max(simulation.Now, until)
}

type event struct {
	time     time.Duration
	sequence uint64 // in order of scheduling
	action   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(a, b int) bool {
	return queue[a].time < queue[b].time || queue[a].time == queue[b].time && queue[a].sequence < queue[b].sequence
}
func (queue eventQueue) Swap(a, b int) { queue[a], queue[b] = queue[b], queue[a] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(event)) }
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	x := (*queue)[last]
	(*queue)[last] = event{}
	*queue = (*queue)[:last]
	return x
}
