package emulator

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Fault puts some replicas into a condition for a while.
type Fault struct {
	Start, Duration time.Duration
	Condition       Condition
	Factor          float64 // by which Slow replicas are slower
	Replicas        []int   // indexes
}

// String returns the start, duration and condition of the fault and the number of replicas that it affects.
func (fault Fault) String() string {
	text := fmt.Sprintf("%v+%v %v on %d replicas", fault.Start.Round(time.Millisecond),
		fault.Duration.Round(time.Millisecond), fault.Condition, len(fault.Replicas))
	if fault.Condition == Slow {
		text += fmt.Sprintf(" by a factor of %.1f", fault.Factor)
	}
	return text
}

// History is a test scenario: a fleet, faults that end, and the load until then and afterwards.
type History struct {
	Seed       uint64
	Config     FleetConfig
	LoadBefore float64 // until HealthyAt, as a factor of the classes' rates
	LoadAfter  float64 // from HealthyAt on, as a factor of the classes' rates
	Faults     []Fault
	HealthyAt  time.Duration // when all faults have ended and the load becomes light
	ObserveFor time.Duration // from HealthyAt on
	Observer   func(*Fleet)  // called twice a second; may be nil
}

// String returns the seed, the load, the configuration of the fleet and the faults, as a test prints them on failure.
func (history History) String() string {
	config := history.Config
	var details []string
	for _, class := range config.Classes {
		details = append(details, fmt.Sprintf("[%s %.1f/s, %d subqueries of %v, objective %v]", class.Effect,
			class.Rate, class.Subqueries, class.MeanWork, class.Objective))
	}
	for _, fault := range history.Faults {
		details = append(details, fault.String())
	}
	return fmt.Sprintf("seed %d: %d replicas of %d cores in %d cells, %d per shard, load %.2f then %.2f, "+
		"healthy at %v, retry budget %v, warm-up %v, co-ordinator's core time per event %v: %s",
		history.Seed, config.Replicas, config.Cores, config.Cells, config.CellsPerShard, history.LoadBefore,
		history.LoadAfter, history.HealthyAt, config.RetryBudget.Span > 0, config.Warmup.Duration > 0, config.EventCost,
		strings.Join(details, " "))
}

// MaxRecovery is the time after HealthyAt within which the service must recover.
func (history History) MaxRecovery() time.Duration {
	recovery := 5 * time.Second
	for _, class := range history.Config.Classes {
		recovery = max(recovery, 2*class.Objective)
	}
	return recovery + history.Config.Warmup.Duration // slow start limits the load on fresh replicas for that long
}

// Result is the result of running a history.
type Result struct {
	Stuck       bool          // Recovery exceeds MaxRecovery, or after that a query was rejected by an idle fleet
	Recovery    time.Duration // from HealthyAt to when 99% of the queries were answered within their objective
	Violations  []string      // of the ledger's rules
	StuckReason string        // empty unless Stuck
	QueryCount  int
	Logs        []string
}

const (
	minShareInTime = 0.99 // of the queries, to be answered within their objective after recovery

	// maxSubqueries is the number expected before HealthyAt, and half of it after, so that hundreds of histories run in
	// a minute.
	maxSubqueries = 5000
)

// Run runs the history.
func (history History) Run() (Result, error) {
	fleet, err := NewFleet(history.Seed, history.Config)
	if err != nil {
		return Result{}, err
	}
	fleet.SendLoad(history.LoadBefore, history.HealthyAt)
	for _, fault := range history.Faults {
		fleet.Schedule(fault.Start, func() {
			for _, n := range fault.Replicas {
				fleet.Replicas[n].SetCondition(fault.Condition, fault.Factor)
			}
			if fault.Condition == Down {
				fleet.Coordinator.SendEndpointList(false)
			}
		})
		fleet.Schedule(fault.Start+fault.Duration, func() {
			for _, n := range fault.Replicas {
				fleet.Replicas[n].SetCondition(Healthy, 1)
			}
			fleet.Coordinator.SendEndpointList(false)
		})
	}
	fleet.Schedule(history.HealthyAt, func() {
		for _, replica := range fleet.Replicas {
			replica.SetCondition(Healthy, 1)
		}
		fleet.Coordinator.SendEndpointList(false)
		fleet.SendLoad(history.LoadAfter, history.HealthyAt+history.ObserveFor)
	})
	for at := time.Duration(0); history.Observer != nil &&
		at < history.HealthyAt+history.ObserveFor; at += 500 * time.Millisecond {
		fleet.Schedule(at, func() { history.Observer(fleet) })
	}
	fleet.RunUntil(history.HealthyAt + history.ObserveFor)
	end := history.HealthyAt + history.ObserveFor
	for _, class := range history.Config.Classes {
		end = max(end, history.HealthyAt+history.ObserveFor+class.Deadline+time.Second)
	}
	fleet.RunUntil(end)
	fleet.Coordinator.Ledger.Close()
	return history.evaluate(fleet), nil
}

