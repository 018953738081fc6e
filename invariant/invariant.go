// Package invariant checks whether an externally visible action is allowed at this moment: writing an attempt to a
// replica, giving a final response, or closing a client's connection. It is the only place for these checks. An
// attempt that Check refuses is never sent, whatever the policies decided. A late response is still given, and a
// connection still closed; the caller only counts the violation.
//
// Each Check is a pure function of a snapshot: the package does no I/O, reads no clock and keeps no state. Callers
// check an attempt when it is decided and again when it is written, because a slow connect, a full buffer or a stall
// of the process may lie between the two. A refusal at the time of writing is a race, and the attempt ends as never
// sent. A refusal at the time of the decision is a violation, unless the scheduler could not know the reason yet. The
// caller counts both. The check at the time of writing leaves out Earlier and MaxAttempts, which no longer change after
// the decision: an attempt that never ran does not run later.
//
// Repeats: an idempotent subquery may have as many attempts as MaxAttempts allows. So may a keyed one, but all attempts
// must be written within the window that begins with the first that may have run. The scheduler sends none after it
// (scheduler/retry.go), but an attempt may wait for its connection past the end of the window. A non-idempotent
// subquery may have another attempt only if each earlier one provably never ran, that is, if its Evidence is NeverRan.
// The Evidence of an attempt is derived from its outcome in coordinator/invariants.go. Attempt.checkRepeat implements
// the rule.
package invariant

import (
	"time"

	"terntray/internal/replicaproto"
)

// EndpointState is the state of a replica according to the endpoint list.
type EndpointState int

// The states.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Effect says what happens if a subquery runs twice.
type Effect int

// The effects.
const (
	Idempotent    Effect = iota
	Keyed                // replicas recognise a repeat by its idempotency key
	NonIdempotent        // the subquery would take effect twice
)

// Evidence says whether an earlier attempt of the same subquery may have run.
type Evidence int

// The kinds of evidence.
const (
	NeverRan Evidence = iota // not fully written, or the replica replied that it did not run
	Running                  // no outcome yet
	MayRun                   // fully written, and nothing proves that it did not run
)

// Attempt is a snapshot of what is known when an attempt is about to be decided or written.
type Attempt struct {
	TimeLeft    time.Duration // until the client, or the attempt itself, stops waiting
	ClientGone  bool
	QueryClosed bool // the query was answered, its client has disconnected, or its phase is over
	Endpoint    EndpointState
	Effect      Effect
	Earlier     []Evidence // of the earlier attempts of the same subquery
	MaxAttempts int        // attempts per subquery that the settings allow; 0: no limit
	Key         KeyUse     // of a keyed subquery
}

// KeyUse says how long the key of a keyed subquery has been in use.
type KeyUse struct {
	Used   bool          // another attempt that may have run was written
	Age    time.Duration // since the first such attempt was written; 0 if not Used
	Window time.Duration // how long replicas recognise a repeat, from the first attempt on
}

// Expired reports whether replicas may no longer recognise a repeat.
func (use KeyUse) Expired() bool { return use.Used && use.Age >= use.Window }

// Check returns Allowed if the attempt may be written, and otherwise the first reason against it.
func (attempt Attempt) Check() Reason {
	switch {
	case attempt.ClientGone:
		return ClientGone
	case attempt.QueryClosed:
		return QueryClosed
	case attempt.TimeLeft < replicaproto.MinTimeLeft:
		return DeadlinePassed
	case attempt.Endpoint == Removed:
		return EndpointRemoved
	case attempt.Endpoint == Draining:
		return EndpointDraining
	case attempt.MaxAttempts > 0 && len(attempt.Earlier) >= attempt.MaxAttempts:
		return TooManyAttempts
	}
	return attempt.checkRepeat()
}

// checkRepeat checks whether the subquery's effect allows one more attempt after the earlier ones.
func (attempt Attempt) checkRepeat() Reason {
	switch {
	case attempt.Effect == Keyed && attempt.Key.Expired():
		return KeyExpired
	case attempt.Effect != NonIdempotent:
		return Allowed
	}
	for _, earlier := range attempt.Earlier {
		switch earlier {
		case Running:
			return AttemptRunning
		case MayRun:
			return MayHaveRun
		}
	}
	return Allowed
}

// responseGrace is how late a final response may be: the protocol allows 50 ms beyond each limit.
const responseGrace = 50 * time.Millisecond

// Answer is a snapshot of what is known when a final response is about to be given.
type Answer struct {
	Answered    bool          // the request has already had a final response
	Late        time.Duration // time since the client's deadline; negative before it
	LoopStalled time.Duration // how long this process was stalled just now, unable to answer anything
}

// Check returns Allowed if the response is in time and the first one. On DeadlinePassed the caller counts a violation
// and still gives the response.
func (answer Answer) Check() Reason {
	switch {
	case answer.Answered:
		return Answered
	case answer.Late > responseGrace+answer.LoopStalled:
		return DeadlinePassed
	}
	return Allowed
}

// ClientClose is a snapshot of what is known when this process is about to close a client's connection.
type ClientClose struct {
	RequestOpen bool // a request was fully read and has had no final response
	ClientGone  bool // the client closed first, or cannot be written to
}

// Check returns Allowed if the connection may be closed.
func (connection ClientClose) Check() Reason {
	if connection.RequestOpen && !connection.ClientGone {
		return NotAnswered
	}
	return Allowed
}
