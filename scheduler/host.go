package scheduler

import "time"

// Host carries out what a Scheduler decides, at once and in the order of the calls. It calls no method of the
// Scheduler while one of its own runs.
type Host interface {
	// StartAttempt sends a subquery to a replica. Attempts of a subquery count from 0 in the order of these calls.
	// The attempt ends as TimedOut after the timeout; 0: it has none but the client's deadline.
	StartAttempt(subquery RequestID, replica ReplicaID, timeout time.Duration)

	// CancelAttempt says that an attempt's answer is of no use any more. Its end is told all the same.
	CancelAttempt(subquery RequestID, attempt AttemptNumber)

	// Complete answers a query with what its subqueries brought; complete is false if less than the class demands
	// did.
	Complete(query RequestID, complete bool)

	// Reject answers that the query is not served now, and after which time to come again; 0: none is named.
	Reject(query RequestID, retryAfter time.Duration)

	// Fail answers that the query could not be served.
	Fail(query RequestID)

	// ScheduleWakeup asks for a call of Wakeup with this name after a time.
	ScheduleWakeup(name string, in time.Duration)

	// PollEndpoints asks discovery for the endpoint list and its changes. EndpointListBegins or EndpointPollFailed
	// follows.
	PollEndpoints()

	// Broadcast sends a message to every other co-ordinator. It may be lost.
	Broadcast(message []byte)

	// Log writes a line for people.
	Log(text string)
}
