package emulator

import (
	"fmt"
	"math"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"terntray/scheduler"
)

// networkDelay is the one-way delay between a co-ordinator and a replica on the same network.
const networkDelay = 200 * time.Microsecond

// The effects of running a subquery twice, as the scheduler's settings name them.
const (
	Idempotent    = "pure"
	Keyed         = "token"
	NonIdempotent = "side_effect"
)

// Class is a class of queries: its settings, and the load that its clients send.
type Class struct {
	Objective, Deadline, KeyWindow time.Duration
	Effect                         string
	Subqueries                     int           // of each query
	MeanWork                       time.Duration // of a subquery
	WorkSigma                      float64       // standard deviation of the logarithm of the work; 0: constant
	Rate                           float64       // queries per second
}

// RetryBudget limits retries and hedges within a sliding window of Span to MinRetries, plus Share of the queries and
// subqueries that arrived. Span 0: there is no budget.
type RetryBudget struct {
	MinRetries, Share float64
	Span              time.Duration
}

// FleetConfig describes a fleet and its load.
type FleetConfig struct {
	Replicas, Cells, CellsPerShard, Cores int // CellsPerShard: consecutive cells that hold a shard
	QueueLimit                            int // of a replica; 0: none
	Classes                               []Class
	MaxAttempts                           int
	HedgeAllowed, CancelAllowed           bool
	RetryBudget                           RetryBudget
	Warmup                                Warmup        // Duration 0: replicas are warm from their start
	Coordinators                          int           // number configured for the scheduler; only one is simulated
	IterationCost, EventCost              time.Duration // see Coordinator
	ColdStart                             bool          // all replicas start with the simulation
}

// Fleet is a running deployment: replicas and the co-ordinator that sends to them.
type Fleet struct {
	*Simulation
	FleetConfig
	Replicas    []*Replica
	Coordinator *Coordinator

	replicaByID    map[scheduler.ReplicaID]*Replica
	workBySubquery map[scheduler.RequestID]time.Duration
}

// NewFleet creates a fleet whose co-ordinator receives the full endpoint list at the start.
func NewFleet(seed uint64, config FleetConfig) (*Fleet, error) {
	fleet := &Fleet{Simulation: NewSimulation(seed), FleetConfig: config,
		replicaByID: map[scheduler.ReplicaID]*Replica{}, workBySubquery: map[scheduler.RequestID]time.Duration{}}
	for n := range config.Replicas {
		replica := &Replica{ID: scheduler.ReplicaID(1000 + n), Cell: scheduler.CellNumber(n % config.Cells),
			Cores: config.Cores, QueueLimit: config.QueueLimit, SupportsCancel: config.CancelAllowed,
			StartedAt: scheduler.StartUnknown, Warmup: config.Warmup, simulation: fleet.Simulation, slowFactor: 1}
		if config.ColdStart {
			replica.StartedAt = 0
		}
		fleet.Replicas, fleet.replicaByID[replica.ID] = append(fleet.Replicas, replica), replica
	}
	coordinator, err := newCoordinator(fleet, seed, config.settings())
	if err != nil {
		return nil, err
	}
	fleet.Coordinator = coordinator
	coordinator.IterationCost, coordinator.EventCost = config.IterationCost, config.EventCost
	coordinator.SendEndpointList(true)
	return fleet, nil
}

// Capacity is the rate, in queries per second of the classes' mix, that the replicas can serve when all are healthy and
// warm. It is infinite if replicas run any number of attempts in parallel.
func (config FleetConfig) Capacity() float64 {
	work, rate := 0.0, 0.0
	for _, class := range config.Classes {
		work += class.Rate * float64(class.Subqueries) * class.MeanWork.Seconds()
		rate += class.Rate
	}
	if config.Cores == 0 || work == 0 {
		return math.Inf(1)
	}
	return rate * float64(config.Replicas*config.Cores) / work
}

