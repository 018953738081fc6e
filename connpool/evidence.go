package connpool

import (
	"errors"
	"slices"
	"time"

	"terntray/scheduler"
)

// What may be sent again, and on what evidence. An attempt can have run only if its last byte was handed to the
// operating system (replicaproto.Written); of a call that is not whole a replica runs nothing. So, when a connection
// ends:
//
//	written whole   connection came up   then
//	no              yes                  another connection carries the attempt, once (maySwitch); else as below
//	no              no                   it never ran: Unreachable, or NeverSent if this machine lacked something
//	yes             -                    it may have run: MalformedReply if only the connection is at fault (what came
//	                                     cannot be used, or another connection to the replica is up), else
//	                                     ConnectionReset, which counts as the replica's death
//
// No other connection carries an attempt for a replica that drains or was removed. While a connection lasts, the
// replica's word as its protocol defines it (AttemptSettled) is evidence too: Overloaded if it says that the attempt
// never ran, Failed otherwise. Whether a subquery is attempted again after such an outcome is decided by
// scheduler/retry.go, and checked by package invariant.

const (
	// resetGrace is the time in which all connections to a process that died have broken, after the first of them.
	resetGrace = 10 * time.Millisecond
	// distrustIdleFor is how long non-idempotent attempts avoid idle connections after one broke at its next use.
	distrustIdleFor = 10 * time.Second
	// minIdleTimeout is the least learned idle timeout, in times of Limits.ConnectTimeout.
	minIdleTimeout = 4
)

// pendingReset is a connection that ended with attempts that may have run, while another to its replica was up.
type pendingReset struct {
	replica *replicaState
	maybe   []*Attempt    // that may have run
	at      time.Duration // when it ended
}

// ConnEnded tells that a connection has ended: at which time, and why. Its attempts end, or go on another connection,
// as the head of this file says.
func (pool *Pool) ConnEnded(now time.Duration, id ConnID, cause error, at time.Duration) {
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
	neverRan := scheduler.Unreachable
	if errors.Is(cause, ErrShortage) {
		neverRan = scheduler.NeverSent
	}
	ended.state = closing
	maybeRan, unwritten := pool.sortByEvidence(ended, neverRan, at)
	pool.retransmit(ended, unwritten, neverRan, at)
	switch {
	case ended.failed:
		pool.finishAll(maybeRan, scheduler.MalformedReply, at)
	case pool.replicaIsAlive(ended.replica):
		pool.pendingResets[id] = &pendingReset{ended.replica, maybeRan, at}
		pool.host.ScheduleWakeup(id, resetGrace)
	default:
		pool.finishAll(maybeRan, scheduler.ConnectionReset, at)
	}
	pool.forgetRemoved(ended.replica)
}

// sortByEvidence takes the attempts off a connection that has ended. It ends those that never ran and may not go on
// another connection, and returns those that may have run and those that another connection can carry.
func (pool *Pool) sortByEvidence(ended *connection, neverRan scheduler.Outcome, at time.Duration) (
	maybeRan, unwritten []*Attempt) {
	outstanding := ended.outstanding
	ended.outstanding, ended.cancels.pending = nil, nil
	for _, attempt := range outstanding {
		switch {
		case attempt.finished:
		case pool.host.Stage(ended.id, attempt) == written:
			maybeRan = append(maybeRan, attempt)
		case ended.wasEstablished && mayRetransmit(attempt, ended.replica):
			attempt.hasSwitched = true
			attempt.conn = nil
			resetCall(attempt.Call)
			unwritten = append(unwritten, attempt)
		default:
			pool.finish(attempt, neverRan, at)
		}
	}
	return maybeRan, unwritten
}

// mayRetransmit tells whether an attempt that was not written whole may go on another connection.
func mayRetransmit(attempt *Attempt, replica *replicaState) bool {
	return attempt.maySwitch() && replica.takesNew()
}

// retransmit has attempts go on other connections than the one they were on, or wait for a place. Those that can do
// neither end with an outcome that says that they never ran. If the last connection to a replica ended, whatever
// waits ends so as well, as nothing is there to carry it.
func (pool *Pool) retransmit(from *connection, attempts []*Attempt, neverRan scheduler.Outcome, at time.Duration) {
	replica := from.replica
	if !from.traits.LimitsStreams {
		for _, attempt := range attempts {
			if !pool.place(attempt, replica) {
				pool.finish(attempt, neverRan, at)
			}
		}
		return
	}
	pool.requeue(replica, attempts)
	if from.wasEstablished {
		pool.fill(replica)
	}
	if len(replica.conns) == 0 {
		waiting := replica.waiting
		replica.waiting = nil
		pool.finishAll(waiting, neverRan, at)
	}
}

// requeueCause is why attempts are taken off a connection before they are begun.
type requeueCause int

