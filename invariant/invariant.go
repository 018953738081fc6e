// Package invariant is the one place that decides whether a protocol-visible action may happen now: writing an attempt to a
// replica, giving a final answer, closing a client's connection. Each check is a pure function of a snapshot; it does no
// I/O, reads no clock and keeps no state. The caller asks when it decides and again at the moment of writing, as a
// connection that comes up late, a full buffer or a stopped process may lie between the two.
//
// The rules are those of the protocol page; a Reason names the one that an action would break. What happens to a refused
// action, and whether it is counted as a race (seen at the moment of writing) or as a violation (decided all the same), is
// the caller's business.
package invariant

import "time"

// Reason says why an action is refused.
type Reason int

// The reasons.
const (
	Allowed          Reason = iota
	DeadlinePassed          // nothing is left of the time that the client, or the attempt, has
	ClientGone              // the client has closed its connection or cancelled
	QueryClosed             // the query has had its final answer
	EndpointDraining        // this process has been notified that the replica drains
	EndpointRemoved         // ... or that it is gone
	MayHaveRun              // an earlier attempt of a non-idempotent subquery may have run
	AttemptRunning          // an earlier attempt of a non-idempotent subquery is still out
	TooManyAttempts         // the settings allow no further attempt of this subquery
	Answered                // the request has had its final answer
	NotAnswered             // the request was read and has had none
	reasons                 // how many there are
)

var names = [reasons]string{
	"allowed", "deadline_passed", "client_gone", "query_closed", "endpoint_draining", "endpoint_removed",
	"may_have_run", "attempt_running", "too_many_attempts", "answered", "not_answered",
}

// String is the reason as it stands in the log and the counters.
func (r Reason) String() string {
	if r < 0 || r >= reasons {
		return "unknown"
	}
	return names[r]
}

// Reasons lists all reasons but Allowed.
func Reasons() []Reason {
	all := make([]Reason, 0, reasons-1)
	for r := Allowed + 1; r < reasons; r++ {
		all = append(all, r)
	}
	return all
}

// leastTime is the least time left with which an attempt is of use: replicas are told whole milliseconds.
const leastTime = time.Millisecond

// EndpointState is what discovery says of a replica.
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
	Idempotent Effect = iota
	Keyed             // a repeat is recognised by its key
	NonIdempotent
)

// Evidence is what is known of an earlier attempt of the same subquery.
type Evidence int

// The kinds of evidence, the weakest claim last.
const (
	NeverRan Evidence = iota // not written whole, or the replica's word that it did not run
	Running                  // no outcome yet
	MayRun                   // written whole, and no word that it did not run
)

// Attempt is what is known when an attempt is about to be decided or written.
type Attempt struct {
	TimeLeft    time.Duration // until the client, or the attempt itself, stops waiting
	ClientGone  bool
	QueryClosed bool
	Endpoint    EndpointState
	Effect      Effect
	Earlier     []Evidence // of the earlier attempts of the same subquery
	MaxAttempts int        // attempts of a subquery that the settings allow; 0: any number
}

// Check tells whether an attempt may be written.
func (a Attempt) Check() Reason {
	switch {
	case a.ClientGone:
		return ClientGone
	case a.QueryClosed:
		return QueryClosed
	case a.TimeLeft < leastTime:
		return DeadlinePassed
	case a.Endpoint == Removed:
		return EndpointRemoved
	case a.Endpoint == Draining:
		return EndpointDraining
	case a.MaxAttempts > 0 && len(a.Earlier) >= a.MaxAttempts:
		return TooManyAttempts
	}
	return a.repeat()
}

// repeat tells whether the subquery's effect allows one more attempt after the earlier ones.
func (a Attempt) repeat() Reason {
	if a.Effect != NonIdempotent {
		return Allowed
	}
	for _, earlier := range a.Earlier {
		switch earlier {
		case Running:
			return AttemptRunning
		case MayRun:
			return MayHaveRun
		}
	}
	return Allowed
}

// Answer is what is known when a final answer is about to be given.
type Answer struct {
	Answered    bool          // the request has had one
	Late        time.Duration // past the client's deadline; below 0 before it
	LoopStalled time.Duration // for how long this process has just stood still: nothing can be answered meanwhile
}

// answerSlack is how late a final answer may be given: the protocol page's 50 ms on every limit.
const answerSlack = 50 * time.Millisecond

// Check tells whether a final answer may be given. A late one is owed all the same; DeadlinePassed has it counted.
func (a Answer) Check() Reason {
	switch {
	case a.Answered:
		return Answered
	case a.Late > answerSlack+a.LoopStalled:
		return DeadlinePassed
	}
	return Allowed
}

// ClientClose is what is known when a client's connection is about to be closed from this side.
type ClientClose struct {
	RequestOpen bool // a request was read whole and has had no final answer
	ClientGone  bool // the client closed first, or cannot be written to
}

// Check tells whether the connection may be closed.
func (c ClientClose) Check() Reason {
	if c.RequestOpen && !c.ClientGone {
		return NotAnswered
	}
	return Allowed
}
