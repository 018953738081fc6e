package main

import (
	"fmt"
	"time"

	"terntray/internal/fake"
	"terntray/internal/proof"
)

const (
	objective  = 1500 * time.Millisecond
	deadline   = 4 * time.Second
	shardCount = 64
	loadSeed   = 7
	maxConns   = 2000
)

// settings configure three replicas per shard and one idempotent class. The format argument is the number of cells.
const settings = `{"balancers":1,"bounds":{"connectTimeout":1000000,"idleClose":30000000,"maxAttempts":3,
"maxOpen":200000,"mayCancel":true,"multiplex":64,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":%d,"classFetch":[0],"classNeed":[1.0],"ranges":64,"span":3},
"lanes":[{"name":"look","aim":1500000,"deadline":4000000,"effect":"pure"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west","east"]}`

// deployment is a running program with its replicas.
type deployment struct{ *proof.Fleet }

func deploy(program string, replicas int, behavior func(*fake.Replica, fake.Call)) (*deployment, error) {
	fleet, err := proof.StartFleet(proof.FleetOptions{
		Program:  program,
		Settings: fmt.Sprintf(settings, replicas),
		Replicas: replicas,
		Behavior: behavior,
	})
	return &deployment{fleet}, err
}

// load sends queries at rate per second, each with the given number of subqueries, and returns their results in order.
func (d *deployment) load(name string, rate float64, subqueries int, duration time.Duration) []fake.LoadResult {
	load := fake.Load{
		Addr:       d.Addr,
		Class:      "look",
		Name:       name,
		Rate:       rate,
		Subqueries: subqueries,
		Shards:     shardCount,
		Deadline:   deadline,
		Seed:       loadSeed,
		MaxConns:   maxConns,
	}
	return load.Run(duration)
}

// shareWithinObjective returns the share of queries that were answered completely within their latency objective.
func shareWithinObjective(results []fake.LoadResult) float64 {
	withinObjective := 0
	for _, result := range results {
		if result.WithinObjective(objective) {
			withinObjective++
		}
	}
	return float64(withinObjective) / float64(max(1, len(results)))
}
