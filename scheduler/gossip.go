package scheduler

// Gossip lets each of many co-ordinators count on the work that the others have sent to a replica, which none sees
// by itself. Inputs are the own attempts as they are sent and end, and the messages of peers; the result is each
// replica's peerWork, and a correction of its slowdown, of the parallelism and of tenants' allowances. Messages may
// be lost, doubled or late: what they tell fades with time. gossip_message.go has their form.

import (
	"fmt"
	"math"
	"time"
)

const (
	// peerTimeout is the time without any message after which the others count as silent.
	peerTimeout = 1 * time.Second

	// peerWorkDecayTime is the time in which the work that peers told of fades to a third.
	peerWorkDecayTime = 2 * time.Second

	// lateAttemptFactor is how many times longer than expected an attempt takes whose lateness is told.
	lateAttemptFactor = 2.0

	// gossipBatchDelay is the time for which ends are gathered, as each message costs work at every peer. Attempts that
	// were sent are told at once, as others may be about to choose the same replica.
	gossipBatchDelay = 100 * time.Millisecond
)

// gossip is what a co-ordinator has to tell its peers, and when it last heard one.
type gossip struct {
	lastReceivedAt time.Duration // last message of a peer that could be read; 0: none yet
	pending        [attemptEventCount]attemptTally
}

// peersHeard tells whether the peers tell what they send.
func (g *gossip) peersHeard(now time.Duration) bool {
	return g.lastReceivedAt > 0 && now < g.lastReceivedAt+peerTimeout
}

// attemptSent notes an attempt that is now in flight.
func (g *gossip) attemptSent(now time.Duration, cell CellNumber, work time.Duration) {
	g.pending[attemptsSent].add(now, cell, work, 1)
}

// queryAdmitted notes a tenant's query whose first attempt was just noted.
func (g *gossip) queryAdmitted(tenant TenantIndex) {
	sent := &g.pending[attemptsSent]
	sent.tenants = append(sent.tenants, tenant)
}

// endedAttempt is the end of an attempt, as far as peers are told of it.
type endedAttempt struct {
	attempt   *attempt
	lateness  float64 // times the expected time that it took
	readLate  bool    // this co-ordinator may have been late itself in reading the answer
	cancelled bool
}

// attemptEnded notes the end of an attempt. A late one is told as late unless the answer was read late. A cancelled
// attempt is told only if it was late, as the replica may go on with it.
func (g *gossip) attemptEnded(now time.Duration, ended endedAttempt) {
	cell, work := ended.attempt.replica.cell, ended.attempt.work
	switch {
	case ended.lateness > lateAttemptFactor && !ended.readLate:
		g.pending[attemptsLate].add(now, cell, work, ended.lateness)
	case !ended.cancelled:
		g.pending[attemptsEnded].add(now, cell, work, 1)
	}
}

// broadcast sends what is due and asks to be woken for the rest.
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

// GossipReceived takes a message of another co-ordinator. One that cannot be read changes nothing; the error wraps a
// *GossipError.
func (scheduler *Scheduler) GossipReceived(now time.Duration, from PeerIndex, message []byte) error {
	scheduler.advanceClock(now)
	decoded, err := decodeGossip(message, scheduler.parameters.layout.cells)
	if err != nil {
		return fmt.Errorf("co-ordinator %d: %w", from, err)
	}
	for _, tenant := range decoded.tenants {
		scheduler.quotas.peerAdmitted(tenant)
	}
	for _, told := range decoded.cells {
		for _, replica := range scheduler.replicas.holdersOfCell(told.cell) {
			if replica.cell == told.cell {
				scheduler.applyPeerAttempts(replica, decoded, told.attempts)
			}
		}
	}
	scheduler.gossip.lastReceivedAt = now
	return nil
}

// applyPeerAttempts applies what a peer tells of attempts at a replica.
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
	most := scale(scheduler.parameters.shortestObjective, scheduler.estimates.parallelism)
	replica.peerWork = max(0, min(most, replica.peerBacklog(scheduler.now)+work))
	replica.peerWorkAt = scheduler.now
}

// applyPeerLatency moves a replica's slowdown as own replies do. Attempts in the expected time only lower it.
func (scheduler *Scheduler) applyPeerLatency(replica *replicaState, message *gossipMessage, attempts int) {
	surprise := math.Log(max(1, message.lateness) / replica.slowdown)
	if message.event != attemptsLate && surprise >= 0 {
		return
	}
	bounded := max(-maxLogRatio, min(maxLogRatio, surprise))
	replica.slowdown *= math.Exp(slowdownStep * float64(attempts) * bounded)
}

// peerBacklog is the work that other co-ordinators have in flight at a replica, as they told. It fades, as the
// message of an attempt's end may be lost.
func (r *replicaState) peerBacklog(now time.Duration) time.Duration {
	age := now - r.peerWorkAt
	return scale(r.peerWork, math.Exp(-float64(age)/float64(peerWorkDecayTime)))
}

// unseenLoad multiplies an expected time for the work that silent peers may have in flight; 1 where they tell.
func (scheduler *Scheduler) unseenLoad() float64 {
	if scheduler.gossip.peersHeard(scheduler.now) {
		return 1
	}
	return scheduler.parameters.unseenLoadFactor
}