// idle reports whether no replica has an attempt waiting or running.
func (fleet *Fleet) idle() bool {
	for _, replica := range fleet.Replicas {
		if !replica.Idle() {
			return false
		}
	}
	return true
}

// SendLoad schedules the queries that clients send from now until the given time, on an open-loop Poisson schedule:
// each class at its rate times the factor.
func (fleet *Fleet) SendLoad(factor float64, until time.Duration) {
	for index, class := range fleet.Classes {
		if class.Rate*factor <= 0 {
			continue
		}
		interval := distuv.Exponential{Rate: class.Rate * factor, Src: fleet.Rand}
		var next func()
		next = func() {
			if fleet.Now < until {
				fleet.sendQuery(index)
				fleet.Schedule(fleet.Now+seconds(interval.Rand()), next)
			}
		}
		fleet.Schedule(fleet.Now+seconds(interval.Rand()), next)
	}
}

// sendQuery sends a query of a class to consecutive shards, the first of which is random.
func (fleet *Fleet) sendQuery(classIndex int) {
	class := fleet.Classes[classIndex]
	shards, work := make([]int, class.Subqueries), make([]time.Duration, class.Subqueries)
	first := fleet.Rand.IntN(max(1, fleet.shardCount()-class.Subqueries+1))
	for i := range shards {
		shards[i], work[i] = first+i, class.MeanWork
		if class.WorkSigma > 0 { // a log-normal distribution with the same mean
			distribution := distuv.LogNormal{Mu: -class.WorkSigma * class.WorkSigma / 2, Sigma: class.WorkSigma,
				Src: fleet.Rand}
			work[i] = time.Duration(float64(class.MeanWork) * distribution.Rand())
		}
	}
	fleet.Coordinator.ReceiveQuery(classIndex, shards, work)
}

// shardCount is at least the number of subqueries of any query.
func (config FleetConfig) shardCount() int {
	count := 2 * config.Cells
	for _, class := range config.Classes {
		count = max(count, class.Subqueries)
	}
	return count
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// settings returns the configuration as scheduler.ParseConfig reads it.
func (config FleetConfig) settings() map[string]string {
	micros := func(duration time.Duration) string { return fmt.Sprint(duration.Microseconds()) }
	settings := map[string]string{"balancers": fmt.Sprint(max(1, config.Coordinators)),
		"lanes.count":      fmt.Sprint(len(config.Classes)),
		"familyInfo.cells": fmt.Sprint(config.Cells), "familyInfo.span": fmt.Sprint(config.CellsPerShard),
		"bounds.maxAttempts": fmt.Sprint(config.MaxAttempts), "bounds.mayCancel": fmt.Sprint(config.CancelAllowed),
		"bounds.secondCopies": fmt.Sprint(config.HedgeAllowed), "discovery": "automatic"}
	var completeShares []string
	for n, class := range config.Classes {
		path := fmt.Sprintf("lanes.%d.", n)
		settings[path+"aim"], settings[path+"deadline"], settings[path+"effect"] =
			micros(class.Objective), micros(class.Deadline), class.Effect
		settings[path+"window"] = micros(class.KeyWindow)
		completeShares = append(completeShares, "1.0")
	}
	settings["familyInfo.classNeed"] = strings.Join(completeShares, ",")
	if config.RetryBudget.Span > 0 {
		settings["guarantees.minExtra"], settings["guarantees.extraRatio"] =
			fmt.Sprint(config.RetryBudget.MinRetries), fmt.Sprint(config.RetryBudget.Share)
		settings["guarantees.ratioSpan"] = micros(config.RetryBudget.Span)
	}
	if config.Warmup.Duration > 0 {
		settings["guarantees.tipMultiple"], settings["guarantees.startCapacity"] =
			"3", fmt.Sprint(config.Warmup.StartSpeed)
		settings["guarantees.warmAfter"], settings["guarantees.overloadFor"] =
			micros(config.Warmup.Duration), "1500000"
	}
	return settings
}