const (
	placeLost requeueCause = iota // the connection has fewer places, or its replica moved: any number of times
	connLost                      // the replica takes nothing new on the connection: once for each attempt
)

// requeueUnbegun has what was not begun on a connection, beyond a number of attempts, wait for a place again.
func (pool *Pool) requeueUnbegun(conn *connection, beyond int, cause requeueCause) {
	var requeued []*Attempt
	for _, attempt := range slices.Backward(slices.Clone(conn.outstanding)) {
		if len(conn.outstanding) <= beyond {
			break
		}
		if attempt.finished || !pool.host.Withdraw(conn.id, attempt) {
			continue
		}
		conn.outstanding = without(conn.outstanding, attempt)
		attempt.conn = nil
		if cause == connLost {
			if !attempt.maySwitch() {
				pool.finish(attempt, scheduler.Overloaded, pool.now)
				continue
			}
			attempt.hasSwitched = true
		}
		requeued = append(requeued, attempt)
	}
	pool.requeue(conn.replica, requeued)
}

// WriteFailed tells that a write on a connection failed: the operating system did not take it in time, or reported
// an error. Nothing new goes there, and what was not begun goes on another connection at once: it would wait behind
// bytes that nobody takes. If nothing can have run there, the connection is closed, which proves that nothing did.
func (pool *Pool) WriteFailed(now time.Duration, id ConnID) {
	pool.now = now
	failed := pool.conns[id]
	if failed == nil || failed.state == closing {
		return
	}
	failed.suspect = true
	if len(failed.outstanding) > 0 && !failed.goingAway { // as where it ends by itself
		pool.learnIdleTimeout(failed)
	}
	var unbegun []*Attempt
	for _, attempt := range slices.Clone(failed.outstanding) {
		canMove := !attempt.finished && mayRetransmit(attempt, failed.replica)
		if canMove && pool.host.Withdraw(id, attempt) {
			failed.outstanding = without(failed.outstanding, attempt)
			attempt.hasSwitched = true
			attempt.conn = nil
			unbegun = append(unbegun, attempt)
		}
	}
	if !slices.ContainsFunc(failed.outstanding, pool.FullyWritten) {
		pool.close(failed)
	}
	pool.retransmit(failed, unbegun, scheduler.Unreachable, now)
}

// WriteRefused tells that an attempt was refused as it was about to be written: it never ran and is wanted nowhere
// else.
func (pool *Pool) WriteRefused(now time.Duration, attempt *Attempt) {
	pool.now = now
	pool.finish(attempt, scheduler.NeverSent, now)
	pool.release(attempt, unreplied)
}

// NoRetransmit tells that no other connection may carry an attempt if its own ends before it is written. Otherwise an
// attempt that cannot be withdrawn any more could go out after its query's answer, or for a client that has left.
func (pool *Pool) NoRetransmit(attempt *Attempt) { attempt.unwanted = true }

// remove takes a connection that has ended out of the pool.
func (pool *Pool) remove(ended *connection) {
	isEnded := func(conn *connection) bool { return conn == ended }
	delete(pool.conns, ended.id)
	pool.byAge = slices.DeleteFunc(pool.byAge, isEnded)
	ended.replica.conns = slices.DeleteFunc(ended.replica.conns, isEnded)
}

// recordEnd notes the end of a connection, unless it was expected and nothing is lost by it.
func (pool *Pool) recordEnd(ended *connection, cause error) {
	unexpected := len(ended.outstanding) > 0 || ended.state != closing
	switch {
	case !ended.wasEstablished:
		pool.record(ended, ConnectFailed, cause)
	case ended.failed: // recorded when it failed
	case unexpected && !ended.goingAway:
		pool.record(ended, Dropped, cause)
	}
}

// replicaIsAlive tells whether a connection to a replica is still up. If so, the end of another one is no evidence
// that the replica died. A process that dies breaks its connections one after the other; so the question is asked
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
	pool.finishAll(reset.maybe, outcome, reset.at)
}

// learnIdleTimeout shortens the idle timeout if a connection broke at its first use after being idle: the far side,
// or something between, drops idle connections sooner than the settings say, and attempts that may not run twice
// would be lost by it. A replica that crashed looks the same, so the timeout never falls below minIdleTimeout.
func (pool *Pool) learnIdleTimeout(broken *connection) {
	first := broken.outstanding[0]
	brokeAtOnce := broken.lastReplyAt < first.SentAt && pool.now-first.SentAt < pool.limits.ConnectTimeout
	if brokeAtOnce && broken.idleBefore > 0 {
		shorter := max(broken.idleBefore/2, minIdleTimeout*pool.limits.ConnectTimeout)
		pool.idleTimeout = min(pool.idleTimeout, shorter)
		pool.distrustIdleUntil = pool.now + distrustIdleFor
	}
}
