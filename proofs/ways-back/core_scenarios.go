package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"terntray/internal/fake"
)

const (
	burstReplicas = 100
	burstRate     = 300 // queries per second
	lightRate     = 20  // queries per second
	lightTime     = 1500 * time.Millisecond

	coreReplicas   = 16
	coreSubqueries = 3
	coreWork       = 2 * time.Millisecond // of a replica for a call
	coreRate       = 5000                 // queries per second, more than a core can process
	overloadFactor = 1.5                  // rate under overload, as a multiple of the measured capacity
	connectTime    = time.Second          // time in which all connections are established
	printInterval  = 100 * time.Millisecond
)

// runCoreScenarios runs the scenarios that need an otherwise idle machine, one after the other.
func (s *summary) runCoreScenarios(program string) {
	var err error
	s.coldBurst, s.lightAfterBurst, err = runBurst(program, 50, 5*time.Millisecond, 4*time.Second)
	s.recordError(err)
	fmt.Printf("cold start with 300 queries/s of 50 subqueries: %.3f within objective, then with 20 queries/s: %.3f\n",
		s.coldBurst, s.lightAfterBurst)
	s.longBurst, _, err = runBurst(program, 5, 200*time.Millisecond, 3*time.Second)
	s.recordError(err)
	fmt.Printf("cold start with 300 queries/s of 5 subqueries of 200 ms: %.3f within objective\n", s.longBurst)
	s.runCoreOverload(program)
}

// runBurst sends a burst to a deployment that has just started, and then a light load. It returns the share of queries
// within the latency objective for each.
func runBurst(program string, subqueries int, work, duration time.Duration) (burst, light float64, err error) {
	deployment, err := deploy(program, burstReplicas, fake.After(work, fake.Succeed))
	if err != nil {
		return 0, 0, err
	}
	defer deployment.Close()
	burst = shareWithinObjective(deployment.load("c", burstRate, subqueries, duration))
	light = shareWithinObjective(deployment.load("l", lightRate, subqueries, lightTime))
	return burst, light, nil
}

// runCoreOverload measures the goodput of a co-ordinator at the capacity of its core and under overload.
func (s *summary) runCoreOverload(program string) {
	capacity, err := runCoreLoad(program, coreRate, time.Second, 2500*time.Millisecond)
	s.recordError(err)
	rate := capacity.steady * overloadFactor
	overload, err := runCoreLoad(program, rate, 3*time.Second, 8*time.Second)
	s.recordError(err)
	fmt.Printf("core overload: capacity %.0f queries/s; at %.0f queries/s, goodput %.0f/s in seconds 2 and 3 and "+
		"%.0f/s in the 5 s after; slowest rejection took %v\n",
		capacity.steady, rate, overload.early, overload.steady, overload.slowestRejection.Round(time.Millisecond))
	s.goodputKept = overload.steady / max(1, capacity.steady)
	s.goodputKeptEarly = overload.early / max(1, capacity.steady)
}

// goodput is the number of queries per second that a co-ordinator answered within the latency objective.
type goodput struct {
	early            float64 // from connectTime until the load counts as steady
	steady           float64 // from then on
	slowestRejection time.Duration
}

// runCoreLoad sends rate queries per second to a co-ordinator with fast replicas. The load counts as steady from
// steadyFrom on.
func runCoreLoad(program string, rate float64, steadyFrom, duration time.Duration) (goodput, error) {
	deployment, err := deploy(program, coreReplicas, fake.After(coreWork, fake.Succeed))
	if err != nil {
		return goodput{}, err
	}
	defer deployment.Close()
	var early, steady []fake.LoadResult
	slowest := time.Duration(0)
	for _, result := range deployment.load("o", rate, coreSubqueries, duration) {
		switch {
		case result.Due >= steadyFrom:
			steady = append(steady, result)
		case result.Due >= connectTime:
			early = append(early, result)
		}
		if result.Status == http.StatusServiceUnavailable {
			slowest = max(slowest, result.Latency)
		}
	}
	return goodput{
		early:            shareWithinObjective(early) * rate,
		steady:           shareWithinObjective(steady) * rate,
		slowestRejection: slowest,
	}, nil
}

// printCoreOverload sends rate queries per second to a co-ordinator, and prints its counters and estimates ten times a
// second.
func printCoreOverload(program string, rate float64) error {
	deployment, err := deploy(program, coreReplicas, fake.After(coreWork, fake.Succeed))
	if err != nil {
		return err
	}
	defer deployment.Close()
	done := make(chan []fake.LoadResult)
	go func() { done <- deployment.load("o", rate, coreSubqueries, 3*time.Second) }()
	succeeded := deployment.Counters()["fulfilled"]
	for {
		select {
		case results := <-done:
			fmt.Printf("goodput %.0f/s\n", shareWithinObjective(results)*rate)
			return nil
		case <-time.After(printInterval):
			succeeded = deployment.printCounters(succeeded)
		}
	}
}

// printCounters prints the counters and estimates, and returns the number of queries that have succeeded so far.
func (d *deployment) printCounters(succeededBefore int) (succeeded int) {
	counters := d.Counters()
	perSecond := int(time.Second/printInterval) * (counters["fulfilled"] - succeededBefore)
	estimates, _, _ := strings.Cut(d.Get("/beliefs"), "replica ")
	fmt.Printf("fulfilled %d/s turned_back=%d scrapped=%d busy=%d open=%d opened=%d %s\n", perSecond,
		counters["turned_back"], counters["scrapped"], counters["busy"], counters["open"], counters["opened"],
		estimates)
	return counters["fulfilled"]
}
