package scheduler

import (
	"testing"
	"time"
)

// After an outage of any length discovery is polled again soon enough that a change is known within 6 s of its return
// (the operators' limit). That includes a poll that hangs for 2 s, and the time until the list arrives.
func TestEndpointsArePolledInTimeAfterALongOutage(t *testing.T) {
	const (
		pollHangTime  = 2 * time.Second
		maxDelay      = 6 * time.Second
		listDelayTime = 500 * time.Millisecond
	)
	for seed := range 40 {
		m := newModel(t, 16)
		m.settings["guarantees.askEvery"] = "20000000"
		m.start(uint64(seed))
		m.iterate()
		longest := time.Duration(0)
		for range 12 { // an outage of several minutes
			before := len(m.polls)
			m.scheduler.EndpointPollFailed(m.now)
			m.iterate()
			failed := m.now
			for len(m.polls) == before && m.now < failed+time.Minute {
				m.advance(10 * ms)
			}
			longest = max(longest, m.now-failed)
			m.advance(pollHangTime)
		}
		if longest+pollHangTime+listDelayTime > maxDelay {
			t.Fatalf("seed %d: polled %v after a failure; with a poll that hangs for %v, a change is known too late",
				seed, longest, pollHangTime)
		}
	}
}

func TestEndpointsArePolledAgainAfterAFailure(t *testing.T) {
	m := newModel(t, 16)
	if len(m.polls) != 1 {
		t.Fatalf("polled %d times at the start", len(m.polls))
	}
	m.scheduler.EndpointPollFailed(m.now)
	m.iterate()
	m.advance(2 * time.Second)
	if len(m.polls) < 2 {
		t.Fatal("not polled again after a failure")
	}
	m.list(false, false)
	m.iterate()
	polls := len(m.polls)
	m.advance(20 * time.Second)
	if len(m.polls) != polls {
		t.Errorf("polled %d times more while following", len(m.polls)-polls)
	}
}

func TestPollBackoff(t *testing.T) {
	for _, test := range []struct {
		interval time.Duration // Config.PollInterval
		jitter   float64
		want     []time.Duration // from each failure in a row to the next poll
	}{
		{0, 0.5, []time.Duration{500 * ms, 1000 * ms, 2000 * ms, 2000 * ms}},
		{0, 0, []time.Duration{250 * ms, 500 * ms, 1000 * ms, 1000 * ms}},
		{4 * time.Second, 0.5, []time.Duration{500 * ms, 1000 * ms, 1000 * ms}},
	} {
		poller := newEndpointPoller(&Config{Discovery: DiscoverySubscribe, PollInterval: test.interval})
		now := time.Minute
		for n, want := range test.want {
			poller.pollFailed(now, test.jitter)
			if got := poller.nextPollAt - now; !poller.pollPending() || got != want {
				t.Errorf("interval %v, jitter %v: %v after failure %d, want %v",
					test.interval, test.jitter, got, n, want)
			}
			if poller.claimPoll(poller.nextPollAt-1) || !poller.claimPoll(poller.nextPollAt) {
				t.Errorf("interval %v, jitter %v: not polled when due after failure %d", test.interval, test.jitter, n)
			}
		}
		if poller.listReceived(); poller.pollPending() || poller.backoff != firstPollBackoff {
			t.Errorf("a received list does not reset the poller: %+v", poller)
		}
	}
	if poller := newEndpointPoller(&Config{Discovery: DiscoveryAutomatic}); poller.pollPending() {
		t.Error("polls for a list whose changes are delivered without polls")
	}
}
