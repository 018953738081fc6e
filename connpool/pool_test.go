package connpool

import (
	"fmt"
	"net"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// farm is a Host whose connections do what a test says; it keeps a ledger.
type farm struct {
	t        *testing.T
	p        *Pool
	now      time.Duration
	queue    map[ConnID][]*Attempt
	kind     map[ConnID]replicaproto.Protocol
	to       map[ConnID]scheduler.ReplicaID
	open     []ConnID // in order
	shut     map[ConnID]bool
	dead     map[ConnID]bool // the far side has ended it
	ended    map[AttemptID][]scheduler.Outcome
	gave     []AttemptID // the far side was told that they are given up
	pings    map[ConnID]int
	wakes    map[ConnID][]time.Duration
	notes    []EventKind
	attempts AttemptID
	answers  bool // pings
}

func newFarm(t *testing.T, l Limits) *farm {
	f := &farm{t: t, queue: map[ConnID][]*Attempt{}, kind: map[ConnID]replicaproto.Protocol{}, to: map[ConnID]scheduler.ReplicaID{},
		shut: map[ConnID]bool{}, dead: map[ConnID]bool{}, ended: map[AttemptID][]scheduler.Outcome{}, pings: map[ConnID]int{},
		wakes: map[ConnID][]time.Duration{}}
	if l.ConnectTimeout == 0 {
		l.ConnectTimeout = 250 * time.Millisecond
	}
	f.p = New(f, l)
	return f
}

func (f *farm) Open(c ConnID, to scheduler.ReplicaID, _ string, d replicaproto.Protocol) {
	f.open, f.kind[c], f.to[c] = append(f.open, c), d, to
}
func (f *farm) Close(c ConnID)               { f.shut[c] = true }
func (f *farm) Write(c ConnID, l *Attempt)   { f.queue[c] = append(f.queue[c], l) }
func (f *farm) Abandon(_ ConnID, l *Attempt) { f.gave = append(f.gave, l.ID) }
func (f *farm) Ping(c ConnID) {
	if f.pings[c]++; f.answers {
		f.p.BytesReceived(f.now, c, f.now)
	}
}
func (f *farm) PeerOpen(c ConnID) bool               { return !f.dead[c] }
func (f *farm) ReplicaForgotten(scheduler.ReplicaID) {}
func (f *farm) Withdraw(_ ConnID, l *Attempt) bool {
	return l.Call.Stage == replicaproto.Waiting
}
func (f *farm) Stage(_ ConnID, l *Attempt) replicaproto.Stage { return l.Call.Stage }
func (f *farm) ScheduleWakeup(c ConnID, in time.Duration)     { f.wakes[c] = append(f.wakes[c], f.now+in) }
func (f *farm) AttemptEnded(l AttemptID, how scheduler.Outcome, _ time.Duration) {
	f.ended[l] = append(f.ended[l], how)
}
func (f *farm) Record(e Event) {
	f.notes = append(f.notes, e.Kind)
}

func (f *farm) listed(d replicaproto.Protocol) scheduler.ReplicaID {
	f.p.ReplicaListed(f.now, 1, "a:1", d, false)
	return 1
}

func (f *farm) attempt(wire string) *Attempt {
	f.attempts++
	return &Attempt{ID: f.attempts, SentAt: f.now, Call: &replicaproto.Call{Attempt: uint64(f.attempts), SubqueryID: wire, Deadline: f.now + time.Second}}
}

// send sends an attempt and returns it with the connection that carries it, 0 for none.
func (f *farm) send(wire string, single bool) (*Attempt, ConnID) {
	l := f.attempt(wire)
	l.NonIdempotent = single
	if !f.p.Send(f.now, l, 1) {
		f.ended[l.ID] = append(f.ended[l.ID], scheduler.Unreachable)
	}
	if l.conn == nil {
		return l, 0
	}
	return l, l.conn.id
}

func (f *farm) written(attempts ...*Attempt) {
	for _, l := range attempts {
		l.Call.Stage = replicaproto.Written
	}
}

// later lets a time pass, with the wakes that fall into it.
func (f *farm) later(d time.Duration) {
	end := f.now + d
	for {
		next, at := ConnID(0), end
		for _, c := range f.open {
			for _, w := range f.wakes[c] {
				if w <= at && (next == 0 || w < at) {
					next, at = c, w
				}
			}
		}
		if next == 0 {
			f.now = end
			return
		}
		for n, w := range f.wakes[next] {
			if w == at {
				f.wakes[next] = append(f.wakes[next][:n:n], f.wakes[next][n+1:]...)
				break
			}
		}
		f.now = max(f.now, at)
		f.p.Wakeup(f.now, next)
	}
}

func (f *farm) expect(l *Attempt, want ...scheduler.Outcome) {
	f.t.Helper()
	if fmt.Sprint(f.ended[l.ID]) != fmt.Sprint(want) {
		f.t.Errorf("leg %s ended %v, want %v", l.Call.SubqueryID, f.ended[l.ID], want)
	}
}

// Of the attempts on a connection that ended, those whose last byte went may have run; another carries the others, once.
func TestEndOfAConnectionProvesWhatWasNotWritten(t *testing.T) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
	f.listed(replicaproto.Frames)
	a, one := f.send("q.1", false)
	b, _ := f.send("q.2", false)
	c, _ := f.send("q.3", false)
	f.p.ConnUp(f.now, one)
	a.Call.Stage, b.Call.Stage = replicaproto.Written, replicaproto.Begun
	f.p.ConnEnded(f.now, one, net.ErrClosed, f.now)
	f.expect(a, scheduler.ConnectionReset)
	if b.conn == nil || b.conn.id == one || c.conn != b.conn || b.Call.Stage != replicaproto.Waiting {
		t.Fatal("what was not written whole is on no other connection")
	}
	f.p.ConnUp(f.now, b.conn.id)
	f.p.ConnEnded(f.now, b.conn.id, net.ErrClosed, f.now)
	f.expect(b, scheduler.Unreachable)
	f.expect(c, scheduler.Unreachable)
}

