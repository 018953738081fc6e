package emulator

import (
	"fmt"
	"time"

	"terntray/scheduler"
)

// answerGrace is how long after its deadline a query may be answered. It covers the scheduler's periodic checks and
// the iteration that sends the answer.
const answerGrace = 25 * time.Millisecond

// Ledger records what the replicas and clients of one co-ordinator observe, and checks the rules against that alone.
// The numbers are those of the scheduler's rules; rules 3 and 4 (draining replicas, slow start) are not checked here:
//
//	1  a query has one answer, by its deadline, and no attempt afterwards
//	2  a subquery that may have run is attempted again only if its class allows it
//	5  attempts go to replicas that hold the shard, and a complete answer has all subqueries
//	6  attempts stay within the limit and the retry budget
type Ledger struct {
	Violations []string

	fleet         *Fleet
	Queries       []*Query
	arrivals      []time.Duration // of queries and subqueries within the retry budget's span
	extraAttempts []time.Duration // retries and hedges within it
}

func newLedger(fleet *Fleet) *Ledger { return &Ledger{fleet: fleet} }

func (ledger *Ledger) addViolation(rule int, format string, args ...any) {
	ledger.Violations = append(ledger.Violations,
		fmt.Sprintf("%v rule %d: ", ledger.fleet.Now, rule)+fmt.Sprintf(format, args...))
}

func (ledger *Ledger) addQuery(query *Query) {
	ledger.Queries = append(ledger.Queries, query)
	for range 1 + len(query.subqueries) {
		ledger.arrivals = append(ledger.arrivals, ledger.fleet.Now)
	}
}

// neverRan reports whether the outcome proves that the attempt did not run.
func neverRan(outcome scheduler.Outcome) bool {
	return outcome == scheduler.Overloaded || outcome == scheduler.Unreachable || outcome == scheduler.NeverSent
}

// checkAttempt checks an attempt before it is added to its subquery.
func (ledger *Ledger) checkAttempt(attempt *attempt) {
	subquery, query, now := attempt.subquery, attempt.subquery.query, ledger.fleet.Now
	class := ledger.fleet.Classes[query.Class]
	if query.Outcome != Unanswered || subquery.answered || now >= query.Deadline {
		ledger.addViolation(1, "attempt at subquery %d after its end", subquery.id)
	}
	if offset := (int(attempt.replica.Cell) - subquery.shard%ledger.fleet.Cells + ledger.fleet.Cells) %
		ledger.fleet.Cells; offset >= ledger.fleet.CellsPerShard {
		ledger.addViolation(5, "replica %d does not hold shard %d", attempt.replica.ID, subquery.shard)
	}
	for _, earlier := range subquery.attempts {
		mayHaveRun := !(earlier.ended && neverRan(earlier.outcome))
		switch {
		case mayHaveRun && class.Effect == NonIdempotent:
			ledger.addViolation(2, "another attempt at non-idempotent subquery %d", subquery.id)
		case mayHaveRun && class.Effect == Keyed && now > earlier.sentAt+class.KeyWindow:
			ledger.addViolation(2, "another attempt at keyed subquery %d after its key window", subquery.id)
		}
	}
	if len(subquery.attempts) >= ledger.fleet.MaxAttempts {
		ledger.addViolation(6, "attempt %d at subquery %d exceeds the limit", len(subquery.attempts)+1, subquery.id)
	}
	if budget := ledger.fleet.RetryBudget; len(subquery.attempts) > 0 && budget.Span > 0 {
		ledger.extraAttempts = append(dropUntil(ledger.extraAttempts, now-budget.Span), now)
		ledger.arrivals = dropUntil(ledger.arrivals, now-budget.Span)
		if float64(len(ledger.extraAttempts)) > budget.MinRetries+budget.Share*float64(len(ledger.arrivals)) {
			ledger.addViolation(6, "%d retries and hedges for %d queries and subqueries",
				len(ledger.extraAttempts), len(ledger.arrivals))
		}
	}
}

// dropUntil returns the times after a limit; they must be in ascending order.
func dropUntil(times []time.Duration, limit time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= limit {
		times = times[1:]
	}
	return times
}

// checkAnswer checks the answer to a query.
func (ledger *Ledger) checkAnswer(query *Query) {
	if late := query.EndedAt - query.Deadline; late > answerGrace {
		ledger.addViolation(1, "query %d answered %v after its deadline", query.ID, late)
	}
	if query.Outcome == Complete && query.answered < len(query.subqueries) {
		ledger.addViolation(5, "query %d answered as complete with %d of %d subqueries", query.ID, query.answered,
			len(query.subqueries))
	}
	if query.Outcome == Rejected && ledger.fleet.Classes[query.Class].Effect == NonIdempotent {
		for _, subquery := range query.subqueries {
			for _, attempt := range subquery.attempts {
				if !(attempt.ended && neverRan(attempt.outcome)) {
					ledger.addViolation(2, "non-idempotent query %d rejected after an attempt that may have run",
						query.ID)
				}
			}
		}
	}
}

// Close checks that every query whose deadline has passed was answered.
func (ledger *Ledger) Close() {
	for _, query := range ledger.Queries {
		if query.Outcome == Unanswered && ledger.fleet.Now > query.Deadline+answerGrace {
			ledger.addViolation(1, "query %d not answered by its deadline", query.ID)
		}
	}
}
