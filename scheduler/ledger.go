package scheduler

import (
	"slices"
	"time"
)

// Ledger is what is counted over a span of time towards limits that hold for the process: the attempts of the retry
// budget and what starting replicas were sent. A Scheduler that is made anew after a panic goes on with the ledger of
// the one before, so that a panic does not lift the limits.
type Ledger struct {
	arrivals  []time.Duration // of queries and subqueries, within the retry budget's span
	retries   []time.Duration // attempts beyond a subquery's first, within that span
	slowStart slowStart
}

// Ledger is a copy of what has been counted so far.
func (scheduler *Scheduler) Ledger() Ledger {
	return Ledger{
		arrivals:  slices.Clone(scheduler.retries.arrivals),
		retries:   slices.Clone(scheduler.retries.furtherAttempts),
		slowStart: scheduler.slowStart.snapshot(scheduler.replicas.byID),
	}
}

// Resume has a Scheduler that was just made go on with another's ledger, of the same configuration and process. It is
// called before any event.
func (scheduler *Scheduler) Resume(ledger Ledger) {
	scheduler.retries.arrivals = ledger.arrivals
	scheduler.retries.furtherAttempts = ledger.retries
	scheduler.slowStart.resume(ledger.slowStart)
}
