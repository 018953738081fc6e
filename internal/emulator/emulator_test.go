package emulator

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"terntray/scheduler"
)

// replay says how to play a seed again.
func replay(seed uint64) string {
	return fmt.Sprintf("go run ./proofs/ways-back -seed %d", seed)
}

func judge(t *testing.T, seed uint64) {
	t.Helper()
	h := RandomHistory(seed)
	v, err := h.Run()
	if err != nil {
		t.Fatal(err)
	}
	if v.Stuck {
		t.Errorf("stuck (%s): %s\n%s", replay(seed), v.StuckReason, h)
	}
	if len(v.Violations) > 0 {
		t.Errorf("rule broken (%s): %s\n%s", replay(seed), v.Violations[0], h)
	}
}

// The seeds that once stayed stuck, each for a reason of its own (docs/ways-back.md), and some that nobody chose.
func TestHistoriesComeBack(t *testing.T) {
	for _, seed := range []uint64{9, 64, 68, 117, 128, 148, 236, 299, 1001, 1002, 1003, 1004} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			judge(t, seed)
		})
	}
}

func FuzzHistories(f *testing.F) {
	f.Add(uint64(2001))
	f.Fuzz(judge)
}

func TestOneSeedIsOneRun(t *testing.T) {
	run := func() string {
		var lines strings.Builder
		h := RandomHistory(78)
		h.Observer = func(f *Fleet) {
			fmt.Fprintln(&lines, f.Now, f.Coordinator.Scheduler.ClassEstimates(), f.Coordinator.Scheduler.DescribeReplicas())
		}
		v, err := h.Run()
		if err != nil {
			t.Fatal(err)
		}
		return lines.String() + fmt.Sprint(v)
	}
	if a, b := run(), run(); a != b {
		t.Error("two runs of one seed differ")
	}
}

func small(effect string) FleetConfig {
	return FleetConfig{Replicas: 3, Cells: 1, CellsPerShard: 1, Cores: 1, MaxAttempts: 3, HedgeAllowed: true, CancelAllowed: true, Classes: []Class{{
		Objective: time.Second, Deadline: 3 * time.Second, KeyWindow: time.Second, Effect: effect, Subqueries: 1,
		MeanWork: 20 * time.Millisecond, Rate: 20}}}
}

// A replica with one core and equal work is an M/D/1 queue: the mean wait is rho/(2(1-rho)) of the work (Pollaczek and
// Khinchine).
func TestReplicaIsAQueue(t *testing.T) {
	s := small(Idempotent)
	s.Replicas, s.Classes[0].Rate = 1, 25 // rho is a half
	f, err := NewFleet(5, s)
	if err != nil {
		t.Fatal(err)
	}
	f.SendLoad(1, 200*time.Second)
	f.RunUntil(210 * time.Second)
	sum, n := 0.0, 0
	for _, q := range f.Coordinator.Ledger.Queries {
		if q.Outcome == Complete {
			sum += (q.EndedAt - q.ArrivedAt).Seconds()
			n++
		}
	}
	want := 0.020 + 0.020/2 + 2*hop.Seconds()
	if mean := sum / float64(n); n < 4500 || math.Abs(mean-want) > 0.1*want {
		t.Errorf("mean time %.4f s over %d, want %.4f", mean, n, want)
	}
}

// A checker that cannot find a breach proves nothing: each rule that the ledger judges is broken by hand.
func TestLedgerFindsBreaches(t *testing.T) {
	for _, c := range []struct {
		rule   string
		effect string
		breaks func(f *Fleet, g *Ledger, q *Query)
	}{
		{"rule 1", Idempotent, func(f *Fleet, g *Ledger, q *Query) { q.Outcome = Complete; g.sends(attemptOf(f, q)) }},
		{"rule 1", Idempotent, func(f *Fleet, g *Ledger, q *Query) { f.RunUntil(5 * time.Second); g.Close() }},
		{"rule 1", Idempotent, func(f *Fleet, g *Ledger, q *Query) { f.Coordinator.Fail(999) }},
		{"rule 2", NonIdempotent, func(f *Fleet, g *Ledger, q *Query) {
			q.parts[0].attempts = []*attempt{attemptOf(f, q)}
			g.sends(attemptOf(f, q))
		}},
		{"rule 2", Keyed, func(f *Fleet, g *Ledger, q *Query) {
			q.parts[0].attempts = []*attempt{attemptOf(f, q)}
			f.RunUntil(1500 * time.Millisecond)
			g.sends(attemptOf(f, q))
		}},
		{"rule 2", NonIdempotent, func(f *Fleet, g *Ledger, q *Query) {
			q.parts[0].attempts = []*attempt{attemptOf(f, q)}
			q.Outcome = Rejected
			g.ends(q)
		}},
		{"rule 5", Idempotent, func(f *Fleet, g *Ledger, q *Query) { q.Outcome = Complete; g.ends(q) }},
		{"rule 6", Idempotent, func(f *Fleet, g *Ledger, q *Query) {
			f.RetryBudget = RetryBudget{MinRetries: 0, Share: 0.1, Span: time.Second}
			q.parts[0].attempts = []*attempt{attemptOf(f, q)}
			g.sends(attemptOf(f, q))
		}},
	} {
		f, err := NewFleet(1, small(c.effect))
		if err != nil {
			t.Fatal(err)
		}
		g := newLedger(f)
		q := &Query{ID: 1, Deadline: 3 * time.Second, agreed: time.Second}
		q.parts = []*part{{id: 2, of: q}}
		g.came(q)
		c.breaks(f, g, q)
		if all := strings.Join(append(g.Violations, f.Coordinator.Ledger.Violations...), "\n"); !strings.Contains(all, c.rule) {
			t.Errorf("%s not found broken: %q", c.rule, all)
		}
	}
}

func attemptOf(f *Fleet, q *Query) *attempt {
	return &attempt{node: f.Coordinator, part: q.parts[0], at: f.Replicas[0], sent: f.Now, how: scheduler.Succeeded}
}
