package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// stuckClients: hundreds of clients stop in the middle of a request and stay. Usual clients go on to ask, each on a
// connection of its own, and each has to get its final answer until half a second after its time.
func stuckClients(setup *setup) (verdict, error) {
	const (
		stuckCount  = 500 // bad clients
		deadline    = 2 * time.Second
		grace       = 550 * time.Millisecond // half a second, and the 50 ms of the protocol page
		interval    = 50 * time.Millisecond  // between two usual requests
		quiet       = 2 * time.Second        // before the bad clients come
		lasts       = 12 * time.Second
		shards      = 4
		replicaWork = 100 * time.Millisecond
	)
	var targets []target
	for n := range 3 {
		replica, err := startReplica(fmt.Sprintf("s-%d", n), replicaWork)
		if err != nil {
			return verdict{}, err
		}
		defer replica.stop()
		targets = append(targets, replica.target(0))
	}
	whole := list{Revision: 1, All: true, Targets: targets}
	agent, err := startAgent("a", whole, setup.record)
	if err != nil {
		return verdict{}, err
	}
	defer agent.stop()
	coordinator, err := setup.startCoordinator(platformFile{
		Discovery: agent.address(), Known: whole,
		Limits:   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		Settings: settings(shards, class("rider-claim", "side_effect", 1.5, 3)),
	})
	if err != nil {
		return verdict{}, err
	}
	defer coordinator.stop()

	var running sync.WaitGroup
	if setup.trouble {
		running.Go(func() {
			time.Sleep(quiet)
			stickAll(setup, coordinator.address(), stuckCount, &running)
		})
	}
	var lost, refused, unserved, served atomic.Int64
	start := time.Now()
	for n := 0; time.Since(start) < lasts; n++ {
		running.Go(func() {
			asked := &query{
				id: fmt.Sprintf("usual%06d", n), class: "rider-claim", deadline: deadline, text: "c41e77d0",
				segments: []segment{{n % shards, 1}},
			}
			sent := time.Since(start)
			received := ask(coordinator.address(), asked, grace)
			switch {
			case received.refused:
				refused.Add(1)
			case received.status == 0:
				lost.Add(1)
			case received.status == 200:
				served.Add(1)
			default:
				unserved.Add(1)
			}
			setup.record.add("usual %s asked at %.3f: status=%d after=%v err=%v", asked.id, sent.Seconds(), received.status,
				received.after.Round(time.Millisecond), received.err)
		})
		time.Sleep(interval)
	}
	running.Wait()
	summary := fmt.Sprintf("usual requests: served=%d refused_or_failed=%d closed_unread=%d without_final_answer=%d",
		served.Load(), unserved.Load(), refused.Load(), lost.Load())
	return verdict{broken: lost.Load() > 0, summary: summary}, nil
}

// stickAll opens connections at once, sends half a request on each and stays.
func stickAll(setup *setup, address string, count int, running *sync.WaitGroup) {
	const (
		stays = 10 * time.Second // of a bad client
		owed  = 3 * time.Second  // from connecting to an error or a close
	)
	half := "POST /rider-claim HTTP/1.1\r\nHost: backend.local\r\nReq-Id: half\r\nReq-Deadline: 2.000\r\nConte"
	setup.record.add("%d clients send half a request and stay", count)
	var within, late atomic.Int64
	var stuck sync.WaitGroup
	for range count {
		stuck.Go(func() {
			began := time.Now()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Write([]byte(half))
			_ = conn.SetReadDeadline(began.Add(stays))
			buffer := make([]byte, 1024)
			if _, err := conn.Read(buffer); err == nil && time.Since(began) <= owed {
				within.Add(1)
			} else {
				late.Add(1)
			}
			for {
				if _, err := conn.Read(buffer); err != nil {
					break
				}
			}
			time.Sleep(time.Until(began.Add(stays)))
		})
	}
	running.Go(func() {
		stuck.Wait()
		setup.record.add("stuck clients: within 3 s %d, later or never %d", within.Load(), late.Load())
	})
}
