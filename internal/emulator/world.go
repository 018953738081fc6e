// Package emulator runs co-ordinators among replicas and clients in virtual time: a discrete-event simulation
// whose co-ordinators are the real decide.Coordinator. Replicas have cores, a queue, work and conditions
// (conditions.go); a co-ordinator has a core of its own, whose turns cost time (node.go); clients send on an open-loop
// schedule (clients.go). A ledger (ledger.go) judges the rules from what replicas and clients saw.
//
// One seed gives one run, to the byte: chance comes from it alone, and things that happen at one time happen in the
// order in which they were planned. All times are since the world's start. A World is for one goroutine.
package emulator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Simulation is the clock and what is planned.
type Simulation struct {
	Now  time.Duration
	Rand *rand.Rand

	planned plans
	number  uint64
}

// NewSimulation begins at time 0 with the chance of a seed.
func NewSimulation(seed uint64) *Simulation {
	return &Simulation{Rand: rand.New(rand.NewPCG(seed, 0x74657272))}
}

// Schedule plans something; what lies in the past happens next.
func (w *Simulation) Schedule(when time.Duration, do func()) {
	w.number++
	heap.Push(&w.planned, plan{max(w.Now, when), w.number, do})
}

// RunUntil lets everything happen up to a time, that time included.
func (w *Simulation) RunUntil(until time.Duration) {
	for len(w.planned) > 0 && w.planned[0].at <= until {
		next := heap.Pop(&w.planned).(plan)
		w.Now = next.at
		next.do()
	}
	w.Now = max(w.Now, until)
}

type plan struct {
	at     time.Duration
	number uint64 // in order of planning
	do     func()
}

type plans []plan

func (p plans) Len() int { return len(p) }
func (p plans) Less(a, b int) bool {
	return p[a].at < p[b].at || p[a].at == p[b].at && p[a].number < p[b].number
}
func (p plans) Swap(a, b int) { p[a], p[b] = p[b], p[a] }
func (p *plans) Push(x any)   { *p = append(*p, x.(plan)) }
func (p *plans) Pop() any {
	last := len(*p) - 1
	x := (*p)[last]
	(*p)[last] = plan{}
	*p = (*p)[:last]
	return x
}
