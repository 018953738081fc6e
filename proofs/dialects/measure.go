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
	measureWork       = 5 * time.Millisecond // of a replica for a call
)

// variant is a program and the protocol that it uses.
type variant struct {
	program  string // empty if the variant is not measured
	model    string
	name     string
	oldBuild bool // an earlier build, which takes no installation file
}

// measureCosts prints the cost of each protocol at the given rates as a Markdown table: CPU time and bytes per
// subquery, connections and descriptors, and the latency that clients see. A nonempty baseline is measured too.
func measureCosts(program, baseline string, rates []float64) {
	variants := []variant{
		{baseline, modelFrames, "frames, baseline", true},
		{program, modelFrames, "frames", program == baseline},
		{program, modelHTTP2, "HTTP/2", program == baseline},
	}
	fmt.Println("| subqueries/s | protocol | CPU per subquery | bytes per subquery | connections per replica | " +
		"descriptors | median | p99 | within objective |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, rate := range rates {
		for _, variant := range variants {
			if variant.program == "" {
				continue
			}
			if err := variant.measure(rate); err != nil {
				fmt.Println("run failed:", err)
			}
		}
	}
}

// start starts a fleet with the variant.
func (v variant) start() (*proof.Fleet, error) {
	options := proof.FleetOptions{
		Program:  v.program,
		Settings: settings,
		Replicas: replicaCount,
		Behavior: fake.After(measureWork, fake.Succeed),
		Model:    func(int) string { return v.model },
	}
	if !v.oldBuild {
		options.WriteConfig = fake.WriteHTTP2Config
	}
	return proof.StartFleet(options)
}

// measure prints a line of the table: the cost at rate subqueries per second.
func (v variant) measure(rate float64) error {
	fleet, err := v.start()
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
	fmt.Printf("| %.0f | %s | %v | %d | %.1f | %d | %v | %v | %.3f |\n", rate, v.name,
		(cpu / time.Duration(attempts)).Round(time.Microsecond), bytes/attempts, float64(conns)/replicaCount,
		descriptors,
		latency.median, latency.percentile99, latency.withinObjective)
	return nil
}

// traffic returns how many bytes and connections all replicas have received.
func traffic(replicas []*fake.Replica) (bytes, conns int) {
	for _, replica := range replicas {
		replicaBytes, replicaConns := replica.Traffic()
		bytes += replicaBytes
		conns += replicaConns
	}
	return bytes, conns
}

// latencySummary summarizes the latencies that clients saw.
type latencySummary struct {
	median          time.Duration
	percentile99    time.Duration
	withinObjective float64 // share of queries within the latency objective
}

func summarize(results []fake.LoadResult) latencySummary {
	var latencies []time.Duration
	withinObjective := 0
	for _, result := range results {
		latencies = append(latencies, result.Latency)
		if result.WithinObjective(objective) {
			withinObjective++
		}
	}
	slices.Sort(latencies)
	const precision = 10 * time.Microsecond
	return latencySummary{
		median:          latencies[len(latencies)/2].Round(precision),
		percentile99:    latencies[len(latencies)*99/100].Round(precision),
		withinObjective: float64(withinObjective) / float64(len(latencies)),
	}
}
