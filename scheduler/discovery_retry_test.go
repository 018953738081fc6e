package scheduler

import (
	"testing"
	"time"
)

// A poll of the endpoint list fails. It is repeated until one succeeds, and not after that.
func TestListIsPolledAgainAfterAFailure(t *testing.T) {
	m := newModel(t, 16)
	if len(m.polls) != 1 {
		t.Fatalf("asked %d times at the start", len(m.polls))
	}
	m.scheduler.EndpointPollFailed(m.now)
	m.iterate()
	m.pass(2 * time.Second)
	if len(m.polls) < 2 {
		t.Fatal("not asked again after a failure")
	}
	m.list(false, false)
	m.iterate()
	asked := len(m.polls)
	m.pass(20 * time.Second)
	if len(m.polls) != asked {
		t.Errorf("asked %d times more while following", len(m.polls)-asked)
	}
}