// What a connection ends with unwritten goes nowhere else once it is not wanted, whatever its dialect.
func TestLegThatIsNotWantedElsewhereEndsWithItsConnection(t *testing.T) {
	for _, d := range []replicaproto.Protocol{replicaproto.Frames, replicaproto.HTTP2} {
		f := newFarm(t, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		f.listed(d)
		a, one := f.send("q.1", false)
		b, _ := f.send("q.2", false)
		f.p.ConnUp(f.now, one)
		a.Call.Stage, b.Call.Stage = replicaproto.Begun, replicaproto.Begun
		f.p.NoRetransmit(a)
		f.p.ConnEnded(f.now, one, nil, f.now)
		f.expect(a, scheduler.Unreachable)
		f.expect(b)
		if a.conn != nil && a.conn.id != one || b.conn == nil || b.conn.id == one {
			t.Errorf("%s: the one is on %v, the other on %v", d, a.conn, b.conn)
		}
	}
}

// A rested connection that breaks at its next write teaches how long one may rest, also if that shows by the write.
func TestWriteThatFailsAfterARestShortensRests(t *testing.T) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 8, MaxConns: 9, IdleTimeout: time.Minute})
	f.listed(replicaproto.Frames)
	a, one := f.send("q.1", false)
	f.p.ConnUp(f.now, one)
	f.written(a)
	f.p.ReplyReceived(f.now, one, 0, "q.1", f.now)
	f.later(10 * time.Second)
	b, again := f.send("q.2", false)
	if again != one {
		t.Fatal("it goes elsewhere")
	}
	f.p.WriteStalled(f.now, one)
	if f.p.idleTimeout > 5*time.Second || f.p.distrustIdleUntil <= f.now {
		t.Errorf("connections may rest for %v", f.p.idleTimeout)
	}
	if b.conn == nil || b.conn.id == one {
		t.Error("what was not begun stays")
	}
}

