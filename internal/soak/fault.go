package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"terntray/internal/faultbuild"
)

// FaultKind is a kind of fault. Its value is printed and is accepted by the flag -without of the soak proof.
type FaultKind string

// The kinds of fault.
const (
	FaultStop                FaultKind = "stop"             // SIGSTOP, shortly afterwards SIGCONT
	FaultTerminate           FaultKind = "terminate"        // SIGTERM, then a new process
	FaultKill                FaultKind = "kill"             // SIGKILL, then a new process
	FaultReload              FaultKind = "reload"           // SIGHUP, with a new discovery agent
	FaultWallStep            FaultKind = "wall_step"        // the wall clock steps, and later steps back
	FaultAccept              FaultKind = "accept_fails"     // accept(2) fails
	FaultConnect             FaultKind = "connect_fails"    // connect(2) fails
	FaultSocket              FaultKind = "socket_fails"     // socket(2) fails
	FaultDescriptorLimit     FaultKind = "few_descriptors"  // RLIMIT_NOFILE is lowered to the descriptors in use
	FaultAgentDown           FaultKind = "agent_down"       // a discovery agent does not answer
	FaultWatchesReset        FaultKind = "watches_reset"    // a discovery agent resets its connections
	FaultWatchesHang         FaultKind = "watches_silent"   // open watches are never answered
	FaultFullLists           FaultKind = "whole_lists"      // watches are answered with full lists
	FaultReplicaHangs        FaultKind = "replica_hangs"    // a replica neither reads nor replies
	FaultReplicaNotAccepting FaultKind = "replica_deaf"     // a replica accepts no connections
	FaultReplicaRestarts     FaultKind = "replica_restarts" // a replica restarts cold
	FaultCellRestarts        FaultKind = "cell_restarts"    // most of a cell restarts cold, under a burst
	FaultReplicaDrains       FaultKind = "replica_drains"   // a replica drains and is removed; a new one joins
	FaultReplicaReplaced     FaultKind = "replica_replaced" // a new replica joins, an old one is removed at once
	FaultReplicaResets       FaultKind = "replica_resets"   // a replica resets its connections
	FaultClientsDisconnect   FaultKind = "clients_leave"    // clients often disconnect early
	FaultBurst               FaultKind = "burst"            // clients send requests faster
	FaultIdleConnections     FaultKind = "crowd"            // many connections without requests
)

// injector injects a fault and, once the fault is over, returns its target, or "" if no target was available.
type injector func(soak *Soak, random *rand.Rand) (target string)

// fault is a kind of fault with its weight in the random choice.
type fault struct {
	kind   FaultKind
	weight int
	inject injector
}

// faults is the table that drawFault draws from. A seed's plan depends on its order.
var faults = []fault{
	{FaultStop, 6, stopProcess},
	{FaultTerminate, 5, terminateProcess},
	{FaultKill, 2, killProcess},
	{FaultReload, 4, reloadProcess},
	{FaultWallStep, 4, stepWallClock},
	{FaultAccept, 3, failSystemCall(faultbuild.AcceptFails)},
	{FaultConnect, 3, failSystemCall(faultbuild.ConnectFails)},
	{FaultSocket, 2, failSystemCall(faultbuild.SocketFails)},
	{FaultDescriptorLimit, 2, lowerDescriptorLimit},
	{FaultAgentDown, 4, takeAgentDown},
	{FaultWatchesReset, 3, agentFault((*agent).resetWatches)},
	{FaultWatchesHang, 3, agentFault((*agent).hangWatches)},
	{FaultFullLists, 2, sendFullLists},
	{FaultReplicaHangs, 5, replicaFault(hangReplica)},
	{FaultReplicaNotAccepting, 3, replicaFault(stopAccepting)},
	{FaultReplicaRestarts, 4, replicaFault(restartReplica)},
	{FaultCellRestarts, 3, restartCell},
	{FaultReplicaDrains, 4, replicaFault(drainReplica)},
	{FaultReplicaReplaced, 3, replicaFault(replaceReplica)},
	{FaultReplicaResets, 4, replicaFault(resetConnections)},
	{FaultClientsDisconnect, 3, disconnectClients},
	{FaultBurst, 2, sendBurst},
	{FaultIdleConnections, 2, openIdleConnections},
}

// FaultKinds returns all kinds of fault, in a fixed order.
func FaultKinds() (all []FaultKind) {
	for _, fault := range faults {
		all = append(all, fault.kind)
	}
	return all
}

// maxFaultPause is the maximum pause between two faults of a stream.
const maxFaultPause = 500 * time.Millisecond

// injectFaults injects one fault after another. It starts none within the longest deadline before the clients stop.
func (s *Soak) injectFaults(random *rand.Rand) {
	for {
		time.Sleep(drawDuration(random, 0, maxFaultPause))
		if s.now() > s.end-s.longestDeadline() {
			return
		}
		fault := drawFault(random)
		if slices.Contains(s.options.Without, fault.kind) {
			continue
		}
		from := s.now()
		target := fault.inject(s, random)
		if target != "" && fault.kind != FaultStop { // stopProcess records its own exact spans
			s.ledger.addFault(faultSpan{fault.kind, target, from, s.now()})
		}
	}
}

// drawFault draws a fault by weight, with a single draw from the random source.
func drawFault(random *rand.Rand) fault {
	totalWeight := 0
	for _, fault := range faults {
		totalWeight += fault.weight
	}
	remaining := random.IntN(totalWeight)
	for _, fault := range faults {
		remaining -= fault.weight
		if remaining < 0 {
			return fault
		}
	}
	panic("unreachable: a draw below the sum of the weights matches no fault")
}

// drawDuration draws a duration from low up to, but not including, high.
func drawDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// favouredCoordinators is the number of co-ordinators that get most of the faults, so that faults overlap in one
// process.
const favouredCoordinators = 3

// drawCoordinator draws a co-ordinator, with a probability of 60 percent from the favoured ones alone.
func (s *Soak) drawCoordinator(random *rand.Rand) *coordinator {
	candidates := s.coordinators
	if random.IntN(10) < 6 {
		candidates = candidates[:favouredCoordinators]
	}
	return candidates[random.IntN(len(candidates))]
}
