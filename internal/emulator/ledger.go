package emulator

import (
	"fmt"
	"time"

	"terntray/scheduler"
)

// grace is how late a final answer may come: the sweeps and the turn that bring it.
const grace = 25 * time.Millisecond

// Ledger holds what replicas and clients saw of one co-ordinator, and judges the rules by it alone.
type Ledger struct {
	Violations []string // rules broken, in words

	fleet   *Fleet
	Queries []*Query
	taken   []time.Duration // queries and parts within the span of the attempt budget
	extras  []time.Duration // further attempts within it
}

func newLedger(f *Fleet) *Ledger { return &Ledger{fleet: f} }

func (g *Ledger) breaks(rule int, format string, args ...any) {
	g.Violations = append(g.Violations, fmt.Sprintf("%v rule %d: ", g.fleet.Now, rule)+fmt.Sprintf(format, args...))
}

func (g *Ledger) came(q *Query) {
	g.Queries = append(g.Queries, q)
	for range 1 + len(q.parts) {
		g.taken = append(g.taken, g.fleet.Now)
	}
}

func neverRan(how scheduler.Outcome) bool {
	return how == scheduler.Overloaded || how == scheduler.Unreachable || how == scheduler.NeverSent
}

// sends judges an attempt before it joins its part's.
func (g *Ledger) sends(l *attempt) {
	p, q, now := l.part, l.part.of, g.fleet.Now
	t := g.fleet.Classes[q.Class]
	if q.Outcome != Unanswered || p.in || now >= q.Deadline {
		g.breaks(1, "a leg of part %d after its end", p.id)
	}
	if behind := (int(l.at.Cell) - p.shard%g.fleet.Cells + g.fleet.Cells) % g.fleet.Cells; behind >= g.fleet.CellsPerShard {
		g.breaks(5, "replica %d does not hold shard %d", l.at.ID, p.shard)
	}
	for _, o := range p.attempts {
		ran := !(o.over && neverRan(o.how))
		switch {
		case ran && t.Effect == NonIdempotent:
			g.breaks(2, "a further leg of single-use part %d", p.id)
		case ran && t.Effect == Keyed && now > o.sent+t.KeyWindow:
			g.breaks(2, "a further leg of referenced part %d after its window", p.id)
		}
	}
	if len(p.attempts) >= g.fleet.MaxAttempts {
		g.breaks(6, "leg %d of part %d", len(p.attempts)+1, p.id)
	}
	if b := g.fleet.RetryBudget; len(p.attempts) > 0 && b.Span > 0 {
		g.extras = append(since(g.extras, now-b.Span), now)
		g.taken = since(g.taken, now-b.Span)
		if float64(len(g.extras)) > b.MinRetries+b.Share*float64(len(g.taken)) {
			g.breaks(6, "%d further legs for %d taken", len(g.extras), len(g.taken))
		}
	}
}

// since drops the times up to one.
func since(times []time.Duration, after time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= after {
		times = times[1:]
	}
	return times
}

// ends judges a final answer.
func (g *Ledger) ends(q *Query) {
	if late := q.EndedAt - q.Deadline; late > grace {
		g.breaks(1, "retrieval %d ends %v after its cut-off", q.ID, late)
	}
	if q.Outcome == Complete && q.got < len(q.parts) {
		g.breaks(5, "retrieval %d answered whole with %d of %d parts", q.ID, q.got, len(q.parts))
	}
	if q.Outcome == Rejected && g.fleet.Classes[q.Class].Effect == NonIdempotent {
		for _, p := range q.parts {
			for _, l := range p.attempts {
				if !(l.over && neverRan(l.how)) {
					g.breaks(2, "single-use retrieval %d turned back after a leg that may have run", q.ID)
				}
			}
		}
	}
}

// Close judges what has had no final answer although its time is over.
func (g *Ledger) Close() {
	for _, q := range g.Queries {
		if q.Outcome == Unanswered && g.fleet.Now > q.Deadline+grace {
			g.breaks(1, "retrieval %d had no final answer", q.ID)
		}
	}
}
