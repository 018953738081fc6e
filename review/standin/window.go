package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	keyWindow   = 800 * time.Millisecond       // in which replicas drop a repeat; as in keyedDeployment
	keyWork     = 250 * time.Millisecond       // from a part's frame to its answer
	keyIdle     = time.Second                  // after which replicas close idle connections
	keyPause    = 900 * time.Millisecond       // in which connections begin that come up late
	keyDeadline = 2900 * time.Millisecond      // of each request
	keyPatience = 6 * time.Second              // of its client
	keyRounds   = 36                           // requests
	keyGap      = 1300 * time.Millisecond      // between two requests: all connections to replicas are idle for longer
	errorShare  = 0.5                          // of the first tries that end with ERROR
	lateShare   = 1.0 / 3                      // of the second tries that need a connection which comes up late
	windowSlack = slack + 150*time.Millisecond // a co-ordinator may be held up for 0.15 s
)

// keyedDeployment gives rider-claim another effect and a short window for repeats, and connections more time to come up.
var keyedDeployment = strings.NewReplacer(
	`"connectTimeout":250000`, `"connectTimeout":1500000`,
	`"effect":"side_effect"`, `"effect":"token","keyScope":"all","window":800000`,
).Replace(smallDeployment)

// keyedRepeats has half of the parts' first tries end with ERROR, and a third of the connections that are opened for a
// second try come up late. It counts the tries that replicas received after the window in which they drop a repeat.
func keyedRepeats(played *run) (int, error) {
	random := rand.New(rand.NewPCG(44, 2))
	var mu sync.Mutex
	first := map[string]time.Time{} // by part
	breaks, repeats := 0, 0
	makeLate, makeError := false, false
	var replicas []*replica
	var listeners []*lateListener
	handle := func(server *replica, received part) {
		mu.Lock()
		began, isRepeat := first[received.id]
		if !isRepeat {
			first[received.id] = received.at
		} else {
			repeats++
			if after := received.at.Sub(began); after > keyWindow+windowSlack {
				breaks++
				played.record.say("TWICE: %s reaches %s %v after its first try, of which %v are the window",
					received.id, server.uid, after, keyWindow)
			}
		}
		late, failed := makeLate && played.trouble, makeError && !isRepeat
		mu.Unlock()
		time.Sleep(keyWork)
		if !failed {
			server.answer(received, "OK", valueOf(received.text, received.shard))
			return
		}
		if late {
			for n, listener := range listeners {
				if replicas[n] != server {
					played.record.note("replica %s: new connections come up late", replicas[n].uid)
					if err := listener.pauseFor(keyPause); err != nil {
						played.record.note("no pause: %v", err)
					}
				}
			}
		}
		server.answer(received, "ERROR", "")
	}
	for cell := range 6 {
		listener, err := listenLate()
		if err != nil {
			return 0, err
		}
		server := &replica{uid: fmt.Sprintf("s-%08x", 0x5be2a070+cell), cell: cell, state: "ready",
			listener: listener, record: played.record, handle: handle, idle: keyIdle}
		go server.accept()
		replicas, listeners = append(replicas, server), append(listeners, listener)
	}
	if err := played.start(replicas, keyedDeployment); err != nil {
		return 0, err
	}
	from := &client{addr: played.program.addr}
	defer from.close()
	for round := range keyRounds {
		mu.Lock()
		makeError = random.Float64() < errorShare
		makeLate = random.Float64() < lateShare
		mu.Unlock()
		sent := &request{
			class: "rider-claim", id: fmt.Sprintf("%016x", uint64(0x9b1f03aa00000000)+uint64(round)), deadline: keyDeadline,
			shards: []int{round % 12}, text: fmt.Sprintf("c41e%04x", round),
		}
		played.record.note("client sends %s", sent.id)
		got, err := from.ask(sent, keyPatience)
		if err != nil {
			played.record.note("client got no answer to %s: %v", sent.id, err)
		} else {
			played.record.note("client is answered %d to %s", got.status, sent.id)
		}
		time.Sleep(keyGap)
	}
	mu.Lock()
	defer mu.Unlock()
	played.record.say("parts: %d, with a second try: %d, with one after the window: %d", len(first), repeats, breaks)
	return breaks, nil
}
