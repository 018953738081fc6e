package scheduler

import (
	"maps"
	"slices"
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

// Work that others tell counts as ahead and is worked off with time; a part goes where less is ahead.
func TestToldWorkIsAhead(t *testing.T) {
	m := newModel(t, 0)
	m.settings["bounds.peers"] = "true"
	m.many(40, 0)
	m.only(102, 105)
	busy := m.replicas[102]
	var attempts []CellNumber
	for range 8 {
		attempts = append(attempts, CellNumber(busy.cell))
	}
	m.replicas[105].cell = busy.cell + 1 // both hold the shard of that cell
	m.tell(false, false, 105)
	for _, message := range told(sentAttempts, attempts, 100*ms, 1, nil, 3) {
		if err := m.c.GossipReceived(m.now, 7, message); err != nil {
			t.Fatal(err)
		}
	}
	at := m.c.waits(m.index(102))
	m.shard = busy.cell
	q := m.ask(0, 1, 3*time.Second)
	m.turn()
	if at < 700*ms || len(q.parts[0].attempts) != 1 || q.parts[0].attempts[0].to != 105 {
		t.Errorf("%v ahead; the part went to %+v", at, q.parts[0].attempts)
	}
	if len(m.told) != 1 {
		t.Errorf("%d messages tell its leg", len(m.told))
	}
	m.pass(6 * time.Second)
	if m.turn(); m.c.waits(m.index(102)) > at/10 {
		t.Error("work whose end nobody tells is ahead for good")
	}
}

// Where messages are not allowed none goes, whatever is sent.
func TestNothingIsToldWhereNoMessagesGo(t *testing.T) {
	m := newModel(t, 0)
	m.many(40, 0)
	m.ask(0, 4, 3*time.Second)
	if m.turn(); len(m.told) > 0 {
		t.Errorf("%d messages", len(m.told))
	}
}

// A share by co-ordinator turned back whoever sent to one with more than its part of the traffic; with messages the share is
// that of all.
func TestTenantsShareIsThatOfAllWhereTheyTell(t *testing.T) {
	m := newModel(t, 32)
	m.settings["bounds.peers"], m.settings["orgs.0.quotaPerS"] = "true", "10"
	m.many(40, 0)
	message := func(tenants int) {
		for _, b := range told(sentAttempts, []CellNumber{0}, ms, 1, make([]TenantIndex, tenants), 3) {
			if err := m.c.GossipReceived(m.now, 1, b); err != nil {
				t.Fatal(err)
			}
		}
	}
	message(1)
	if m.ask(0, 1, 3*time.Second); m.c.open[0].overQuota {
		t.Error("past its share though the others took one")
	}
	message(16)
	message(16)
	if m.ask(0, 1, 3*time.Second); !m.c.open[1].overQuota {
		t.Error("within its share of 10 a second though the others just took 32")
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
		small, large := m.c.timePerWork(m.index(m.order[0])), m.c.timePerWork(m.index(m.order[1]))
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

// What other settings would decide is counted and nothing else changes.
func TestWatchingDecidesNothing(t *testing.T) {
	run := func(watch bool) (sent []RequestID, w ShadowCounts) {
		m := newModel(t, 0)
		m.many(3, 0)
		if watch {
			other := map[string]string{}
			for k, v := range m.settings {
				other[k] = v
			}
			other["balancers"], other["weightKind"] = "400", "nominal"
			if err := m.c.EnableShadow(configOf(t, other)); err != nil {
				t.Fatal(err)
			}
		}
		for n, id := range m.order {
			r := m.replicas[id]
			m.c.EndpointListed(m.now, Endpoint{ID: id, State: r.life, Started: r.started, Cell: CellNumber(r.cell), Size: float64(1 + n%3)})
		}
		m.turn()
		for _, id := range m.order {
			m.index(id).outstandingWork = 300 * ms
		}
		for n := range 40 {
			m.shard = n
			m.ask(0, 1+n%4, 3*time.Second)
			m.turn()
			m.pass(10 * ms)
		}
		w, _ = m.c.ShadowCounts()
		return m.sent, w
	}
	as, none := run(false)
	watched, w := run(true)
	if len(as) == 0 || !slices.Equal(as, watched) {
		t.Errorf("%d legs, %d while watching", len(as), len(watched))
	}
	if none.Queries != 0 || w.Queries != 40 || w.WouldReject == 0 || w.WouldPlaceElsewhere == 0 || w.WouldPlaceElsewhere > w.Subqueries {
		t.Errorf("not watching %+v, watching %+v", none, w)
	}
	m := newModel(t, 0)
	if err := m.c.EnableShadow(Config{Coordinators: 3}); err == nil {
		t.Error("settings that lack most are watched")
	}
}

// Each kind of decision that second copies reach is counted where it differs, and not where it does not.
func TestWatchingCountsTimeOutsAndCopies(t *testing.T) {
	run := func(allowed bool, watched string) (w ShadowCounts, attempts int) {
		bits := 0
		if !allowed {
			bits = 1
		}
		m := newModel(t, bits)
		other := maps.Clone(m.settings)
		other["bounds.secondCopies"] = watched
		if err := m.c.EnableShadow(configOf(t, other)); err != nil {
			t.Fatal(err)
		}
		q := m.ask(0, 1, 3*time.Second)
		m.turn()
		m.pass(2500 * ms)
		w, _ = m.c.ShadowCounts()
		return w, len(q.parts[0].attempts)
	}
	for _, c := range []struct {
		allowed                               bool
		watched                               string
		attempts, timeOuts, notCopied, copied int
	}{
		{true, "true", 3, 0, 0, 0},
		{true, "false", 3, 1, 2, 0}, // the last attempt has no time-out under either
		{false, "false", 1, 0, 0, 0},
		{false, "true", 1, 1, 0, 1},
	} {
		w, attempts := run(c.allowed, c.watched)
		if attempts != c.attempts || w.Attempts != attempts || w.WouldTimeOutOtherwise != c.timeOuts || w.WouldNotHedge != c.notCopied || w.WouldHedge != c.copied {
			t.Errorf("copies allowed %v, watched %s: %d legs, %+v", c.allowed, c.watched, attempts, w)
		}
	}
}

func TestAheadIsReadAsItWasTold(t *testing.T) {
	for _, cells := range []int{1, 3, 162, 900, 5000} {
		for _, attempts := range []int{1, 7, 200, 1000} {
			for kind := range attemptsTold(kindsOfAttempt) {
				want, got := make([]int, cells), make([]int, cells)
				var to []CellNumber
				for n := range attempts {
					to = append(to, CellNumber(n*n%cells))
					want[n*n%cells]++
				}
				tenants, late, lanes, for2 := 0, 0.0, 0.0, []TenantIndex(nil)
				if kind == sentAttempts {
					for2 = []TenantIndex{1, 2}
				}
				for _, b := range told(kind, to, 123*ms, 4, for2, cells) {
					err := decodeAhead(b, cells, func(l attemptsAt) {
						if got[l.cell] += l.attempts; l.work != 123*ms || l.kind != kind {
							t.Fatalf("%+v", l)
						}
						late, lanes = l.late, l.lanes
					}, func(TenantIndex) { tenants++ })
					if err != nil || len(b) > mostMessage {
						t.Fatalf("%d cells, %d legs: %d bytes, %v", cells, attempts, len(b), err)
					}
				}
				if !slices.Equal(got, want) || tenants != len(for2) || (late > 3.8 && late < 4.1) != (kind == lateAttempts) || (lanes == 2) != (kind == endedAttempts) {
					t.Errorf("%d cells, %d legs: read otherwise, %d tenants, %.1f times late", cells, attempts, tenants, late)
				}
			}
		}
	}
}

// told is what a co-ordinator's messages say of attempts.
func told(kind attemptsTold, to []CellNumber, work time.Duration, late float64, tenants []TenantIndex, cells int) [][]byte {
	t := tally{tenants: tenants}
	for _, cell := range to {
		t.add(0, cell, work, late)
	}
	return t.take(kind, cells, 2)
}

// What has ended is no longer ahead. Work told was taken to be done at a replica's usual pace: of slow ones 177 ms were
// believed ahead where attempts took 1,100.
func TestEndedLegsAreNoLongerAhead(t *testing.T) {
	m := newModel(t, 0)
	m.settings["bounds.peers"] = "true"
	m.many(40, 0)
	r := m.index(102)
	attempts := []CellNumber{CellNumber(m.replicas[102].cell), CellNumber(m.replicas[102].cell)}
	m.hear(told(sentAttempts, attempts, 100*ms, 1, nil, 3)...)
	if got := m.c.waits(r); got != 200*ms {
		t.Errorf("%v ahead", got)
	}
	if m.pass(500 * ms); m.c.waits(r) < 150*ms {
		t.Errorf("%v ahead after half a second, though nobody tells of an end", m.c.waits(r))
	}
	if m.hear(told(endedAttempts, attempts, 100*ms, 1, nil, 3)...); m.c.waits(r) != 0 || r.slowdown != 1 {
		t.Errorf("%v ahead after both ended, pace %.2f", m.c.waits(r), r.slowdown)
	}
}

// One of 120 co-ordinators has an answer from a replica each twenty seconds; a slow one has to be known from all of theirs.
func TestLateLegsThatOthersTellSlowAReplica(t *testing.T) {
	m := newModel(t, 0)
	m.settings["bounds.peers"] = "true"
	m.many(40, 0)
	r, cell := m.index(102), []CellNumber{CellNumber(m.replicas[102].cell)}
	for range 8 {
		m.hear(told(lateAttempts, cell, 100*ms, 6, nil, 3)...)
	}
	slow := r.slowdown
	for range 1000 {
		m.hear(told(lateAttempts, cell, 100*ms, 1000, nil, 3)...)
	}
	most := r.slowdown
	for range 20 {
		m.hear(told(endedAttempts, cell, 100*ms, 1, nil, 3)...)
	}
	if slow < 3 || slow > 6 || most > 33 || r.slowdown > 1.2 || r.slowdown < 1 {
		t.Errorf("pace %.2f after eight told six times late, %.2f at the most, %.2f after twenty in time", slow, most, r.slowdown)
	}
}

// How many parts a replica does side by side was learned by each alone, from 1: the first reports of most of 39 co-ordinators were
// turned back as too long, 17 of 202 on a quiet day.
func TestPartsSideBySideAreTold(t *testing.T) {
	m := newModel(t, 0)
	m.settings["bounds.peers"] = "true"
	m.many(40, 0)
	one := tally{}
	for range 100 {
		one.add(m.now, 0, 100*ms, 1)
	}
	m.hear(one.take(endedAttempts, 3, 4)...)
	if m.c.parallelism < 3.5 || m.c.parallelism > 4 {
		t.Errorf("%.2f counted on after a hundred legs told by one that counts on 4", m.c.parallelism)
	}
	for range 100 {
		one.add(m.now, 0, 100*ms, 1)
	}
	if m.hear(one.take(endedAttempts, 3, 15)...); m.c.parallelism > mostLanes {
		t.Errorf("%.2f counted on, more than the most", m.c.parallelism)
	}
	if one.add(m.now, 0, ms, 1); decodeAhead([]byte{aheadMark, byte(endedAttempts) << kindShift, 0, 1, 3, 0}, 3, func(attemptsAt) {}, nil) == nil {
		t.Error("less than one part at a time is believed")
	}
}

// Ends are gathered for a tenth of a second, as messages cost; an attempt called off may still be worked on, and is told only if
// it was late.
func TestEndsAreGatheredAndTold(t *testing.T) {
	m := newModel(t, 0)
	m.settings["bounds.peers"] = "true"
	m.many(40, 0)
	said := func() (kinds [kindsOfAttempt]int) {
		for _, b := range m.told {
			if err := decodeAhead(b, 3, func(l attemptsAt) { kinds[l.kind] += l.attempts }, func(TenantIndex) {}); err != nil {
				t.Fatal(err)
			}
		}
		m.told = nil
		return kinds
	}
	q := m.ask(0, 3, 3*time.Second)
	m.turn()
	if got := said(); got != [kindsOfAttempt]int{3, 0, 0} {
		t.Errorf("told %v of three legs sent", got)
	}
	m.now += 60 * ms
	m.end(q.parts[0], 0, Succeeded)
	m.turn()
	m.end(q.parts[1], 0, Cancelled)
	m.turn()
	if got := said(); got[endedAttempts]+got[lateAttempts] != 0 {
		t.Errorf("told %v at once", got)
	}
	m.pass(120 * ms)
	if got := said(); got[endedAttempts] != 1 || got[lateAttempts] != 0 {
		t.Errorf("told %v of one leg ended and one called off early", got)
	}
	m.now += 800 * ms
	m.end(q.parts[2], 0, Succeeded)
	m.turn()
	m.pass(120 * ms)
	if got := said(); got[lateAttempts] != 1 {
		t.Errorf("told %v of a late leg", got)
	}
}

// While nobody tells, what others have waiting is not in an attempt's expected time; counted without it, each twentieth attempt of
// archivo-montevideo's big-2 timed out, 100 to 239 in 5 s, and as many were sent again in a queue that was only long.
func TestTimeOutsCountWhatNobodyTells(t *testing.T) {
	limit := func(balancers int, heard bool) time.Duration {
		m := newModel(t, 1)
		m.settings["bounds.peers"] = "true"
		m.many(balancers, 0)
		if heard {
			m.hear(told(endedAttempts, []CellNumber{0}, ms, 1, nil, 3)...)
		}
		q := m.ask(0, 1, 3*time.Second)
		m.turn()
		return m.c.attemptTimeout(m.c.subqueries[q.parts[0].id].attempts[0])
	}
	if few, silent, heard := limit(3, false), limit(60, false), limit(60, true); silent < few*18/10 || heard > few {
		t.Errorf("time-outs of %v with 3 co-ordinators, %v with 60 that are silent, %v with 60 that tell", few, silent, heard)
	}
}

// What is no message of this kind is refused by name, and nothing that it says is believed, not even in part.
func TestMessagesThatAreNoneChangeNothing(t *testing.T) {
	sound := told(sentAttempts, []CellNumber{0, 1}, 100*ms, 1, []TenantIndex{0}, 3)[0]
	changed := func(at int, to byte) []byte {
		b := slices.Clone(sound)
		b[at] = to
		return b
	}
	for name, message := range map[string][]byte{
		"empty": {}, "cut in its head": sound[:aheadHead], "cut behind its tenants": sound[:aheadHead+1],
		"of version 1": changed(0, 0xa7), "of an unknown kind": changed(1, 7<<kindShift),
		"with more tenants than it has": changed(4, mostTenants), "with too many tenants": changed(4, mostTenants+1),
		"about an unknown cell": {aheadMark, 0, 0, 1, 0, 3}, "too long": append(slices.Clone(sound), make([]byte, mostMessage)...),
		"late by nothing": {aheadMark, byte(lateAttempts) << kindShift, 0, 1, lateUnit, 0},
		"without lanes":   {aheadMark, byte(endedAttempts) << kindShift, 0, 1, 0, 0},
		"a map too short": {aheadMark, aheadMap, 0, 1, 0},
	} {
		m := newModel(t, 32)
		m.settings["bounds.peers"] = "true"
		m.many(40, 0)
		left := m.c.allowance[0]
		if err := m.c.GossipReceived(m.now, 7, message); err == nil {
			t.Errorf("a message %s is taken", name)
		}
		for _, r := range m.c.replicas {
			if m.c.waits(r) != 0 || r.slowdown != 1 || m.c.heard() || m.c.allowance[0] != left {
				t.Errorf("a message %s is believed", name)
			}
		}
	}
}

func (m *model) hear(messages ...[]byte) {
	for _, b := range messages {
		if err := m.c.GossipReceived(m.now, 7, b); err != nil {
			m.t.Fatal(err)
		}
	}
}

// FuzzAhead: bytes from elsewhere are read or refused whole, and what is ahead stays within bounds.
func FuzzAhead(f *testing.F) {
	f.Add([]byte{})
	f.Add(told(sentAttempts, []CellNumber{0, 1, 2}, time.Second, 1, []TenantIndex{0}, 3)[0])
	f.Add(told(endedAttempts, make([]CellNumber, 90), time.Hour, 1, nil, 3)[0])
	f.Add(told(lateAttempts, []CellNumber{2}, time.Second, 9, nil, 3)[0])
	f.Add([]byte{aheadMark, 0, 0xff, 0xff, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{aheadMark, aheadMap, 0, 1, 16})
	f.Add([]byte{aheadMark, 7 << kindShift, 0, 1, 16, 0})
	f.Fuzz(func(t *testing.T, message []byte) {
		m := newModel(t, 32)
		m.settings["bounds.peers"] = "true"
		m.many(40, 0)
		before := m.c.peersAt
		err := m.c.GossipReceived(m.now, 1, message)
		if (err == nil) != (m.c.peersAt != before) {
			t.Errorf("%v, and heard %v", err, m.c.peersAt)
		}
		for _, r := range m.c.replicas {
			w, most := m.c.waits(r), scale(m.c.shortestObjective, m.c.parallelism)
			if w < 0 || w > most || err != nil && w > 0 || r.slowdown < 0.9 || r.slowdown > 32 {
				t.Errorf("%v ahead, pace %.1f after %v", w, r.slowdown, err)
			}
		}
	})
}
