package main

import (
	"fmt"
	"sync"
	"time"

	"terntray/internal/fake"
)

const (
	faultDayReplicas   = 16
	faultDayRate       = 60 // queries a second
	faultDaySubqueries = 5
	faultDayWork       = 20 * time.Millisecond // of a healthy replica, for a call
	slowWork           = 2500 * time.Millisecond

	beforeFault  = 2 * time.Second
	faultTime    = 8 * time.Second
	afterFault   = 6 * time.Second
	maxRecovery  = 5.0  // seconds; what takes longer has not recovered
	maxLateShare = 0.01 // of the queries from some time on to the end, for that time to be after recovery
)

// faultDay is a day on which all replicas have a fault for a while.
type faultDay struct {
	name     string
	behavior func(*fake.Replica, fake.Call)
}

const slowDayName = "slow"

var faultDays = []faultDay{
	{slowDayName, fake.After(slowWork, fake.Succeed)},
	{"silent", fake.Silent},
	{"erring", fake.Fail},
	{"closing", fake.ResetConnection},
}

// playFaultDays plays the light days side by side.
func (s *summary) playFaultDays(program string) {
	var all sync.WaitGroup
	for _, day := range faultDays {
		all.Go(func() {
			recovery, err := day.play(program)
			s.failed(err)
			s.noteFaultDay(day, recovery)
		})
	}
	all.Wait()
}

func (s *summary) noteFaultDay(day faultDay, recovery float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf("all replicas %s for 8 s: back after %.1f s\n", day.name, recovery)
	if day.name == slowDayName {
		s.slowDay = recovery
		return
	}
	worse := recovery == notRecovered || recovery > s.otherDays
	if s.otherDays != notRecovered && worse {
		s.otherDays = recovery
	}
}

// play plays the day: replicas that are healthy, then have the fault for a while, then are healthy again. It returns
// how many seconds after that nearly all queries were in time again, or notRecovered.
func (day faultDay) play(program string) (recovery float64, err error) {
	healthy := fake.After(faultDayWork, fake.Succeed)
	deployment, err := deploy(program, faultDayReplicas, healthy)
	if err != nil {
		return 0, err
	}
	defer deployment.Close()
	const faultEnd = beforeFault + faultTime
	time.AfterFunc(beforeFault, func() { deployment.SetBehavior(day.behavior) })
	time.AfterFunc(faultEnd, func() { deployment.SetBehavior(healthy) })
	results := deployment.load("t", faultDayRate, faultDaySubqueries, faultEnd+afterFault)
	recovery = lastLate(results, faultEnd).Seconds()
	if recovery > maxRecovery {
		return notRecovered, nil
	}
	return recovery, nil
}

// lastLate is how long after a time the last query was due from which on too many were late; 0: none was.
func lastLate(results []fake.LoadResult, after time.Duration) time.Duration {
	late := 0
	seen := 0
	for n := len(results) - 1; n >= 0 && results[n].Due > after; n-- {
		seen++
		if !results[n].WithinObjective(objective) {
			late++
		}
		if float64(late) > maxLateShare*float64(seen)+1 {
			return results[n].Due - after
		}
	}
	return 0
}
