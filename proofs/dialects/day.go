package main

import (
	"sync"
	"time"

	"terntray/internal/fake"
	"terntray/internal/proof"
)

const (
	dayTime       = 1500 * time.Millisecond
	dayRate       = 100 // queries a second, of each class
	daySubqueries = 3
	dayMaxConns   = 500

	// faultPercent are the calls of a hundred in which a replica misbehaves on a faulty day.
	faultPercent = 20
)

// playDay plays a day with replicas of one model; a faulty one, with faults that both protocols know. It returns the
// results of both classes, one class after the other.
func playDay(program string, seed uint64, model string, faulty bool) ([]fake.LoadResult, error) {
	percent := 0
	if faulty {
		percent = faultPercent
	}
	behavior := fake.Unreliable(fake.NewExecutionLedger(), fake.NewRandom(seed), percent)
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

// startFleet starts a fleet whose replicas are of one model.
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
				Rate:       dayRate,
				Subqueries: daySubqueries,
				Shards:     shardCount,
				Deadline:   deadline,
				Seed:       seed,
				MaxConns:   dayMaxConns,
			}
			results[index] = load.Run(dayTime)
		})
	}
	loads.Wait()
	return append(results[0], results[1]...)
}

// closeConnections closes or resets a replica's connections every now and then.
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
