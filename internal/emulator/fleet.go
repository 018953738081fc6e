package emulator

import (
	"fmt"
	"math"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"terntray/scheduler"
)

// hop is the way from a co-ordinator to a replica on the same network.
const hop = 200 * time.Microsecond

// Effects, as the module's settings name them.
const (
	Idempotent    = "pure"
	Keyed         = "token"
	NonIdempotent = "side_effect"
)

// Class is a sort of queries: what is agreed, and what its clients ask for.
type Class struct {
	Objective, Deadline, KeyWindow time.Duration
	Effect                         string
	Subqueries                     int           // of each query
	MeanWork                       time.Duration // mean of a part's
	WorkSigma                      float64       // sigma of the logarithm of a part's work; 0: all alike
	Rate                           float64       // queries per second
}

// RetryBudget bounds further attempts: Free, and Share of what was taken within the Span. No span: no budget.
type RetryBudget struct {
	MinRetries, Share float64
	Span              time.Duration
}

// FleetConfig is what a deployment is made of.
type FleetConfig struct {
	Replicas, Cells, CellsPerShard, Cores int // Reach: cells in a row that hold a shard
	QueueLimit                            int
	Classes                               []Class
	MaxAttempts                           int
	HedgeAllowed, CancelAllowed           bool
	RetryBudget                           RetryBudget
	Warmup                                Warmup // no Warm: replicas are warm at once
	Coordinators                          int
	IterationCost, EventCost              time.Duration // of a co-ordinator's core; see Node
	ColdStart                             bool          // all replicas are fresh at the start
}

// Fleet is a deployment that runs.
type Fleet struct {
	*Simulation
	FleetConfig
	Replicas    []*Replica
	Coordinator *Coordinator

	byID map[scheduler.ReplicaID]*Replica
	work map[scheduler.RequestID]time.Duration
}

// NewFleet puts a deployment together; the co-ordinator has the whole list.
func NewFleet(seed uint64, s FleetConfig) (*Fleet, error) {
	f := &Fleet{Simulation: NewSimulation(seed), FleetConfig: s, byID: map[scheduler.ReplicaID]*Replica{},
		work: map[scheduler.RequestID]time.Duration{}}
	for n := range s.Replicas {
		r := &Replica{ID: scheduler.ReplicaID(1000 + n), Cell: scheduler.CellNumber(n % s.Cells), Cores: s.Cores, QueueLimit: s.QueueLimit,
			SupportsCancel: s.CancelAllowed, StartedAt: scheduler.StartUnknown, Warmup: s.Warmup, world: f.Simulation, factor: 1}
		if s.ColdStart {
			r.StartedAt = 0
		}
		f.Replicas, f.byID[r.ID] = append(f.Replicas, r), r
	}
	node, err := newNode(f, seed, s.settings())
	if err != nil {
		return nil, err
	}
	f.Coordinator = node
	node.IterationCost, node.EventCost = s.IterationCost, s.EventCost
	node.SendEndpointList(true)
	return f, nil
}

// Capacity is how many queries per second of a track's mix the replicas do when all are sound and warm; without a
// bound where they work on all at once.
func (s FleetConfig) Capacity() float64 {
	work, rate := 0.0, 0.0
	for _, t := range s.Classes {
		work += t.Rate * float64(t.Subqueries) * t.MeanWork.Seconds()
		rate += t.Rate
	}
	if s.Cores == 0 || work == 0 {
		return math.Inf(1)
	}
	return rate * float64(s.Replicas*s.Cores) / work
}

func (f *Fleet) idle() bool {
	for _, r := range f.Replicas {
		if !r.Idle() {
			return false
		}
	}
	return true
}

// SendLoad has clients ask on an open-loop Poisson schedule, each track at its rate times by, from now until a time.
func (f *Fleet) SendLoad(by float64, until time.Duration) {
	for n, t := range f.Classes {
		if t.Rate*by <= 0 {
			continue
		}
		gap := distuv.Exponential{Rate: t.Rate * by, Src: f.Rand}
		var next func()
		next = func() {
			if f.Now < until {
				f.askOnce(n)
				f.Schedule(f.Now+seconds(gap.Rand()), next)
			}
		}
		f.Schedule(f.Now+seconds(gap.Rand()), next)
	}
}

func (f *Fleet) askOnce(track int) {
	t := f.Classes[track]
	shards, work := make([]int, t.Subqueries), make([]time.Duration, t.Subqueries)
	first := f.Rand.IntN(max(1, f.shards()-t.Subqueries+1))
	for i := range shards {
		shards[i], work[i] = first+i, t.MeanWork
		if t.WorkSigma > 0 { // a log-normal of the same mean
			sample := distuv.LogNormal{Mu: -t.WorkSigma * t.WorkSigma / 2, Sigma: t.WorkSigma, Src: f.Rand}
			work[i] = time.Duration(float64(t.MeanWork) * sample.Rand())
		}
	}
	f.Coordinator.ReceiveQuery(track, shards, work)
}

func (s FleetConfig) shards() int {
	n := 2 * s.Cells
	for _, t := range s.Classes {
		n = max(n, t.Subqueries)
	}
	return n
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// settings are the deployment's as decide.New reads them.
func (s FleetConfig) settings() map[string]string {
	micro := func(d time.Duration) string { return fmt.Sprint(d.Microseconds()) }
	all := map[string]string{"balancers": fmt.Sprint(max(1, s.Coordinators)), "lanes.count": fmt.Sprint(len(s.Classes)),
		"familyInfo.cells": fmt.Sprint(s.Cells), "familyInfo.span": fmt.Sprint(s.CellsPerShard),
		"bounds.maxAttempts": fmt.Sprint(s.MaxAttempts), "bounds.mayCancel": fmt.Sprint(s.CancelAllowed),
		"bounds.secondCopies": fmt.Sprint(s.HedgeAllowed), "discovery": "automatic"}
	var need []string
	for n, t := range s.Classes {
		path := fmt.Sprintf("lanes.%d.", n)
		all[path+"aim"], all[path+"deadline"], all[path+"effect"] = micro(t.Objective), micro(t.Deadline), t.Effect
		all[path+"window"] = micro(t.KeyWindow)
		need = append(need, "1.0")
	}
	all["familyInfo.classNeed"] = strings.Join(need, ",")
	if s.RetryBudget.Span > 0 {
		all["guarantees.minExtra"], all["guarantees.extraRatio"] = fmt.Sprint(s.RetryBudget.MinRetries), fmt.Sprint(s.RetryBudget.Share)
		all["guarantees.ratioSpan"] = micro(s.RetryBudget.Span)
	}
	if s.Warmup.Duration > 0 {
		all["guarantees.tipMultiple"], all["guarantees.startCapacity"] = "3", fmt.Sprint(s.Warmup.StartSpeed)
		all["guarantees.warmAfter"], all["guarantees.overloadFor"] = micro(s.Warmup.Duration), "1500000"
	}
	return all
}
