package scheduler

import (
	"testing"
	"time"
)

// What arises among many co-ordinators, each of which sees little.

// Among many co-ordinators, one that sends all parts of a deadly query at once loses half of the fleet.
func TestLargeRetrievalsStartWithFewPartsAmongMany(t *testing.T) {
	m := newModel(t, 0)
	m.many(40, 0)
	m.ask(0, 20, 3*time.Second)
	m.turn()
	m.pass(30 * ms)
	if len(m.sent) != 1 {
		t.Fatalf("%d parts sent at once", len(m.sent))
	}
	m.end(m.outs()[0].p, 0, Succeeded)
	m.turn()
	if len(m.sent) != 20 {
		t.Fatalf("%d parts sent once one is in", len(m.sent))
	}
	m.answer(60 * ms)
	q := m.ask(0, 20, 3*time.Second)
	m.turn()
	m.pass(20 * ms)
	m.end(q.parts[0], 0, ConnectionReset)
	m.turn()
	m.pass(250 * ms)
	if len(m.sent) != 22 || len(q.parts[0].attempts) != 2 {
		t.Fatalf("%d parts of a deadly retrieval sent", len(m.sent)-20)
	}
	m.end(q.parts[0], 1, Unreachable)
	m.turn()
	attempts := 0
	for _, p := range q.parts {
		attempts += len(p.attempts)
	}
	if !q.ended || attempts != 2 {
		t.Errorf("ended %v after %d legs of a deadly retrieval", q.ended, attempts)
	}
}

// While replicas are busy no answer comes for long; parts that wait for one must not take a third of the agreed time.
func TestPartsAheadHoldALargeRetrievalUpForTwoSteps(t *testing.T) {
	m := newModel(t, 0)
	m.many(40, 0)
	m.ask(0, 20, 3*time.Second)
	m.turn()
	m.pass(50 * ms)
	if len(m.sent) != 1 {
		t.Fatalf("%d parts sent at once", len(m.sent))
	}
	m.pass(30 * ms)
	if len(m.sent) != 8 {
		t.Errorf("%d parts sent after a step", len(m.sent))
	}
	if m.pass(60 * ms); len(m.sent) != 20 {
		t.Errorf("%d parts of 20 sent after two steps", len(m.sent))
	}
}

// Each of many co-ordinators has too small a share of a cold replica's budget for a single part: some get
// theirs by turns, and all together stay within the budget though each sends what it may.
func TestManyCoordinatorsShareAColdReplicaByTurns(t *testing.T) {
	const alike = 40
	var sent []time.Duration
	from, until := 2*time.Second, 8*time.Second
	for self := range alike {
		m := newModel(t, 0)
		m.many(alike, self)
		m.only(102)
		m.replicas[102].started = m.now
		m.tell(false, false, 102)
		for m.now < until {
			m.ask(0, 1, 3*time.Second)
			m.turn()
			m.pass(100 * ms)
			for _, o := range m.outs() {
				if m.now-o.p.attempts[o.n].at >= 100*ms {
					m.end(o.p, o.n, Succeeded)
				}
			}
		}
		for _, p := range m.parts {
			for _, l := range p.attempts {
				sent = append(sent, l.at)
			}
		}
	}
	for at := from; at < until; at += 100 * ms {
		n := 0
		for _, s := range sent {
			if s >= at-modelTip && s < at {
				n++
			}
		}
		share := 0.2 + 0.8*(at-modelTip-time.Second).Seconds()/modelWarm.Seconds()
		if budget := 3 * 2 * share * modelTip.Seconds(); float64(n)*modelWork.Seconds() > budget || n == 0 {
			t.Fatalf("%d parts in the window before %v, budget %.2f s of work", n, at, budget)
		}
	}
}

// What a fleet sends its warm replicas shows what a cold one will be asked for: it must not stand idle while all others
// work, or they carry its load until it is warm.
func TestColdReplicaWorksByItsWarmthAmongMany(t *testing.T) {
	const alike = 40
	cold, warm, asked := 0, 0, 0
	for self := range alike {
		m := newModel(t, 0)
		m.many(alike, self)
		m.only(102, 104, 105) // 104 alone holds shard 0
		for m.now < 7*time.Second {
			if m.now >= 3*time.Second && m.replicas[104].started == StartUnknown {
				m.replicas[104].started = m.now
				m.tell(false, false, 104)
			}
			m.shard = asked % 3
			asked++
			m.ask(0, 1, 3*time.Second)
			m.turn()
			m.pass(400 * ms)
			for _, o := range m.outs() {
				m.end(o.p, o.n, Succeeded)
			}
		}
		for _, p := range m.parts {
			for _, l := range p.attempts {
				switch {
				case l.at < 3*time.Second:
				case l.to == 104:
					cold++
				default:
					warm++
				}
			}
		}
	}
	t.Logf("a cold replica got %d parts, each warm one %d", cold, warm/2)
	if share := float64(2*cold) / float64(warm); share < 0.4 || share > 1 {
		t.Errorf("a cold replica got %d parts, each warm one %d", cold, warm/2)
	}
}

// A copy lengthens the queue that it is sent past: while the replicas say that they are busy none goes, of how many are
// saved up.
func TestNoCopiesWhileReplicasReportThatTheyAreBusy(t *testing.T) {
	for _, busy := range []float64{0.3, 0.95} {
		m := newModel(t, 0)
		for range 100 {
			m.c.LoadReported(m.now, 0, busy)
		}
		if copies := m.copiesOfThree(); (copies > 0) != (busy < 0.5) {
			t.Errorf("%d copies of stragglers while replicas are busy to %v", copies, busy)
		}
	}
}

// copiesOfThree has a query's last three of ten parts stay out for most of a second and counts their copies.
func (m *model) copiesOfThree() (copies int) {
	q := m.ask(0, 10, 3*time.Second)
	m.turn()
	m.pass(80 * ms)
	for _, p := range q.parts[:7] {
		m.end(p, 0, Succeeded)
	}
	m.turn()
	for range 80 {
		m.pass(10 * ms)
	}
	for _, p := range q.parts[7:] {
		copies += len(p.attempts) - 1
	}
	return copies
}

// Replicas that were busy and tell nothing any more, as all hang or their reports are switched off, are not busy for good.
func TestBusyReplicasAreForgottenOnceNobodyTells(t *testing.T) {
	m := newModel(t, 0)
	for range 100 {
		m.c.LoadReported(m.now, 0, 0.95)
	}
	m.pass(loadReportsTimeout + 10*ms)
	if m.copiesOfThree() == 0 {
		t.Error("no copy of a straggler, long after the last report")
	}
}
