package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// holdersOf lists the replicas of the model that hold a shard.
func (m *model) holdersOf(shard int) (all []ReplicaID) {
	for _, id := range m.order {
		if (m.replicas[id].cell-shard%m.cells+m.cells)%m.cells < m.reach {
			all = append(all, id)
		}
	}
	return all
}

// only leaves the module these replicas; the others are gone.
func (m *model) only(ids ...ReplicaID) {
	for _, id := range m.order {
		if !slices.Contains(ids, id) {
			m.replicas[id].life = Removed
		}
	}
	m.tell(true, false, ids...)
}

// answer lets all attempts that are out take so long, then answers them.
func (m *model) answer(after time.Duration) {
	m.pass(after)
	for _, o := range m.outs() {
		m.end(o.p, o.n, Succeeded)
	}
	m.turn()
}

func (m *model) aside(id ReplicaID) bool { return m.index(id).ejectedForAll() }

func (m *model) index(id ReplicaID) *replicaState { return m.c.replicas.byID[id] }

func TestPartsLeaveInOrderOfArrival(t *testing.T) {
	m := newModel(t, 0)
	m.only(102)
	m.index(102).limit = 1
	for range 6 {
		m.ask(0, 1, 3*time.Second)
		m.turn()
	}
	for range 6 {
		m.answer(80 * ms)
	}
	if len(m.sent) < 4 || !slices.IsSorted(m.sent) {
		t.Errorf("parts left in the order %v", m.sent)
	}
}

func TestHeldPartWithTooLittleTimeIsNotSent(t *testing.T) {
	m := newModel(t, 0)
	m.only(102)
	m.index(102).limit = 1
	first, second := m.ask(0, 1, 3*time.Second), m.ask(0, 1, 600*ms)
	m.turn()
	m.pass(590 * ms)
	if first.ended || !second.ended || len(second.parts[0].attempts) > 0 {
		t.Errorf("first ended %v, second ended %v after %d legs", first.ended, second.ended, len(second.parts[0].attempts))
	}
}

// A jam must not become the usual while it lasts, or caps grow in the midst of it.
func TestCapFallsInAJamAndGrowsAgain(t *testing.T) {
	m := newModel(t, 0)
	m.only(102)
	r := m.index(102)
	serve := func(n int, took time.Duration) {
		for range n {
			m.ask(0, 1, 3*time.Second)
			m.turn()
			m.answer(took)
		}
	}
	serve(20, 80*ms)
	before := r.limit
	serve(12, 700*ms)
	jam := r.limit
	serve(30, 80*ms)
	if before <= initialLimit || jam > initialLimit/2 || r.limit <= jam {
		t.Errorf("cap %v before, %v in the jam, %v after", before, jam, r.limit)
	}
}

func TestSilentReplicaIsSetAsideAndComesBackByATrickle(t *testing.T) {
	m := newModel(t, 0)
	m.only(102, 105)
	var hung []*modelAttempt
	for n := range 30 {
		m.ask(0, 1, 3*time.Second)
		m.turn()
		m.pass(100 * ms)
		for _, o := range m.outs() {
			if l := o.p.attempts[o.n]; l.to == 105 {
				hung = append(hung, l)
			} else {
				m.end(o.p, o.n, Succeeded)
			}
		}
		m.turn()
		if n == 20 && !m.aside(105) {
			t.Fatalf("not set aside; its %d legs never end", len(hung))
		}
	}
	r := m.index(105)
	m.answer(ms)
	if r.classes[0].ejected || r.limit != 1 {
		t.Errorf("set aside %v, cap %v after it has answered", r.classes[0].ejected, r.limit)
	}
	logs := strings.Join(m.logs, "\n")
	if !strings.Contains(logs, "has gone silent") || !strings.Contains(logs, "answers again") {
		t.Errorf("logs: %s", logs)
	}
}

