package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// olderList: a replica begins to drain, and a moment later a new configuration moves discovery to another address, whose
// list is a few seconds older. Nothing may be sent to the replica later than the grace after the first address has told
// the drain.
func olderList(setup *setup) (verdict, error) {
	const (
		deadline = 3 * time.Second
		grace    = 550 * time.Millisecond
		interval = 25 * time.Millisecond
		lasts    = 14 * time.Second
		drainAt  = 4 * time.Second         // the first address hears of the drain
		moveIn   = 1500 * time.Millisecond // then, until the new configuration
		lagIn    = 3 * time.Second         // then, until the second address hears of it
		told     = time.Second + 50*time.Millisecond
		shards   = 4
		work     = 40 * time.Millisecond
		before   = 41 // revision of the list without the drain
		after    = 43 // revision of the list with it
		draining = "s-0"
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
	first, err := startAgent("first", copyOf(whole), setup.record)
	if err != nil {
		return verdict{}, err
	}
	defer first.stop()
	second, err := startAgent("second", copyOf(whole), setup.record)
	if err != nil {
		return verdict{}, err
	}
	defer second.stop()
	coordinator, err := setup.startCoordinator(platformFile{
		Discovery: first.address(), Known: whole,
		Limits:   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		Settings: settings(shards, class("rider-claim", "side_effect", 1.5, deadline.Seconds())),
	})
	if err != nil {
		return verdict{}, err
	}
	defer coordinator.stop()

	var running sync.WaitGroup
	running.Go(func() {
		time.Sleep(drainAt)
		first.change(after, draining, "draining")
		if !setup.trouble {
			second.change(after, draining, "draining")
		}
		time.Sleep(moveIn)
		moved := coordinator.file
		moved.Discovery = second.address()
		if err := coordinator.writeFile(moved); err != nil {
			setup.record.add("the configuration was not written: %v", err)
		}
		setup.record.add("new configuration and SIGHUP")
		coordinator.signal(syscall.SIGHUP)
		first.stopListening(1500 * time.Millisecond)
		time.Sleep(lagIn - moveIn)
		if setup.trouble {
			second.change(after, draining, "draining")
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
	toldAt := first.toldAt(draining, "draining")
	if toldAt.IsZero() || second.toldAt(draining, "draining").IsZero() {
		return verdict{}, fmt.Errorf("the drain was not told by both addresses")
	}
	tooLate := 0
	for _, part := range replicas[0].received() {
		if part.first.Sub(toldAt) > told {
			tooLate++
			setup.record.add("part %s came to %s %v after the drain was told", part.id, draining,
				part.first.Sub(toldAt).Round(time.Millisecond))
		}
	}
	summary := fmt.Sprintf("served=%d not_served=%d sent_to_the_draining_replica_too_late=%d",
		served.Load(), other.Load(), tooLate)
	return verdict{broken: tooLate > 0, summary: summary}, nil
}

// copyOf returns a list with targets of its own.
func copyOf(whole list) list {
	whole.Targets = append([]target(nil), whole.Targets...)
	return whole
}
