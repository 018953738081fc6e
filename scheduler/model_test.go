package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model: the six rules in plain, slow form, written from their wording. It plays the host, judges each
// call of the module, and knows nothing of how the module decides.

const ms = time.Millisecond

type modelAttempt struct {
	to   ReplicaID
	wait time.Duration // 0: until the client gives up
	at   time.Duration
	done bool
	how  Outcome
}

type modelPart struct {
	id       RequestID
	of       *modelQuery
	shard    int
	weight   float64
	attempts []*modelAttempt
	in       bool
}

type modelQuery struct {
	id               RequestID
	number           QueryNumber
	track, step      int
	endAt            time.Duration
	parts            []*modelPart
	ended, wholeStep bool
}

type modelReplica struct {
	life          EndpointState
	told, started time.Duration
	cell          int
	work          []time.Duration // when parts were sent while it was cold
	unknown       bool
}

type model struct {
	t              testing.TB
	c              *Scheduler
	now            time.Duration
	settings       map[string]string
	effects        []string
	need, floor    []float64
	fetch          []int
	copies, cancel bool
	maxAttempts    int
	cells, reach   int
	uncounted      int     // parts in that the sender of second steps does not count
	budget         float64 // share; 0: no attempt budget
	taken, extras  []time.Duration
	replicas       map[ReplicaID]*modelReplica
	order          []ReplicaID
	queries        map[RequestID]*modelQuery
	parts          map[RequestID]*modelPart
	wakes          []time.Duration
	asks           []time.Duration
	told           [][]byte // messages to other co-ordinators
	subscribed     bool
	nextID         RequestID
	logs           []string
	sent           []RequestID
	turnedBack     int
	lastFirst      RequestID // query of the last first attempt in this turn
	shard          int       // of the next query's first part
	next           []func()
}

const (
	modelWork    = 100 * ms
	modelWindow  = 900 * ms
	modelSpan    = 5 * time.Second
	modelFree    = 3
	modelGrace   = 500 * ms
	modelWarm    = 8 * time.Second
	modelTip     = 1500 * ms
	modelSlack   = 20 * ms
	modelBalance = 2
)

// newModel starts a module; the bits choose which permissions and rules hold.
func newModel(t testing.TB, bits int) *model {
	m := &model{t: t, now: time.Second, effects: []string{"pure", "token", "side_effect", "pure"}, need: []float64{1, 1, 1, 0.8},
		floor: []float64{1, 1, 1, 0.5}, fetch: []int{0, 0, 0, 0}, cells: 3, reach: 2, maxAttempts: 3,
		replicas: map[ReplicaID]*modelReplica{}, queries: map[RequestID]*modelQuery{},
		parts: map[RequestID]*modelPart{}}
	m.copies, m.cancel = bits&1 == 0, bits&2 == 0
	if bits&4 != 0 {
		m.budget = 0.1
	}
	if bits&8 != 0 {
		m.fetch = []int{2, 0, 0, 1}
	}
	s := map[string]string{"balancers": fmt.Sprint(modelBalance), "lanes.count": "4",
		"familyInfo.cells": "3", "familyInfo.span": "2", "familyInfo.classNeed": "1.0,1.0,1.0,0.8",
		"familyInfo.leastShare": "1.0,1.0,1.0,0.5", "familyInfo.partialEarns": "0,0,0,0.9",
		"familyInfo.classFetch": fmt.Sprintf("%d,0,0,%d", m.fetch[0], m.fetch[3]),
		"bounds.maxAttempts":    "3", "bounds.mayCancel": fmt.Sprint(m.cancel), "bounds.secondCopies": fmt.Sprint(m.copies),
		"discovery": "automatic", "guarantees.tipMultiple": "3", "guarantees.startCapacity": "0.2",
		"guarantees.warmAfter": "8000000", "guarantees.overloadFor": "1500000", "goal.worstClass": "0.2"}
	for n, e := range m.effects {
		path := fmt.Sprintf("lanes.%d.", n)
		s[path+"aim"], s[path+"deadline"], s[path+"effect"] = "1000000", "3000000", e
		s[path+"window"], s[path+"lateWorth"] = fmt.Sprint(modelWindow.Microseconds()), "0.2"
	}
	if m.budget > 0 {
		s["guarantees.minExtra"], s["guarantees.extraRatio"] = fmt.Sprint(modelFree), "0.1"
		s["guarantees.ratioSpan"] = fmt.Sprint(modelSpan.Microseconds())
	}
	if bits&16 != 0 {
		s["discovery"] = "subscribe"
	}
	if bits&32 != 0 {
		s["orgs.count"], s["orgs.0.quotaPerS"] = "1", "4"
	}
	if bits&64 != 0 {
		s["balancers"], s["bounds.peers"], s["weightKind"] = "40", "true", "nominal"
	}
	m.settings = s
	for id := ReplicaID(100); id < 106; id++ {
		m.replicas[id] = &modelReplica{started: StartUnknown, cell: int(id) % 3}
		m.order = append(m.order, id)
	}
	m.start(uint64(bits))
	return m
}

