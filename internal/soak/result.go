package soak

import (
	"fmt"
	"strings"
	"time"
)

// Rule names what is judged. The names are printed, and the deliberate breaks name the rule that catches them.
type Rule string

// The rules. RuleMultipleAttempts is only counted, never violated: the number of subqueries with more than one attempt.
const (
	RuleAnswer           Rule = "answer"       // one final answer in time, and nothing behind it
	RuleAnswerContent    Rule = "honest"       // an answer holds what replicas gave, and as much as it says
	RuleTimeout          Rule = "told_time"    // a replica is given no more time than is left
	RuleClientConnected  Rule = "client_there" // nothing begins for a client that has left
	RuleDrain            Rule = "drain"        // a draining replica gets nothing new
	RuleNonIdempotent    Rule = "effect"       // what is not idempotent runs once at most
	RuleMultipleAttempts Rule = "repeat"
	RuleAttempts         Rule = "attempts"    // the limit on attempts of a subquery
	RuleSlowStart        Rule = "slow_start"  // a replica that warms up is not overloaded
	RuleRetryBudget      Rule = "budget"      // the limit on attempts beyond the first
	RuleShutdown         Rule = "shutdown"    // a process ends in time after SIGTERM
	RuleDescriptors      Rule = "descriptors" // an idle process holds few descriptors
	RulePartialRequest   Rule = "half"        // half a request gets an error or a close
	RuleUnsolicited      Rule = "unasked"     // a replica gets only what a client sent
	RuleFrame            Rule = "frame"       // frames can be read
	RulePlacement        Rule = "placement"   // a subquery reaches its own cell
	RuleCrash            Rule = "crash"       // a process ends with success
	RuleStart            Rule = "start"       // a process starts
	RuleLog              Rule = "log"         // a log says nothing of a violation or a panic
	RuleHarness          Rule = "soak"        // the soak itself could do what it meant to
)

// Keys of Result.Counts beside the rules' names.
const (
	countAnsweredLate     = "answered_late"
	countServed           = "served"
	countRefused          = "refused"
	countFailed           = "failed"
	countFramesNotJudged  = "frames_not_judged"
	countSlowStartPercent = "slow_start_most_percent" // the highest load of a cold replica, in percent of the limit
	countFaultPrefix      = "trouble_"                // before a fault's kind
)

// Violation is a rule that was broken, or anything else that must not happen.
type Violation struct {
	Rule   Rule
	Query  string // empty: it concerns no query alone
	Detail string
}

// String is the violation as it is printed.
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Rule, v.Query, v.Detail) }

// Result is what a soak has seen.
type Result struct {
	Seed              uint64
	Violations        []Violation
	Counts            map[string]int             // of what was judged, by rule, and of faults
	ChecksDuringFault map[Rule]map[FaultKind]int // judgements of a rule during which a kind of fault was under way
	FaultOverlaps     map[string]int             // by two kinds of fault that were under way together, as "a+b"
}

func newResult(seed uint64) *Result {
	return &Result{
		Seed:              seed,
		Counts:            map[string]int{},
		ChecksDuringFault: map[Rule]map[FaultKind]int{},
		FaultOverlaps:     map[string]int{},
	}
}

// FaultKey is the key under which Result.Counts tells how often a kind of fault struck.
func FaultKey(kind FaultKind) string { return countFaultPrefix + string(kind) }

// IsFaultKey tells whether a key of Result.Counts is a FaultKey.
func IsFaultKey(key string) bool { return strings.HasPrefix(key, countFaultPrefix) }

// IsMaximum tells whether a key of Result.Counts stands for a highest value: of several results the highest holds,
// where others are added.
func IsMaximum(key string) bool { return key == countSlowStartPercent }

// maxViolations bounds what a run keeps; a program that is broken for good breaks a rule with each request.
const maxViolations = 200

// violated notes a violation. It may be called from any goroutine.
func (s *Soak) violated(rule Rule, query, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, Violation{rule, query, fmt.Sprintf(format, args...)})
	}
}

// stoppedTime is for how long a coordinator's process was stopped by a fault within a span.
func (s *Soak) stoppedTime(coordinator string, from, to time.Duration) (sum time.Duration) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	for _, fault := range s.ledger.faults {
		if fault.kind == FaultStop && fault.target == coordinator {
			sum += max(0, min(to, fault.to)-max(from, fault.from))
		}
	}
	return sum
}