// A replica that hangs on one track alone is set aside for that track, though it answers the others, and no more
// attempts pile up there; its answer brings it back.
func TestReplicaThatHangsOnOneTrackIsSetAsideForItAlone(t *testing.T) {
	m := newModel(t, 0)
	m.only(102, 105)
	hung := 0
	for range 40 {
		m.index(102).slowdown = 3 // so that the other is preferred
		m.ask(0, 1, 3*time.Second)
		m.ask(2, 1, 3*time.Second)
		m.turn()
		m.pass(60 * ms)
		hung = 0
		for _, o := range m.outs() {
			if o.p.of.track == 0 && o.p.attempts[o.n].to == 105 {
				hung++
			} else {
				m.end(o.p, o.n, Succeeded)
			}
		}
		m.turn()
	}
	r := m.index(105)
	if !r.classes[0].ejected || r.classes[2].ejected || hung > 8 {
		t.Fatalf("ejected by class: %v, %d attempts hang", r.classes, hung)
	}
	m.answer(ms)
	if r.classes[0].ejected {
		t.Error("still set aside after it has answered")
	}
}

// An attempt that later ones have passed is copied at once, though most of its query is out and time is left.
func TestLegThatLaterOnesHavePassedIsCopied(t *testing.T) {
	m := newModel(t, 0)
	m.only(102, 105)
	m.index(102).slowdown = 3
	q := m.ask(0, 1, 3*time.Second)
	m.turn()
	for range 12 {
		m.ask(0, 1, 3*time.Second)
		m.turn()
		m.pass(40 * ms)
		for _, o := range m.outs() {
			if o.p.of != q {
				m.end(o.p, o.n, Succeeded)
			}
		}
		m.turn()
	}
	if attempts := q.parts[0].attempts; len(attempts) != 2 {
		t.Errorf("%d legs after %v", len(attempts), m.now-attempts[0].at)
	}
}

// Clients that leave early say nothing of how long queries take.
func TestClientsThatLeaveTurnNobodyBack(t *testing.T) {
	m := newModel(t, 0)
	for range 40 {
		q := m.ask(0, 1, 3*time.Second)
		m.turn()
		m.pass(10 * ms)
		q.ended = true
		m.c.ClientDisconnects(m.now, q.id)
		m.turn()
	}
	if m.turnedBack > 0 || m.c.classes[0].latenessFactor > 1 {
		t.Errorf("%d turned back, expected to take %v times as long", m.turnedBack, m.c.classes[0].latenessFactor)
	}
}

// Replicas that were replaced leave no figures behind, and a full list leaves those of the others alone.
func TestFiguresOfReplacedReplicasMakeRoom(t *testing.T) {
	m := newModel(t, 0)
	m.index(102).slowdown = 1.5
	for n := range 500 {
		id := ReplicaID(1000 + n)
		m.replicas[id] = &modelReplica{cell: n % 3, started: StartUnknown}
		m.tell(n%2 == 0, false, append(slices.Clone(m.order), id)...)
		m.turn()
		m.ask(0, 3, time.Second)
		m.turn()
		m.answer(300 * ms)
		m.replicas[id].life, m.replicas[id].told = Removed, m.now
		m.tell(false, false, id)
		delete(m.replicas, id)
		m.turn()
	}
	if n := len(m.c.replicas.all); n > len(m.order)+30 || len(m.c.replicas.byID) > n || m.index(102).slowdown == 1 {
		t.Errorf("%d places, %d ids for %d replicas, pace %v", n, len(m.c.replicas.byID), len(m.order), m.index(102).slowdown)
	}
}

// The last holder in use may be silent only because it carries the load of the others.
func TestLastHolderIsNotSetAsideForSilence(t *testing.T) {
	m := newModel(t, 0)
	m.only(102, 105)
	for range 20 {
		m.ask(0, 1, 3*time.Second)
		m.turn()
		m.pass(100 * ms)
	}
	if a, b := m.aside(102), m.aside(105); a == b {
		t.Errorf("set aside: %v and %v", a, b)
	}
}

func TestDroppedConnectionsAloneDoNotSetAside(t *testing.T) {
	m := newModel(t, 0)
	m.ask(0, 1, 3*time.Second)
	m.turn()
	o := m.outs()[0]
	r := m.index(o.p.attempts[o.n].to)
	m.end(o.p, o.n, ConnectionReset)
	m.turn()
	if r.classes[0].ejected {
		t.Error("set aside after one dropped connection")
	}
	m.ask(0, 4, 3*time.Second)
	m.turn()
	o = m.outs()[0]
	r = m.index(o.p.attempts[o.n].to)
	m.end(o.p, o.n, Unreachable)
	m.turn()
	if !r.classes[0].ejected {
		t.Error("not set aside though it cannot be reached")
	}
}