// evaluate derives the result from what clients observed after HealthyAt.
func (history History) evaluate(fleet *Fleet) Result {
	result := Result{Violations: fleet.Coordinator.Ledger.Violations, QueryCount: len(fleet.Coordinator.Ledger.Queries),
		Logs: fleet.Coordinator.Logs}
	queries := slices.DeleteFunc(slices.Clone(fleet.Coordinator.Ledger.Queries),
		func(query *Query) bool { return query.ArrivedAt < history.HealthyAt })
	recoveryDeadline := history.HealthyAt + history.MaxRecovery()
	late, idleRejections, seen := 0, 0, 0
	for n := len(queries) - 1; n >= 0; n-- {
		query := queries[n]
		seen++
		if !query.WithinObjective() {
			late++
		}
		if float64(late) > (1-minShareInTime)*float64(seen)+1 { // one more query may be late by chance
			result.Recovery = max(result.Recovery, query.ArrivedAt-history.HealthyAt)
		}
		if query.ArrivedAt > recoveryDeadline && query.Outcome == Rejected && query.FleetWasIdle {
			idleRejections++
		}
	}
	if result.Recovery > history.MaxRecovery() || idleRejections > 0 {
		result.Stuck = true
		counts := [5]int{}
		for _, query := range queries {
			if query.ArrivedAt > recoveryDeadline {
				counts[query.Outcome]++
			}
		}
		result.StuckReason = fmt.Sprintf(
			"recovered after %v; past the maximum: %d complete, %d rejected (%d on an idle fleet), %d failed",
			result.Recovery, counts[Complete], counts[Rejected], idleRejections, counts[Failed])
	}
	return result
}

// RandomHistory returns the history of a seed.
func RandomHistory(seed uint64) History {
	simulation := NewSimulation(seed ^ 0x9e3779b97f4a7c15)
	random := simulation.Rand
	logUniform := func(from, to float64) float64 { return from * math.Pow(to/from, random.Float64()) }
	history := History{Seed: seed}
	config := &history.Config
	config.Replicas = int(logUniform(2, 200.99))
	config.CellsPerShard = min(config.Replicas, 2+random.IntN(2))
	config.Cells = config.CellsPerShard + random.IntN(max(1, config.Replicas-config.CellsPerShard+1))
	if random.IntN(2) == 0 {
		config.Cells = config.CellsPerShard // every replica holds every shard
	}
	config.Cores = 1 + random.IntN(8)
	if random.IntN(4) == 0 {
		config.Cores = 0
	}
	config.MaxAttempts, config.HedgeAllowed, config.CancelAllowed =
		2+random.IntN(3), random.IntN(4) > 0, random.IntN(4) > 0
	if random.IntN(2) == 0 {
		config.RetryBudget = RetryBudget{MinRetries: 3, Share: 0.1, Span: 10 * time.Second}
	}
	if random.IntN(4) == 0 {
		config.Warmup = Warmup{StartSpeed: 0.25, Duration: 4 * time.Second}
		config.ColdStart = random.IntN(2) == 0
	}
	config.Coordinators = 1
	if random.IntN(3) == 0 {
		config.Coordinators = 1 + random.IntN(60)
	}
	if random.IntN(3) == 0 {
		config.IterationCost, config.EventCost =
			20*time.Microsecond, time.Duration(logUniform(5, 60))*time.Microsecond
	}
	for range 1 + random.IntN(3) {
		class := Class{Objective: seconds(logUniform(0.3, 4)),
			Effect:     []string{Idempotent, Idempotent, Keyed, NonIdempotent}[random.IntN(4)],
			Subqueries: int(logUniform(1, 50.99)), WorkSigma: []float64{0, 0.5}[random.IntN(2)],
			Rate: logUniform(0.3, 1)}
		class.Deadline = time.Duration(float64(class.Objective) * logUniform(1.5, 4))
		class.KeyWindow = class.Deadline / 2
		// The work is limited so that an idle fleet answers each query well within its objective.
		parallelism := max(1, config.Cores)
		if config.Cores == 0 {
			parallelism = 64
		}
		rounds := math.Ceil(float64(class.Subqueries) / float64(config.Replicas) * 2 / float64(parallelism))
		class.MeanWork = seconds(class.Objective.Seconds() * logUniform(0.002, 0.08) / max(1, rounds))
		config.Classes = append(config.Classes, class)
	}
	if random.IntN(3) == 0 { // room for several queries at a time; otherwise healthy replicas reject even light load
		config.QueueLimit = 8 + random.IntN(60)
		for _, class := range config.Classes {
			config.QueueLimit = max(config.QueueLimit, 4*(1+class.Subqueries/config.Replicas))
		}
	}
	history.HealthyAt = seconds(logUniform(4, 20))
	history.ObserveFor = history.MaxRecovery() + 10*time.Second
	subqueryRate, rate := 0.0, 0.0
	for _, class := range config.Classes {
		subqueryRate += class.Rate * float64(class.Subqueries)
		rate += class.Rate
	}
	maxLoad := maxSubqueries / history.HealthyAt.Seconds() / subqueryRate
	history.LoadBefore = min(maxLoad, config.Capacity()/rate*logUniform(0.02, 2))
	history.LoadBefore = max(history.LoadBefore, 1/rate)
	history.LoadAfter = max(min(history.LoadBefore, config.Capacity()/rate*0.1,
		2500/history.ObserveFor.Seconds()/subqueryRate), 1/rate)
	for range 1 + random.IntN(3) {
		fault := Fault{Condition: Condition(1 + random.IntN(len(conditionNames)-1)), Factor: logUniform(2, 200)}
		fault.Start = seconds(random.Float64() * history.HealthyAt.Seconds() * 0.7)
		fault.Duration = seconds(logUniform(0.2, max(0.3, (history.HealthyAt-fault.Start).Seconds())))
		fault.Duration = min(fault.Duration, history.HealthyAt-fault.Start)
		share := []float64{1, 1, 0.5, 0}[random.IntN(4)]
		for n := range config.Replicas {
			if random.Float64() < share {
				fault.Replicas = append(fault.Replicas, n)
			}
		}
		if len(fault.Replicas) == 0 {
			fault.Replicas = []int{random.IntN(config.Replicas)}
		}
		history.Faults = append(history.Faults, fault)
	}
	return history
}
