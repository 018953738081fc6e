package emulator

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"terntray/scheduler"
)

// replayCommand returns the command that runs a seed's history again.
func replayCommand(seed uint64) string {
	return fmt.Sprintf("go run ./proofs/ways-back -seed %d", seed)
}

func checkHistory(t *testing.T, seed uint64) {
	t.Helper()
	history := RandomHistory(seed)
	result, err := history.Run()
	if err != nil {
		t.Fatal(err)
	}
	if result.Stuck {
		t.Errorf("stuck (%s): %s\n%s", replayCommand(seed), result.StuckReason, history)
	}
	if len(result.Violations) > 0 {
		t.Errorf("rule violated (%s): %s\n%s", replayCommand(seed), result.Violations[0], history)
	}
}

// The first eight seeds used to get stuck, each for a different reason (docs/ways-back.md); the others are arbitrary.
func TestHistoriesRecover(t *testing.T) {
	for _, seed := range []uint64{9, 64, 68, 117, 128, 148, 236, 299, 1001, 1002, 1003, 1004} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, seed)
		})
	}
}

func FuzzHistories(f *testing.F) {
	f.Add(uint64(2001))
	f.Fuzz(checkHistory)
}

func TestSeedDeterminesRun(t *testing.T) {
	run := func() string {
		var lines strings.Builder
		history := RandomHistory(78)
		history.Observer = func(fleet *Fleet) {
			fmt.Fprintln(&lines, fleet.Now, fleet.Coordinator.Scheduler.ClassEstimates(),
				fleet.Coordinator.Scheduler.DescribeReplicas())
		}
		result, err := history.Run()
		if err != nil {
			t.Fatal(err)
		}
		return lines.String() + fmt.Sprint(result)
	}
	if a, b := run(), run(); a != b {
		t.Error("two runs of one seed differ")
	}
}

func smallFleet(effect string) FleetConfig {
	return FleetConfig{Replicas: 3, Cells: 1, CellsPerShard: 1, Cores: 1, MaxAttempts: 3, HedgeAllowed: true,
		CancelAllowed: true, Classes: []Class{{
			Objective: time.Second, Deadline: 3 * time.Second, KeyWindow: time.Second, Effect: effect, Subqueries: 1,
			MeanWork: 20 * time.Millisecond, Rate: 20}}}
}

// A replica with one core and constant work is an M/D/1 queue: at utilization rho, the mean wait is rho/(2(1-rho)) of
// the work (Pollaczek-Khinchine formula).
func TestReplicaIsMD1Queue(t *testing.T) {
	config := smallFleet(Idempotent)
	config.Replicas, config.Classes[0].Rate = 1, 25 // rho is 0.5
	fleet, err := NewFleet(5, config)
	if err != nil {
		t.Fatal(err)
	}
	fleet.SendLoad(1, 200*time.Second)
	fleet.RunUntil(210 * time.Second)
	sum, count := 0.0, 0
	for _, query := range fleet.Coordinator.Ledger.Queries {
		if query.Outcome == Complete {
			sum += (query.EndedAt - query.ArrivedAt).Seconds()
			count++
		}
	}
	want := 0.020 + 0.020/2 + 2*networkDelay.Seconds()
	if mean := sum / float64(count); count < 4500 || math.Abs(mean-want) > 0.1*want {
		t.Errorf("mean latency %.4f s over %d queries, want %.4f s", mean, count, want)
	}
}

// Each case violates a rule on purpose, so that a check that detects nothing fails.
func TestLedgerDetectsViolations(t *testing.T) {
	for _, c := range []struct {
		rule    string
		effect  string
		violate func(fleet *Fleet, ledger *Ledger, query *Query)
	}{
		{"rule 1", Idempotent, func(fleet *Fleet, ledger *Ledger, query *Query) {
			query.Outcome = Complete
			ledger.checkAttempt(attemptOf(fleet, query))
		}},
		{"rule 1", Idempotent, func(fleet *Fleet, ledger *Ledger, query *Query) {
			fleet.RunUntil(5 * time.Second)
			ledger.Close()
		}},
		{"rule 1", Idempotent, func(fleet *Fleet, ledger *Ledger, query *Query) { fleet.Coordinator.Fail(999) }},
		{"rule 2", NonIdempotent, func(fleet *Fleet, ledger *Ledger, query *Query) {
			query.subqueries[0].attempts = []*attempt{attemptOf(fleet, query)}
			ledger.checkAttempt(attemptOf(fleet, query))
		}},
		{"rule 2", Keyed, func(fleet *Fleet, ledger *Ledger, query *Query) {
			query.subqueries[0].attempts = []*attempt{attemptOf(fleet, query)}
			fleet.RunUntil(1500 * time.Millisecond)
			ledger.checkAttempt(attemptOf(fleet, query))
		}},
		{"rule 2", NonIdempotent, func(fleet *Fleet, ledger *Ledger, query *Query) {
			query.subqueries[0].attempts = []*attempt{attemptOf(fleet, query)}
			query.Outcome = Rejected
			ledger.checkAnswer(query)
		}},
		{"rule 5", Idempotent, func(fleet *Fleet, ledger *Ledger, query *Query) {
			query.Outcome = Complete
			ledger.checkAnswer(query)
		}},
		{"rule 6", Idempotent, func(fleet *Fleet, ledger *Ledger, query *Query) {
			fleet.RetryBudget = RetryBudget{MinRetries: 0, Share: 0.1, Span: time.Second}
			query.subqueries[0].attempts = []*attempt{attemptOf(fleet, query)}
			ledger.checkAttempt(attemptOf(fleet, query))
		}},
	} {
		fleet, err := NewFleet(1, smallFleet(c.effect))
		if err != nil {
			t.Fatal(err)
		}
		ledger := newLedger(fleet)
		query := &Query{ID: 1, Deadline: 3 * time.Second, objective: time.Second}
		query.subqueries = []*subquery{{id: 2, query: query}}
		ledger.addQuery(query)
		c.violate(fleet, ledger, query)
		if violations := strings.Join(append(ledger.Violations, fleet.Coordinator.Ledger.Violations...),
			"\n"); !strings.Contains(violations, c.rule) {
			t.Errorf("violation of %s not detected: %q", c.rule, violations)
		}
	}
}

func attemptOf(fleet *Fleet, query *Query) *attempt {
	return &attempt{coordinator: fleet.Coordinator, subquery: query.subqueries[0], replica: fleet.Replicas[0],
		sentAt: fleet.Now, outcome: scheduler.Succeeded}
}
