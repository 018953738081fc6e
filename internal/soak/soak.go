// Package soak plays seeded, overlapping faults against real coordinator processes on loopback and judges the rules of
// the protocol page from outside: by what the replicas were sent, what the clients sent and were answered, and when the
// discovery agents had each change. Nothing that a coordinator reports about itself takes part in that, except a line
// in its log that a rule was violated, which is a violation of its own.
//
// The replicas, agents and clients live in the soak's own process and share one clock. The coordinators are built by
// package faultbuild, so that their system calls can fail and their wall clocks can be stepped.
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

// Options say what is played.
type Options struct {
	Program      string        // path of the program, built by package faultbuild
	Duration     time.Duration // for how long clients send requests
	FaultStreams int           // streams of faults that run side by side
	Without      []FaultKind   // kinds of fault that are left out, to shrink a failure
	LogFolder    string        // where the programs' logs are written; empty: nowhere

	// Rates are the system calls that fail all the time, in calls of a million.
	Rates map[faultbuild.Setting]int64

	// ExpectPanics says that the program panics on purpose: a panic of the event loop in its log is no violation.
	ExpectPanics bool
}

const (
	clientsPerCoordinator = 5

	// settleTime passes between the last request's deadline and the end, for late frames and closes to be seen.
	settleTime = 700 * time.Millisecond

	// maxIdleDescriptors is what a process may hold once its clients are gone: some of its own, and connections to
	// replicas.
	maxIdleDescriptors = 24 + 4*cells*replicasPerCell
)

// Soak is one run of one seed.
type Soak struct {
	clock
	seed         uint64
	options      Options
	folder       string        // for the fault pages; removed at the end
	end          time.Duration // when clients stop sending, on the soak's clock
	ledger       *ledger
	endpoints    *endpointHistory
	coordinators []*coordinator

	burst          atomic.Bool // clients send faster
	clientsLeaving atomic.Bool // clients leave often
	lateFrames     atomic.Int64

	mu             sync.Mutex
	replicas       []*replica
	replicasJoined int // replicas so far, for the names of those that join
	violations     []Violation
}

// Run plays a seed and judges it. An error says that the seed could not be played; broken rules are in the result.
func Run(seed uint64, options Options) (*Result, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	soak := &Soak{
		clock:     clock{time.Now()},
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
	soak.play()
	soak.terminateAll()
	return soak.judge(), nil
}

// startAll starts the replicas, then all coordinators at once.
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
	s.replicasJoined = len(s.replicas)
	return nil
}

// play has clients send requests while faults strike.
func (s *Soak) play() {
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
	streams.Wait()
	clients.Wait()
	time.Sleep(longestDeadline() + settleTime)
}

// terminateAll ends every coordinator as a planned restart does, and judges before what it still holds.
func (s *Soak) terminateAll() {
	var all sync.WaitGroup
	for _, coordinator := range s.coordinators {
		all.Go(func() {
			process := coordinator.current()
			if process == nil {
				return
			}
			if held := process.program.Descriptors(); held > maxIdleDescriptors {
				s.violated(RuleDescriptors, "", "%s holds %d with no client", coordinator.name, held)
			}
			coordinator.terminate(0)
		})
	}
	all.Wait()
}

// close ends whatever still runs.
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

// randomFor is a source of chance of its own for each name: the same seed and name draw the same.
func (s *Soak) randomFor(name string) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return rand.New(rand.NewPCG(s.seed, hash.Sum64()))
}
