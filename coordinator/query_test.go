package coordinator

import (
	"fmt"
	"testing"
	"time"

	"terntray/internal/wire"
)

// A client sends a query with a timeout of a day and disconnects. The query's state must be released once its attempts
// have ended, not at its deadline.
func TestClosedQueryIsReleasedOnceItsAttemptsEnd(t *testing.T) {
	c := newCoordinator(t, readyReplica("s-a", unreachable))
	from := c.newClient()
	c.receive(from, newQuery("q", 24*time.Hour, 0), 0)
	if timers, _ := c.loop.Timers(); c.counts.Attempts != 1 || timers < 2 {
		t.Fatalf("%d attempts, want 1; %d timers, want at least 2", c.counts.Attempts, timers)
	}
	c.runIteration(func() { c.clientDisconnected(from) })
	c.runPosted()
	if _, last := c.loop.Timers(); last > time.Minute {
		t.Errorf("a timer is left, due at %v", last)
	}
	if c.openSizes() != "0 0 0 0 0" || c.counts.Disconnected != 1 {
		t.Errorf("left: %s, counts %+v", c.openSizes(), c.counts)
	}
}

// openSizes returns the sizes of the collections of open queries and subqueries, and openWork.
func (c *Coordinator) openSizes() string {
	return fmt.Sprint(len(c.queries), len(c.queriesByRequestID), len(c.queriesByClient), len(c.subqueries), c.openWork)
}

// Replicas are replaced and clients connect and disconnect for a long time, always with new ids. The state must not
// grow.
func TestStateDoesNotGrowWithPastQueriesAndReplicas(t *testing.T) {
	c := newCoordinator(t)
	sizes := ""
	for round := range 3000 {
		from := newFakeClient()
		list := &wire.EndpointList{Revision: int64(round), Endpoints: []wire.Endpoint{
			{UID: fmt.Sprint("s-", round-1), State: wire.Removed},
			readyReplica(fmt.Sprint("s-", round), unreachable),
		}}
		c.runIteration(func() {
			endpointHandler{c}.EndpointsReceived(list)
			c.queryArrives(from, newQuery(fmt.Sprint("q", round), time.Second, 0), c.loop.Now())
		})
		c.runIteration(func() { c.clientDisconnected(from) })
		for c.replicas.EndpointCount() > 2 { // until the connects to removed replicas have failed
			c.runIteration(c.loop.Receive())
		}
		if round%1000 != 999 {
			continue
		}
		timers, _ := c.loop.Timers()
		now := fmt.Sprint(c.openSizes(), timers < 10)
		if sizes == "" {
			sizes = now
		}
		if now != sizes {
			t.Errorf("after %d rounds: sizes %s, want %s", round, now, sizes)
		}
	}
	if c.counts.Attempts < 2000 {
		t.Errorf("only %d attempts", c.counts.Attempts)
	}
}
