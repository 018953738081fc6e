package scheduler

import (
	"testing"
	"time"
)

// A second step has as many parts as its sender counts, which may be fewer than this co-ordinator saw answered: waiting for
// the rest lost 13 of 30,000 queries without a final answer (rule 1).
func TestSecondStepIsWhatCame(t *testing.T) {
	m := newModel(t, 8)
	m.uncounted = 1
	q := m.ask(0, 2, 3*time.Second)
	m.turn()
	m.answer(50 * ms)
	m.pass(10 * ms)
	m.answer(50 * ms)
	if !q.ended || q.step != 1 || len(q.parts) != 1 {
		t.Errorf("ended %v, step %d of %d parts", q.ended, q.step, len(q.parts))
	}
}

// One whose parts never all come still ends before its cut-off.
func TestRetrievalWhosePartsNeverComeEnds(t *testing.T) {
	m := newModel(t, 0)
	m.nextID++
	id := m.nextID
	m.queries[id] = &modelQuery{id: id, number: 77, endAt: m.now + time.Second}
	m.c.QueryArrives(m.now, QueryArrival{ID: id, Number: 77, TimeLeft: time.Second, Subqueries: 3})
	m.turn()
	if m.pass(1100 * ms); !m.queries[id].ended {
		t.Error("it was never ended")
	}
}

// Each of many co-ordinators lets one in now and then against what it expects. Together they kept a jam up for good: 107
// reports of 84 parts within 12 s, all scrapped. So the more there are, the seldomer, and large ones far more so; small ones
// not so seldom that what is believed wrongly stands for long (ways-back seed 10070: 6 s).
func TestManyLetInAsLittleTogetherAsFew(t *testing.T) {
	let := func(balancers, parts int) (n int) {
		m := newModel(t, 0)
		m.many(balancers, 0)
		m.only(102, 105)
		for m.now < 12*time.Second {
			for _, id := range []ReplicaID{102, 105} {
				m.index(id).outstandingWork = 20 * time.Second // what is believed speaks against all
			}
			q := m.ask(0, parts, time.Second)
			m.turn()
			if len(q.parts[0].attempts) > 0 {
				n++
			}
			m.pass(100 * ms)
		}
		return n
	}
	few, many, large := let(3, 1), let(48, 1), let(48, 60)
	if few < 3 || many > few/2 || many < 1 || large > 1 {
		t.Errorf("of one part %d let in by one of 3 co-ordinators, %d by one of 48; of sixty %d", few, many, large)
	}
}

// With one part's time each, one part may be in time where the slowest of eighty is not.
func TestLargeRetrievalsAreTurnedBackBeforeSmallOnes(t *testing.T) {
	m := newModel(t, 0)
	m.many(9, 0)
	for _, id := range m.order {
		m.index(id).outstandingWork = 500 * ms
	}
	large, small := m.ask(0, 60, 3*time.Second), m.ask(0, 1, 3*time.Second)
	m.turn()
	if !large.ended || small.ended {
		t.Errorf("turned back: 60 parts %v, one part %v", large.ended, small.ended)
	}
}

// A replica that turned an attempt away is full of what others sent: attempts bounced off it until none was left of the allowance.
func TestFullReplicaIsLeftAloneForAWhile(t *testing.T) {
	m := newModel(t, 0)
	m.many(40, 0)
	m.only(102)
	q := m.ask(0, 1, 3*time.Second)
	m.turn()
	m.end(q.parts[0], 0, Overloaded)
	m.turn()
	m.pass(150 * ms)
	if n := len(q.parts[0].attempts); q.ended || n != 1 {
		t.Fatalf("ended %v, %d legs within 150 ms of a full queue", q.ended, n)
	}
	if m.pass(700 * ms); len(q.parts[0].attempts) != 2 {
		t.Errorf("%d legs after a while", len(q.parts[0].attempts))
	}
}

// The listed size tells how long a part takes, where the settings say that it does.
func TestListedSizesCount(t *testing.T) {
	for kind, want := range map[string]bool{"off": false, "nominal": true} {
		m := newModel(t, 0)
		m.settings["weightKind"] = kind
		m.start(1)
		for n, id := range m.order {
			r := m.replicas[id]
			m.c.EndpointListed(m.now, Endpoint{ID: id, State: r.life, Started: r.started, Cell: CellNumber(r.cell), Size: float64(1 + n%2)})
		}
		m.turn()
		m.ask(0, 1, 3*time.Second)
		m.turn()
		small, large := m.c.estimates.timePerWork(m.index(m.order[0])), m.c.estimates.timePerWork(m.index(m.order[1]))
		if got := small > 1.9*large; got != want {
			t.Errorf("%s: a part takes %.2f and %.2f", kind, small, large)
		}
	}
}

// A first try comes with the same share of its cut-off as most; one with less is a further try, whose time is partly gone.
func TestLaterTriesHaveLostTime(t *testing.T) {
	m := newModel(t, 0)
	for range 6 {
		m.ask(0, 1, 2400*ms)
		m.turn()
		m.answer(80 * ms)
	}
	m.ask(0, 1, 1200*ms)
	q := m.c.open[len(m.c.open)-1]
	if !q.objectivePassed || !q.overQuota {
		t.Error("a further try 1.8 s after the first has its agreed time of 1 s still before it")
	}
	m.ask(0, 1, 2400*ms)
	if q := m.c.open[len(m.c.open)-1]; q.objectivePassed || q.objectiveAt != m.now+time.Second {
		t.Errorf("a first try has %v", q.objectiveAt-m.now)
	}
}
