package main

import (
	"fmt"
	"sync"
	"time"

	"terntray/internal/fake"
)

const (
	faultReplicas   = 16
	faultRate       = 60 // queries per second
	faultSubqueries = 5
	healthyWork     = 20 * time.Millisecond   // of a healthy replica for a call
	slowWork        = 2500 * time.Millisecond // of a slow replica for a call

	beforeFault  = 2 * time.Second
	faultTime    = 8 * time.Second
	afterFault   = 6 * time.Second
	maxRecovery  = 5.0  // seconds; a longer recovery counts as none
	maxLateShare = 0.01 // maximum share of late queries from the time of recovery to the end
)

// faultScenario is a scenario in which all replicas have a fault for a while.
type faultScenario struct {
	name     string
	behavior func(*fake.Replica, fake.Call)
}

const slowScenarioName = "slow"

var faultScenarios = []faultScenario{
	{slowScenarioName, fake.After(slowWork, fake.Succeed)},
	{"silent", fake.Silent},
	{"failing", fake.Fail},
	{"resetting", fake.ResetConnection},
}

// runFaultScenarios runs all fault scenarios in parallel.
func (s *summary) runFaultScenarios(program string) {
	var running sync.WaitGroup
	for _, scenario := range faultScenarios {
		running.Go(func() {
			recovery, err := scenario.run(program)
			s.recordError(err)
			s.recordRecovery(scenario, recovery)
		})
	}
	running.Wait()
}

func (s *summary) recordRecovery(scenario faultScenario, recovery float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf("all replicas %s for 8 s: recovered after %.1f s\n", scenario.name, recovery)
	if scenario.name == slowScenarioName {
		s.slowRecovery = recovery
		return
	}
	worse := recovery == notRecovered || recovery > s.otherRecovery
	if s.otherRecovery != notRecovered && worse {
		s.otherRecovery = recovery
	}
}

// run runs the scenario: replicas are healthy, then have the fault for a while, then are healthy again. It returns the
// time from the end of the fault until nearly all queries are within the objective again, in seconds, or notRecovered.
func (scenario faultScenario) run(program string) (recovery float64, err error) {
	healthy := fake.After(healthyWork, fake.Succeed)
	deployment, err := deploy(program, faultReplicas, healthy)
	if err != nil {
		return 0, err
	}
	defer deployment.Close()
	const faultEnd = beforeFault + faultTime
	time.AfterFunc(beforeFault, func() { deployment.SetBehavior(scenario.behavior) })
	time.AfterFunc(faultEnd, func() { deployment.SetBehavior(healthy) })
	results := deployment.load("t", faultRate, faultSubqueries, faultEnd+afterFault)
	recovery = recoveryTime(results, faultEnd).Seconds()
	if recovery > maxRecovery {
		return notRecovered, nil
	}
	return recovery, nil
}

// recoveryTime returns how long after faultEnd the last query was due from which on too many queries were late: more
// than maxLateShare of them, plus one that may be late by chance. It returns 0 if there is no such query.
func recoveryTime(results []fake.LoadResult, faultEnd time.Duration) time.Duration {
	late := 0
	seen := 0
	for n := len(results) - 1; n >= 0 && results[n].Due > faultEnd; n-- {
		seen++
		if !results[n].WithinObjective(objective) {
			late++
		}
		if float64(late) > maxLateShare*float64(seen)+1 {
			return results[n].Due - faultEnd
		}
	}
	return 0
}
