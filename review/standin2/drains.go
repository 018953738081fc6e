package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The times of the case with several drains.
const (
	drainsLast     = 26 * time.Second
	drainsStall    = 1190 * time.Millisecond // of the co-ordinator, each time
	drainsFirst    = 3 * time.Second         // until the first standstill
	drainsGap      = 4 * time.Second         // from the start of a standstill to that of the next
	drainsStalls   = 5
	drainsAfter    = 20 * time.Millisecond // from the start of a standstill to the first drain
	drainsApart    = 30 * time.Millisecond // between two drains
	drainsTogether = 2                     // replicas that begin to drain in one standstill
	drainsReplicas = 16
	drainsClients  = 200
	drainsEach     = 1550 * time.Millisecond // between two requests of a client: 129 requests a second in all
	drainsTold     = time.Second + 50*time.Millisecond
	drainsDeadline = 3 * time.Second
)

// severalDrains: replicas begin to drain one shortly after the other while the co-ordinator stands still. What the agent
// has counts as told. Nothing may be sent to any of the replicas later than the grace after that.
func severalDrains(setup *setup) (verdict, error) {
	var targets []target
	var replicas []*replica
	for n := range drainsReplicas {
		replica, err := startReplica(fmt.Sprintf("s-%d", n), 30*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		defer replica.stop()
		replicas = append(replicas, replica)
		targets = append(targets, replica.target(0))
	}
	whole := list{Revision: 41, All: true, Targets: targets}
	agent, err := startAgent("a", copyOf(whole), setup.record)
	if err != nil {
		return verdict{}, err
	}
	defer agent.stop()
	coordinator, err := setup.startCoordinator(platformFile{
		Discovery: agent.address(), Known: whole,
		Limits:   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		Settings: settings(4, class("address-check", "pure", 1.5, 4)),
	})
	if err != nil {
		return verdict{}, err
	}
	defer coordinator.stop()

	var running sync.WaitGroup
	var drainedAt []time.Time // by replica, for those that drain
	running.Go(func() { drainedAt = drainDuringStandstills(setup, agent, coordinator) })
	var served, other atomic.Int64
	start := time.Now()
	for n := range drainsClients {
		running.Go(func() {
			time.Sleep(time.Duration(n) * drainsEach / drainsClients)
			client := &keepingClient{address: coordinator.address()}
			defer client.close()
			for k := 0; time.Since(start) < drainsLast; k++ {
				began := time.Now()
				asked := &query{
					id: fmt.Sprintf("q%04d-%04d", n, k), class: "address-check", deadline: drainsDeadline, text: "c41e77d0",
					segments: []segment{{n % 4, 1}},
				}
				if client.ask(asked).status == 200 {
					served.Add(1)
				} else {
					other.Add(1)
				}
				time.Sleep(time.Until(began.Add(drainsEach)))
			}
		})
	}
	running.Wait()
	parts, tooLate := 0, 0
	for n, replica := range replicas {
		received := replica.received()
		parts += len(received)
		for _, part := range received {
			if n < len(drainedAt) && part.first.Sub(drainedAt[n]) > drainsTold {
				tooLate++
				setup.record.add("part %s came to %s %v after the agent had the drain", part.id, replica.uid,
					part.first.Sub(drainedAt[n]).Round(time.Millisecond))
			}
		}
	}
	summary := fmt.Sprintf("served=%d not_served=%d parts=%d sent_to_draining_replicas_too_late=%d",
		served.Load(), other.Load(), parts, tooLate)
	return verdict{broken: tooLate > 0, summary: summary}, nil
}

// drainDuringStandstills lets the co-ordinator stand still several times; in each but the first, replicas begin to drain.
// It returns when the agent had each drain.
func drainDuringStandstills(setup *setup, agent *agent, coordinator *coordinator) (drainedAt []time.Time) {
	time.Sleep(drainsFirst)
	for n := range drainsStalls {
		began := time.Now()
		if setup.trouble {
			coordinator.signal(syscall.SIGSTOP)
			setup.record.add("the co-ordinator stands still")
		}
		if n > 0 {
			time.Sleep(drainsAfter)
			for range drainsTogether {
				uid := fmt.Sprintf("s-%d", len(drainedAt))
				drainedAt = append(drainedAt, time.Now())
				agent.change(int64(42+len(drainedAt)), uid, "draining")
				time.Sleep(drainsApart)
			}
		}
		time.Sleep(time.Until(began.Add(drainsStall)))
		if setup.trouble {
			setup.record.add("the co-ordinator goes on")
			coordinator.signal(syscall.SIGCONT)
		}
		time.Sleep(time.Until(began.Add(drainsGap)))
	}
	return drainedAt
}

// keepingClient is a client that keeps its connection.
type keepingClient struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// ask sends a query and returns its answer. If the connection was closed between two requests, it sends the query once
// more on a new one.
func (client *keepingClient) ask(asked *query) (received answer) {
	for range 2 {
		isNew := client.conn == nil
		if isNew {
			conn, err := net.DialTimeout("tcp", client.address, asked.deadline)
			if err != nil {
				return answer{err: err, refused: true}
			}
			client.conn, client.reader = conn, bufio.NewReader(conn)
		}
		_ = client.conn.SetDeadline(time.Now().Add(asked.deadline + time.Second))
		_, _ = client.conn.Write(asked.bytes())
		received = readAnswer(client.reader)
		if received.status != 0 {
			return received
		}
		client.close()
		if isNew || !received.refused {
			return received
		}
	}
	return received
}

func (client *keepingClient) close() {
	if client.conn != nil {
		_ = client.conn.Close()
		client.conn = nil
	}
}
