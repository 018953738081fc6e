// Package soak injects seeded, overlapping faults into real co-ordinator processes on loopback and checks the rules of
// the protocol from outside: by the frames that the replicas received, the requests and answers of the clients, and the
// times at which the discovery agents learned of each change. It does not rely on what a co-ordinator reports about
// itself, except that a rule violation in its log is a violation in itself.
//
// The fake replicas, agents and clients run in the process of the soak and share one clock. The co-ordinators are built
// by package faultbuild, so that their system calls can fail and their wall clocks can be stepped.
package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"terntray/internal/faultbuild"
)

// Options configure a run.
type Options struct {
	Program      string        // path of the co-ordinator program, built by package faultbuild
	Scenario     Scenario      // what the seed plays
	Duration     time.Duration // how long clients send requests
	FaultStreams int           // number of concurrent streams of faults
	Without      []FaultKind   // kinds of fault that are not injected, to shrink a failure
	LogFolder    string        // folder in which the programs' logs are saved, if not empty

	// Rates are the rates of the system call faults that are injected all the time, in faults per million calls.
	Rates map[faultbuild.Setting]int64

	// ExpectPanics is set for a program that panics on purpose: a panic of the event loop in its log is no violation.
	ExpectPanics bool
}

const (
	clientsPerCoordinator = 5

	// settleTime is how long the soak waits after the last request's deadline for late frames and closes.
	settleTime = 700 * time.Millisecond

	// maxIdleDescriptors is the maximum number of open descriptors of a process without clients: some of its own, and
	// the connections to replicas.
	maxIdleDescriptors = 24 + 4*cells*replicasPerCell
)

// Soak is a run of one seed.
type Soak struct {
	clock
	setting
	seed         uint64
	options      Options
	folder       string        // temporary, for the fault pages
	end          time.Duration // when clients stop sending, on the soak's clock
	ledger       *ledger
	endpoints    *endpointHistory
	coordinators []*coordinator

	burst                atomic.Bool // clients send faster
	clientsDisconnecting atomic.Bool // clients often disconnect early
	delayedFrames        atomic.Int64

	mu           sync.Mutex
	replicas     []*replica
	replicaCount int // all replicas so far, for the names of new ones
	clientCount  int // all steady clients so far, for the names of new ones
	violations   []Violation
}

// Run runs a soak with a seed and checks the rules. Violations are in the result; an error means that the soak could
// not be started.
func Run(seed uint64, options Options) (*Result, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	soak := &Soak{
		clock:     clock{time.Now()},
		setting:   newSetting(options.Scenario, seed),
		seed:      seed,
		options:   options,
		folder:    folder,
		ledger:    newLedger(),
		endpoints: &endpointHistory{},
	}
	defer soak.close()
	if err := soak.startAll(); err != nil {
		return nil, err
	}
	soak.runWorkload()
	soak.terminateAll()
	return soak.check(), nil
}

// startAll starts the replicas, then all co-ordinators concurrently.
func (s *Soak) startAll() error {
	if err := s.startReplicas(); err != nil {
		return err
	}
	s.coordinators = make([]*coordinator, coordinatorCount)
	started := make(chan error)
	for n := range s.coordinators {
		go func() {
			coordinator, err := newCoordinator(s, n)
			s.coordinators[n] = coordinator
			started <- err
		}()
	}
	for range s.coordinators {
		if err := <-started; err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) startReplicas() error {
	for n := range cells * replicasPerCell {
		replica, err := newReplica(s, fmt.Sprint("s-", n), n%cells, longRunning)
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, replica)
		s.endpoints.publish(replica.endpoint())
	}
	s.replicaCount = len(s.replicas)
	return nil
}

// runWorkload runs the clients and the streams of faults, and waits until both have ended and all answers are due.
func (s *Soak) runWorkload() {
	s.end = s.now() + s.options.Duration
	var clients, streams sync.WaitGroup
	for n := range clientsPerCoordinator * coordinatorCount {
		client := &client{
			soak:   s,
			name:   fmt.Sprintf("c%d-%d", s.seed, n),
			random: s.randomFor(fmt.Sprint("client", n)),
		}
		clients.Go(client.run)
	}
	for n := range s.options.FaultStreams {
		random := s.randomFor(fmt.Sprint("trouble", n))
		streams.Go(func() { s.injectFaults(random) })
	}
	if s.crowd {
		streams.Go(s.keepCrowd)
	}
	if s.restarts {
		for n := range restartStreams {
			random := s.randomFor(fmt.Sprint("restarts", n))
			streams.Go(func() { s.restartProcesses(random) })
		}
	}
	streams.Wait()
	clients.Wait()
	time.Sleep(s.longestDeadline() + settleTime)
}

// terminateAll checks the open descriptors of every co-ordinator and then terminates it, as a planned restart does.
func (s *Soak) terminateAll() {
	var all sync.WaitGroup
	for _, coordinator := range s.coordinators {
		all.Go(func() {
			process := coordinator.currentProcess()
			if process == nil {
				return
			}
			if open := process.program.Descriptors(); open > maxIdleDescriptors {
				s.violated(RuleDescriptors, "", "%s has %d open descriptors without clients", coordinator.name, open)
			}
			coordinator.terminate(0)
		})
	}
	all.Wait()
}

// close stops all co-ordinators and replicas.
func (s *Soak) close() {
	for _, coordinator := range s.coordinators {
		if coordinator != nil {
			coordinator.close()
		}
	}
	for _, replica := range s.replicas {
		replica.stop()
	}
}

// randomFor returns a random source that depends only on the seed and a name.
func (s *Soak) randomFor(name string) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return rand.New(rand.NewPCG(s.seed, hash.Sum64()))
}