// A connection that takes nothing is left at once by what was not begun; it ends at once where nothing on it can have run.
func TestConnectionThatTakesNothingIsLeftAtOnce(t *testing.T) {
	for _, d := range []replicaproto.Protocol{replicaproto.Frames, replicaproto.HTTP2} {
		for _, ran := range []bool{true, false} {
			f := newFarm(t, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
			f.listed(d)
			a, one := f.send("q.1", false)
			b, _ := f.send("q.2", false)
			c, _ := f.send("q.3", false)
			f.p.ConnUp(f.now, one)
			if a.Call.Stage = replicaproto.Begun; ran {
				a.Call.Stage = replicaproto.Written
			}
			b.Call.Stage = replicaproto.Begun
			f.p.WriteStalled(f.now, one)
			f.expect(a)
			f.expect(b)
			f.expect(c)
			if c.conn == nil || c.conn.id == one {
				t.Errorf("%s: what was not begun is on %v", d, c.conn)
			}
			if f.shut[one] == ran {
				t.Errorf("%s: with one that may have run %t it ends %t", d, ran, f.shut[one])
			}
			f.p.ConnEnded(f.now, one, nil, f.now)
			f.expect(c)
			if b.conn == nil || b.conn.id == one {
				t.Errorf("%s: what was not written whole is on %v", d, b.conn)
			}
		}
	}
}

// An attempt that waits when the replica is told to drain must not go out after the grace: not from a connection, not from
// before a far side's limit, and not by a move.
func TestNothingNewGoesToAReplicaThatDrains(t *testing.T) {
	for _, kind := range []replicaproto.Protocol{replicaproto.Frames, replicaproto.HTTP2} {
		f := newFarm(t, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		f.listed(kind)
		a, one := f.send("q.1", false)
		f.p.ConnUp(f.now, one)
		if kind == replicaproto.HTTP2 {
			f.p.StreamLimitChanged(f.now, one, 2)
		}
		b, _ := f.send("q.2", false)
		c, _ := f.send("q.3", false)
		f.written(a)
		b.Call.Stage = replicaproto.Begun
		f.p.ReplicaListed(f.now, 1, "a:1", kind, true)
		f.expect(a)
		f.expect(b)
		f.expect(c, scheduler.Overloaded)
		f.p.ConnEnded(f.now, one, net.ErrClosed, f.now)
		f.expect(a, scheduler.ConnectionReset)
		f.expect(b, scheduler.Unreachable)
		d := f.attempt("q.4")
		if f.p.Send(f.now, d, 1) || len(f.open) != 1 {
			t.Errorf("%s: a leg goes to a replica that drains, or a connection was opened", kind)
		}
	}
}

// Parts with the same id on the wire never share a connection where replies name parts, or an answer could end the wrong attempt.
func TestTwoLegsOfOnePartAtOneReplicaAreKeptApart(t *testing.T) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
	f.listed(replicaproto.Frames)
	a, one := f.send("q.1", false)
	f.p.ConnUp(f.now, one)
	f.written(a)
	f.p.Abandon(f.now, a)
	b, two := f.send("q.1", false)
	if one == two {
		t.Fatal("both legs are on one connection")
	}
	if l, late := f.p.ReplyReceived(f.now, one, 0, "q.1", f.now); l != nil || !late || f.shut[one] {
		t.Error("a late answer of the first leg ended the second")
	}
	if l, _ := f.p.ReplyReceived(f.now, two, 0, "q.1", f.now); l != b {
		t.Error("the second leg's own answer does not end it")
	}
	if f.p.ReplyReceived(f.now, two, 0, "q.9", f.now); !f.shut[two] {
		t.Error("a reply to what is not out is no noise")
	}
}

// Connections that break at the first write after a rest are not left to rest as long again.
func TestRestsGetShorterWhereConnectionsBreakAfterThem(t *testing.T) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 8, MaxConns: 9, IdleTimeout: 15 * time.Second})
	f.listed(replicaproto.Frames)
	for n, step := range []struct {
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
		l, c := f.send(fmt.Sprint("q.", n), false)
		l.conn.state, l.conn.cameUp, l.conn.idleBefore = established, true, step.rested
		f.written(l)
		if step.heard {
			l.conn.lastReplyAt = f.now + 1
		}
		f.now += step.took
		if f.p.ConnEnded(f.now, c, net.ErrClosed, f.now); f.p.idleTimeout != step.want {
			t.Errorf("%+v: %v", step, f.p.idleTimeout)
		}
	}
}