// A query may kill each replica that works on it: its parts must not wander on until enough answers speak for
// it. Where it went already they may go: if that one died, it cannot be reached.
func TestRetrievalUnderWhichAReplicaSeemsToDieGoesOnThereAlone(t *testing.T) {
	for answers := range 3 {
		for _, then := range []Outcome{Succeeded, Unreachable, ConnectionReset} {
			m := newModel(t, 0)
			q := m.ask(0, 4, 3*time.Second)
			m.turn()
			m.pass(50 * ms)
			for _, p := range q.parts[1 : 1+answers] {
				m.end(p, 0, Succeeded)
			}
			dead := q.parts[0]
			m.end(dead, 0, ConnectionReset)
			m.turn()
			m.pass(250 * ms)
			if len(dead.attempts) != 2 || answers < 2 && dead.attempts[1].to != dead.attempts[0].to {
				t.Fatalf("%d answers: legs %v", answers, dead.attempts)
			}
			m.end(dead, 1, then)
			m.turn()
			if goesOn := then == Succeeded || answers == 2 && then == Unreachable; q.ended == goesOn {
				t.Errorf("%d answers, then %v: ended %v", answers, then, q.ended)
			}
		}
	}
}

// many starts one of so many co-ordinators.
func (m *model) many(balancers, self int) {
	m.settings["balancers"], m.settings["selfIndex"] = fmt.Sprint(balancers), fmt.Sprint(self)
	m.start(1)
}

// While connections are slow to open, every holder may time out once; the part's last attempt must not wait for good.
func TestPartWhoseHoldersCouldNotBeReachedIsTriedAgain(t *testing.T) {
	m := newModel(t, 0)
	m.only(102, 105)
	q := m.ask(0, 1, 3*time.Second)
	for range 30 {
		m.turn()
		m.pass(10 * ms)
		for _, o := range m.outs() {
			m.end(o.p, o.n, Unreachable)
		}
	}
	if q.ended || len(q.parts[0].attempts) != 2 {
		t.Errorf("ended %v, %d legs within 0.3 s", q.ended, len(q.parts[0].attempts))
	}
	if m.pass(1500 * ms); q.ended || len(q.parts[0].attempts) != 3 {
		t.Errorf("ended %v, %d legs after both holders could not be reached", q.ended, len(q.parts[0].attempts))
	}
}

// A part held for a cold replica whose budget is spent would wait there while the other holder is free.
func TestPartsTurnFromColdReplicasWithoutRoom(t *testing.T) {
	m := newModel(t, 0)
	m.only(102, 105)
	m.replicas[105].started = m.now
	m.tell(false, false, 105)
	m.index(102).outstandingWork = 3 * time.Second // the warm one looks worse at first
	for range 6 {
		m.ask(0, 1, 3*time.Second)
	}
	m.turn()
	m.index(102).outstandingWork = 0
	m.pass(50 * ms)
	for _, q := range m.c.open {
		if len(q.subqueries[0].attempts) == 0 {
			t.Fatalf("a part is not sent, held at %p, warm is %p", q.subqueries[0].replica, m.index(102))
		}
	}
}

// All parts of a heavy query are late: copies of them would double the work for nothing.
func TestHeavyRetrievalsAreNotCopiedButStragglersAre(t *testing.T) {
	m := newModel(t, 0)
	for range 8 {
		m.ask(0, 2, 3*time.Second)
		m.turn()
		m.answer(60 * ms)
	}
	heavy := m.ask(0, 4, 3*time.Second)
	m.turn()
	sent := len(m.sent)
	if m.pass(900 * ms); len(m.sent) > sent {
		t.Fatalf("%d copies of a retrieval that has no answer yet", len(m.sent)-sent)
	}
	for _, p := range heavy.parts[:3] {
		m.end(p, 0, Succeeded)
	}
	m.turn()
	straggler := m.ask(0, 4, 3*time.Second)
	m.turn()
	m.pass(60 * ms)
	for _, p := range straggler.parts[:3] {
		m.end(p, 0, Succeeded)
	}
	m.turn()
	if m.pass(900 * ms); len(straggler.parts[3].attempts) < 2 {
		t.Error("no copy of a straggler")
	}
}

