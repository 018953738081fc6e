package scheduler

import (
	"math"
	"testing"
	"time"
)

// Each of these is one way in which a belief once outlived its cause; docs/ways-back.md.

// Work taken for far too long turns all back; nothing would ever correct it but what is let in against it.
func TestBeliefOfLongWorkGivesWayToATrickle(t *testing.T) {
	m := newModel(t, 0)
	m.c.classes[0].subqueryWork, m.c.classes[0].workPerHint = 5*time.Second, 60
	served := 0
	for range 200 {
		q := m.ask(0, 2, 3*time.Second)
		m.turn()
		m.answer(40 * ms)
		if q.ended && q.parts[0].in {
			served++
		}
	}
	if served < 150 {
		t.Errorf("%d of 200 fulfilled while replicas answer in 40 ms", served)
	}
}

// In a jam that is real the trickle stays at one at a time, and the waits between grow.
func TestTrickleIsThinWhileTheJamIsReal(t *testing.T) {
	m := newModel(t, 0)
	m.c.classes[0].subqueryWork, m.c.classes[0].workPerHint = 5*time.Second, 60
	let := 0
	for range 200 {
		q := m.ask(0, 1, 3*time.Second)
		m.turn()
		if !q.ended {
			let++
		}
		m.pass(50 * ms) // nothing answers
	}
	if let < 2 || let > 12 {
		t.Errorf("%d of 200 let in within 10 s of a jam", let)
	}
}

// Many replies to attempts of one belief move it to what they show, not beyond.
func TestCrowdOfRepliesLearnsWhatItShows(t *testing.T) {
	m := newModel(t, 0)
	start := m.c.classes[0].subqueryWork
	for range 60 {
		m.ask(0, 4, 3*time.Second)
	}
	m.turn()
	for range 60 {
		m.answer(start / 4)
	}
	if got := m.c.classes[0].subqueryWork; got < start/16 || got > start {
		t.Errorf("work of %v after replies in %v, from %v", got, start/4, start)
	}
	for range 4000 {
		m.c.classes[0].learnWork(-1)
	}
	if u := m.c.classes[0].subqueryWork; u < minWork || math.IsNaN(m.c.classes[0].workPerHint) {
		t.Errorf("work of %v, hint %v after endless surprises", u, m.c.classes[0].workPerHint)
	}
}

// Moves that lower the largest finish alike go to the emptiest holder, not all to the first.
func TestPartsSpreadOverAllEqualHolders(t *testing.T) {
	m := newModel(t, 0)
	m.shard = 0
	m.nextID++
	q := &modelQuery{id: m.nextID, number: QueryNumber(m.nextID), endAt: m.now + 3*time.Second}
	m.queries[q.id] = q
	m.c.QueryArrives(m.now, QueryArrival{ID: q.id, Number: q.number, TimeLeft: 3 * time.Second, Subqueries: 8})
	for range 8 {
		m.newPart(q, 0, 0.125)
	}
	m.turn()
	most, at := 0, map[ReplicaID]int{}
	for _, p := range q.parts {
		for _, l := range p.attempts {
			at[l.to]++
			most = max(most, at[l.to])
		}
	}
	if holders := len(m.holdersOf(0)); most > (8+holders-1)/holders {
		t.Errorf("8 parts over %d equal holders: %v", holders, at)
	}
}

// A trial goes with a query that will be there for its answer.
func TestTrialGoesWithAYoungRetrieval(t *testing.T) {
	m := newModel(t, 0)
	m.only(102)
	m.c.outliers.eject(m.now, m.index(102), nil, "test")
	old := m.ask(0, 1, 3*time.Second)
	m.turn()
	m.index(102).nextProbeAt = m.now + 2*time.Second // due when the first has a third of its time left
	m.pass(1900 * ms)
	young := m.ask(0, 1, 3*time.Second)
	m.turn()
	m.pass(200 * ms)
	if len(old.parts[0].attempts) != 0 || len(young.parts[0].attempts) != 1 {
		t.Errorf("trials: %d with the old, %d with the young", len(old.parts[0].attempts), len(young.parts[0].attempts))
	}
}

// A further attempt held where no credit is left goes once nothing is out there, or nothing would ever earn any.
func TestIdleHolderWithoutCreditGetsOneFurtherLeg(t *testing.T) {
	m := newModel(t, 0)
	m.only(102)
	m.index(102).retryTokens = 0
	q := m.ask(0, 1, 3*time.Second)
	m.turn()
	m.end(q.parts[0], 0, Failed)
	m.turn()
	m.pass(600 * ms)
	if n := len(q.parts[0].attempts); n != 2 {
		t.Errorf("%d legs", n)
	}
}

