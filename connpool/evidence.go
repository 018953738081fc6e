package connpool

import (
	"errors"
	"slices"
	"time"

	"terntray/scheduler"
)

// This file decides which attempts may be sent again when a connection fails, and on what evidence. An attempt can have
// run only if its last byte was handed to the operating system (replicaproto.Written): a replica never runs an
// incomplete call. So, when a connection ends:
//
//	fully written   connection was up   result
//	no              yes                 retransmitted on another connection, at most once (mayMove); else as below
//	no              no                  it never ran: Unreachable, or NeverSent if this machine was short of resources
//	yes             -                   it may have run: MalformedReply if only the connection is at fault (malformed
//	                                    input, or another connection to the replica is up) or the replica had replied,
//	                                    else ConnectionReset, which counts as the replica's death
//
// Attempts are not retransmitted to a replica that is draining or was removed. While a connection is up, a replica may
// also end an attempt by a message of its protocol (AttemptSettled). The outcome is Overloaded if the message states
// that the attempt never ran, and Failed otherwise. Whether a subquery is attempted again after such an outcome is
// decided in scheduler/retry.go, and checked by package invariant.

const (
	// resetGrace is the longest time from the first to the last break of the connections to a process that died.
	resetGrace = 10 * time.Millisecond
	// avoidIdleFor is how long non-idempotent attempts avoid idle connections after one broke on its next use.
	avoidIdleFor = 10 * time.Second
	// minIdleTimeoutFactor times Limits.ConnectTimeout is the lower bound of the learned idle timeout.
	minIdleTimeoutFactor = 4
)

// pendingReset is a connection that ended with attempts that may have run, while another connection to its replica
// was up.
type pendingReset struct {
	replica    *replicaState
	mayHaveRun []*Attempt
	endedAt    time.Duration // when the connection ended
}

// ConnEnded notifies the pool that a connection ended, with the cause and the time of its end. Its attempts end or
// are retransmitted, as described at the head of this file.
func (pool *Pool) ConnEnded(now time.Duration, id ConnID, cause error, endedAt time.Duration) {
	pool.now = now
	ended := pool.conns[id]
	if ended == nil {
		return
	}
	pool.remove(ended)
	pool.recordEnd(ended, cause)
	if len(ended.outstanding) > 0 && ended.state != closing && !ended.goingAway {
		pool.learnIdleTimeout(ended)
	}
	neverRanOutcome := scheduler.Unreachable
	if errors.Is(cause, ErrOSResourceShortage) {
		neverRanOutcome = scheduler.NeverSent
	}
	ended.state = closing
	mayHaveRun, toRetransmit := pool.classifyByEvidence(ended, neverRanOutcome, endedAt)
	pool.retransmit(ended, toRetransmit, neverRanOutcome, endedAt)
	switch {
	case ended.failed:
		pool.finishAll(mayHaveRun, scheduler.MalformedReply, endedAt)
	case pool.replicaIsAlive(ended.replica):
		pool.pendingResets[id] = &pendingReset{ended.replica, mayHaveRun, endedAt}
		pool.host.ScheduleWakeup(id, resetGrace)
	default:
		pool.finishAll(mayHaveRun, scheduler.ConnectionReset, endedAt)
	}
	pool.forgetRemoved(ended.replica)
}

// classifyByEvidence takes the attempts off a connection that has ended. It ends those that never ran and may not be
// retransmitted, and returns those that may have run and those to retransmit.
func (pool *Pool) classifyByEvidence(ended *connection, neverRanOutcome scheduler.Outcome, endedAt time.Duration) (
	mayHaveRun, toRetransmit []*Attempt) {
	outstanding := ended.outstanding
	ended.outstanding, ended.cancels.pending = nil, nil
	for _, attempt := range outstanding {
		switch {
		case attempt.finished:
		case attempt.unconfirmed:
			pool.finish(attempt, scheduler.MalformedReply, endedAt)
		case pool.host.Stage(ended.id, attempt) == written:
			mayHaveRun = append(mayHaveRun, attempt)
		case ended.wasEstablished && mayRetransmit(attempt, ended.replica):
			attempt.hasMoved = true
			attempt.conn = nil
			rewindCall(attempt.Call)
			toRetransmit = append(toRetransmit, attempt)
		default:
			pool.finish(attempt, neverRanOutcome, endedAt)
		}
	}
	return mayHaveRun, toRetransmit
}

// mayRetransmit reports whether an attempt that was not fully written may be sent on another connection, as far as
// both the attempt (mayMove) and its replica are concerned.
func mayRetransmit(attempt *Attempt, replica *replicaState) bool {
	return attempt.mayMove() && replica.acceptsNew()
}

// retransmit assigns attempts to other connections than the one they were on, or lets them wait for a slot. Attempts
// for which neither is possible end with neverRanOutcome. If the replica's last connection has ended, all waiting
// attempts end as well, as no connection is left to carry them.
func (pool *Pool) retransmit(from *connection, attempts []*Attempt, neverRanOutcome scheduler.Outcome,
	endedAt time.Duration) {
	replica := from.replica
	if !from.traits.LimitsStreams {
		for _, attempt := range attempts {
			if !pool.assignOrEnqueue(attempt, replica) {
				pool.finish(attempt, neverRanOutcome, endedAt)
			}
		}
		return
	}
	pool.requeue(replica, attempts)
	if from.wasEstablished {
		pool.assignWaiting(replica)
	}
	if len(replica.conns) == 0 {
		waiting := replica.waiting
		replica.waiting = nil
		pool.finishAll(waiting, neverRanOutcome, endedAt)
	}
}

// requeueCause is the reason for taking attempts off a connection before their writing has begun.
type requeueCause int

