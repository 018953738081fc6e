package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"terntray/internal/faultbuild"
)

// FaultKind names a kind of fault, as it is printed and as the soak's flag -without takes it.
type FaultKind string

// The kinds of fault.
const (
	FaultStop                FaultKind = "stop"             // SIGSTOP, and SIGCONT a moment later
	FaultTerminate           FaultKind = "terminate"        // SIGTERM, then a new process
	FaultKill                FaultKind = "kill"             // SIGKILL, then a new process
	FaultReload              FaultKind = "reload"           // SIGHUP, with discovery at another agent
	FaultWallStep            FaultKind = "wall_step"        // the wall clock is stepped, and later back
	FaultAccept              FaultKind = "accept_fails"     // accept(2) fails
	FaultConnect             FaultKind = "connect_fails"    // connect(2) fails
	FaultSocket              FaultKind = "socket_fails"     // socket(2) fails
	FaultDescriptorLimit     FaultKind = "few_descriptors"  // RLIMIT_NOFILE is used up
	FaultAgentDown           FaultKind = "agent_down"       // a discovery agent answers nothing
	FaultWatchesReset        FaultKind = "watches_reset"    // a discovery agent resets its connections
	FaultWatchesHang         FaultKind = "watches_silent"   // open watches get no answer for ever
	FaultFullLists           FaultKind = "whole_lists"      // watches are answered with full lists
	FaultReplicaHangs        FaultKind = "replica_hangs"    // a replica neither reads nor answers
	FaultReplicaNotAccepting FaultKind = "replica_deaf"     // a replica accepts no connections
	FaultReplicaRestarts     FaultKind = "replica_restarts" // a replica comes back cold
	FaultCellRestarts        FaultKind = "cell_restarts"    // most of a cell comes back cold, under a burst
	FaultReplicaDrains       FaultKind = "replica_drains"   // a replica drains and is removed; another joins
	FaultReplicaReplaced     FaultKind = "replica_replaced" // a replica is removed at once; another has joined
	FaultReplicaResets       FaultKind = "replica_resets"   // a replica resets its connections
	FaultClientsDisconnect   FaultKind = "clients_leave"    // clients leave often
	FaultBurst               FaultKind = "burst"            // clients send faster
	FaultIdleConnections     FaultKind = "crowd"            // many connections on which nothing comes
)

// strike does a fault to somebody and returns whom it struck once it is over; empty: it could strike nobody.
type strike func(soak *Soak, random *rand.Rand) (target string)

// fault is one kind, with its share of all draws.
type fault struct {
	kind   FaultKind
	weight int
	strike strike
}

// faults are drawn from in this order: a seed's plan depends on it.
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
	{FaultWatchesReset, 3, onAgent((*agent).resetWatches)},
	{FaultWatchesHang, 3, onAgent((*agent).silenceWatches)},
	{FaultFullLists, 2, sendFullLists},
	{FaultReplicaHangs, 5, onReplica(hangReplica)},
	{FaultReplicaNotAccepting, 3, onReplica(stopAccepting)},
	{FaultReplicaRestarts, 4, onReplica(restartReplica)},
	{FaultCellRestarts, 3, restartCell},
	{FaultReplicaDrains, 4, onReplica(drainReplica)},
	{FaultReplicaReplaced, 3, onReplica(replaceReplica)},
	{FaultReplicaResets, 4, onReplica(resetConnections)},
	{FaultClientsDisconnect, 3, haveClientsLeave},
	{FaultBurst, 2, sendBurst},
	{FaultIdleConnections, 2, openIdleConnections},
}

// FaultKinds lists the kinds of fault, in the order of their table.
func FaultKinds() (all []FaultKind) {
	for _, fault := range faults {
		all = append(all, fault.kind)
	}
	return all
}

// maxFaultPause is the longest pause between two faults of a stream.
const maxFaultPause = 500 * time.Millisecond

// injectFaults strikes again and again until the time is over.
func (s *Soak) injectFaults(random *rand.Rand) {
	for {
		time.Sleep(between(random, 0, maxFaultPause))
		if s.now() > s.end-longestDeadline() {
			return
		}
		fault := drawFault(random)
		if slices.Contains(s.options.Without, fault.kind) {
			continue
		}
		from := s.now()
		target := fault.strike(s, random)
		if target != "" && fault.kind != FaultStop { // a stop notes itself, to the moment
			s.ledger.addFault(faultSpan{fault.kind, target, from, s.now()})
		}
	}
}

// drawFault draws a fault by the weights, with one draw of chance.
func drawFault(random *rand.Rand) fault {
	sum := 0
	for _, fault := range faults {
		sum += fault.weight
	}
	pick := random.IntN(sum)
	for _, fault := range faults {
		pick -= fault.weight
		if pick < 0 {
			return fault
		}
	}
	panic("a draw below the sum of all weights fits none")
}

// between draws a span.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// favouredCoordinators get most of the faults, so that faults meet in one process.
const favouredCoordinators = 3

// drawCoordinator draws one: six times of ten among those that are favoured.
func (s *Soak) drawCoordinator(random *rand.Rand) *coordinator {
	among := s.coordinators
	if random.IntN(10) < 6 {
		among = among[:favouredCoordinators]
	}
	return among[random.IntN(len(among))]
}
