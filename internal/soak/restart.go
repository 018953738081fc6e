package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	restartStreams = 3                      // that restart processes, beside the streams of faults
	steadyClients  = 4                      // that use their connections until the process ends
	steadyPause    = 30 * time.Millisecond  // longest pause between two of their requests
	maxSignals     = 5                      // further signals between SIGTERM and SIGKILL
	minStop        = 50 * time.Millisecond  // shortest stop by SIGSTOP
	maxStop        = 150 * time.Millisecond // longest one
	crowdedTargets = 2                      // co-ordinators that a crowd fills
	crowdSize      = 300                    // connections to each
	crowdRefill    = 200 * time.Millisecond // time after which closed ones are opened again
)

// restartProcesses restarts one process after the other.
func (s *Soak) restartProcesses(random *rand.Rand) {
	for {
		time.Sleep(drawDuration(random, 0, maxFaultPause))
		if s.now() > s.end-s.longestDeadline() {
			return
		}
		from := s.now()
		if target := terminateProcess(s, random); target != "" {
			s.ledger.addFault(faultSpan{FaultTerminate, target, from, s.now()})
		}
	}
}

// terminateAtEarliestTerms ends the process with SIGTERM and, at the earliest time that the protocol page allows, SIGKILL.
// Clients open connections for a while, and use open ones until the end.
func (c *coordinator) terminateAtEarliestTerms(random *rand.Rand) {
	clientsFor := drawDuration(random, 200*time.Millisecond, 400*time.Millisecond)
	process := c.currentProcess()
	var clients sync.WaitGroup
	for index := range steadyClients {
		steady := c.soak.newSteadyClient(index, random.Uint64())
		clients.Go(func() { steady.useUntilEnd(c) })
	}
	time.Sleep(drawDuration(random, 0, 2*steadyPause))
	c.mu.Lock()
	process.terminatedAt = c.soak.now()
	process.acceptsClientsUntil = process.terminatedAt + clientsFor
	c.mu.Unlock()
	process.program.Signal(syscall.SIGTERM)
	kill := time.NewTimer(c.soak.earliestKill())
	defer kill.Stop()
	go c.signalInSeries(process, rand.New(rand.NewPCG(random.Uint64(), 0)))
	select {
	case <-process.program.Done():
		c.checkExit(process)
	case <-kill.C:
		c.mu.Lock()
		process.killedAt = c.soak.now()
		c.mu.Unlock()
		process.program.Signal(syscall.SIGKILL)
		<-process.program.Done()
	}
	c.recordExit(process)
	clients.Wait()
}

// signalInSeries sends signals that must not interrupt a shutdown, until it is over.
func (c *coordinator) signalInSeries(process *process, random *rand.Rand) {
	for range random.IntN(maxSignals + 1) {
		time.Sleep(drawDuration(random, 0, c.soak.earliestKill()/maxSignals))
		if process.program.Ended() {
			return
		}
		switch random.IntN(4) {
		case 0:
			process.program.Signal(syscall.SIGTERM)
		case 1:
			process.program.Signal(syscall.SIGINT)
		case 2:
			process.program.Signal(syscall.SIGHUP)
		case 3:
			c.stopFor(process, drawDuration(random, minStop, maxStop))
		}
	}
}

// stopFor stops a process for a while, and records that.
func (c *coordinator) stopFor(process *process, span time.Duration) {
	from := c.soak.now()
	process.program.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	process.program.Signal(syscall.SIGCONT)
	c.soak.ledger.addFault(faultSpan{FaultStop, c.name, from, c.soak.now()})
}

// newSteadyClient returns a client whose name is unique in the soak.
func (s *Soak) newSteadyClient(index int, seed uint64) *client {
	return &client{
		soak:   s,
		name:   s.nextClientName(),
		random: rand.New(rand.NewPCG(seed, uint64(index))),
	}
}

func (s *Soak) nextClientName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clientCount++
	return fmt.Sprintf("s%d-%d", s.seed, s.clientCount)
}

// useUntilEnd sends requests on one connection after the other until the co-ordinator takes no more.
func (c *client) useUntilEnd(coordinator *coordinator) {
	conn := c.dialTo(coordinator)
	for conn != nil {
		result := c.exchange(conn, c.newRequest(conn))
		for result == connReusable {
			time.Sleep(drawDuration(c.random, 0, steadyPause))
			result = c.exchange(conn, c.newRequest(conn))
		}
		conn.Close()
		conn = c.dialTo(coordinator)
	}
}

// keepCrowd keeps many connections without requests open to some co-ordinators until the end of the soak.
func (s *Soak) keepCrowd() {
	var crowds sync.WaitGroup
	for _, coordinator := range s.coordinators[:crowdedTargets] {
		crowds.Go(func() { s.keepCrowdAt(coordinator) })
	}
	crowds.Wait()
}

func (s *Soak) keepCrowdAt(coordinator *coordinator) {
	client := &client{soak: s}
	for s.now() < s.end {
		var idle []*clientConn
		for range crowdSize {
			conn := client.dialTo(coordinator)
			if conn == nil {
				break
			}
			idle = append(idle, conn)
		}
		time.Sleep(crowdRefill)
		for _, conn := range idle {
			conn.Close()
		}
	}
}
