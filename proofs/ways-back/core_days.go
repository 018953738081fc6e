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
	burstRate     = 300 // queries a second
	lightRate     = 20
	lightTime     = 1500 * time.Millisecond

	coreReplicas   = 16
	coreSubqueries = 3
	coreWork       = 2 * time.Millisecond // of a replica, for a call
	coreRate       = 5000                 // queries a second: more than a core does
	coreOverload   = 1.5                  // times what it does
	connectTime    = time.Second          // from then on connections are up
	printInterval  = 100 * time.Millisecond
)

// playCoreDays plays the days that need a core to themselves.
func (s *summary) playCoreDays(program string) {
	var err error
	s.startBurst, s.afterBurst, err = playBurst(program, 50, 5*time.Millisecond, 4*time.Second)
	s.failed(err)
	fmt.Printf("300/s of 50 parts from the first second: %.3f fulfilled, then 20/s: %.3f\n",
		s.startBurst, s.afterBurst)
	s.wideBurst, _, err = playBurst(program, 5, 200*time.Millisecond, 3*time.Second)
	s.failed(err)
	fmt.Printf("300/s of 5 parts of 200 ms: %.3f fulfilled\n", s.wideBurst)
	s.playOwnCore(program)
}

// playBurst starts cold under a burst, then goes on lightly; it returns the shares of each that were in time.
func playBurst(program string, subqueries int, work, duration time.Duration) (burst, light float64, err error) {
	deployment, err := deploy(program, burstReplicas, fake.After(work, fake.Succeed))
	if err != nil {
		return 0, 0, err
	}
	defer deployment.Close()
	burst = shareInTime(deployment.load("c", burstRate, subqueries, duration))
	light = shareInTime(deployment.load("l", lightRate, subqueries, lightTime))
	return burst, light, nil
}

// playOwnCore asks for more than the coordinator's core does, and compares it with what it does at its limit.
func (s *summary) playOwnCore(program string) {
	limit, err := playCoreLoad(program, coreRate, time.Second, 2500*time.Millisecond)
	s.failed(err)
	rate := limit.settled * coreOverload
	over, err := playCoreLoad(program, rate, 3*time.Second, 8*time.Second)
	s.failed(err)
	fmt.Printf("own core: %.0f/s fulfilled at its limit; asked for %.0f/s, %.0f/s in the second and third second, "+
		"%.0f/s in the five after; turned back within %v\n",
		limit.settled, rate, over.early, over.settled, over.slowestRejection.Round(time.Millisecond))
	s.coreKept = over.settled / max(1, limit.settled)
	s.coreKeptSoon = over.early / max(1, limit.settled)
}

// throughput is what a coordinator answered within the latency objective, in queries a second.
type throughput struct {
	early            float64 // of what came once connections were up, until it settled
	settled          float64 // of what came from then on
	slowestRejection time.Duration
}

// playCoreLoad sends so many queries a second to a coordinator whose replicas are quick.
func playCoreLoad(program string, rate float64, settleTime, duration time.Duration) (throughput, error) {
	deployment, err := deploy(program, coreReplicas, fake.After(coreWork, fake.Succeed))
	if err != nil {
		return throughput{}, err
	}
	defer deployment.Close()
	var early, settled []fake.LoadResult
	slowest := time.Duration(0)
	for _, result := range deployment.load("o", rate, coreSubqueries, duration) {
		switch {
		case result.Due >= settleTime:
			settled = append(settled, result)
		case result.Due >= connectTime:
			early = append(early, result)
		}
		if result.Status == http.StatusServiceUnavailable {
			slowest = max(slowest, result.Latency)
		}
	}
	return throughput{
		early:            shareInTime(early) * rate,
		settled:          shareInTime(settled) * rate,
		slowestRejection: slowest,
	}, nil
}

// printOwnCore plays the day of a short core and tells its counters and the use of the core, ten times a second.
func printOwnCore(program string, rate float64) error {
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
			fmt.Printf("in time %.0f/s\n", shareInTime(results)*rate)
			return nil
		case <-time.After(printInterval):
			succeeded = deployment.printCounters(succeeded)
		}
	}
}

// printCounters prints what the counters say, and returns how many queries have succeeded so far.
func (d *deployment) printCounters(succeededBefore int) (succeeded int) {
	counters := d.Counters()
	perSecond := int(time.Second/printInterval) * (counters["fulfilled"] - succeededBefore)
	ownEstimates, _, _ := strings.Cut(d.Get("/beliefs"), "replica ")
	fmt.Printf("fulfilled %d/s turned_back=%d scrapped=%d busy=%d open=%d opened=%d %s\n", perSecond,
		counters["turned_back"], counters["scrapped"], counters["busy"], counters["open"], counters["opened"],
		ownEstimates)
	return counters["fulfilled"]
}
