package invariant

// Reason says why an action is not allowed.
type Reason int

// The reasons. Each stands for the protocol rule that the action would break.
const (
	Allowed          Reason = iota
	DeadlinePassed          // the deadline of the client or of the attempt has passed
	ClientGone              // the client has closed its connection or cancelled
	QueryClosed             // the query was answered, its client has disconnected, or its phase is over
	EndpointDraining        // the endpoint list says that the replica is draining
	EndpointRemoved         // the endpoint list says that the replica is removed
	MayHaveRun              // an earlier attempt of a non-idempotent subquery may have run
	AttemptRunning          // an earlier attempt of a non-idempotent subquery has no outcome yet
	KeyExpired              // replicas may no longer recognise a repeat of a keyed subquery
	TooManyAttempts         // the settings allow no further attempt of this subquery
	Answered                // the request has had its final response
	NotAnswered             // the request was fully read and has had no final response
	reasonCount
)

// reasonNames are the names of the reasons in the log and the counters.
var reasonNames = [reasonCount]string{
	Allowed:          "allowed",
	DeadlinePassed:   "deadline_passed",
	ClientGone:       "client_gone",
	QueryClosed:      "query_closed",
	EndpointDraining: "endpoint_draining",
	EndpointRemoved:  "endpoint_removed",
	MayHaveRun:       "may_have_run",
	AttemptRunning:   "attempt_running",
	KeyExpired:       "key_expired",
	TooManyAttempts:  "too_many_attempts",
	Answered:         "answered",
	NotAnswered:      "not_answered",
}

// String returns the name of the reason in the log and the counters.
func (reason Reason) String() string {
	if reason < 0 || reason >= reasonCount {
		return "unknown"
	}
	return reasonNames[reason]
}

// Reasons returns all reasons except Allowed.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for reason := Allowed + 1; reason < reasonCount; reason++ {
		all = append(all, reason)
	}
	return all
}
