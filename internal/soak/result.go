package soak

import (
	"fmt"
	"strings"
	"time"
)

// Rule is a rule that the soak checks. Its value is printed. Each deliberate break of the soak proof names the rule
// that must detect it.
type Rule string

// The rules. RuleMultipleAttempts is only counted, never violated: the number of subqueries with more than one attempt.
const (
	RuleAnswer           Rule = "answer"       // a query gets exactly one answer, in time
	RuleAnswerContent    Rule = "honest"       // an answer has only values that replicas returned, and enough shards
	RuleTimeout          Rule = "told_time"    // the timeout given to a replica is within the time left
	RuleClientConnected  Rule = "client_there" // no attempt begins after the client has disconnected
	RuleDrain            Rule = "drain"        // a draining or removed replica gets no new attempts
	RuleNonIdempotent    Rule = "effect"       // a non-idempotent subquery runs at most once, and never if rejected
	RuleMultipleAttempts Rule = "repeat"
	RuleSentAgain        Rule = "sent_again"  // a subquery is not sent again once a replica has answered it
	RuleReplyLost        Rule = "reply_lost"  // a query does not fail if replicas answered all of its subqueries in time
	RuleAttempts         Rule = "attempts"    // a subquery has at most maxAttempts attempts
	RuleSlowStart        Rule = "slow_start"  // a replica that is warming up is not overloaded
	RuleRetryBudget      Rule = "budget"      // attempts beyond the first stay within the retry budget
	RuleShutdown         Rule = "shutdown"    // a process exits in time after SIGTERM
	RuleDescriptors      Rule = "descriptors" // a process without clients has few open descriptors
	RulePartialRequest   Rule = "half"        // half a request gets an error or a close in time
	RuleUnsolicited      Rule = "unasked"     // a replica gets only subqueries of queries that a client sent
	RuleFrame            Rule = "frame"       // frames are well-formed
	RulePlacement        Rule = "placement"   // a subquery reaches a replica of the cell that has its shard
	RuleCrash            Rule = "crash"       // a process exits with status 0
	RuleStart            Rule = "start"       // a process starts and serves requests
	RuleLog              Rule = "log"         // a log has no violation, panic or query open at its deadline
	RuleHarness          Rule = "soak"        // the soak itself works, for example restarts a fake replica
)

// Keys of Result.Counts other than the rules.
const (
	countAnsweredLate        = "answered_late"
	countServed              = "served"
	countRefused             = "refused"
	countFailed              = "queries_failed"
	countFramesNotChecked    = "frames_not_judged"
	countKilledAfterTerm     = "killed_after_sigterm"    // processes that SIGKILL found running
	countMaxSlowStartPercent = "slow_start_most_percent" // maximum load of a cold replica, in percent of the limit
	countFaultPrefix         = "trouble_"                // followed by a FaultKind
)

// Violation is a violation of a rule.
type Violation struct {
	Rule   Rule
	Query  string // empty if it concerns no single query
	Detail string
}

// String returns the violation as the soak proof prints it.
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Rule, v.Query, v.Detail) }

// Result is the result of a soak.
type Result struct {
	Seed              uint64
	Violations        []Violation
	Counts            map[string]int             // checks by rule, faults by FaultKey, and the other keys above
	ChecksDuringFault map[Rule]map[FaultKind]int // checks of a rule during which a fault of a kind was active
	FaultOverlaps     map[string]int             // by two kinds of fault, as "a+b": how often both were active
}

func newResult(seed uint64) *Result {
	return &Result{
		Seed:              seed,
		Counts:            map[string]int{},
		ChecksDuringFault: map[Rule]map[FaultKind]int{},
		FaultOverlaps:     map[string]int{},
	}
}

// Summary returns the main counts in a line.
func (result *Result) Summary() string {
	counts := result.Counts
	return fmt.Sprintf("served %d, rejected %d, failed %d, restarts %d, killed after SIGTERM %d, sent beside an answer %d",
		counts[countServed], counts[countRefused], counts[countFailed], counts[FaultKey(FaultTerminate)],
		counts[countKilledAfterTerm], counts[string(RuleSentAgain)])
}

// FaultKey returns the key in Result.Counts of the number of faults of a kind.
func FaultKey(kind FaultKind) string { return countFaultPrefix + string(kind) }

// IsFaultKey reports whether a key of Result.Counts is a FaultKey.
func IsFaultKey(key string) bool { return strings.HasPrefix(key, countFaultPrefix) }

// IsMaximum reports whether the count under a key of Result.Counts is a maximum. Such counts of several results are
// combined by taking the maximum, all others by adding them.
func IsMaximum(key string) bool { return key == countMaxSlowStartPercent }

// maxViolations limits the violations that a run records, since a broken program may violate a rule with every request.
const maxViolations = 200

// violated records a violation. It is safe for concurrent use.
func (s *Soak) violated(rule Rule, query, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, Violation{rule, query, fmt.Sprintf(format, args...)})
	}
}

// stoppedTime returns for how long FaultStop stopped a co-ordinator's process between from and to.
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
