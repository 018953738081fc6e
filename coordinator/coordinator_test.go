package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/decide"
	"terntray/internal/protocol"
)

// The same settings as the simulator words them and as they stand in a configuration.
const pairs = "balancers=3\tbounds.connectTimeout=250000\tbounds.cpuUsPerRequest=0.0\tbounds.mayCancel=true\t" +
	"bounds.retryAfter=false\tdiscovery=automatic\tfamilyInfo.cells=2\tfamilyInfo.classFetch=0,0\t" +
	"familyInfo.classNeed=1.0,0.5\tfamilyInfo.ranges=24\tfamilyInfo.span=1\tkinds=std_2core\tlanes.count=2\t" +
	"lanes.0.aim=2500000\tlanes.0.deadline=6000000\tlanes.0.effect=pure\tlanes.0.name=look\tlanes.1.aim=1500000\t" +
	"lanes.1.deadline=3000000\tlanes.1.effect=side_effect\tlanes.1.name=claim\torgs.count=1\torgs.0.name=a_b\t" +
	"orgs.0.share=0.47\treport.fields=\tzone=0\tzones=west,east"

const nested = `{"balancers":3,"bounds":{"connectTimeout":250000,"cpuUsPerRequest":0.0,"mayCancel":true,"retryAfter":false},
"discovery":"automatic","familyInfo":{"cells":2,"classFetch":[0,0],"classNeed":[1.0,0.5],"ranges":24,"span":1},"kinds":["std 2core"],
"lanes":[{"aim":2500000,"deadline":6000000,"effect":"pure","name":"look"},
{"aim":1500000,"deadline":3000000,"effect":"side_effect","name":"claim"}],
"orgs":[{"name":"a,b","share":0.47}],"report":{"fields":[]},"zone":0,"zones":["west","east"]}`

func TestSettingsReachTheModuleAsTheSimulatorWordsThem(t *testing.T) {
	want := map[string]string{}
	for pair := range strings.SplitSeq(pairs, "\t") {
		name, value, _ := strings.Cut(pair, "=")
		want[name] = value
	}
	got, err := Flatten([]byte(nested))
	if err != nil || !maps.Equal(got, want) {
		t.Errorf("%v\n%v\nwant %v", err, got, want)
	}
	for _, bad := range []string{"", "{", "[]", "{} {}"} {
		if _, err := Flatten([]byte(bad)); err == nil {
			t.Errorf("%q passes for settings", bad)
		}
	}
}