// What the wait for the own core explains halves no cap and slows no pace.
func TestOwnWaitSaysNothingAgainstReplicas(t *testing.T) {
	for _, behind := range []time.Duration{0, 200 * ms} {
		m := newModel(t, 0)
		m.only(102)
		r := m.index(102)
		for range 20 {
			m.ask(0, 1, 3*time.Second)
			m.turn()
			m.answer(80 * ms)
		}
		before := r.limit
		for range 8 {
			m.c.ReadDelayed(m.now, behind)
			m.ask(0, 1, 3*time.Second)
			m.turn()
			m.answer(500 * ms)
		}
		if kept := r.limit >= before && r.slowdown < 2; kept != (behind > 0) {
			t.Errorf("behind %v: cap %v before, %v after, pace %v", behind, before, r.limit, r.slowdown)
		}
	}
}

// With much open a turn looks at what came in, and at all once in a sweep; held parts leave with each reply.
func TestTurnsWithMuchOpenStillSendWithEachReply(t *testing.T) {
	m := newModel(t, 0)
	m.only(102)
	r := m.index(102)
	m.c.classes[0].subqueryWork, m.c.classes[0].workPerHint = ms, 0.0125
	for range 3 * fewOpen {
		m.ask(0, 1, 3*time.Second)
	}
	m.turn()
	for range 50 {
		sent := len(m.sent)
		o := m.outs()[0]
		m.now += 100 * time.Microsecond
		m.end(o.p, o.n, Succeeded)
		m.turn()
		if len(m.sent) == sent && len(r.outstanding) < int(r.limit) && r.queuedWork > 0 {
			t.Fatalf("nothing left with a reply: %d out, cap %v", len(r.outstanding), r.limit)
		}
	}
}

// A cap does not climb at once past what its replica has turned parts away at.
func TestCapRemembersWhereItWasTurnedAway(t *testing.T) {
	m := newModel(t, 0)
	m.only(102)
	r := m.index(102)
	serve := func(n int) {
		for range n {
			m.ask(0, 1, 3*time.Second)
			m.turn()
			m.answer(80 * ms)
		}
	}
	serve(30)
	before := r.limit
	for range 16 {
		m.ask(0, 1, 3*time.Second)
	}
	m.turn()
	for n, o := range m.outs() {
		if n >= 6 {
			m.end(o.p, o.n, Overloaded)
		}
	}
	m.turn()
	serve(20)
	if now := r.limit; before < 20 || now > 12 {
		t.Errorf("cap %v before, %v twenty replies after it was turned away at 6", before, now)
	}
}

// Attempts that a replica has lost must not hold all of its cap's places until their cut-offs.
func TestLostLegsHoldNoPlaces(t *testing.T) {
	m := newModel(t, 0)
	id := m.holdersOf(0)[0]
	m.only(id)
	m.index(id).limit, m.shard = 1, 0
	lost := m.ask(0, 1, 30*time.Second).parts[0]
	m.turn()
	answered := 0
	for range 120 {
		m.shard = 0
		m.ask(0, 1, 3*time.Second)
		m.turn()
		m.pass(100 * ms)
		for _, o := range m.outs() {
			if o.p != lost {
				m.end(o.p, o.n, Succeeded)
				answered++
			}
		}
		m.turn()
	}
	if len(lost.attempts) != 1 || answered < 60 {
		t.Errorf("%d legs of the lost part; %d of 120 later ones went in 12 s", len(lost.attempts), answered)
	}
}

// Where no copy may go an attempt has the time that its own work takes, however quick its replica was with others.
func TestLegWithoutCopiesHasTimeForItsOwnWork(t *testing.T) {
	m := newModel(t, 0)
	m.c.hedgeAllowed = false
	for _, r := range m.c.replicas.all {
		r.slowdown = 0.05
	}
	q := m.ask(0, 1, 3*time.Second)
	m.turn()
	if attempts := q.parts[0].attempts; len(attempts) != 1 || attempts[0].wait < m.c.classes[0].subqueryWork {
		t.Errorf("%d legs, the first has %v for work of %v", len(attempts), attempts[0].wait, m.c.classes[0].subqueryWork)
	}
}

// Queries that are turned back as too few holders are in use still bring the trials that are due.
func TestTurningBackLetsTrialsGo(t *testing.T) {
	m := newModel(t, 0)
	for _, id := range m.holdersOf(0)[1:] {
		m.c.outliers.eject(m.now, m.index(id), nil, "test")
	}
	trials := 0
	for range 100 {
		m.shard, m.c.classes[0].latenessFactor, m.c.classes[0].subqueryWork = 0, maxLatenessFactor, 300*ms // tightened, but sound work
		q := m.ask(0, 1, 3*time.Second)
		m.turn()
		for _, p := range q.parts {
			for _, l := range p.attempts {
				if l.to != m.holdersOf(0)[0] {
					trials++
				}
			}
		}
		m.answer(100 * ms)
	}
	if trials == 0 {
		t.Error("no trial went in 10 s")
	}
}
