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

// A connection breaks with three attempts on it. The one that was fully written may have run; the others cannot have,
// and are retransmitted on another connection. When that breaks as well they end as never run.
func TestConnectionEndProvesUnwrittenAttemptsNeverRan(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
	complete, first := host.send("q.1", false)
	started, _ := host.send("q.2", false)
	waiting, _ := host.send("q.3", false)
	host.connUp(first)
	complete.Call.Stage, started.Call.Stage = replicaproto.Written, replicaproto.Begun
	host.endConn(first, net.ErrClosed)
	host.expectOutcomes(complete, scheduler.ConnectionReset)
	second := connOf(started)
	if second == 0 || second == first || connOf(waiting) != second || started.Call.Stage != replicaproto.Waiting {
		t.Fatal("attempts that were not fully written are on no other connection")
	}
	host.connUp(second)
	host.endConn(second, net.ErrClosed)
	host.expectOutcomes(started, scheduler.Unreachable)
	host.expectOutcomes(waiting, scheduler.Unreachable)
}

// A connection breaks with two attempts on it that were not fully written. The query of one of them has been answered
// meanwhile: that attempt is not retransmitted, in either protocol.
func TestNoRetransmitEndsAttemptWithItsConnection(t *testing.T) {
	for _, protocol := range protocols {
		host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		finishedQuery, first := host.send("q.1", false)
		openQuery, _ := host.send("q.2", false)
		host.connUp(first)
		finishedQuery.Call.Stage, openQuery.Call.Stage = replicaproto.Begun, replicaproto.Begun
		host.pool.NoRetransmit(finishedQuery)
		host.endConn(first, nil)
		host.expectOutcomes(finishedQuery, scheduler.Unreachable)
		host.expectOutcomes(openQuery)
		finishedMoved := finishedQuery.conn != nil && finishedQuery.conn.id != first
		openMoved := openQuery.conn != nil && openQuery.conn.id != first
		if finishedMoved || !openMoved {
			t.Errorf("%s: the attempt without retransmission is on %v, the other on %v",
				protocol, finishedQuery.conn, openQuery.conn)
		}
	}
}

// A connection was idle for ten seconds, and the next write on it stalls. Like a break, that shows that idle
// connections are dropped somewhere: the idle timeout becomes shorter than that. An attempt whose writing has not
// begun moves to another connection.
func TestStalledWriteAfterIdleShortensIdleTimeout(t *testing.T) {
	limits := Limits{MaxAttemptsPerConn: 8, MaxConns: 9, IdleTimeout: time.Minute}
	host := newFakeHostFor(t, replicaproto.Frames, limits)
	before, conn := host.send("q.1", false)
	host.connUp(conn)
	markFullyWritten(before)
	host.reply(conn, before)
	host.advance(10 * time.Second)
	after, reused := host.send("q.2", false)
	if reused != conn {
		t.Fatal("the attempt is sent on another connection")
	}
	host.pool.WriteFailed(host.now, conn)
	if host.pool.idleTimeout > 5*time.Second || host.pool.avoidIdleUntil <= host.now {
		t.Errorf("the idle timeout is still %v, or idle connections are not avoided", host.pool.idleTimeout)
	}
	if after.conn == nil || after.conn.id == conn {
		t.Error("the unstarted attempt stays on the stalled connection")
	}
}

// A replica stops reading, so that a write on its connection stalls. An attempt whose writing has not begun moves to
// another connection immediately. The stalled connection is closed immediately if no attempt on it can have run. A
// partly written attempt moves once the stalled connection has ended.
func TestUnstartedAttemptsLeaveStalledConnectionAtOnce(t *testing.T) {
	for _, protocol := range protocols {
		for _, mayHaveRun := range []bool{true, false} {
			host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
			first, stalled := host.send("q.1", false)
			started, _ := host.send("q.2", false)
			waiting, _ := host.send("q.3", false)
			host.connUp(stalled)
			first.Call.Stage, started.Call.Stage = replicaproto.Begun, replicaproto.Begun
			if mayHaveRun {
				first.Call.Stage = replicaproto.Written
			}
			host.pool.WriteFailed(host.now, stalled)
			host.expectOutcomes(first)
			host.expectOutcomes(started)
			host.expectOutcomes(waiting)
			if waiting.conn == nil || waiting.conn.id == stalled {
				t.Errorf("%s: the unstarted attempt is on %v", protocol, waiting.conn)
			}
			if host.closed[stalled] == mayHaveRun {
				t.Errorf("%s: an attempt may have run: %t; closed: %t", protocol, mayHaveRun, host.closed[stalled])
			}
			host.endConn(stalled, nil)
			host.expectOutcomes(waiting)
			if started.conn == nil || started.conn.id == stalled {
				t.Errorf("%s: the partly written attempt is on %v", protocol, started.conn)
			}
		}
	}
}