func deployment(t *testing.T, targets ...protocol.Target) *Deployment {
	settings, err := Flatten([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	return &Deployment{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: "8c1f", Nested: json.RawMessage(nested),
		Known: protocol.Listing{All: true, Targets: targets}, settings: settings}
}

func made(t *testing.T, targets ...protocol.Target) *Coordinator {
	c, err := New(deployment(t, targets...), log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestTimersGoInOrderAndAlikeOnesOnce(t *testing.T) {
	c := newTurns()
	var got []string
	add := func(in time.Duration, name string) { c.after(in, name, func() { got = append(got, name) }) }
	for _, in := range []time.Duration{3, 1, 2, 1, 3} {
		add(in*time.Millisecond, fmt.Sprint(int(in)))
	}
	add(time.Hour, "never")
	c.callOff(c.after(time.Millisecond, "", func() { got = append(got, "called off") }))
	time.Sleep(4 * time.Millisecond)
	if c.turn(func() {}, func() {}); fmt.Sprint(got) != "[1 2 3]" || len(c.timers) != 1 {
		t.Errorf("%v went, %d wait", got, len(c.timers))
	}
}

// What is read at the end of a standstill may have come at its start.
func TestRequestsReadAfterAStandstillCountFromItsStart(t *testing.T) {
	c := newTurns()
	c.born = time.Now().Add(-10 * time.Second)
	c.noteStandstill(9900 * time.Millisecond)
	if read := c.since(time.Now()); c.cameAt(read) != 9900*time.Millisecond {
		t.Errorf("read at %v, came at %v", read, c.cameAt(read))
	}
	for _, read := range []time.Duration{9 * time.Second, c.stoodTo + time.Second} {
		if c.cameAt(read) != read {
			t.Errorf("read at %v, came at %v", read, c.cameAt(read))
		}
	}
	d := newTurns()
	d.noteStandstill(d.since(time.Now()))
	if d.stoodTo != 0 {
		t.Error("a turn in time counts as a standstill")
	}
}

// cutOff is a connection that takes so many bytes and then breaks; its link ends with the first write.
type cutOff struct {
	net.Conn
	room int
	of   *link
}

func (c *cutOff) Write(b []byte) (int, error) {
	c.of.mu.Lock()
	c.of.ended = true
	c.of.mu.Unlock()
	if len(b) > c.room {
		return c.room, net.ErrClosed
	}
	c.room -= len(b)
	return len(b), nil
}

// Of several frames in one write, those whose last byte went may have run; the others never did.
func TestFramesCutOffNeverRan(t *testing.T) {
	c := made(t)
	r := c.fleet.named("s-a")
	q := &retrieval{query: &protocol.Query{Text: []byte("text")}}
	frameSize := len(protocol.AppendCall(nil, protocol.CallPart{ID: "q.0", WaitMS: 1, Text: q.query.Text}))
	for room, want := range map[int]int{0: 0, frameSize - 1: 0, frameSize: 1, 2*frameSize + 3: 2, 3 * frameSize: 3} {
		k := newLink(c, r)
		k.up = true
		for n := range 3 {
			p := &part{id: decide.RequestID(n), of: q, shard: n, wire: protocol.PartID("q", n)}
			l := &leg{part: p, link: k, waitMS: 1}
			p.legs = []*leg{l}
			k.out = append(k.out, l)
			k.queueUp(frame{leg: l})
		}
		legs := k.out
		far, _ := net.Pipe()
		k.write(&cutOff{far, room, k})
		c.counts.Outcomes = [9]int{}
		c.linkEnded(k, net.ErrClosed, 0)
		if got := c.counts.Outcomes; got[decide.Reset] != want || got[decide.Unreachable] != 3-want {
			t.Errorf("room for %d bytes: %v, want %d legs that may have run", room, got, want)
		}
		if !legs[0].over || len(k.out) > 0 {
			t.Error("legs are left on a connection that has ended")
		}
	}
}

// A frame is not written to a connection that the far side has closed; another connection carries its leg, and the
// replica does not count as unreachable.
func TestLegOnAConnectionThatWasClosedGoesOnAnother(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, _ := l.Accept()
	far.Close()
	for end := time.Now().Add(10 * time.Second); !hasEnded(near) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c := made(t)
	defer c.fleet.stop()
	r := c.fleet.named("s-a")
	r.addr = l.Addr().String()
	k := newLink(c, r)
	k.up = true
	p := &part{of: &retrieval{query: &protocol.Query{Text: []byte("text")}}, wire: "q.1"}
	a := &leg{part: p, link: k, waitMS: 1}
	p.legs, k.out = []*leg{a}, []*leg{a}
	k.queueUp(frame{leg: a})
	k.write(near)
	c.linkEnded(k, io.EOF, 0)
	if a.over || a.link == k || a.link == nil || len(a.link.queue) != 1 || c.counts.Outcomes != [9]int{} {
		t.Errorf("the leg is over: %t, outcomes %v", a.over, c.counts.Outcomes)
	}
	c.linkEnded(a.link, io.EOF, 0)
	if !a.over || c.counts.Outcomes[decide.Unreachable] != 1 {
		t.Errorf("a second connection that fails: outcomes %v", c.counts.Outcomes)
	}
}

func TestLegThatWasNotBegunIsTakenBack(t *testing.T) {
	c := made(t)
	k := newLink(c, c.fleet.named("s-a"))
	p := &part{of: &retrieval{query: &protocol.Query{}}, wire: "q.1"}
	a, b := &leg{part: p, link: k}, &leg{part: p, link: k, stage: written}
	k.out = []*leg{a, b}
	k.queueUp(frame{leg: a})
	k.giveUp(a)
	k.giveUp(b)
	if len(k.queue) != 1 || k.queue[0].giveUp != "q.1" || len(k.out) != 1 {
		t.Errorf("queue %v, out %v", k.queue, k.out)
	}
}

// A leg that waits for its connection when the replica is told to drain must not go out after the grace.
func TestLegsNotBegunAreTakenBackAtADrain(t *testing.T) {
	c := made(t)
	r := c.fleet.named("s-a")
	k := newLink(c, r)
	r.links = []*link{k}
	q := &retrieval{query: &protocol.Query{}, cutOff: time.Hour}
	a := &leg{part: &part{of: q, wire: "q.1"}, link: k}
	b := &leg{part: &part{of: q, wire: "q.2"}, link: k, stage: written}
	k.out = []*leg{a, b}
	k.queueUp(frame{leg: a})
	c.list.c = c
	cell := 0
	c.list.tell(&protocol.Listing{Targets: []protocol.Target{{UID: "s-a", Endpoint: "x:1", Cell: &cell, State: protocol.Draining}}}, false)
	if c.turn(func() {}, func() {}); len(k.queue) > 0 || c.counts.Outcomes[decide.TurnedAway] != 1 || b.over {
		t.Errorf("queue %v, outcomes %v", k.queue, c.counts.Outcomes)
	}
}

// Parts with the same id on the wire never share a connection, or an answer could end the wrong leg.
func TestTwoLegsOfOnePartAtOneReplicaAreKeptApart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := made(t)
	defer c.fleet.stop()
	r := c.fleet.named("s-a")
	r.addr = l.Addr().String()
	q := &retrieval{id: 1, query: &protocol.Query{ID: "q"}, cutOff: time.Hour}
	p := &part{id: 2, of: q, wire: "q.1"}
	q.parts, c.parts[2] = []*part{p}, p
	c.Send(2, r.id, 0)
	first := p.legs[0]
	first.link.withdraw(first)
	first.stage = written
	c.Cancel(2, 0)
	c.Send(2, r.id, 0)
	second := p.legs[1]
	if second.link == first.link {
		t.Fatal("both legs are on one connection")
	}
	c.replied(first.link, &protocol.Reply{ID: "q.1", End: protocol.OK}, 0)
	if second.over || p.in {
		t.Error("a late answer of the first leg ended the second")
	}
}

func TestReplicaIDsDependOnTheUIDAlone(t *testing.T) {
	a, b := made(t), made(t)
	a.fleet.named("s-x")
	if a.fleet.named("s-a").id != b.fleet.named("s-a").id || a.fleet.named("s-a") != a.fleet.named("s-a") {
		t.Error("ids differ")
	}
	taken := &replica{id: b.fleet.named("s-a").id + 1, uid: "s-other"}
	b.fleet.all[taken.id-1].uid, b.fleet.all[taken.id] = "s-first", taken
	if got := b.fleet.named("s-a"); got.id != taken.id+1 || got.uid != "s-a" {
		t.Errorf("with two ids taken: %+v", got)
	}
}

// Connections that break at the first write after a rest are not left to rest as long again.
func TestRestsGetShorterWhereConnectionsBreakAfterThem(t *testing.T) {
	c := made(t)
	c.fleet.idleLimit = 15 * time.Second
	p := &part{of: &retrieval{query: &protocol.Query{}}, wire: "q.1"}
	breaks := func(rested, took time.Duration, heard bool) time.Duration {
		k := newLink(c, c.fleet.named("s-a"))
		k.up, k.rested = true, rested
		l := &leg{part: p, link: k, stage: written, sentAt: time.Second}
		if k.out = []*leg{l}; heard {
			k.heardAt = 2 * time.Second
		}
		c.now = l.sentAt + took
		c.linkEnded(k, net.ErrClosed, c.now)
		return c.fleet.idleLimit
	}
	for _, step := range []struct {
		rested, took time.Duration
		heard        bool
		want         time.Duration
	}{
		{8 * time.Second, time.Second, false, 15 * time.Second},     // a crash in the midst of work
		{8 * time.Second, time.Millisecond, true, 15 * time.Second}, // it had answered since
		{0, time.Millisecond, false, 15 * time.Second},              // no rest before
		{8 * time.Second, time.Millisecond, false, 4 * time.Second}, // dropped while it rested
		{time.Second, time.Millisecond, false, time.Second},         // never under four connects
	} {
		if got := breaks(step.rested, step.took, step.heard); got != step.want {
			t.Errorf("%+v: %v", step, got)
		}
	}
}

// A client that asks to wait for a day and leaves must not be remembered for as long.
func TestNothingOfARetrievalStaysOnceItsLegsHaveEnded(t *testing.T) {
	cell := 0
	c := made(t, protocol.Target{UID: "s-a", Endpoint: "127.0.0.1:1", State: protocol.Ready, Cell: &cell})
	defer c.fleet.stop()
	c.list.c, c.list.held = c, c.deployment.Known
	c.list.retell()
	near, far := net.Pipe()
	defer far.Close()
	k := newClient(c, near)
	query := &protocol.Query{ID: "q", Track: "look", Deadline: 24 * time.Hour, Parts: []protocol.QueryPart{{Shard: 0, Weight: 1}}}
	c.turn(func() { c.arrives(k, query, c.now) }, c.endTurn)
	if c.counts.Legs != 1 || len(c.timers) < 2 {
		t.Fatalf("%d legs, %d timers", c.counts.Legs, len(c.timers))
	}
	c.turn(func() { c.clientLeaves(k) }, c.endTurn)
	c.turn(func() {}, c.endTurn)
	for _, left := range c.timers {
		if left.due > time.Minute {
			t.Errorf("a timer is left that is due at %v", left.due)
		}
	}
	if len(c.retrievals)+len(c.byQuery)+len(c.parts)+c.held > 0 || c.counts.Left != 1 {
		t.Errorf("left: %d retrievals, %d ids, %d parts, %d held, counts %+v", len(c.retrievals), len(c.byQuery), len(c.parts), c.held, c.counts)
	}
}

// Replicas that are replaced, clients and ids that are new each time leave nothing behind.
func TestNothingGrowsWithWhatHasBeen(t *testing.T) {
	c := made(t)
	defer c.fleet.stop()
	c.list.c = c
	cell, sizes := 0, ""
	for n := range 3000 {
		gone := protocol.Target{UID: fmt.Sprint("s-", n-1), State: protocol.Gone}
		next := protocol.Target{UID: fmt.Sprint("s-", n), Endpoint: "127.0.0.1:1", State: protocol.Ready, Cell: &cell}
		near, far := net.Pipe()
		k := newClient(c, near)
		query := &protocol.Query{ID: fmt.Sprint("q", n), Track: "look", Deadline: time.Second,
			Parts: []protocol.QueryPart{{Shard: 0, Weight: 1}}}
		c.turn(func() {
			c.list.tell(&protocol.Listing{Rev: int64(n), Targets: []protocol.Target{gone, next}}, false)
			c.arrives(k, query, c.now)
		}, c.endTurn)
		c.turn(func() { c.clientLeaves(k) }, c.endTurn)
		for len(c.fleet.all) > 2 { // the last ones' connections have yet to fail
			c.turn(<-c.inbox, c.endTurn)
		}
		near.Close()
		far.Close()
		if n%1000 == 999 {
			now := fmt.Sprint(len(c.retrievals), len(c.byQuery), len(c.parts), len(c.list.held.Targets), len(c.timers) < 10, c.held)
			if sizes == "" {
				sizes = now
			}
			if now != sizes {
				t.Errorf("after %d: %s, before %s", n, now, sizes)
			}
		}
	}
	if c.counts.Legs < 2000 {
		t.Errorf("only %d legs went", c.counts.Legs)
	}
}

// A connection that stays silent while later legs are answered on another gets no further leg.
func TestConnectionThatLaterLegsHavePassedIsInDoubt(t *testing.T) {
	c := made(t)
	r := c.fleet.named("s-a")
	dead, alive := newLink(c, r), newLink(c, r)
	dead.up, alive.up, r.links = true, true, []*link{dead, alive}
	part := func(n int) *part {
		return &part{of: &retrieval{query: &protocol.Query{}}, wire: fmt.Sprint("q.", n)}
	}
	dead.out = []*leg{{part: part(0), link: dead, stage: written, sentAt: time.Second}}
	for n := range mostPassed {
		if dead.doubted {
			t.Fatalf("in doubt after %d", n)
		}
		c.now = time.Duration(n+2) * time.Second
		l := &leg{part: part(n + 1), link: alive, stage: written, sentAt: c.now}
		alive.out = []*leg{l}
		c.parts[l.part.id] = l.part
		c.replied(alive, &protocol.Reply{ID: l.part.wire, End: protocol.OK}, c.now)
	}
	if got := c.fleet.choose(c, r, &leg{part: part(99)}); !dead.doubted || got != alive {
		t.Errorf("in doubt %t, chosen %v", dead.doubted, got == alive)
	}
}

// Few legs share a connection as long as there are descriptors for more.
func TestLegsAreSpreadOverConnections(t *testing.T) {
	c := made(t)
	defer c.fleet.stop()
	r := c.fleet.named("s-a")
	c.fleet.mostLinks = 3
	for n := range 5 * fewLegs {
		l := &leg{part: &part{of: &retrieval{query: &protocol.Query{}}, wire: fmt.Sprint("q.", n)}}
		k := c.fleet.choose(c, r, l)
		k.out = append(k.out, l)
	}
	for _, k := range r.links {
		if len(r.links) != 3 || len(k.out) < fewLegs || len(k.out) > 3*fewLegs {
			t.Errorf("%d connections, one with %d legs", len(r.links), len(k.out))
		}
	}
}

// Once rested connections have broken at their next use, legs that may not run twice go on new ones; and a connection
// that breaks while another to its replica is up is not the replica's death.
func TestRestedConnectionsThatBreakAreNoDeathsAndNotTrusted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := made(t)
	defer c.fleet.stop()
	r := c.fleet.named("s-a")
	r.addr = l.Addr().String()
	up := func() *link {
		k := newLink(c, r)
		if k.conn, err = net.Dial("tcp", r.addr); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { k.conn.Close() })
		k.up, r.links = true, append(r.links, k)
		return k
	}
	part := &part{of: &retrieval{query: &protocol.Query{}}, wire: "q.1"}
	rested, other := up(), up()
	single := &leg{part: part, single: true, stage: written}
	if k := c.fleet.choose(c, r, single); !k.up {
		t.Error("a rested connection is not used though none has broken")
	}
	rested.out, rested.rested = []*leg{{part: part, link: rested, stage: written, sentAt: 1}}, time.Second
	c.linkEnded(rested, net.ErrClosed, 0)
	time.Sleep(2 * deathShows)
	c.turn(func() {}, func() {})
	if got := c.counts.Outcomes; got[decide.Spoilt] != 1 || got[decide.Reset] != 0 {
		t.Errorf("outcomes %v", got)
	}
	fresh := c.fleet.choose(c, r, single)
	if fresh.up {
		t.Error("a single-use leg goes on a rested connection")
	}
	fresh.close()
	other.out = []*leg{{part: part, link: other, stage: written}}
	c.linkEnded(other, net.ErrClosed, 0)
	if got := c.counts.Outcomes; got[decide.Reset] != 1 {
		t.Errorf("outcomes %v once no connection is up", got)
	}
	first, second := up(), up()
	first.out = []*leg{{part: part, link: first, stage: written}}
	c.linkEnded(first, net.ErrClosed, 0)
	second.conn.Close() // the process dies
	second.closed = true
	time.Sleep(2 * deathShows)
	c.turn(func() {}, func() {})
	if got := c.counts.Outcomes; got[decide.Reset] != 2 {
		t.Errorf("outcomes %v of a process whose connections break one after the other", got)
	}
}

// What was given up may still take a place at its replica, until it is answered or its time is over.
func TestLegsGivenUpHoldTheirPlacesOnAConnection(t *testing.T) {
	c := made(t)
	k := newLink(c, c.fleet.named("s-a"))
	for n, stage := range []stage{written, written, waiting} {
		l := &leg{part: &part{of: &retrieval{query: &protocol.Query{}}, wire: fmt.Sprint("q.", n)}, link: k, stage: stage, waitMS: 100}
		k.out = append(k.out, l)
		k.forget(l, false)
	}
	if k.ghosts() != 2 {
		t.Errorf("%d places are held", k.ghosts())
	}
	c.replied(k, &protocol.Reply{ID: "q.0", End: protocol.OK}, 0)
	if k.ghosts() != 1 || c.counts.Late != 1 || k.closed {
		t.Errorf("%d places are held after a late reply, closed %t", k.ghosts(), k.closed)
	}
	if c.now = time.Second; k.ghosts() != 0 {
		t.Error("places are held for ever")
	}
}

// A module that breaks costs what is open, and no more.
func TestBrokenModuleStartsAnew(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cell := 0
	d := deployment(t, protocol.Target{UID: "s-a", Endpoint: l.Addr().String(), State: protocol.Ready, Cell: &cell})
	var lines strings.Builder
	listening := make(chan string, 100)
	c, err := New(d, log.New(writer(func(b []byte) { lines.Write(b); listening <- string(b) }), "", 0))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- c.Serve(ctx) }()
	addr := ""
	for addr == "" {
		_, after, _ := strings.Cut(<-listening, "listen=")
		addr, _, _ = strings.Cut(after, " ")
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	ask := func(id string) {
		body := `{"segments":[{"segment":0,"boost":1}],"text":"x"}`
		fmt.Fprintf(conn, "POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 9\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	ask("q1")
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	c.post(func() { panic("as if") })
	status := make([]byte, 12)
	if _, err := io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 500" {
		t.Errorf("%q, %v", status, err)
	}
	conn.Close()
	stop()
	if err := <-ended; err != nil || c.counts.Broken != 1 || c.counts.Scrapped != 1 || !c.ready.Load() {
		t.Errorf("ended with %v, counts %+v", err, c.counts)
	}
}

type writer func([]byte)

func (w writer) Write(b []byte) (int, error) { w(b); return len(b), nil }
