package main

import (
	"encoding/binary"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// doubler makes a replica state, in some of its answers, a length that takes in the next answer on the connection.
type doubler struct {
	setup   *setup
	mu      sync.Mutex
	answers int
	waiting map[*replicaConn]waitingAnswer // answers that wait for the next one on their connection
}

// waitingAnswer is an answer that is written together with the next one.
type waitingAnswer struct {
	part  call
	frame []byte
}

// longestWait is how long an answer waits for the next one; then it is written as it should be.
const longestWait = 200 * time.Millisecond

// reply answers a part.
func (doubler *doubler) reply(to *replicaConn, part call) {
	doubler.mu.Lock()
	defer doubler.mu.Unlock()
	frame := replyFrame(part.id, "OK", valueOf(part))
	first, isNext := doubler.waiting[to]
	doubler.answers++
	switch {
	case isNext:
		delete(doubler.waiting, to)
		if doubler.setup.trouble {
			length := binary.BigEndian.Uint32(first.frame)
			binary.BigEndian.PutUint32(first.frame, length+uint32(len(frame)))
			doubler.setup.record.add("replica %s: the length of the answer to %s takes in the answer to %s",
				to.replica.uid, first.part.id, part.id)
		}
		to.write(append(first.frame, frame...))
	case doubler.answers%spoiltInterval == 0:
		doubler.waiting[to] = waitingAnswer{part, frame}
		time.AfterFunc(longestWait, func() { doubler.release(to, part) })
	default:
		to.write(frame)
	}
}

// release writes an answer that still waits for the next one.
func (doubler *doubler) release(to *replicaConn, part call) {
	doubler.mu.Lock()
	defer doubler.mu.Unlock()
	if first, waits := doubler.waiting[to]; waits && first.part.id == part.id {
		delete(doubler.waiting, to)
		to.write(first.frame)
	}
}

// longLength: some answers of replicas state a length that is too large, by the next answer on the connection. No client
// may be served another value than the one that the replica made.
func longLength(setup *setup) (verdict, error) {
	const (
		deadline = 4 * time.Second
		grace    = 550 * time.Millisecond
		interval = 12 * time.Millisecond // between two requests
		lasts    = 20 * time.Second
		shards   = 4
		work     = 100 * time.Millisecond
	)
	var targets []target
	for n := range 3 {
		replica, err := startReplica(fmt.Sprintf("s-%d", n), work)
		if err != nil {
			return verdict{}, err
		}
		defer replica.stop()
		replica.reply = (&doubler{setup: setup, waiting: map[*replicaConn]waitingAnswer{}}).reply
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
		Limits:   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		Settings: settings(shards, class("address-check", "pure", 1.5, deadline.Seconds())),
	})
	if err != nil {
		return verdict{}, err
	}
	defer coordinator.stop()

	var running sync.WaitGroup
	var served, other, wrong, foreign atomic.Int64
	start := time.Now()
	for n := 0; time.Since(start) < lasts; n++ {
		running.Go(func() {
			asked := &query{
				id: fmt.Sprintf("q%07d", n), class: "address-check", deadline: deadline,
				text: fmt.Sprintf("c41e%04x", n), segments: []segment{{n % shards, 1}},
			}
			received := ask(coordinator.address(), asked, grace)
			if received.status != 200 {
				other.Add(1)
				setup.record.add("%s: status=%d err=%v", asked.id, received.status, received.err)
				return
			}
			served.Add(1)
			made := valueFor(asked.text, n%shards)
			value := received.values[n%shards]
			if value == made {
				return
			}
			wrong.Add(1)
			if strings.Contains(value[min(len(value), len(made)):], " OK ") {
				foreign.Add(1)
			}
			setup.record.add("%s: SERVED %q, all_in=%t; the replica made %q", asked.id, value, received.allIn, made)
		})
		time.Sleep(interval)
	}
	running.Wait()
	summary := fmt.Sprintf("served=%d not_served=%d served_with_a_wrong_value=%d, of these with another request's answer=%d",
		served.Load(), other.Load(), wrong.Load(), foreign.Load())
	return verdict{broken: wrong.Load() > 0, summary: summary}, nil
}
