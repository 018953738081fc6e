package coordinator

import (
	"fmt"
	"testing"
	"time"

	"terntray/internal/wire"
)

// A client asks to wait for a day and disconnects. Nothing of its query is remembered for as long.
func TestClosedQueryIsReleasedOnceItsAttemptsEnd(t *testing.T) {
	c := newCoordinator(t, readyReplica("s-a", unreachable))
	from := c.newClient()
	c.receive(from, newQuery("q", 24*time.Hour, 0), 0)
	if timers, _ := c.loop.Timers(); c.counts.Attempts != 1 || timers < 2 {
		t.Fatalf("%d attempts, %d timers", c.counts.Attempts, timers)
	}
	c.runIteration(func() { c.clientDisconnected(from) })
	c.runPosted()
	if _, last := c.loop.Timers(); last > time.Minute {
		t.Errorf("a timer is left that is due at %v", last)
	}
	if c.openSizes() != "0 0 0 0 0" || c.counts.Disconnected != 1 {
		t.Errorf("left: %s, counts %+v", c.openSizes(), c.counts)
	}
}

// openSizes tells how much is kept of what is open.
func (c *Coordinator) openSizes() string {
	return fmt.Sprint(len(c.queries), len(c.queriesByRequestID), len(c.queriesByClient), len(c.subqueries), c.openWork)
}

// Replicas are replaced, clients come and go, and ids are new each time, for long. None of that leaves anything
// behind.
func TestStateDoesNotGrowWithPastQueriesAndReplicas(t *testing.T) {
	c := newCoordinator(t)
	sizes := ""
	for n := range 3000 {
		from := newFakeClient()
		list := &wire.EndpointList{Revision: int64(n), Endpoints: []wire.Endpoint{
			{UID: fmt.Sprint("s-", n-1), State: wire.Removed},
			readyReplica(fmt.Sprint("s-", n), unreachable),
		}}
		c.runIteration(func() {
			endpointHandler{c}.EndpointsReceived(list)
			c.queryArrives(from, newQuery(fmt.Sprint("q", n), time.Second, 0), c.loop.Now())
		})
		c.runIteration(func() { c.clientDisconnected(from) })
		for c.replicas.Endpoints() > 2 { // the last ones' connections have yet to fail
			c.runIteration(c.loop.Receive())
		}
		if n%1000 != 999 {
			continue
		}
		timers, _ := c.loop.Timers()
		now := fmt.Sprint(c.openSizes(), timers < 10)
		if sizes == "" {
			sizes = now
		}
		if now != sizes {
			t.Errorf("after %d: %s, before %s", n, now, sizes)
		}
	}
	if c.counts.Attempts < 2000 {
		t.Errorf("only %d attempts", c.counts.Attempts)
	}
}