// A connection that stays silent while later attempts are answered on another gets no further attempt.
func TestConnectionThatLaterLegsHavePassedIsInDoubt(t *testing.T) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 1, MaxConns: 2})
	f.listed(replicaproto.Frames)
	first, dead := f.send("q.0", false)
	f.p.ConnUp(f.now, dead)
	f.written(first)
	for n := range maxOvertaken {
		if first.conn.suspect {
			t.Fatalf("in doubt after %d", n)
		}
		f.now += time.Second
		l, c := f.send(fmt.Sprint("q.", n+1), false)
		if !l.conn.cameUp {
			f.p.ConnUp(f.now, c)
		}
		f.written(l)
		f.p.ReplyReceived(f.now, c, 0, l.Call.SubqueryID, f.now)
	}
	if !first.conn.suspect {
		t.Error("it is not in doubt")
	}
}

// Few attempts share a connection as long as there are descriptors for more.
func TestLegsAreSpreadOverConnections(t *testing.T) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 100, MaxConns: 3})
	f.listed(replicaproto.Frames)
	on := map[ConnID]int{}
	for n := range 5 * attemptsBeforeNewConn {
		_, c := f.send(fmt.Sprint("q.", n), false)
		on[c]++
	}
	for c, n := range on {
		if len(on) != 3 || n < attemptsBeforeNewConn || n > 3*attemptsBeforeNewConn {
			t.Errorf("%d connections, %d legs on %d", len(on), n, c)
		}
	}
}

// Once rested connections have broken at their next use, attempts that may not run twice go on new ones; and a connection
// that breaks while another to its replica is up is not the replica's death.
func TestRestedConnectionsThatBreakAreNoDeathsAndNotTrusted(t *testing.T) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 1, MaxConns: 9, IdleTimeout: time.Minute})
	f.listed(replicaproto.Frames)
	rested, one := f.send("q.1", false)
	other, two := f.send("q.2", false)
	for _, c := range []ConnID{one, two} {
		f.p.ConnUp(f.now, c)
	}
	f.written(rested, other)
	f.p.ReplyReceived(f.now, one, 0, "q.1", f.now)
	f.p.ReplyReceived(f.now, two, 0, "q.2", f.now)
	f.now += time.Second
	again, c := f.send("q.3", true)
	if !again.conn.cameUp {
		t.Error("a rested connection is not used though none has broken")
	}
	f.written(again)
	f.p.ConnEnded(f.now, c, net.ErrClosed, f.now)
	f.later(2 * resetGrace)
	f.expect(again, scheduler.MalformedReply)
	fresh, three := f.send("q.4", true)
	if fresh.conn.cameUp {
		t.Error("a single-use leg goes on a rested connection")
	}
	f.p.ConnUp(f.now, three)
	f.written(fresh)
	f.dead[one], f.dead[two] = true, true // its process is dying
	f.p.ConnEnded(f.now, three, net.ErrClosed, f.now)
	f.later(2 * resetGrace)
	f.expect(fresh, scheduler.ConnectionReset)
}

// What was given up may still take a place at its replica, until it is answered or its time is over.
func TestLegsGivenUpHoldTheirPlacesOnAConnection(t *testing.T) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 9, MaxConns: 1})
	f.listed(replicaproto.Frames)
	var attempts []*Attempt
	for n := range 3 {
		l, c := f.send(fmt.Sprint("q.", n), false)
		if n == 0 {
			f.p.ConnUp(f.now, c)
		}
		if n < 2 {
			f.written(l)
		}
		attempts = append(attempts, l)
	}
	c := attempts[0].conn
	for _, l := range attempts {
		f.p.Abandon(f.now, l)
		f.p.Forget(f.now, l)
	}
	if c.abandonedRunning(f.p.now) != 2 || len(f.gave) != 2 {
		t.Errorf("%d places are held, %v were told", c.abandonedRunning(f.p.now), f.gave)
	}
	if _, late := f.p.ReplyReceived(f.now, c.id, 0, "q.0", f.now); !late || c.abandonedRunning(f.p.now) != 1 {
		t.Errorf("%d places are held after a late reply", c.abandonedRunning(f.p.now))
	}
	if f.p.now += time.Second; c.abandonedRunning(f.p.now) != 0 {
		t.Error("places are held for ever")
	}
}

