package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slack         = 50 * time.Millisecond // of every time limit
	drainGrace    = time.Second           // from being told of a drain to the last new work
	drainRate     = 130                   // requests a second
	drainClients  = 200                   // each with a connection that it keeps
	drainParts    = 4                     // of each request
	drainWork     = 20 * time.Millisecond // of a part
	drainDeadline = 2400 * time.Millisecond
	drainPatience = 6 * time.Second
	drainBefore   = 2 * time.Second         // of requests, before the first stall
	stallFor      = 1190 * time.Millisecond // of the 310 to 1,200 ms of the pages
	stallTold     = 30 * time.Millisecond   // from the start of a stall to the telling of a drain
	stallEvery    = 4 * time.Second         // of the 3.4 to 4.9 s of the pages
)

// drainedCells are the cells whose replicas drain, one in each stall: a quarter of twelve, and each shard keeps two
// holders.
var drainedCells = []int{0, 4, 8}

// twelveReplicas is smallDeployment with twelve replicas.
var twelveReplicas = strings.Replace(smallDeployment, `"cells":6`, `"cells":12`, 1)

// drainInStall stops the co-ordinator for a moment, several times. During each stop the agent tells that one replica
// drains. It counts the parts that reach a replica later than the grace after the co-ordinator was told.
func drainInStall(played *run) (int, error) {
	var breaks, parts atomic.Int64
	handle := func(server *replica, received part) {
		parts.Add(1)
		if told := played.lists.toldOf(server); !told.IsZero() {
			if after := received.at.Sub(told); after > drainGrace+slack {
				breaks.Add(1)
				played.record.say("DRAIN: %s reaches %s %v after the co-ordinator was told that it drains",
					received.id, server.uid, after)
			}
		}
		time.Sleep(drainWork)
		server.answer(received, "OK", valueOf(received.text, received.shard))
	}
	if err := played.begin(12, twelveReplicas, handle); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { played.openLoop(stop) })
	time.Sleep(drainBefore)
	for _, cell := range drainedCells {
		next := time.Now().Add(stallEvery)
		end := time.Now().Add(stallFor)
		if played.trouble {
			played.record.note("the co-ordinator is stopped")
			played.program.signal(syscall.SIGSTOP)
		}
		time.Sleep(stallTold)
		played.lists.set(played.lists.replicas[cell], "draining")
		time.Sleep(time.Until(end))
		if played.trouble {
			played.record.note("the co-ordinator goes on")
			played.program.signal(syscall.SIGCONT)
		}
		time.Sleep(time.Until(next))
	}
	close(stop)
	load.Wait()
	played.record.say("parts: %d, of them %d to a replica later than 1.05 s after it was told to drain",
		parts.Load(), breaks.Load())
	return int(breaks.Load()), nil
}

// openLoop sends requests at a steady rate, whatever becomes of them. The clients take turns; one whose request is still
// open lets the next go first.
func (played *run) openLoop(stop <-chan struct{}) {
	var mu sync.Mutex
	var idle []*client // the one used last comes last
	for range drainClients {
		idle = append(idle, &client{addr: played.program.addr})
	}
	statuses := map[string]int{}
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / drainRate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			running.Wait()
			played.record.say("answers: %v", statuses)
			return
		case <-ticker.C:
		}
		running.Go(func() {
			from := &client{addr: played.program.addr}
			mu.Lock()
			if len(idle) > 0 {
				from, idle = idle[0], idle[1:]
			}
			mu.Unlock()
			sent := &request{
				class: "address-check", id: fmt.Sprintf("%016x", n+1), deadline: drainDeadline,
				text: fmt.Sprintf("c41e%04x", n%65536),
			}
			for next := range drainParts {
				sent.shards = append(sent.shards, (n+next)%12)
			}
			played.record.note("client sends %s", sent.id)
			status := "none"
			if got, err := from.askAgain(sent, drainPatience); err == nil {
				status = fmt.Sprint(got.status)
			}
			played.record.note("client is answered %s to %s", status, sent.id)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			idle = append(idle, from)
		})
	}
}
