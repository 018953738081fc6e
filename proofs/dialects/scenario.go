package main

import (
	"sync"
	"time"

	"terntray/internal/fake"
	"terntray/internal/proof"
)

const (
	scenarioDuration   = 1500 * time.Millisecond
	queryRate          = 100 // queries per second of each class
	subqueriesPerQuery = 3
	maxConns           = 500

	// faultsPerMille is the number of faulty calls per thousand in a scenario with faults.
	faultsPerMille = 20
)

// runScenario runs a scenario in which all replicas have the same model. If faulty is set, it injects faults that exist
// in both protocols. It returns the results of the first class, followed by those of the second.
func runScenario(program string, seed uint64, model string, faulty bool) ([]fake.LoadResult, error) {
	perMille := 0
	if faulty {
		perMille = faultsPerMille
	}
	behavior := fake.Unreliable(fake.NewExecutionLedger(), fake.NewRandom(seed), perMille)
	fleet, err := startFleet(program, model, behavior)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	stop := make(chan struct{})
	var faults sync.WaitGroup
	if faulty {
		faults.Go(func() { closeConnections(fleet.Replicas, fake.NewRandom(seed+1), stop) })
	}
	results := sendLoads(fleet.Addr, seed)
	close(stop)
	faults.Wait()
	return results, nil
}

// startFleet starts a fleet in which all replicas have the same model.
func startFleet(program, model string, behavior func(*fake.Replica, fake.Call)) (*proof.Fleet, error) {
	return proof.StartFleet(proof.FleetOptions{
		Program:     program,
		Settings:    settings,
		Replicas:    replicaCount,
		Behavior:    behavior,
		Model:       func(int) string { return model },
		WriteConfig: fake.WriteHTTP2Config,
	})
}

func sendLoads(addr string, seed uint64) []fake.LoadResult {
	classes := []string{"look", "rider-claim"}
	results := make([][]fake.LoadResult, len(classes))
	var loads sync.WaitGroup
	for index, class := range classes {
		loads.Go(func() {
			load := fake.Load{
				Addr:       addr,
				Class:      class,
				Name:       class,
				Rate:       queryRate,
				Subqueries: subqueriesPerQuery,
				Shards:     shardCount,
				Deadline:   deadline,
				Seed:       seed,
				MaxConns:   maxConns,
			}
			results[index] = load.Run(scenarioDuration)
		})
	}
	loads.Wait()
	return append(results[0], results[1]...)
}

// closeConnections closes or resets the connections of a random replica every 100 to 200 ms until stop is closed.
func closeConnections(replicas []*fake.Replica, random *fake.Random, stop <-chan struct{}) {
	for {
		pause := time.Duration(100+random.IntN(100)) * time.Millisecond
		select {
		case <-stop:
			return
		case <-time.After(pause):
			replica := replicas[random.IntN(len(replicas))]
			reset := random.IntN(2) == 0
			replica.CloseConnections(reset)
		}
	}
}
