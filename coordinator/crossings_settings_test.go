package coordinator

import (
	"io"
	"log"
	"strings"
	"testing"
	"time"

	"terntray/internal/wire"
)

// What clients ask for is charged to the tenant that they name, and to no other. Guards against: tenants that are turned back
// for what others asked beyond their shares.
func TestRequestsAreChargedToTheTenantThatAsks(t *testing.T) {
	c := set(t, map[string]string{"orgs.count": "2", "orgs.1.name": "c", "orgs.0.quotaPerS": "1", "orgs.1.quotaPerS": "1"})
	asks := func(tenant string, parts int) (turnedBack bool) {
		before := c.counts.Rejected
		query := &wire.Query{ID: "q", Class: "look", Tenant: tenant, Deadline: 6 * time.Second}
		for n := range parts {
			query.Subqueries = append(query.Subqueries, wire.Subquery{Shard: 2 * n, Weight: 1 / float64(parts)})
		}
		k := c.client(t)
		c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, func() { c.scheduler.Decide(c.loop.Now()) })
		c.loop.RunIteration(func() { c.clientDisconnected(k) }, func() {})
		c.turnWith()
		return c.counts.Rejected > before
	}
	for range 2 { // its allowance
		asks("a,b", 1)
	}
	for _, tenant := range []string{"a,b", "c", "", "nobody"} { // four parts at one replica take a third of the agreed time
		if back := asks(tenant, 4); back != (tenant == "a,b") {
			t.Errorf("%q is turned back: %t", tenant, back)
		}
	}
}

// with makes a coordinator of settings of which one is replaced.
func with(t *testing.T, old, new string) error {
	text := strings.Replace(nested, old, new, 1)
	if text == nested && old != new {
		t.Fatalf("%s is not there", old)
	}
	settings, err := Flatten([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := deployment(t)
	d.settings = settings
	c, err := New(d, log.New(io.Discard, "", 0))
	if err == nil {
		c.replicas.Stop()
	}
	return err
}

// A setting with which nothing could be served is named in one line, instead of a start that serves nothing or breaks.
func TestAbsurdSettingsAreNamedInOneLine(t *testing.T) {
	for _, c := range [][3]string{
		{`"connectTimeout":250000`, `"connectTimeout":0`, "bounds.connectTimeout"},
		{`"connectTimeout":250000`, `"connectTimeout":"soon"`, "bounds.connectTimeout"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"maxOpen":0`, "bounds.maxOpen"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"maxOpen":-5`, "bounds.maxOpen"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"multiplex":0`, "bounds.multiplex"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"maxAttempts":0`, "bounds.maxAttempts"},
		{`"discovery"`, `"guarantees":{"askEvery":-1},"discovery"`, "guarantees.askEvery"},
		{`"cells":2`, `"cells":-1`, "familyInfo.cells"},
		{`"cells":2`, `"cells":1e12`, "familyInfo.cells"},
		{`"span":1`, `"span":-2`, "familyInfo.span"},
		{`"name":"claim"`, `"name":"look"`, "lanes.1.name"},
		{`"name":"claim"`, `"name":""`, "lanes.1.name"},
		{`"name":"claim"`, `"name":"a/b"`, "lanes.1.name"},
		{`"deadline":3000000`, `"deadline":0`, "lanes.1.deadline"},
		{`"effect":"side_effect"`, `"effect":"magic"`, "lanes.1.effect"},
	} {
		if err := with(t, c[0], c[1]); err == nil || !strings.Contains(err.Error(), c[2]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c[1], err)
		}
	}
	for _, c := range [][2]string{ // other customers
		{`"deadline":3000000`, `"deadline":300000`}, {`"aim":1500000`, `"aim":100000`}, {`"automatic"`, `"subscribe"`},
		{`"connectTimeout":250000,`, ``}, {`"effect":"side_effect"`, `"effect":"token","window":400000`},
		{`"zones":["west","east"]`, `"zones":["a","b","c","d","e"]`}, {`"name":"claim"`, `"name":"lao-broneering"`},
		{`"cells":2`, `"cells":200`}, {`"discovery"`, `"guarantees":{"stopSendingWithin":50000},"discovery"`},
		{`"connectTimeout":250000`, `"connectTimeout":20000,"maxAttempts":1,"secondCopies":false,"multiplex":1,"idleClose":500000`},
	} {
		if err := with(t, c[0], c[1]); err != nil {
			t.Errorf("%s does not start: %v", c[1], err)
		}
	}
}
