package fake

import (
	"fmt"
	"slices"
	"strings"
)

// Trace counts the attempts whose end a co-ordinator logged with -trace, by replica and subquery id: all of them, and
// those that the co-ordinator considers never executed.
type Trace struct {
	Attempts, NeverRan map[string]map[string]int
}

// neverRanOutcomes are the outcomes in the trace that mean that an attempt was never executed.
var neverRanOutcomes = []string{"turned_away", "unreachable", "moot"}

// ReadTrace parses the log of a program that runs with -trace.
func ReadTrace(log string) Trace {
	trace := Trace{Attempts: map[string]map[string]int{}, NeverRan: map[string]map[string]int{}}
	for line := range strings.Lines(log) {
		_, rest, found := strings.Cut(line, " attempt_ended=")
		fields := strings.Fields(rest)
		if !found || len(fields) < 3 {
			continue
		}
		attempt := fields[0]
		subquery := attempt[:strings.LastIndexByte(attempt, '.')]
		uid := strings.TrimPrefix(fields[1], "replica=")
		outcome := strings.TrimPrefix(fields[2], "outcome=")
		countAttempt(trace.Attempts, uid, subquery)
		if slices.Contains(neverRanOutcomes, outcome) {
			countAttempt(trace.NeverRan, uid, subquery)
		}
	}
	return trace
}

func countAttempt(counts map[string]map[string]int, uid, subquery string) {
	if counts[uid] == nil {
		counts[uid] = map[string]int{}
	}
	counts[uid][subquery]++
}

// FalseNeverRan counts and describes the subqueries of which a replica, according to the ledger, executed more attempts
// than the trace allows, so that at least one was wrongly considered never executed.
func (trace Trace) FalseNeverRan(ledger *ExecutionLedger) (count int, descriptions []string) {
	for uid, executions := range ledger.ExecutionsAt {
		for subquery, executed := range executions {
			mayHaveRun := trace.Attempts[uid][subquery] - trace.NeverRan[uid][subquery]
			if executed <= mayHaveRun {
				continue
			}
			count++
			descriptions = append(descriptions,
				fmt.Sprintf("%s executed %s %d times, but at most %d attempts may have run",
					uid, subquery, executed, mayHaveRun))
		}
	}
	return count, descriptions
}