// start begins a life of the module; what an earlier one held is void.
func (m *model) start(seed uint64) {
	m.queries, m.parts = map[RequestID]*modelQuery{}, map[RequestID]*modelPart{}
	m.taken, m.extras, m.wakes, m.asks, m.subscribed = nil, nil, nil, nil, false
	m.next = nil
	c, err := New(m, seed, configOf(m.t, m.settings))
	if err != nil {
		m.t.Fatal(err)
	}
	m.c = c
	m.tell(true, true, m.order...)
	m.turn()
}

// tell lists replicas to the module.
func (m *model) tell(full, old bool, ids ...ReplicaID) {
	m.c.EndpointListBegins(m.now, full, old)
	for _, id := range ids {
		r := m.replicas[id]
		m.c.EndpointListed(m.now, Endpoint{ID: id, State: r.life, Started: r.started, Cell: CellNumber(r.cell), Zone: ZoneIndex(id % 2)})
		r.unknown = false
	}
}

func (m *model) turn() {
	next := m.next
	m.next = nil
	for _, happen := range next {
		happen()
	}
	m.lastFirst = 0
	m.c.Decide(m.now)
}

func (m *model) bad(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("at %v: "+format, append([]any{m.now}, args...)...)
}

func (m *model) StartAttempt(id RequestID, to ReplicaID, timeout time.Duration) {
	p, r := m.parts[id], m.replicas[to]
	if p == nil || r == nil {
		m.bad("rule 1: a leg of %d to %d, one of them not known", id, to)
	}
	if p.of.ended || p.in || m.now >= p.of.endAt {
		m.bad("rule 1: a leg of %d after its end", id)
	}
	if behind := (r.cell - p.shard%m.cells + m.cells) % m.cells; behind >= m.reach {
		m.bad("replica %d does not hold shard %d", to, p.shard)
	}
	if r.life != Ready && m.now > r.told+modelGrace {
		m.bad("rule 3: a leg to %d, which was told to be leaving or gone at %v", to, r.told)
	}
	if len(p.attempts) >= m.maxAttempts {
		m.bad("leg %d of %d", len(p.attempts)+1, id)
	}
	if len(p.attempts) == 0 {
		if p.of.id < m.lastFirst {
			m.bad("order: first leg of retrieval %d after one of %d in the same turn", p.of.id, m.lastFirst)
		}
		if m.lastFirst = p.of.id; p.of.endAt-m.now < modelWork/4 {
			m.bad("late: a first leg of %d with %v left", id, p.of.endAt-m.now)
		}
	}
	running, mayHaveRun := 0, time.Duration(-1)
	for _, l := range p.attempts {
		if !l.done {
			running++
		}
		provedNot := l.done && (l.how == Overloaded || l.how == Unreachable || l.how == NeverSent)
		if !provedNot && mayHaveRun < 0 {
			mayHaveRun = l.at
		}
	}
	if running > 0 && !m.copies {
		m.bad("rule 2: two legs of %d at once", id)
	}
	switch m.effects[p.of.track] {
	case "side_effect":
		if mayHaveRun >= 0 {
			m.bad("rule 2: a further leg of single-use part %d", id)
		}
	case "token":
		if mayHaveRun >= 0 && m.now > mayHaveRun+modelWindow {
			m.bad("rule 2: a further leg of keyed subquery %d after its window", id)
		}
	}
	if len(p.attempts) > 0 && m.budget > 0 {
		m.extras = append(m.extras, m.now)
		within := func(times []time.Duration) (n int) {
			for _, at := range times {
				if at > m.now-modelSpan {
					n++
				}
			}
			return n
		}
		if float64(within(m.extras)) > modelFree+m.budget*float64(within(m.taken)) {
			m.bad("rule 6: %d further legs for %d taken", within(m.extras), within(m.taken))
		}
	}
	if age := m.now - r.started; r.started != StartUnknown && age < modelWarm {
		// warm replicas here do two parts at once; each part is modelWork
		r.work = append(r.work, m.now)
		recent := 0
		for _, at := range r.work {
			if at > m.now-modelTip {
				recent++
			}
		}
		share := 0.2 + 0.8*max(0, age.Seconds())/modelWarm.Seconds()
		if budget := 3 * 2 * share * modelTip.Seconds() / modelBalance; float64(recent)*modelWork.Seconds() > budget {
			m.bad("rule 4: %d parts to cold replica %d of age %v", recent, to, age)
		}
	}
	p.attempts = append(p.attempts, &modelAttempt{to: to, wait: timeout, at: m.now})
	m.sent = append(m.sent, id)
}

