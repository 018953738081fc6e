package scheduler

import (
	"slices"
	"time"
)

// Ledger holds the counts for limits that apply to the whole process: the attempts in the retry budget, and the load
// sent to starting replicas. A Scheduler that replaces one after a panic continues with its ledger, so that a panic
// does not reset the limits.
type Ledger struct {
	arrivals        []time.Duration // of queries and subqueries, within the retry budget's span
	furtherAttempts []time.Duration // attempts beyond a subquery's first, within that span
	slowStart       slowStart
}

// Ledger returns a copy of the current counts.
func (scheduler *Scheduler) Ledger() Ledger {
	return Ledger{
		arrivals:        slices.Clone(scheduler.retries.arrivals),
		furtherAttempts: slices.Clone(scheduler.retries.furtherAttempts),
		slowStart:       scheduler.slowStart.snapshot(scheduler.replicas.byID),
	}
}

// Resume makes a new Scheduler continue with the ledger of an earlier one of the same configuration and process. It
// must be called before any event.
func (scheduler *Scheduler) Resume(ledger Ledger) {
	scheduler.retries.arrivals = ledger.arrivals
	scheduler.retries.furtherAttempts = ledger.furtherAttempts
	scheduler.slowStart.resume(ledger.slowStart)
}