// Something on the network path drops idle connections, so that one breaks on its first use after being idle. The
// idle timeout becomes half of that connection's idle time, but not less than four connect timeouts. It does not change
// if the connection breaks later than that, has had a reply since, or was not idle before.
func TestBreakAfterIdleShortensIdleTimeout(t *testing.T) {
	limits := Limits{MaxAttemptsPerConn: 8, MaxConns: 9, IdleTimeout: 15 * time.Second}
	host := newFakeHostFor(t, replicaproto.Frames, limits)
	for index, step := range []struct {
		idleBefore, took time.Duration
		replied          bool
		want             time.Duration
	}{
		{8 * time.Second, time.Second, false, 15 * time.Second},     // a crash while in use
		{8 * time.Second, time.Millisecond, true, 15 * time.Second}, // a reply was received since
		{0, time.Millisecond, false, 15 * time.Second},              // the connection was not idle before
		{8 * time.Second, time.Millisecond, false, 4 * time.Second}, // dropped while idle
		{time.Second, time.Millisecond, false, time.Second},         // not less than four connect timeouts
	} {
		attempt, id := host.send(fmt.Sprint("q.", index), false)
		conn := attempt.conn
		conn.state, conn.wasEstablished, conn.idleBefore = established, true, step.idleBefore
		markFullyWritten(attempt)
		if step.replied {
			conn.lastReplyAt = host.now + 1
		}
		host.now += step.took
		host.endConn(id, net.ErrClosed)
		if host.pool.idleTimeout != step.want {
			t.Errorf("%+v: idle timeout %v", step, host.pool.idleTimeout)
		}
	}
}

// An idle connection breaks on its next use while others to its replica are up. That does not count as the replica's
// death, and the next non-idempotent attempt is sent on a new connection. When that breaks too and the replica has
// closed the others, the replica is dead.
func TestBrokenIdleConnectionIsNotReplicaDeath(t *testing.T) {
	limits := Limits{MaxAttemptsPerConn: 1, MaxConns: 9, IdleTimeout: time.Minute}
	host := newFakeHostFor(t, replicaproto.Frames, limits)
	onFirst, first := host.send("q.1", false)
	onSecond, second := host.send("q.2", false)
	host.connUp(first)
	host.connUp(second)
	markFullyWritten(onFirst, onSecond)
	host.reply(first, onFirst)
	host.reply(second, onSecond)
	host.now += time.Second

	onIdle, idle := host.send("q.3", true)
	if !onIdle.conn.wasEstablished {
		t.Error("an idle connection is not used although none has broken")
	}
	markFullyWritten(onIdle)
	host.endConn(idle, net.ErrClosed)
	host.advance(2 * resetGrace)
	host.expectOutcomes(onIdle, scheduler.MalformedReply)

	onFresh, fresh := host.send("q.4", true)
	if onFresh.conn.wasEstablished {
		t.Error("a non-idempotent attempt is sent on an idle connection")
	}
	host.connUp(fresh)
	markFullyWritten(onFresh)
	host.peerClosed[first], host.peerClosed[second] = true, true // the replica's process is dying
	host.endConn(fresh, net.ErrClosed)
	host.advance(2 * resetGrace)
	host.expectOutcomes(onFresh, scheduler.ConnectionReset)
}

// This machine has no descriptor left for a connection. The attempt on it never ran, and its outcome does not count
// against the replica.
func TestLocalShortageIsNotHeldAgainstReplica(t *testing.T) {
	for _, protocol := range protocols {
		host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 4, MaxConns: 8})
		attempt, conn := host.send("q.1", false)
		if protocol == replicaproto.HTTP2 && conn == 0 {
			conn = host.opened[0]
		}
		host.endConn(conn, fmt.Errorf("%w: simulated", ErrOSResourceShortage))
		if got := host.outcomes[attempt.ID]; len(got) != 1 || got[0] != scheduler.NeverSent {
			t.Errorf("%s: ended %v", protocol, got)
		}
	}
}

// An attempt is refused just before its first byte is written, as its client has disconnected, and then its
// connection breaks. The attempt never ran, is not retransmitted, and ends once.
func TestRefusedAttemptEndsOnce(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 4, MaxConns: 8})
	attempt, conn := host.send("q.1", false)
	host.connUp(conn)
	attempt.Call.Stage = replicaproto.Withheld
	host.pool.WriteRefused(host.now, attempt)
	host.endConn(conn, net.ErrClosed)
	host.advance(time.Second)
	if got := host.outcomes[attempt.ID]; len(got) != 1 || got[0] != scheduler.NeverSent || len(host.opened) != 1 {
		t.Errorf("ended %v, %d connections", got, len(host.opened))
	}
}
