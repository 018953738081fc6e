package emulator

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Fault is a condition that some replicas are in for a while.
type Fault struct {
	Start, Duration time.Duration
	Condition       Condition
	Factor          float64 // of Slow
	Replicas        []int
}

func (t Fault) String() string {
	s := fmt.Sprintf("%v+%v %v of %d", t.Start.Round(time.Millisecond), t.Duration.Round(time.Millisecond), t.Condition, len(t.Replicas))
	if t.Condition == Slow {
		s += fmt.Sprintf(" by %.1f", t.Factor)
	}
	return s
}

// History is a deployment, trouble that ends, and what its clients ask for until then and afterwards.
type History struct {
	Seed       uint64
	Config     FleetConfig
	LoadBefore float64 // of the tracks' rates, while trouble lasts
	LoadAfter  float64 // of the tracks' rates, from its end on
	Faults     []Fault
	HealthyAt  time.Duration // everything is sound and the load light from here on
	ObserveFor time.Duration // from there
	Observer   func(*Fleet)  // looks on twice a second; may be nil
}

func (h History) String() string {
	s := h.Config
	var words []string
	for _, t := range s.Classes {
		words = append(words, fmt.Sprintf("[%s %.1f/s of %d x %v, %v]", t.Effect, t.Rate, t.Subqueries, t.MeanWork, t.Objective))
	}
	for _, t := range h.Faults {
		words = append(words, t.String())
	}
	return fmt.Sprintf("seed %d: %d replicas of %d cores in %d cells reach %d, load %.2f light %.2f, sound at %v, "+
		"budget %v cold %v core %v: %s", h.Seed, s.Replicas, s.Cores, s.Cells, s.CellsPerShard, h.LoadBefore, h.LoadAfter,
		h.HealthyAt, s.RetryBudget.Span > 0, s.Warmup.Duration > 0, s.EventCost, strings.Join(words, " "))
}

// MaxRecovery is when service must be back after everything is sound, at the latest.
func (h History) MaxRecovery() time.Duration {
	back := 5 * time.Second
	for _, t := range h.Config.Classes {
		back = max(back, 2*t.Objective)
	}
	return back + h.Config.Warmup.Duration // rule 4 holds fresh replicas back until then
}

// Result is what became of a history.
type Result struct {
	Stuck       bool          // 99% in time was not reached by Back, or something was turned back on an idle fleet after it
	Recovery    time.Duration // after everything is sound: from when on 99% were fulfilled in time
	Violations  []string      // rules broken
	StuckReason string        // where stuck
	QueryCount  int
	Logs        []string
}

const (
	inTime    = 0.99 // share that must be fulfilled in the agreed time once service is back
	mostParts = 5000 // asked for in one history, so that hundreds run in a minute
)

// Run plays a history.
func (h History) Run() (Result, error) {
	f, err := NewFleet(h.Seed, h.Config)
	if err != nil {
		return Result{}, err
	}
	f.SendLoad(h.LoadBefore, h.HealthyAt)
	for _, t := range h.Faults {
		f.Schedule(t.Start, func() {
			for _, r := range t.Replicas {
				f.Replicas[r].SetCondition(t.Condition, t.Factor)
			}
			if t.Condition == Down {
				f.Coordinator.SendEndpointList(false)
			}
		})
		f.Schedule(t.Start+t.Duration, func() {
			for _, r := range t.Replicas {
				f.Replicas[r].SetCondition(Healthy, 1)
			}
			f.Coordinator.SendEndpointList(false)
		})
	}
	f.Schedule(h.HealthyAt, func() {
		for _, r := range f.Replicas {
			r.SetCondition(Healthy, 1)
		}
		f.Coordinator.SendEndpointList(false)
		f.SendLoad(h.LoadAfter, h.HealthyAt+h.ObserveFor)
	})
	for at := time.Duration(0); h.Observer != nil && at < h.HealthyAt+h.ObserveFor; at += 500 * time.Millisecond {
		f.Schedule(at, func() { h.Observer(f) })
	}
	f.RunUntil(h.HealthyAt + h.ObserveFor)
	end := h.HealthyAt + h.ObserveFor
	for _, t := range h.Config.Classes {
		end = max(end, h.HealthyAt+h.ObserveFor+t.Deadline+time.Second)
	}
	f.RunUntil(end)
	f.Coordinator.Ledger.Close()
	return h.judge(f), nil
}

// judge reads the verdict off what clients saw after everything was sound.
func (h History) judge(f *Fleet) Result {
	v := Result{Violations: f.Coordinator.Ledger.Violations, QueryCount: len(f.Coordinator.Ledger.Queries), Logs: f.Coordinator.Logs}
	after := slices.DeleteFunc(slices.Clone(f.Coordinator.Ledger.Queries), func(q *Query) bool { return q.ArrivedAt < h.HealthyAt })
	back := h.HealthyAt + h.MaxRecovery()
	late, turned, seen := 0, 0, 0
	for n := len(after) - 1; n >= 0; n-- {
		q := after[n]
		seen++
		if !q.WithinObjective() {
			late++
		}
		if float64(late) > (1-inTime)*float64(seen)+1 { // one is let pass, as chance may have it
			v.Recovery = max(v.Recovery, q.ArrivedAt-h.HealthyAt)
		}
		if q.ArrivedAt > back && q.Outcome == Rejected && q.FleetWasIdle {
			turned++
		}
	}
	if v.Recovery > h.MaxRecovery() || turned > 0 {
		v.Stuck = true
		fates := [5]int{}
		for _, q := range after {
			if q.ArrivedAt > back {
				fates[q.Outcome]++
			}
		}
		v.StuckReason = fmt.Sprintf("back after %v; later: whole %d turned back %d (idle fleet %d) scrapped %d", v.Recovery, fates[Complete],
			fates[Rejected], turned, fates[Failed])
	}
	return v
}

