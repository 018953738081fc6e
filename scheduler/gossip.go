package scheduler

// Gossip reports to each co-ordinator the work that its peers have sent to the replicas, which it cannot observe
// itself. Inputs are the start and end of this co-ordinator's attempts, and messages from peers. Outputs are each
// replica's peerWork, and corrections of its slowdown, of the parallelism and of the tenants' quotas. Messages may be
// lost, duplicated or late, so the reported work decays with time. gossip_message.go defines the message format.

import (
	"fmt"
	"math"
	"time"
)

const (
	// peerTimeout is the time without any message after which the peers count as silent.
	peerTimeout = 1 * time.Second

	// peerWorkDecayTime is the time constant with which the work that peers reported decays.
	peerWorkDecayTime = 2 * time.Second

	// lateAttemptFactor is the multiple of its expected time beyond which an attempt is reported as late.
	lateAttemptFactor = 2.0

	// gossipBatchDelay is the time for which ends of attempts are batched, as every peer has to process each message.
	// Starts are reported at once, as a peer may be about to choose the same replica.
	gossipBatchDelay = 100 * time.Millisecond
)

// gossip holds what a co-ordinator has yet to report to its peers, and when it last received a message.
type gossip struct {
	lastReceivedAt time.Duration // time of the last valid message from a peer; 0: none yet
	pending        [attemptEventCount]attemptTally
}

// peersHeard reports whether a peer has sent a valid message within peerTimeout.
func (g *gossip) peersHeard(now time.Duration) bool {
	return g.lastReceivedAt > 0 && now < g.lastReceivedAt+peerTimeout
}

// attemptSent records the start of an attempt.
func (g *gossip) attemptSent(now time.Duration, cell CellNumber, work time.Duration) {
	g.pending[attemptsSent].add(now, cell, work, 1)
}

// queryAdmitted records a tenant's query, after attemptSent has recorded its first attempt.
func (g *gossip) queryAdmitted(tenant TenantIndex) {
	sent := &g.pending[attemptsSent]
	sent.tenants = append(sent.tenants, tenant)
}

// endedAttempt is the end of an attempt, with what decides how it is reported to peers.
type endedAttempt struct {
	attempt   *attempt
	lateness  float64 // time taken, as a multiple of the expected time
	readLate  bool    // this co-ordinator itself may have delayed reading the answer
	cancelled bool
}

// attemptEnded records the end of an attempt. A late one is reported as late unless the answer may have been read
// late. A cancelled attempt is reported only if it was late, as the replica may still be working on it.
func (g *gossip) attemptEnded(now time.Duration, ended endedAttempt) {
	cell, work := ended.attempt.replica.cell, ended.attempt.work
	switch {
	case ended.lateness > lateAttemptFactor && !ended.readLate:
		g.pending[attemptsLate].add(now, cell, work, ended.lateness)
	case !ended.cancelled:
		g.pending[attemptsEnded].add(now, cell, work, 1)
	}
}

// broadcast sends the messages that are due and schedules a wakeup for the others.
func (scheduler *Scheduler) broadcast() {
	for event := range attemptEventCount {
		tally := &scheduler.gossip.pending[event]
		due := tally.firstAddedAt + gossipBatchDelay
		switch {
		case event == attemptsSent || scheduler.now >= due:
			cells := scheduler.parameters.layout.cells
			for _, message := range tally.flush(event, cells, scheduler.estimates.parallelism) {
				scheduler.host.Broadcast(message)
			}
		case len(tally.cells) > 0:
			scheduler.wakeBy(due)
		}
	}
}

// GossipReceived handles a message from another co-ordinator. A malformed message changes nothing and returns an error
// that wraps a *GossipError.
func (scheduler *Scheduler) GossipReceived(now time.Duration, from PeerIndex, message []byte) error {
	scheduler.advanceClock(now)
	decoded, err := decodeGossip(message, scheduler.parameters.layout.cells)
	if err != nil {
		return fmt.Errorf("co-ordinator %d: %w", from, err)
	}
	for _, tenant := range decoded.tenants {
		scheduler.quotas.peerAdmitted(tenant)
	}
	for _, entry := range decoded.cells {
		for _, replica := range scheduler.replicas.holdersOfCell(entry.cell) {
			if replica.cell == entry.cell {
				scheduler.applyPeerAttempts(replica, decoded, entry.attempts)
			}
		}
	}
	scheduler.gossip.lastReceivedAt = now
	return nil
}

// applyPeerAttempts updates the estimates from a peer's message about attempts at a replica.
func (scheduler *Scheduler) applyPeerAttempts(replica *replicaState, message *gossipMessage, attempts int) {
	work := time.Duration(attempts) * message.work
	if message.event == attemptsEnded {
		estimates := &scheduler.estimates
		step := math.Pow(message.parallelism/estimates.parallelism, parallelismStep)
		estimates.parallelism = min(maxParallelism, estimates.parallelism*step)
	}
	if message.event != attemptsSent {
		work = -work
		scheduler.applyPeerLatency(replica, message, attempts)
	}
	maxWork := scale(scheduler.parameters.shortestObjective, scheduler.estimates.parallelism)
	replica.peerWork = max(0, min(maxWork, replica.peerBacklog(scheduler.now)+work))
	replica.peerWorkAt = scheduler.now
}

// applyPeerLatency adjusts a replica's slowdown in the same way as a reply does. Attempts that were not late can only
// lower it.
func (scheduler *Scheduler) applyPeerLatency(replica *replicaState, message *gossipMessage, attempts int) {
	deviation := math.Log(max(1, message.lateness) / replica.slowdown)
	if message.event != attemptsLate && deviation >= 0 {
		return
	}
	bounded := max(-maxDeviation, min(maxDeviation, deviation))
	replica.slowdown *= math.Exp(slowdownStep * float64(attempts) * bounded)
}

// peerBacklog returns the work that other co-ordinators have in flight at a replica, by their messages. It decays, as
// the message about an attempt's end may be lost.
func (r *replicaState) peerBacklog(now time.Duration) time.Duration {
	age := now - r.peerWorkAt
	return scale(r.peerWork, math.Exp(-float64(age)/float64(peerWorkDecayTime)))
}

// unseenLoad returns the factor on expected times for work that silent peers may have in flight; 1 if the peers are
// not silent.
func (scheduler *Scheduler) unseenLoad() float64 {
	if scheduler.gossip.peersHeard(scheduler.now) {
		return 1
	}
	return scheduler.parameters.unseenLoadFactor
}
