package scheduler

import (
	"testing"
	"time"
)

// However long discovery was away, and however the calls for it ended, it is asked again soon enough after its return that a
// change is known 6 s after it could be told (STANDING.md): a call may hang for 2 s, and the list has to arrive.
func TestDiscoveryIsAskedInTimeAfterALongOutage(t *testing.T) {
	const (
		hangs   = 2 * time.Second
		told    = 6 * time.Second
		arrives = 500 * time.Millisecond
	)
	for seed := range 40 {
		m := newModel(t, 16)
		m.settings["guarantees.askEvery"] = "20000000"
		m.start(uint64(seed))
		m.iterate()
		longest := time.Duration(0)
		for range 12 { // an outage of some minutes
			before := len(m.polls)
			m.scheduler.EndpointPollFailed(m.now)
			m.iterate()
			failed := m.now
			for len(m.polls) == before && m.now < failed+time.Minute {
				m.pass(10 * ms)
			}
			longest = max(longest, m.now-failed)
			m.pass(hangs)
		}
		if longest+hangs+arrives > told {
			t.Fatalf("seed %d: asked %v after a call failed; with a call that hangs for %v, a change is known too late", seed, longest, hangs)
		}
	}
}
