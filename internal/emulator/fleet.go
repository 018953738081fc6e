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
	Replayable = "pure"
	Referenced = "token"
	SingleUse  = "side_effect"
)

// Track is a sort of queries: what is agreed, and what its clients ask for.
type Track struct {
	Agreed, CutOff, Window time.Duration
	Effect                 string
	Parts                  int           // of each query
	Work                   time.Duration // mean of a part's
	Spread                 float64       // sigma of the logarithm of a part's work; 0: all alike
	Rate                   float64       // queries per second
}

// Budget bounds further attempts: Free, and Share of what was taken within the Span. No span: no budget.
type Budget struct {
	Free, Share float64
	Span        time.Duration
}

// Shape is what a deployment is made of.
type Shape struct {
	Replicas, Cells, Reach, Cores int // Reach: cells in a row that hold a shard
	Room                          int
	Tracks                        []Track
	MaxAttempts                   int
	Copies, Cancels               bool
	Budget                        Budget
	Cold                          Cold // no Warm: replicas are warm at once
	Balancers                     int
	PerTurn, PerThing             time.Duration // of a co-ordinator's core; see Node
	ColdStart                     bool          // all replicas are fresh at the start
}

// Fleet is a deployment that runs.
type Fleet struct {
	*World
	Shape
	Replicas []*Replica
	Node     *Node

	byID map[scheduler.ReplicaID]*Replica
	work map[scheduler.RequestID]time.Duration
}

// NewFleet puts a deployment together; the co-ordinator has the whole list.
func NewFleet(seed uint64, s Shape) (*Fleet, error) {
	f := &Fleet{World: NewWorld(seed), Shape: s, byID: map[scheduler.ReplicaID]*Replica{},
		work: map[scheduler.RequestID]time.Duration{}}
	for n := range s.Replicas {
		r := &Replica{ID: scheduler.ReplicaID(1000 + n), Cell: scheduler.CellNumber(n % s.Cells), Cores: s.Cores, Room: s.Room,
			Cancels: s.Cancels, Started: scheduler.StartUnknown, Cold: s.Cold, world: f.World, factor: 1}
		if s.ColdStart {
			r.Started = 0
		}
		f.Replicas, f.byID[r.ID] = append(f.Replicas, r), r
	}
	node, err := newNode(f, seed, s.settings())
	if err != nil {
		return nil, err
	}
	f.Node = node
	node.PerTurn, node.PerThing = s.PerTurn, s.PerThing
	node.Lists(true)
	return f, nil
}

// Capacity is how many queries per second of a track's mix the replicas do when all are sound and warm; without a
// bound where they work on all at once.
func (s Shape) Capacity() float64 {
	work, rate := 0.0, 0.0
	for _, t := range s.Tracks {
		work += t.Rate * float64(t.Parts) * t.Work.Seconds()
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

// Ask has clients ask on an open-loop Poisson schedule, each track at its rate times by, from now until a time.
func (f *Fleet) Ask(by float64, until time.Duration) {
	for n, t := range f.Tracks {
		if t.Rate*by <= 0 {
			continue
		}
		gap := distuv.Exponential{Rate: t.Rate * by, Src: f.Chance}
		var next func()
		next = func() {
			if f.Now < until {
				f.askOnce(n)
				f.At(f.Now+seconds(gap.Rand()), next)
			}
		}
		f.At(f.Now+seconds(gap.Rand()), next)
	}
}

func (f *Fleet) askOnce(track int) {
	t := f.Tracks[track]
	shards, work := make([]int, t.Parts), make([]time.Duration, t.Parts)
	first := f.Chance.IntN(max(1, f.shards()-t.Parts+1))
	for i := range shards {
		shards[i], work[i] = first+i, t.Work
		if t.Spread > 0 { // a log-normal of the same mean
			sample := distuv.LogNormal{Mu: -t.Spread * t.Spread / 2, Sigma: t.Spread, Src: f.Chance}
			work[i] = time.Duration(float64(t.Work) * sample.Rand())
		}
	}
	f.Node.Asks(track, shards, work)
}

func (s Shape) shards() int {
	n := 2 * s.Cells
	for _, t := range s.Tracks {
		n = max(n, t.Parts)
	}
	return n
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// settings are the deployment's as decide.New reads them.
func (s Shape) settings() map[string]string {
	micro := func(d time.Duration) string { return fmt.Sprint(d.Microseconds()) }
	all := map[string]string{"balancers": fmt.Sprint(max(1, s.Balancers)), "lanes.count": fmt.Sprint(len(s.Tracks)),
		"familyInfo.cells": fmt.Sprint(s.Cells), "familyInfo.span": fmt.Sprint(s.Reach),
		"bounds.maxAttempts": fmt.Sprint(s.MaxAttempts), "bounds.mayCancel": fmt.Sprint(s.Cancels),
		"bounds.secondCopies": fmt.Sprint(s.Copies), "discovery": "automatic"}
	var need []string
	for n, t := range s.Tracks {
		path := fmt.Sprintf("lanes.%d.", n)
		all[path+"aim"], all[path+"deadline"], all[path+"effect"] = micro(t.Agreed), micro(t.CutOff), t.Effect
		all[path+"window"] = micro(t.Window)
		need = append(need, "1.0")
	}
	all["familyInfo.classNeed"] = strings.Join(need, ",")
	if s.Budget.Span > 0 {
		all["guarantees.minExtra"], all["guarantees.extraRatio"] = fmt.Sprint(s.Budget.Free), fmt.Sprint(s.Budget.Share)
		all["guarantees.ratioSpan"] = micro(s.Budget.Span)
	}
	if s.Cold.Warm > 0 {
		all["guarantees.tipMultiple"], all["guarantees.startCapacity"] = "3", fmt.Sprint(s.Cold.Share)
		all["guarantees.warmAfter"], all["guarantees.overloadFor"] = micro(s.Cold.Warm), "1500000"
	}
	return all
}
