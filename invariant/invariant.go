// Package invariant is the one place that checks whether an action which others can see may happen now: writing an
// attempt to a replica, giving a final response, closing a client's connection. Whatever policies decide, no
// attempt that its Check refuses goes out. A late response is given, and a connection closed, all the same; the
// refusal has them counted.
//
// Each Check is a pure function of a snapshot: the package does no I/O, reads no clock and keeps no state. Callers
// ask when they decide, and again at the moment of writing: a connection that comes up late, a full buffer or a
// stall of the process may lie between the two. A refusal at the moment of writing is a race, and the attempt ends
// as never sent; one of something that was decided all the same is a violation. Either is counted by the caller.
// The check at the moment of writing leaves Effect, Earlier and MaxAttempts out: what may be repeated is checked at
// the decision alone.
//
// What may be sent again: of an idempotent or keyed subquery any number of attempts that MaxAttempts allows; a key's
// window is the scheduler's to keep (scheduler/retry.go). Of a
// non-idempotent one another attempt only if each earlier one provably never ran: its Evidence, which
// coordinator/invariants.go makes from the attempt's outcome, is NeverRan. The rule is Attempt.checkRepeat.
package invariant

import (
	"time"

	"terntray/internal/replicaproto"
)

// EndpointState is what the endpoint list says of a replica.
type EndpointState int

// The states.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Effect is what running a subquery twice would do.
type Effect int

// The effects.
const (
	Idempotent    Effect = iota
	Keyed                // replicas recognise a repeat by its key
	NonIdempotent        // it would take effect twice
)

// Evidence is what is known of an earlier attempt of the same subquery.
type Evidence int

// The kinds of evidence.
const (
	NeverRan Evidence = iota // not written whole, or the replica said that it did not run
	Running                  // no outcome yet
	MayRun                   // written whole, and nothing says that it did not run
)

// Attempt is what is known when an attempt is about to be decided or written.
type Attempt struct {
	TimeLeft    time.Duration // until the client, or the attempt itself, stops waiting
	ClientGone  bool
	QueryClosed bool // it has had its final response
	Endpoint    EndpointState
	Effect      Effect
	Earlier     []Evidence // of the earlier attempts of the same subquery
	MaxAttempts int        // of a subquery, as the settings allow; 0: any number
}

// Check tells whether the attempt may be written, and otherwise the first reason why not.
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

// checkRepeat tells whether the subquery's effect allows one more attempt after the earlier ones.
func (attempt Attempt) checkRepeat() Reason {
	if attempt.Effect != NonIdempotent {
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

// responseGrace is how late a final response may be given: the protocol allows 50 ms on each limit.
const responseGrace = 50 * time.Millisecond

// Answer is what is known when a final response is about to be given.
type Answer struct {
	Answered    bool          // the request has had one
	Late        time.Duration // past the client's deadline; below 0 before it
	LoopStalled time.Duration // how long this process has just stood still; nothing can be answered meanwhile
}

// Check tells whether the response may be given. A late one is owed all the same; DeadlinePassed has it counted.
func (answer Answer) Check() Reason {
	switch {
	case answer.Answered:
		return Answered
	case answer.Late > responseGrace+answer.LoopStalled:
		return DeadlinePassed
	}
	return Allowed
}

// ClientClose is what is known when a client's connection is about to be closed from this side.
type ClientClose struct {
	RequestOpen bool // a request was read whole and has had no final response
	ClientGone  bool // the client closed first, or cannot be written to
}

// Check tells whether the connection may be closed.
func (connection ClientClose) Check() Reason {
	if connection.RequestOpen && !connection.ClientGone {
		return NotAnswered
	}
	return Allowed
}
