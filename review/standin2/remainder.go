package main

import (
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	missingBytes   = 8                      // by which a spoilt answer's length is too small
	spoiltInterval = 12                     // of so many answers of a replica one is spoilt
	standstill     = 100 * time.Millisecond // of a replica
	standstillGap  = 5 * time.Second        // from one standstill of a replica to the next
)

// spoiler makes a replica spoil some of its answers and stand still now and then.
type spoiler struct {
	setup   *setup
	mu      sync.Mutex // held while the replica writes or stands still
	answers int
	stoodAt time.Time // when the replica last stood still
}

// reply answers a part. A spoilt answer's length is too small; the rest of the value follows it.
func (spoiler *spoiler) reply(to *replicaConn, part call) {
	spoiler.mu.Lock()
	defer spoiler.mu.Unlock()
	frame := replyFrame(part.id, "OK", valueOf(part))
	spoiler.answers++
	isSpoilt := spoiler.setup.trouble && spoiler.answers%spoiltInterval == 0
	if isSpoilt {
		length := binary.BigEndian.Uint32(frame)
		binary.BigEndian.PutUint32(frame, length-missingBytes)
	}
	middle := len(frame) - missingBytes
	to.write(frame[:middle])
	standsStill := (isSpoilt || !spoiler.setup.trouble) && time.Since(spoiler.stoodAt) >= standstillGap
	if standsStill {
		time.Sleep(standstill)
		spoiler.stoodAt = time.Now()
	}
	to.write(frame[middle:])
	if isSpoilt || standsStill {
		spoiler.setup.record.add("replica %s answered %s with %s: spoilt=%t stood_still=%t",
			to.replica.uid, part.id, valueOf(part), isSpoilt, standsStill)
	}
}

// lateRemainder: some answers of replicas state a length that is too small, and replicas stand still now and then, once
// in the middle of such an answer. No client may be served another value than the one that the replica made.
func lateRemainder(setup *setup) (verdict, error) {
	const (
		deadline = 4 * time.Second
		grace    = 550 * time.Millisecond
		interval = 25 * time.Millisecond // between two requests
		lasts    = 30 * time.Second
		shards   = 4
		work     = 30 * time.Millisecond
	)
	var targets []target
	for n := range 3 {
		replica, err := startReplica(fmt.Sprintf("s-%d", n), work)
		if err != nil {
			return verdict{}, err
		}
		defer replica.stop()
		replica.reply = (&spoiler{setup: setup, stoodAt: time.Now()}).reply
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
	var served, other, wrong atomic.Int64
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
			if received.values[n%shards] != made {
				wrong.Add(1)
				setup.record.add("%s: SERVED %q, all_in=%t; the replica made %q",
					asked.id, received.values[n%shards], received.allIn, made)
			}
		})
		time.Sleep(interval)
	}
	running.Wait()
	summary := fmt.Sprintf("served=%d not_served=%d served_with_a_wrong_value=%d", served.Load(), other.Load(), wrong.Load())
	return verdict{broken: wrong.Load() > 0, summary: summary}, nil
}