const (
	slotLost      requeueCause = iota // fewer slots, or a new address: an attempt may be requeued any number of times
	connGoingAway                     // nothing new is accepted on the connection: an attempt may move only once
)

// requeueUnstarted moves attempts whose writing has not begun from a connection back to the replica's queue, latest
// first, until no more than keep attempts are left on the connection. If the cause is connGoingAway, an attempt that
// may not move (again) is rejected instead.
func (pool *Pool) requeueUnstarted(conn *connection, keep int, cause requeueCause) {
	var requeued []*Attempt
	for _, attempt := range slices.Backward(slices.Clone(conn.outstanding)) {
		if len(conn.outstanding) <= keep {
			break
		}
		if attempt.finished || !pool.host.Withdraw(conn.id, attempt) {
			continue
		}
		conn.outstanding = without(conn.outstanding, attempt)
		attempt.conn = nil
		if cause == connGoingAway {
			if !attempt.mayMove() {
				pool.finish(attempt, scheduler.Overloaded, pool.now)
				continue
			}
			attempt.hasMoved = true
		}
		requeued = append(requeued, attempt)
	}
	pool.requeue(conn.replica, requeued)
}

// WriteFailed notifies the pool that a write on a connection failed: it timed out, or the operating system reported
// an error. The connection gets no new attempts. Attempts whose writing has not begun are sent on other connections
// immediately, as they would wait behind bytes that the replica does not read. If no attempt on the connection was
// fully written, it is closed, since attempts that are still incomplete when it ends certainly never run.
func (pool *Pool) WriteFailed(now time.Duration, id ConnID) {
	pool.now = now
	failed := pool.conns[id]
	if failed == nil || failed.state == closing {
		return
	}
	failed.suspect = true
	if len(failed.outstanding) > 0 && !failed.goingAway { // as in ConnEnded
		pool.learnIdleTimeout(failed)
	}
	var unstarted []*Attempt
	for _, attempt := range slices.Clone(failed.outstanding) {
		canMove := !attempt.finished && mayRetransmit(attempt, failed.replica)
		if canMove && pool.host.Withdraw(id, attempt) {
			failed.outstanding = without(failed.outstanding, attempt)
			attempt.hasMoved = true
			attempt.conn = nil
			unstarted = append(unstarted, attempt)
		}
	}
	if !slices.ContainsFunc(failed.outstanding, pool.FullyWritten) {
		pool.close(failed)
	}
	pool.retransmit(failed, unstarted, scheduler.Unreachable, now)
}

// WriteRefused notifies the pool that an attempt was refused just before its first byte would have been written
// (replicaproto.Withheld): it never ran, and is not sent on any other connection.
func (pool *Pool) WriteRefused(now time.Duration, attempt *Attempt) {
	pool.now = now
	pool.finish(attempt, scheduler.NeverSent, now)
	pool.release(attempt, unreplied)
}

// NoRetransmit forbids sending an attempt on another connection if its own ends before the attempt is written.
// Without this, an attempt that can no longer be withdrawn could be sent after its query was answered, or for a
// client that has disconnected.
func (pool *Pool) NoRetransmit(attempt *Attempt) { attempt.noRetransmit = true }

// remove removes a connection that has ended from the pool.
func (pool *Pool) remove(ended *connection) {
	isEnded := func(conn *connection) bool { return conn == ended }
	delete(pool.conns, ended.id)
	pool.byAge = slices.DeleteFunc(pool.byAge, isEnded)
	ended.replica.conns = slices.DeleteFunc(ended.replica.conns, isEnded)
}

// recordEnd records the end of a connection, unless it was expected and no attempt was lost.
func (pool *Pool) recordEnd(ended *connection, cause error) {
	unexpected := len(ended.outstanding) > 0 || ended.state != closing
	switch {
	case !ended.wasEstablished:
		pool.record(ended, ConnectFailed, cause)
	case ended.failed: // fail has recorded it
	case unexpected && !ended.goingAway:
		pool.record(ended, Dropped, cause)
	}
}

// replicaIsAlive reports whether a connection to a replica is still up. If so, the end of another connection is no
// evidence that the replica died. The connections of a dying process break one after the other, so this is checked
// again after resetGrace.
func (pool *Pool) replicaIsAlive(replica *replicaState) bool {
	return slices.ContainsFunc(replica.conns, func(conn *connection) bool {
		return conn.state == established && pool.host.PeerOpen(conn.id)
	})
}

// resolveReset ends the attempts that may have run on a connection that ended resetGrace ago.
func (pool *Pool) resolveReset(id ConnID, reset *pendingReset) {
	delete(pool.pendingResets, id)
	outcome := scheduler.ConnectionReset
	if pool.replicaIsAlive(reset.replica) {
		outcome = scheduler.MalformedReply
	}
	pool.finishAll(reset.mayHaveRun, outcome, reset.endedAt)
}

// learnIdleTimeout shortens the idle timeout if a connection broke on its first use after being idle: the replica, or
// something on the network path, then drops idle connections sooner than the configured timeout, and non-idempotent
// attempts would be lost. As a replica crash looks the same, the timeout never falls below minIdleTimeoutFactor
// connect timeouts.
func (pool *Pool) learnIdleTimeout(broken *connection) {
	first := broken.outstanding[0]
	brokeAtOnce := broken.lastReplyAt < first.SentAt && pool.now-first.SentAt < pool.limits.ConnectTimeout
	if brokeAtOnce && broken.idleBefore > 0 {
		shorter := max(broken.idleBefore/2, minIdleTimeoutFactor*pool.limits.ConnectTimeout)
		pool.idleTimeout = min(pool.idleTimeout, shorter)
		pool.avoidIdleUntil = pool.now + avoidIdleFor
	}
}