// An attempt lost on a link must not end a query whose other parts are all in, however dear copies are.
func TestOnlyMissingPartIsCopiedWithoutEarning(t *testing.T) {
	for missing, want := range map[int]int{1: 2, 2: 1} {
		m := newModel(t, 0)
		m.c.hedges.tokens = 0
		q := m.ask(0, 8, 3*time.Second)
		m.turn()
		m.pass(50 * ms)
		for _, p := range q.parts[missing:] {
			m.end(p, 0, Succeeded)
		}
		m.c.hedges.tokens = 0
		m.turn()
		if m.pass(800 * ms); len(q.parts[0].attempts) != want {
			t.Errorf("%d legs with %d parts missing, want %d", len(q.parts[0].attempts), missing, want)
		}
	}
}

// A track of which one of many co-ordinators sees a query in some seconds must notice a jam all the same.
func TestSeldomTracksTightenAsSoonAsARetrievalIsLate(t *testing.T) {
	m := newModel(t, 0)
	m.pass(5 * time.Second)
	q := m.ask(0, 1, 3*time.Second)
	m.turn()
	m.pass(1100 * ms)
	if m.c.classes[0].latenessFactor < 1.5 || q.ended {
		t.Errorf("%.2f times the expected after a late one, ended %v", m.c.classes[0].latenessFactor, q.ended)
	}
}

// A co-ordinator that stood still finds all answers at once: its pause must not count as the replicas'.
func TestOwnPauseDoesNotSlowReplicas(t *testing.T) {
	for _, slow := range []bool{false, true} {
		m := newModel(t, 0)
		m.ask(0, 4, 3*time.Second)
		m.turn()
		if slow {
			m.pass(700 * ms)
		}
		m.now += 800*ms - min(m.now-time.Second, 700*ms)
		for _, o := range m.outs() {
			m.end(o.p, o.n, Succeeded)
		}
		var slowdowns []float64
		for _, replica := range m.c.replicas.all {
			slowdowns = append(slowdowns, replica.slowdown)
		}
		if got := slices.Max(slowdowns) > 1.1; got != slow {
			t.Errorf("slowdowns %v after 800 ms, slow %v", slowdowns, slow)
		}
	}
}

// Turning back tightens while queries come late, and must end with the jam that caused it.
func TestTurningBackBeginsAndEndsWithTheJam(t *testing.T) {
	m := newModel(t, 0)
	load := func(n int, took time.Duration) int {
		before := m.turnedBack
		for range n {
			m.ask(0, 4, 3*time.Second)
			m.turn()
			m.pass(20 * ms)
			for _, o := range m.outs() {
				if m.now-o.p.attempts[o.n].at >= took {
					m.end(o.p, o.n, Succeeded)
				}
			}
			m.turn()
		}
		return m.turnedBack - before
	}
	calm, jam := load(40, 60*ms), load(100, 1500*ms)
	m.answer(100 * ms)
	m.pass(20 * time.Second)
	load(40, 60*ms)
	if after := load(40, 60*ms); calm > 0 || jam < 30 || after > 0 {
		t.Errorf("turned back: %d in calm, %d in the jam, %d after it", calm, jam, after)
	}
}

func TestListIsAskedForAgainAfterAFailure(t *testing.T) {
	m := newModel(t, 16)
	if len(m.asks) != 1 {
		t.Fatalf("asked %d times at the start", len(m.asks))
	}
	m.c.EndpointPollFailed(m.now)
	m.turn()
	m.pass(2 * time.Second)
	if len(m.asks) < 2 {
		t.Fatal("not asked again after a failure")
	}
	m.tell(false, false)
	m.turn()
	asked := len(m.asks)
	m.pass(20 * time.Second)
	if len(m.asks) != asked {
		t.Errorf("asked %d times more while following", len(m.asks)-asked)
	}
}

func TestOverShareIsTurnedBackFirst(t *testing.T) {
	m := newModel(t, 32)
	for range 12 {
		m.ask(0, 1, 3*time.Second)
	}
	over := 0
	for _, q := range m.c.open {
		if q.overQuota {
			over++
		}
	}
	if over != 8 {
		t.Errorf("%d of 12 at once past a share of 2 a second", over)
	}
	m.many(40, 0) // whose share would be under one query
	if m.ask(0, 1, 3*time.Second); m.c.open[0].overQuota {
		t.Error("the first retrieval of a tenant counts as past its share")
	}
}
