package fake

import (
	"fmt"
	"slices"
	"strings"
)

// Trace is what a co-ordinator logged under -trace of its attempts: by replica and subquery id, how many there
// were, and how many of those it takes for never executed.
type Trace struct {
	Attempts, NeverRan map[string]map[string]int
}

// neverRanOutcomes are the outcomes, as the trace words them, that say that an attempt was never executed.
var neverRanOutcomes = []string{"turned_away", "unreachable", "moot"}

// ReadTrace reads the log of a program that runs with -trace.
func ReadTrace(log string) Trace {
	trace := Trace{Attempts: map[string]map[string]int{}, NeverRan: map[string]map[string]int{}}
	for line := range strings.Lines(log) {
		_, rest, found := strings.Cut(line, " attempt_ended=")
		words := strings.Fields(rest)
		if !found || len(words) < 3 {
			continue
		}
		attempt := words[0]
		subquery := attempt[:strings.LastIndexByte(attempt, '.')]
		uid := strings.TrimPrefix(words[1], "replica=")
		outcome := strings.TrimPrefix(words[2], "outcome=")
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

// FalseNeverRan counts attempts that were taken for never executed although a ledger shows that they were, and
// describes them.
func (trace Trace) FalseNeverRan(ledger *ExecutionLedger) (count int, descriptions []string) {
	for uid, executions := range ledger.ExecutionsAt {
		for subquery, executed := range executions {
			mayHave := trace.Attempts[uid][subquery] - trace.NeverRan[uid][subquery]
			if executed <= mayHave {
				continue
			}
			count++
			descriptions = append(descriptions,
				fmt.Sprintf("%s executed %s %d times, %d attempts may have", uid, subquery, executed, mayHave))
		}
	}
	return count, descriptions
}
