package coordinator

import (
	"strings"
	"testing"
	"time"

	"terntray/internal/netconn"
)

// A query's deadline has passed before the query could be read. It is rejected at once, and nothing of it is sent.
func TestExpiredQueryIsRejectedOnArrival(t *testing.T) {
	c := newWithUnreachableReplica(t)
	c.loop.AdvanceClock(10 * time.Second)
	from := c.newClient()
	c.receive(from, newQuery("q", 100*time.Millisecond, 0), 200*time.Millisecond)
	if len(from.responses) != 1 || !strings.Contains(string(<-from.responses), " 503 ") {
		t.Error("it is not rejected")
	}
	if c.counts.RejectedExpired != 1 || c.counts.Attempts+c.counts.Violations > 0 || len(c.queries) > 0 {
		t.Errorf("counts %+v, %d open", c.counts, len(c.queries))
	}
}

// A client disconnects while its query waits for the loop, or in the iteration that accepts it; the notification of
// that waits in a full inbox. Nothing of the query is sent.
func TestNothingIsSentWhileADisconnectIsPending(t *testing.T) {
	c := newWithUnreachableReplica(t)
	early := c.newClient()
	early.gone.Store(true)
	c.receive(early, newQuery("q", time.Second, 0), 0)
	if c.counts.Attempts > 0 || c.counts.Disconnected != 1 {
		t.Errorf("not accepted: counts %+v", c.counts)
	}
	late := c.newClient()
	c.runIteration(func() {
		c.queryArrives(late, newQuery("r", time.Second, 0), c.loop.Now())
		late.gone.Store(true)
	})
	c.runPosted()
	if c.replicas.Conns() > 0 {
		t.Errorf("accepted, then disconnected: %d connections for its subqueries", c.replicas.Conns())
	}
}

// A client disconnects, and its end lies unread in the kernel while its query waits for the loop. Nothing of the
// query is sent.
func TestQueuedQueryOfDisconnectedClientIsNotSent(t *testing.T) {
	for _, waited := range []time.Duration{0, time.Second} {
		c := newWithUnreachableReplica(t)
		near, far := connPair(t)
		from := c.server.NewConn(near)
		far.Close()
		if waited > 0 {
			waitForState(t, near, netconn.Ended)
		}
		c.loop.AdvanceClock(10 * time.Second)
		c.receive(from, newQuery("q", 5*time.Second, 0), waited)
		if waited > 0 && (c.counts.Disconnected == 0 || c.counts.Attempts > 0) {
			t.Errorf("it waited for %v: counts %+v", waited, c.counts)
		}
	}
}

// One tenant asks for more than its quota. Its queries are rejected, and those of no other: each query is charged
// to the tenant that it names, and to none if the settings do not name that one.
func TestQueriesAreChargedToTheirTenant(t *testing.T) {
	c := newCoordinatorWith(t, map[string]string{
		"orgs.count":       "2",
		"orgs.1.name":      "c",
		"orgs.0.quotaPerS": "1",
		"orgs.1.quotaPerS": "1",
	})
	isRejected := func(tenant string, shards ...int) bool {
		before := c.counts.Rejected
		query := newQuery("q", 6*time.Second, shards...)
		query.Tenant = tenant
		from := c.newClient()
		arrives := func() { c.queryArrives(from, query, c.loop.Now()) }
		c.loop.RunIteration(arrives, func() { c.scheduler.Decide(c.loop.Now()) })
		c.loop.RunIteration(func() { c.clientDisconnected(from) }, func() {})
		c.runPosted()
		return c.counts.Rejected > before
	}
	for range 2 { // its quota
		isRejected("a,b", 0)
	}
	for _, tenant := range []string{"a,b", "c", "", "nobody"} {
		// Four subqueries at one replica take a third of the latency objective.
		if got := isRejected(tenant, 0, 2, 4, 6); got != (tenant == "a,b") {
			t.Errorf("%q is rejected: %t", tenant, got)
		}
	}
}