func (m *model) CancelAttempt(id RequestID, n AttemptNumber) {
	p := m.parts[id]
	if p == nil || int(n) >= len(p.attempts) || !m.cancel {
		m.bad("cancel of leg %d of %d", n, id)
	}
}

// final books a query's one final answer.
func (m *model) final(id RequestID) *modelQuery {
	q := m.queries[id]
	if q == nil || q.ended {
		m.bad("rule 1: a second final answer for %d, or one for none", id)
	}
	if m.now > q.endAt+modelSlack {
		m.bad("rule 1: %d ends %v late", id, m.now-q.endAt)
	}
	q.ended = true
	return q
}

func (m *model) Complete(id RequestID, whole bool) {
	q := m.final(id)
	got, in := 0.0, 0
	for _, p := range q.parts {
		if p.in {
			got += p.weight
			in++
		}
	}
	need, floor := m.need[q.track], m.floor[q.track]
	if q.step == 1 {
		if floor >= need {
			floor = 1
		}
		need = 1
	}
	if got < floor-0.0001 || whole && (got < need-0.0001 || q.step == 1 && !q.wholeStep) {
		m.bad("rule 5: %d answered from %.3f, whole %v, step %d", id, got, whole, q.step)
	}
	if fetch := min(m.fetch[q.track], in-m.uncounted); fetch > 0 && q.step == 0 {
		q.ended, q.step, q.wholeStep, q.parts = false, 1, whole, nil
		m.next = append(m.next, func() { // its parts come in the next batch
			for n := range fetch {
				m.newPart(q, n, 1/float64(fetch))
			}
		})
	}
}

func (m *model) Reject(id RequestID, comeBack time.Duration) {
	q := m.final(id)
	m.turnedBack++
	for _, p := range q.parts {
		for _, l := range p.attempts {
			if m.effects[q.track] == "side_effect" && !(l.done && (l.how == Overloaded || l.how == Unreachable || l.how == NeverSent)) {
				m.bad("rule 2: single-use %d turned back after a leg that may have run", id)
			}
		}
	}
}

func (m *model) Fail(id RequestID) { m.final(id) }

func (m *model) ScheduleWakeup(name string, in time.Duration) { m.wakes = append(m.wakes, m.now+in) }

func (m *model) PollEndpoints() { m.asks = append(m.asks, m.now) }

func (m *model) Broadcast(message []byte) { m.told = append(m.told, message) }

func (m *model) Log(text string) { m.logs = append(m.logs, text) }

func (m *model) newPart(q *modelQuery, shard int, weight float64) {
	m.nextID++
	p := &modelPart{id: m.nextID, of: q, shard: shard, weight: weight}
	q.parts = append(q.parts, p)
	m.parts[p.id] = p
	m.taken = append(m.taken, m.now)
	m.c.SubqueryArrives(m.now, SubqueryArrival{ID: p.id, Query: q.number, Shard: ShardNumber(shard), Weight: weight})
}

// ask hands the module a query of so many parts.
func (m *model) ask(track, parts int, left time.Duration) *modelQuery {
	m.nextID++
	q := &modelQuery{id: m.nextID, number: QueryNumber(m.nextID), track: track, endAt: m.now + left}
	m.queries[q.id] = q
	m.taken = append(m.taken, m.now)
	m.c.QueryArrives(m.now, QueryArrival{ID: q.id, Number: q.number, Class: ClassIndex(track), TimeLeft: left, Subqueries: parts})
	for n := range parts {
		m.newPart(q, m.shard+n, 1/float64(parts))
	}
	return q
}