// up opens a shared connection that takes so many.
func shared(t *testing.T, room int) (*farm, ConnID) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 4, MaxConns: 9, MaxStreamsPerConn: 100, MaxSharedConns: 1})
	f.listed(replicaproto.HTTP2)
	l, c := f.send("q.first", false)
	f.p.ConnUp(f.now, c)
	f.p.StreamLimitChanged(f.now, c, room)
	f.written(l)
	f.p.ReplyReceived(f.now, c, l.ID, "", f.now)
	return f, c
}

// A limit lowered in mid-burst, to nothing even, refuses nothing; what waits goes in order once it is raised.
func TestLimitLoweredInMidBurstKeepsTheOrder(t *testing.T) {
	f, c := shared(t, 100)
	var attempts []*Attempt
	for n := range 60 {
		l, _ := f.send(fmt.Sprint("q.", n), false)
		attempts = append(attempts, l)
	}
	f.written(attempts[:40]...)
	f.p.StreamLimitChanged(f.now, c, 3)
	for n, l := range attempts {
		if (n < 40) != (l.conn != nil) || len(f.ended[l.ID]) > 0 {
			t.Fatalf("leg %d: on a connection %t, ended %v", n, l.conn != nil, f.ended[l.ID])
		}
	}
	more, _ := f.send("q.more", false)
	f.p.StreamLimitChanged(f.now, c, 0)
	for _, l := range attempts[:40] {
		f.p.ReplyReceived(f.now, c, l.ID, "", f.now)
	}
	if len(f.open) != 1 || attempts[40].conn != nil {
		t.Error("a leg goes although the far side takes none")
	}
	f.now += 100 * time.Millisecond
	f.p.StreamLimitChanged(f.now, c, 100)
	order := f.queue[c][len(f.queue[c])-21:]
	for n, l := range append(attempts[40:], more) {
		if order[n] != l {
			t.Fatalf("place %d goes to %s", n, order[n].Call.SubqueryID)
		}
	}
}

// A far side that takes nothing for as long as a connection may take to come up turns away what waits: it never left.
func TestFarSideThatTakesNothingTurnsAway(t *testing.T) {
	f, c := shared(t, 100)
	f.p.StreamLimitChanged(f.now, c, 0)
	l, _ := f.send("q.1", true)
	f.later(200 * time.Millisecond)
	f.expect(l)
	f.later(100 * time.Millisecond)
	f.expect(l, scheduler.Overloaded)
}

// GOAWAY: what was not begun goes on another connection, once; what is out stays until it is answered or told of.
func TestConnectionThatGoesAwayIsLeftByWhatWasNotBegun(t *testing.T) {
	f, c := shared(t, 100)
	out, _ := f.send("q.1", true)
	above, _ := f.send("q.2", true)
	f.written(out, above)
	waits, _ := f.send("q.3", false)
	f.p.GoingAway(f.now, c, "NO_ERROR")
	if waits.conn == nil || waits.conn.id == c || f.shut[c] {
		t.Fatal("what was not begun stays, or the connection is closed under what is out")
	}
	f.p.AttemptSettled(f.now, c, above.ID, true, f.now)
	f.expect(above, scheduler.Overloaded)
	f.expect(out)
	f.p.GoingAway(f.now, waits.conn.id, "NO_ERROR")
	f.expect(waits, scheduler.Overloaded)
	f.p.ReplyReceived(f.now, c, out.ID, "", f.now)
	if !f.shut[c] {
		t.Error("it is kept without legs")
	}
}

// A silent connection is asked for a sign of life, and told within the time that a connection may take to come up; a slow
// box answers the ping and keeps its attempts.
func TestPingTellsASilentConnectionFromASlowBox(t *testing.T) {
	f, c := shared(t, 100)
	f.now += time.Second
	l, _ := f.send("q.1", false)
	f.written(l)
	for range 5 {
		f.later(130 * time.Millisecond)
		f.p.BytesReceived(f.now, c, f.now) // the box is slow
	}
	if f.pings[c] < 4 || f.shut[c] {
		t.Fatalf("%d pings, shut %t", f.pings[c], f.shut[c])
	}
	if f.later(251 * time.Millisecond); !f.shut[c] {
		t.Fatal("a silent connection is kept")
	}
	f.p.ConnEnded(f.now, c, net.ErrClosed, f.now)
	f.expect(l, scheduler.MalformedReply)
}

