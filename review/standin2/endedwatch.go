package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// endedWatch: a replica begins to drain while the co-ordinator stands still, and the watch ends instead of telling it.
// What the agent has counts as told. Nothing may be sent to the replica later than the grace after that.
func endedWatch(setup *setup) (verdict, error) {
	const (
		deadline    = 3 * time.Second
		grace       = 550 * time.Millisecond
		interval    = 20 * time.Millisecond
		lasts       = 16 * time.Second
		stall       = 1190 * time.Millisecond
		firstStall  = 3 * time.Second
		stallGap    = 4 * time.Second // from the start of a stall to that of the next
		stalls      = 3
		drainStall  = 1 // the stall at whose start the replica begins to drain
		toldWithin  = time.Second + 50*time.Millisecond
		shards      = 4
		work        = 40 * time.Millisecond
		before      = 41
		after       = 43
		drainingUID = "s-0"
	)
	var targets []target
	var replicas []*replica
	for n := range 3 {
		replica, err := startReplica(fmt.Sprintf("s-%d", n), work)
		if err != nil {
			return verdict{}, err
		}
		defer replica.stop()
		replicas = append(replicas, replica)
		targets = append(targets, replica.target(0))
	}
	whole := list{Revision: before, All: true, Targets: targets}
	agent, err := startAgent("a", copyOf(whole), setup.record)
	if err != nil {
		return verdict{}, err
	}
	defer agent.stop()
	coordinator, err := setup.startCoordinator(platformFile{
		Discovery: agent.address(), Known: whole,
		Limits:   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		Settings: settings(shards, class("rider-claim", "side_effect", 1.5, deadline.Seconds())),
	})
	if err != nil {
		return verdict{}, err
	}
	defer coordinator.stop()

	var running sync.WaitGroup
	var toldAt time.Time
	running.Go(func() {
		time.Sleep(firstStall)
		for n := range stalls {
			if setup.trouble {
				coordinator.signal(syscall.SIGSTOP)
				setup.record.add("the co-ordinator stands still")
			}
			if n == drainStall {
				if setup.trouble {
					agent.endWatches()
				}
				toldAt = time.Now()
				agent.change(after, drainingUID, "draining")
			}
			time.Sleep(stall)
			if setup.trouble {
				setup.record.add("the co-ordinator goes on")
				coordinator.signal(syscall.SIGCONT)
			}
			time.Sleep(stallGap - stall)
		}
	})
	var served, other atomic.Int64
	start := time.Now()
	for n := 0; time.Since(start) < lasts; n++ {
		running.Go(func() {
			asked := &query{
				id: fmt.Sprintf("q%07d", n), class: "rider-claim", deadline: deadline,
				text: fmt.Sprintf("c41e%04x", n), segments: []segment{{n % shards, 1}},
			}
			if ask(coordinator.address(), asked, grace).status == 200 {
				served.Add(1)
			} else {
				other.Add(1)
			}
		})
		time.Sleep(interval)
	}
	running.Wait()
	tooLate := 0
	for _, part := range replicas[0].received() {
		if part.first.Sub(toldAt) > toldWithin {
			tooLate++
			setup.record.add("part %s came to %s %v after the agent had the drain", part.id, drainingUID,
				part.first.Sub(toldAt).Round(time.Millisecond))
		}
	}
	summary := fmt.Sprintf("served=%d not_served=%d sent_to_the_draining_replica_too_late=%d",
		served.Load(), other.Load(), tooLate)
	return verdict{broken: tooLate > 0, summary: summary}, nil
}