// end reports how an attempt ended.
func (m *model) end(p *modelPart, n int, how Outcome) {
	l := p.attempts[n]
	l.done, l.how = true, how
	if how == Succeeded && !p.of.ended {
		p.in = true
	}
	m.c.AttemptEnds(m.now, AttemptResult{Subquery: p.id, Attempt: AttemptNumber(n), Outcome: how, Took: m.now - l.at})
}

type out struct {
	p *modelPart
	n int
}

// outs lists the attempts that are out, in a fixed order.
func (m *model) outs() (all []out) {
	for _, id := range slices.Sorted(maps.Keys(m.parts)) {
		for n, l := range m.parts[id].attempts {
			if !l.done {
				all = append(all, out{m.parts[id], n})
			}
		}
	}
	return all
}

// pass lets time go by; wakes come when due, and attempts run out with their queries.
func (m *model) pass(d time.Duration) {
	for end := m.now + d; m.now < end; {
		next := min(end, m.now+50*ms)
		for _, at := range m.wakes {
			next = min(next, max(at, m.now+ms))
		}
		m.now = next
		woken := len(m.wakes)
		m.wakes = slices.DeleteFunc(m.wakes, func(at time.Duration) bool { return at <= m.now })
		if len(m.wakes) < woken {
			m.c.Wakeup(m.now, "look")
			m.turn()
		}
		for _, o := range m.outs() {
			if m.now >= o.p.of.endAt {
				m.end(o.p, o.n, TimedOut)
				m.turn()
			}
		}
		for _, id := range slices.Sorted(maps.Keys(m.queries)) {
			if q := m.queries[id]; !q.ended && m.now > q.endAt+modelSlack {
				m.bad("rule 1: %d got no final answer", id)
			}
		}
	}
}

// FuzzRules runs the model beside the module on generated inputs.
func FuzzRules(f *testing.F) {
	for seed := range uint64(160) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		data := make([]byte, 600)
		for i := range data {
			data[i] = byte(rnd.Uint32())
		}
		data[0] = byte(seed)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		m := newModel(t, int(data[0]))
		for data = data[1:]; len(data) >= 3; data = data[3:] {
			m.step(int(data[0]), int(data[1]), int(data[2]))
		}
		m.pass(4 * time.Second)
	})
}

// step lets one thing happen.
func (m *model) step(what, a, b int) {
	outs := m.outs()
	switch id := m.order[a%len(m.order)]; what % 16 {
	case 0, 1, 2, 3:
		m.shard = a / 4
		m.ask(a%4, 1+b%4, time.Duration(200+b*10)*ms)
	case 4, 5, 6, 7:
		for _, o := range outs[:min(len(outs), 1+b%6)] {
			if m.now-o.p.attempts[o.n].at >= modelWork/2 {
				m.end(o.p, o.n, Succeeded)
			}
		}
	case 8:
		if len(outs) > 0 {
			o := outs[a%len(outs)]
			m.end(o.p, o.n, []Outcome{Failed, Overloaded, TimedOut, Unreachable, ConnectionReset, Cancelled, MalformedReply}[b%7])
		}
	case 9:
		r := m.replicas[id]
		r.life, r.told = []EndpointState{Draining, Removed, Ready}[b%3], m.now
		if r.life == Ready && b%2 == 0 {
			r.started, r.work = m.now-time.Duration(b)*10*ms, nil
		}
		m.tell(false, false, id)
	case 10:
		if b%8 == 0 {
			m.start(uint64(a))
		} else if m.settings["discovery"] == "subscribe" {
			m.c.EndpointPollFailed(m.now)
		}
	case 11:
		for _, q := range slices.Sorted(maps.Keys(m.queries)) {
			if !m.queries[q].ended && int(q)%8 == b%8 {
				m.queries[q].ended = true
				m.c.ClientDisconnects(m.now, q)
			}
		}
	default:
		m.pass(time.Duration(1+b) * ms)
	}
	m.turn()
	m.echo(a, b)
}

// echo hands what was told back as if others told the same: some of it spoilt, some lost, at times all.
func (m *model) echo(a, b int) {
	messages := m.told
	m.told = nil
	for n, message := range messages {
		switch {
		case b%4 == 0 || (a+n)%3 == 0:
			continue
		case (a+n)%7 == 0:
			message[(a+b)%len(message)] ^= byte(1 + b)
		}
		_ = m.c.GossipReceived(m.now, PeerIndex(n%3), message) // one that is spoilt may be refused
	}
}