// RandomHistory makes a history of any kind from a seed.
func RandomHistory(seed uint64) History {
	w := NewSimulation(seed ^ 0x9e3779b97f4a7c15)
	c := w.Rand
	pick := func(from, to float64) float64 { return from * math.Pow(to/from, c.Float64()) } // log-uniform
	h := History{Seed: seed}
	s := &h.Config
	s.Replicas = int(pick(2, 200.99))
	s.CellsPerShard = min(s.Replicas, 2+c.IntN(2))
	s.Cells = s.CellsPerShard + c.IntN(max(1, s.Replicas-s.CellsPerShard+1))
	if c.IntN(2) == 0 {
		s.Cells = s.CellsPerShard // all hold all
	}
	s.Cores = 1 + c.IntN(8)
	if c.IntN(4) == 0 {
		s.Cores = 0
	}
	s.MaxAttempts, s.HedgeAllowed, s.CancelAllowed = 2+c.IntN(3), c.IntN(4) > 0, c.IntN(4) > 0
	if c.IntN(2) == 0 {
		s.RetryBudget = RetryBudget{MinRetries: 3, Share: 0.1, Span: 10 * time.Second}
	}
	if c.IntN(4) == 0 {
		s.Warmup = Warmup{StartSpeed: 0.25, Duration: 4 * time.Second}
		s.ColdStart = c.IntN(2) == 0
	}
	s.Coordinators = 1
	if c.IntN(3) == 0 {
		s.Coordinators = 1 + c.IntN(60)
	}
	if c.IntN(3) == 0 {
		s.IterationCost, s.EventCost = 20*time.Microsecond, time.Duration(pick(5, 60))*time.Microsecond
	}
	for range 1 + c.IntN(3) {
		t := Class{Objective: seconds(pick(0.3, 4)), Effect: []string{Idempotent, Idempotent, Keyed, NonIdempotent}[c.IntN(4)],
			Subqueries: int(pick(1, 50.99)), WorkSigma: []float64{0, 0.5}[c.IntN(2)], Rate: pick(0.3, 1)}
		t.Deadline = time.Duration(float64(t.Objective) * pick(1.5, 4))
		t.KeyWindow = t.Deadline / 2
		// an idle replica does its part of a query in good time
		side := max(1, s.Cores)
		if s.Cores == 0 {
			side = 64
		}
		deep := math.Ceil(float64(t.Subqueries) / float64(s.Replicas) * 2 / float64(side))
		t.MeanWork = seconds(t.Objective.Seconds() * pick(0.002, 0.08) / max(1, deep))
		s.Classes = append(s.Classes, t)
	}
	if c.IntN(3) == 0 { // for some queries at a time, or a sound box turns away what light load brings
		s.QueueLimit = 8 + c.IntN(60)
		for _, t := range s.Classes {
			s.QueueLimit = max(s.QueueLimit, 4*(1+t.Subqueries/s.Replicas))
		}
	}
	h.HealthyAt = seconds(pick(4, 20))
	h.ObserveFor = h.MaxRecovery() + 10*time.Second
	parts, rate := 0.0, 0.0
	for _, t := range s.Classes {
		parts += t.Rate * float64(t.Subqueries)
		rate += t.Rate
	}
	most := mostParts / h.HealthyAt.Seconds() / parts // of Load
	h.LoadBefore = min(most, s.Capacity()/rate*pick(0.02, 2))
	h.LoadBefore = max(h.LoadBefore, 1/rate)
	h.LoadAfter = max(min(h.LoadBefore, s.Capacity()/rate*0.1, 2500/h.ObserveFor.Seconds()/parts), 1/rate)
	for range 1 + c.IntN(3) {
		t := Fault{Condition: Condition(1 + c.IntN(len(conditionNames)-1)), Factor: pick(2, 200)}
		t.Start = seconds(c.Float64() * h.HealthyAt.Seconds() * 0.7)
		t.Duration = seconds(pick(0.2, max(0.3, (h.HealthyAt-t.Start).Seconds())))
		t.Duration = min(t.Duration, h.HealthyAt-t.Start)
		share := []float64{1, 1, 0.5, 0}[c.IntN(4)]
		for n := range s.Replicas {
			if c.Float64() < share {
				t.Replicas = append(t.Replicas, n)
			}
		}
		if len(t.Replicas) == 0 {
			t.Replicas = []int{c.IntN(s.Replicas)}
		}
		h.Faults = append(h.Faults, t)
	}
	return h
}