// Cancels in a rush are paced, and what is not told yet holds its place.
func TestCancelsInARushArePaced(t *testing.T) {
	f, c := shared(t, 100)
	f.answers = true
	var attempts []*Attempt
	for n := range 100 {
		l, _ := f.send(fmt.Sprint("q.", n), false)
		f.written(l)
		attempts = append(attempts, l)
	}
	for _, l := range attempts {
		f.p.Abandon(f.now, l)
		f.p.Forget(f.now, l)
	}
	if told := len(f.gave); told < int(cancelBurst) || told > int(cancelBurst)+1 || len(attempts[99].conn.outstanding) != 100-told {
		t.Errorf("%d told, %d places held", told, len(attempts[99].conn.outstanding))
	}
	f.later(time.Second)
	if told := len(f.gave); told < 85 || told > 92 {
		t.Errorf("%d told after a second", told)
	}
	f.later(time.Second)
	if len(f.gave) != 100 || len(f.p.conns[c].outstanding) != 0 {
		t.Errorf("%d told in the end", len(f.gave))
	}
}

// What was not begun for a replica's old address goes to the new one. Guards against: parts that reach whoever has that
// address now. What was begun there stays, and the connection ends with it.
func TestLegsFollowAReplicaToItsNewAddress(t *testing.T) {
	for _, d := range []replicaproto.Protocol{replicaproto.Frames, replicaproto.HTTP2} {
		f := newFarm(t, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		f.listed(d)
		a, old := f.send("q.1", false)
		b, at := f.send("q.2", false)
		if at != old {
			t.Fatalf("%s: on connections %d and %d", d, old, at)
		}
		f.written(a)
		f.p.ReplicaListed(f.now, 1, "a:2", d, false)
		if len(f.open) != 2 || b.conn == nil || b.conn.id == old || a.conn.id != old {
			t.Fatalf("%s: connections %v, the leg that was not begun is on %+v", d, f.open, b.conn)
		}
		f.p.ConnUp(f.now, old)
		if f.p.ReplyReceived(f.now, old, a.ID, "q.1", f.now); !f.shut[old] {
			t.Errorf("%s: the connection to the old address stays", d)
		}
	}
}

// What a connection was to carry that this machine could not open never ran, and does not count against its replica.
func TestShortageCountsAgainstNobody(t *testing.T) {
	for _, d := range []replicaproto.Protocol{replicaproto.Frames, replicaproto.HTTP2} {
		f := newFarm(t, Limits{MaxAttemptsPerConn: 4, MaxConns: 8})
		f.listed(d)
		l, conn := f.send("q.1", false)
		if d == replicaproto.HTTP2 && conn == 0 {
			conn = f.open[0]
		}
		f.p.ConnEnded(f.now, conn, fmt.Errorf("%w: as if", ErrShortage), f.now)
		if got := f.ended[l.ID]; len(got) != 1 || got[0] != scheduler.NeverSent {
			t.Errorf("%s: ended %v", d, got)
		}
	}
}

// What is refused as it is about to be written never ran, goes nowhere else, and ends once.
func TestWithheldLegEndsOnce(t *testing.T) {
	f := newFarm(t, Limits{MaxAttemptsPerConn: 4, MaxConns: 8})
	f.listed(replicaproto.Frames)
	l, conn := f.send("q.1", false)
	f.p.ConnUp(f.now, conn)
	l.Call.Stage = replicaproto.Withheld
	f.p.WriteRefused(f.now, l)
	f.p.ConnEnded(f.now, conn, net.ErrClosed, f.now)
	f.later(time.Second)
	if got := f.ended[l.ID]; len(got) != 1 || got[0] != scheduler.NeverSent || len(f.open) != 1 {
		t.Errorf("ended %v, %d connections", got, len(f.open))
	}
}
