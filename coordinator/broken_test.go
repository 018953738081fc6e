package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"terntray/internal/wire"
	"terntray/scheduler"
)

// withSettings makes a coordinator whose settings have some others.
func withSettings(t *testing.T, others map[string]string, targets ...wire.Target) *Coordinator {
	t.Helper()
	return set(t, others, targets...)
}

// The attempts beyond the first that a process has made count on after a panic in an iteration: its budget for them is the
// same process'.
func TestBudgetForAttemptsOutlivesAPanic(t *testing.T) {
	others := map[string]string{"guarantees.ratioSpan": "10000000", "guarantees.extraRatio": "0.0001", "guarantees.minExtra": "2",
		"bounds.maxAttempts": "3", "bounds.secondCopies": "true"}
	c := withSettings(t, others, twoReplicas()...)
	sent := 0
	for n := range 4 {
		k := c.client(t)
		query := &wire.Query{ID: fmt.Sprint("q", n), Class: "look", Deadline: 5 * time.Second,
			Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
		c.loop.RunIteration(func() { c.arrives(k, query, c.loop.Now()) }, c.endTurn)
		q := c.byQuery[query.ID]
		if q == nil {
			continue
		}
		for range 3 { // each attempt fails, having run
			for _, l := range q.parts[0].attempts {
				if !l.over {
					c.giveUp(l, scheduler.Failed)
				}
			}
			time.Sleep(220 * time.Millisecond) // longer than a retry waits after an error
			c.turnWith()
		}
		sent += len(q.parts[0].attempts) - 1
		c.broken("as if")
		c.turnWith()
	}
	if sent > 2 {
		t.Errorf("%d attempts beyond the first, 2 are allowed", sent)
	}
	if sent == 0 {
		t.Error("no attempt beyond a first: nothing is shown")
	}
}

func twoReplicas() []wire.Target {
	cell := 0
	return []wire.Target{
		{UID: "s-a", Endpoint: "127.0.0.1:1", State: wire.Ready, Cell: &cell},
		{UID: "s-b", Endpoint: "127.0.0.1:1", State: wire.Ready, Cell: &cell},
	}
}

// What slow start has used up at a cold replica counts on as well.
func TestSlowStartOutlivesAPanic(t *testing.T) {
	others := map[string]string{"guarantees.tipMultiple": "2.0", "guarantees.overloadFor": "1500000", "guarantees.startCapacity": "0.1",
		"guarantees.warmAfter": "20000000", "balancers": "1", "bounds.maxOpen": "1000", "lanes.0.aim": "300000"}
	sends := func(panics bool) (sent int) {
		target := twoReplicas()[0]
		target.BootMS = time.Now().UnixMilli()
		c := withSettings(t, others, target)
		for n := range 60 {
			k := c.client(t)
			query := &wire.Query{ID: fmt.Sprint("q", n), Class: "look", Deadline: 5 * time.Second,
				Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
			c.loop.RunIteration(func() { c.arrives(k, query, c.loop.Now()) }, c.endTurn)
			if panics && n%10 == 9 {
				c.broken("as if")
				c.turnWith()
			}
		}
		return c.counts.Attempts
	}
	once, again := sends(false), sends(true)
	t.Logf("%d attempts, %d with panics between", once, again)
	if once == 0 || again > once+1 {
		t.Errorf("%d attempts at a cold replica, %d with panics between", once, again)
	}
}

// A request whose time was over before it could be read is refused at once: nothing of it was sent.
func TestRequestWhoseTimeIsOverIsRefusedAtOnce(t *testing.T) {
	c := fronted(t)
	c.loop.AdvanceClock(10 * time.Second)
	k := c.client(t)
	query := &wire.Query{ID: "q", Class: "look", Deadline: 100 * time.Millisecond, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	c.loop.RunIteration(func() { c.arrives(k, query, c.loop.Now()-200*time.Millisecond) }, c.endTurn)
	if len(k.responses) != 1 || !strings.Contains(string(<-k.responses), " 503 ") {
		t.Error("it is not refused")
	}
	if c.counts.Expired != 1 || c.counts.Attempts+c.counts.Violations > 0 || len(c.queries) > 0 {
		t.Errorf("counts %+v, %d open", c.counts, len(c.queries))
	}
}
