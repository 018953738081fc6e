package connpool

import (
	"fmt"
	"net"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

var protocols = []replicaproto.Protocol{replicaproto.Frames, replicaproto.HTTP2}

// A connection breaks with three attempts on it. The one whose last byte was written may have run; the others cannot
// have, and another connection carries them. When that breaks as well they end as never run.
func TestEndOfAConnectionProvesWhatWasNotWritten(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
	whole, first := host.send("q.1", false)
	begun, _ := host.send("q.2", false)
	waiting, _ := host.send("q.3", false)
	host.up(first)
	whole.Call.Stage, begun.Call.Stage = replicaproto.Written, replicaproto.Begun
	host.breaks(first, net.ErrClosed)
	host.expect(whole, scheduler.ConnectionReset)
	second := connOf(begun)
	if second == 0 || second == first || connOf(waiting) != second || begun.Call.Stage != replicaproto.Waiting {
		t.Fatal("what was not written whole is on no other connection")
	}
	host.up(second)
	host.breaks(second, net.ErrClosed)
	host.expect(begun, scheduler.Unreachable)
	host.expect(waiting, scheduler.Unreachable)
}

// A connection breaks with two attempts on it that were not written whole. The query of one of them has been answered
// meanwhile: no other connection carries it, in either protocol.
func TestUnwantedAttemptEndsWithItsConnection(t *testing.T) {
	for _, protocol := range protocols {
		host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		unwanted, first := host.send("q.1", false)
		wanted, _ := host.send("q.2", false)
		host.up(first)
		unwanted.Call.Stage, wanted.Call.Stage = replicaproto.Begun, replicaproto.Begun
		host.pool.NoRetransmit(unwanted)
		host.breaks(first, nil)
		host.expect(unwanted, scheduler.Unreachable)
		host.expect(wanted)
		unwantedMoved := unwanted.conn != nil && unwanted.conn.id != first
		wantedMoved := wanted.conn != nil && wanted.conn.id != first
		if unwantedMoved || !wantedMoved {
			t.Errorf("%s: the unwanted is on %v, the other on %v", protocol, unwanted.conn, wanted.conn)
		}
	}
}

// A connection was idle for ten seconds, and the next write on it stalls. That shows as well as a break that idle
// connections get lost: from then on none is idle for as long. What was not begun leaves it.
func TestWriteThatStallsAfterIdlenessShortensTheIdleTimeout(t *testing.T) {
	limits := Limits{MaxAttemptsPerConn: 8, MaxConns: 9, IdleTimeout: time.Minute}
	host := newFakeHostFor(t, replicaproto.Frames, limits)
	before, conn := host.send("q.1", false)
	host.up(conn)
	writtenWhole(before)
	host.reply(conn, before)
	host.advance(10 * time.Second)
	after, reused := host.send("q.2", false)
	if reused != conn {
		t.Fatal("it goes on another connection")
	}
	host.pool.WriteFailed(host.now, conn)
	if host.pool.idleTimeout > 5*time.Second || host.pool.distrustIdleUntil <= host.now {
		t.Errorf("connections may be idle for %v", host.pool.idleTimeout)
	}
	if after.conn == nil || after.conn.id == conn {
		t.Error("what was not begun stays")
	}
}

// A replica stops reading, so that a write on its connection stalls. What was not begun goes on another connection at
// once. The stalled one is closed at once if nothing on it can have run; what was begun then moves as well.
func TestConnectionWhoseWritesStallIsLeftAtOnce(t *testing.T) {
	for _, protocol := range protocols {
		for _, mayHaveRun := range []bool{true, false} {
			host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
			first, stalled := host.send("q.1", false)
			begun, _ := host.send("q.2", false)
			waiting, _ := host.send("q.3", false)
			host.up(stalled)
			first.Call.Stage, begun.Call.Stage = replicaproto.Begun, replicaproto.Begun
			if mayHaveRun {
				first.Call.Stage = replicaproto.Written
			}
			host.pool.WriteFailed(host.now, stalled)
			host.expect(first)
			host.expect(begun)
			host.expect(waiting)
			if waiting.conn == nil || waiting.conn.id == stalled {
				t.Errorf("%s: what was not begun is on %v", protocol, waiting.conn)
			}
			if host.closed[stalled] == mayHaveRun {
				t.Errorf("%s: with one that may have run %t it is closed %t", protocol, mayHaveRun, host.closed[stalled])
			}
			host.breaks(stalled, nil)
			host.expect(waiting)
			if begun.conn == nil || begun.conn.id == stalled {
				t.Errorf("%s: what was not written whole is on %v", protocol, begun.conn)
			}
		}
	}
}

// Something between drops idle connections, so that one breaks at its first use after being idle. The idle timeout
// gets half of what that one was idle for, but no less than four connect timeouts. A connection that breaks in the
// midst of work, after a reply, or that was not idle before, teaches nothing.
func TestIdleTimeoutFollowsConnectionsThatBreakAfterIdleness(t *testing.T) {
	limits := Limits{MaxAttemptsPerConn: 8, MaxConns: 9, IdleTimeout: 15 * time.Second}
	host := newFakeHostFor(t, replicaproto.Frames, limits)
	for n, step := range []struct {
		idleBefore, took time.Duration
		replied          bool
		want             time.Duration
	}{
		{8 * time.Second, time.Second, false, 15 * time.Second},     // a crash in the midst of work
		{8 * time.Second, time.Millisecond, true, 15 * time.Second}, // it had replied since
		{0, time.Millisecond, false, 15 * time.Second},              // it was not idle before
		{8 * time.Second, time.Millisecond, false, 4 * time.Second}, // dropped while it was idle
		{time.Second, time.Millisecond, false, time.Second},         // never under four connect timeouts
	} {
		attempt, id := host.send(fmt.Sprint("q.", n), false)
		conn := attempt.conn
		conn.state, conn.wasEstablished, conn.idleBefore = established, true, step.idleBefore
		writtenWhole(attempt)
		if step.replied {
			conn.lastReplyAt = host.now + 1
		}
		host.now += step.took
		host.breaks(id, net.ErrClosed)
		if host.pool.idleTimeout != step.want {
			t.Errorf("%+v: %v", step, host.pool.idleTimeout)
		}
	}
}

// An idle connection breaks at its next use while others to its replica are up. That is not the replica's death,
// and the next attempt that may not run twice goes on a new connection. When that breaks too and the replica has
// closed the others, the replica is dead.
func TestBrokenIdleConnectionIsNoDeathAndMakesOthersDistrusted(t *testing.T) {
	limits := Limits{MaxAttemptsPerConn: 1, MaxConns: 9, IdleTimeout: time.Minute}
	host := newFakeHostFor(t, replicaproto.Frames, limits)
	onFirst, first := host.send("q.1", false)
	onSecond, second := host.send("q.2", false)
	host.up(first)
	host.up(second)
	writtenWhole(onFirst, onSecond)
	host.reply(first, onFirst)
	host.reply(second, onSecond)
	host.now += time.Second

	onIdle, idle := host.send("q.3", true)
	if !onIdle.conn.wasEstablished {
		t.Error("an idle connection is not used though none has broken")
	}
	writtenWhole(onIdle)
	host.breaks(idle, net.ErrClosed)
	host.advance(2 * resetGrace)
	host.expect(onIdle, scheduler.MalformedReply)

	onFresh, fresh := host.send("q.4", true)
	if onFresh.conn.wasEstablished {
		t.Error("a non-idempotent attempt goes on an idle connection")
	}
	host.up(fresh)
	writtenWhole(onFresh)
	host.peerClosed[first], host.peerClosed[second] = true, true // its process is dying
	host.breaks(fresh, net.ErrClosed)
	host.advance(2 * resetGrace)
	host.expect(onFresh, scheduler.ConnectionReset)
}

// This machine has no descriptor left for a connection. What it was to carry never ran, and that does not count
// against the replica.
func TestShortageCountsAgainstNoReplica(t *testing.T) {
	for _, protocol := range protocols {
		host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 4, MaxConns: 8})
		attempt, conn := host.send("q.1", false)
		if protocol == replicaproto.HTTP2 && conn == 0 {
			conn = host.opened[0]
		}
		host.breaks(conn, fmt.Errorf("%w: as if", ErrShortage))
		if got := host.outcomes[attempt.ID]; len(got) != 1 || got[0] != scheduler.NeverSent {
			t.Errorf("%s: ended %v", protocol, got)
		}
	}
}

// An attempt is refused as it is about to be written, as its client has left, and then its connection breaks. It
// never ran, goes on no other connection, and ends once.
func TestRefusedAttemptEndsOnce(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 4, MaxConns: 8})
	attempt, conn := host.send("q.1", false)
	host.up(conn)
	attempt.Call.Stage = replicaproto.Withheld
	host.pool.WriteRefused(host.now, attempt)
	host.breaks(conn, net.ErrClosed)
	host.advance(time.Second)
	if got := host.outcomes[attempt.ID]; len(got) != 1 || got[0] != scheduler.NeverSent || len(host.opened) != 1 {
		t.Errorf("ended %v, %d connections", got, len(host.opened))
	}
}
