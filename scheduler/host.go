package scheduler

import "time"

// Host carries out the Scheduler's decisions, immediately and in the order of the calls. Its methods must not call any
// method of the Scheduler.
type Host interface {
	// StartAttempt sends a subquery to a replica. The attempts of a subquery are numbered from 0 in the order of these
	// calls. The attempt ends as TimedOut after the timeout; 0 means no timeout other than the client's deadline.
	StartAttempt(subquery RequestID, replica ReplicaID, timeout time.Duration)

	// CancelAttempt cancels an attempt whose answer is no longer needed. Its end is still reported.
	CancelAttempt(subquery RequestID, attempt AttemptNumber)

	// Complete answers a query with the results of its answered subqueries; complete is false if they are fewer than
	// the class requires.
	Complete(query RequestID, complete bool)

	// Reject rejects a query. The client may retry after the given time; 0: no time is given.
	Reject(query RequestID, retryAfter time.Duration)

	// Fail answers a query with an error: it could not be served.
	Fail(query RequestID)

	// ScheduleWakeup requests a call of Wakeup with this name after a time.
	ScheduleWakeup(name string, after time.Duration)

	// PollEndpoints requests the endpoint list and its changes from discovery. EndpointListBegins or EndpointPollFailed
	// follows.
	PollEndpoints()

	// Broadcast sends a message to every other co-ordinator. It may be lost.
	Broadcast(message []byte)

	// Log writes a message to the log.
	Log(text string)
}
