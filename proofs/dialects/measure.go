package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"terntray/internal/fake"
	"terntray/internal/proof"
)

const (
	measureSubqueries = 3
	measureTime       = 4 * time.Second
	measureSeed       = 3
	measureMaxConns   = 1000
	measureTextBytes  = 100
	measureWork       = 5 * time.Millisecond // of a replica, for a call
)

// contender is a program with one protocol.
type contender struct {
	program string // empty: it is not measured
	model   string
	name    string
	earlier bool // an earlier build, which knows no configuration of its own
}

// measure tells what each protocol costs at some rates, beside an earlier build with frames alone, if one is named:
// processor time and bytes a subquery, connections and descriptors, and latencies as clients see them.
func measure(program, against string, rates []float64) {
	contenders := []contender{
		{against, modelFrames, "frames, before", true},
		{program, modelFrames, "frames", program == against},
		{program, modelHTTP2, "HTTP/2", program == against},
	}
	fmt.Println("| parts a second | dialect | CPU a part | bytes a part | connections a box | descriptors | median | " +
		"99% | in time |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, rate := range rates {
		for _, contender := range contenders {
			if contender.program == "" {
				continue
			}
			if err := contender.measure(rate); err != nil {
				fmt.Println("could not be played:", err)
			}
		}
	}
}

// start starts the contender's fleet.
func (c contender) start() (*proof.Fleet, error) {
	options := proof.FleetOptions{
		Program:  c.program,
		Settings: settings,
		Replicas: replicaCount,
		Behavior: fake.After(measureWork, fake.Succeed),
		Model:    func(int) string { return c.model },
	}
	if !c.earlier {
		options.WriteConfig = fake.WriteHTTP2Config
	}
	return proof.StartFleet(options)
}

// measure prints a line of the table: the cost of so many subqueries a second.
func (c contender) measure(rate float64) error {
	fleet, err := c.start()
	if err != nil {
		return err
	}
	defer fleet.Close()
	cpuBefore := fleet.CPUUsed()
	load := fake.Load{
		Addr:       fleet.Addr,
		Class:      "look",
		Name:       "m",
		Rate:       rate / measureSubqueries,
		Subqueries: measureSubqueries,
		Shards:     shardCount,
		Deadline:   deadline,
		Seed:       measureSeed,
		MaxConns:   measureMaxConns,
		TextBytes:  measureTextBytes,
	}
	done := make(chan []fake.LoadResult)
	go func() { done <- load.Run(measureTime) }()
	time.Sleep(measureTime / 2)
	descriptors := fleet.Descriptors()
	results := <-done
	cpu := fleet.CPUUsed() - cpuBefore
	attempts := max(1, fleet.Counters()["legs"])
	if os.Getenv("SHOW") != "" {
		fmt.Println(fleet.Get("/counters"))
		fmt.Println(fleet.Get("/beliefs"))
		fmt.Println(fleet.Log())
	}
	fleet.Stop()
	bytes, conns := traffic(fleet.Replicas)
	latency := summarize(results)
	fmt.Printf("| %.0f | %s | %v | %d | %.1f | %d | %v | %v | %.3f |\n", rate, c.name,
		(cpu / time.Duration(attempts)).Round(time.Microsecond), bytes/attempts, float64(conns)/replicaCount,
		descriptors,
		latency.median, latency.percentile99, latency.inTime)
	return nil
}

// traffic is what all replicas have received.
func traffic(replicas []*fake.Replica) (bytes, conns int) {
	for _, replica := range replicas {
		replicaBytes, replicaConns := replica.Traffic()
		bytes += replicaBytes
		conns += replicaConns
	}
	return bytes, conns
}

// latencySummary is of a load, as its clients see it.
type latencySummary struct {
	median       time.Duration
	percentile99 time.Duration
	inTime       float64 // share within the latency objective
}

func summarize(results []fake.LoadResult) latencySummary {
	var took []time.Duration
	inTime := 0
	for _, result := range results {
		took = append(took, result.Latency)
		if result.WithinObjective(objective) {
			inTime++
		}
	}
	slices.Sort(took)
	const precision = 10 * time.Microsecond
	return latencySummary{
		median:       took[len(took)/2].Round(precision),
		percentile99: took[len(took)*99/100].Round(precision),
		inTime:       float64(inTime) / float64(len(took)),
	}
}
