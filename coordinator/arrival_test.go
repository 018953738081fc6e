package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"terntray/internal/conntest"
	"terntray/internal/netconn"
)

// A query whose deadline passed before the loop could handle it must be rejected at once, without any attempt.
func TestExpiredQueryIsRejectedOnArrival(t *testing.T) {
	c := newWithUnreachableReplica(t)
	c.loop.AdvanceClock(10 * time.Second)
	from := c.newClient()
	c.receive(from, newQuery("q", 100*time.Millisecond, 0), 200*time.Millisecond)
	if len(from.responses) != 1 || !strings.Contains(string(<-from.responses), " 503 ") {
		t.Error("the query was not rejected")
	}
	if c.counts.RejectedExpired != 1 || c.counts.Attempts+c.counts.Violations > 0 || len(c.queries) > 0 {
		t.Errorf("counts %+v, %d open", c.counts, len(c.queries))
	}
}

// A client disconnects while its query waits for the loop, or during the iteration that accepts it, and the
// notification is still waiting in the loop's inbox. No attempt of the query may be sent.
func TestNothingIsSentWhileADisconnectIsPending(t *testing.T) {
	c := newWithUnreachableReplica(t)
	early := c.newClient()
	early.gone.Store(true)
	c.receive(early, newQuery("q", time.Second, 0), 0)
	if c.counts.Attempts > 0 || c.counts.Disconnected != 1 {
		t.Errorf("disconnected before the query was accepted: counts %+v", c.counts)
	}
	late := c.newClient()
	c.runIteration(func() {
		c.queryArrives(late, newQuery("r", time.Second, 0), c.loop.Now())
		late.gone.Store(true)
	})
	c.runPosted()
	if c.replicas.ConnCount() > 0 {
		t.Errorf("disconnected after the query was accepted: %d connections for its subqueries", c.replicas.ConnCount())
	}
}

// A client disconnects while its query waits for the loop, and the end of its connection has not been read from the
// kernel yet. No attempt of the query may be sent.
func TestQueuedQueryOfDisconnectedClientIsNotSent(t *testing.T) {
	for _, waited := range []time.Duration{0, time.Second} {
		c := newWithUnreachableReplica(t)
		serverEnd, clientEnd := conntest.Pair(t)
		from := c.server.NewConn(serverEnd)
		clientEnd.Close()
		if waited > 0 {
			awaitState(t, serverEnd, netconn.Ended)
		}
		c.loop.AdvanceClock(10 * time.Second)
		c.receive(from, newQuery("q", 5*time.Second, 0), waited)
		if waited > 0 && (c.counts.Disconnected == 0 || c.counts.Attempts > 0) {
			t.Errorf("after a wait of %v: counts %+v", waited, c.counts)
		}
	}
}

// A tenant exceeds its quota. Only its queries may be rejected: each query is charged to the tenant that it names, and
// to no quota if the settings do not name that tenant.
func TestQueriesAreChargedToTheirTenant(t *testing.T) {
	c := newCoordinatorWith(t, map[string]string{
		"orgs.count":       "2",
		"orgs.1.name":      "c",
		"orgs.0.quotaPerS": "1",
		"orgs.1.quotaPerS": "1",
	})
	queries := 0
	isRejected := func(tenant string, shards ...int) bool {
		before := c.counts.Rejected
		queries++
		query := newQuery(fmt.Sprint("q", queries), 6*time.Second, shards...)
		query.Tenant = tenant
		from := c.newClient()
		arrives := func() { c.queryArrives(from, query, c.loop.Now()) }
		c.loop.RunIteration(arrives, func() { c.scheduler.Decide(c.loop.Now()) })
		c.loop.RunIteration(func() { c.clientDisconnected(from) }, func() {})
		c.runPosted()
		return c.counts.Rejected > before
	}
	for range 2 { // use up the quota
		isRejected("a,b", 0)
	}
	for _, tenant := range []string{"a,b", "c", "", "nobody"} {
		// Four subqueries at one replica take a third of the latency objective: more than a query over its tenant's
		// quota may take (overQuotaShare in package scheduler), and less than any other may.
		if got := isRejected(tenant, 0, 2, 4, 6); got != (tenant == "a,b") {
			t.Errorf("tenant %q: rejected %t", tenant, got)
		}
	}
}
