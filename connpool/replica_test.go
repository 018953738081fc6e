package connpool

import (
	"fmt"
	"net"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// A replica starts to drain with one attempt written, one begun and one waiting. The one that waits is taken back,
// and nothing goes out later by another connection, not even what was begun when its connection breaks.
func TestNothingNewGoesToADrainingReplica(t *testing.T) {
	for _, protocol := range protocols {
		host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		whole, conn := host.send("q.1", false)
		host.up(conn)
		if protocol == replicaproto.HTTP2 {
			host.pool.StreamLimitChanged(host.now, conn, 2)
		}
		begun, _ := host.send("q.2", false)
		waiting, _ := host.send("q.3", false)
		writtenWhole(whole)
		begun.Call.Stage = replicaproto.Begun
		host.list("a:1", protocol, true)
		host.expect(whole)
		host.expect(begun)
		host.expect(waiting, scheduler.Overloaded)
		host.breaks(conn, net.ErrClosed)
		host.expect(whole, scheduler.ConnectionReset)
		host.expect(begun, scheduler.Unreachable)
		if host.pool.Send(host.now, host.newAttempt("q.4"), testReplica) || len(host.opened) != 1 {
			t.Errorf("%s: an attempt goes to a draining replica, or a connection was opened", protocol)
		}
	}
}

// A replica moves to another address; who is at the old one now is not known. What was not begun there goes to the
// new address. What was begun stays, and the old connection is closed after it.
func TestAttemptsFollowAReplicaToItsNewAddress(t *testing.T) {
	for _, protocol := range protocols {
		host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		begun, old := host.send("q.1", false)
		waiting, waitsOn := host.send("q.2", false)
		if waitsOn != old {
			t.Fatalf("%s: on connections %d and %d", protocol, old, waitsOn)
		}
		writtenWhole(begun)
		host.list("a:2", protocol, false)
		if len(host.opened) != 2 || waiting.conn == nil || waiting.conn.id == old || begun.conn.id != old {
			t.Fatalf("%s: connections %v, what was not begun is on %+v", protocol, host.opened, waiting.conn)
		}
		host.up(old)
		host.pool.ReplyReceived(host.now, old, begun.ID, "q.1", host.now)
		if !host.closed[old] {
			t.Errorf("%s: the connection to the old address stays", protocol)
		}
	}
}

// newSharedConn has a multiplexed connection that has carried one attempt, of a replica that takes so many at a time.
func newSharedConn(t *testing.T, maxAttempts int) (*fakeHost, ConnID) {
	limits := Limits{MaxAttemptsPerConn: 4, MaxConns: 9, MaxStreamsPerConn: 100, MaxSharedConns: 1}
	host := newFakeHostFor(t, replicaproto.HTTP2, limits)
	attempt, conn := host.send("q.first", false)
	host.up(conn)
	host.pool.StreamLimitChanged(host.now, conn, maxAttempts)
	writtenWhole(attempt)
	host.reply(conn, attempt)
	return host, conn
}

// A replica lowers its limit in the midst of a burst, at last to nothing. No attempt ends by that; those that wait go
// in the order of their sending once the limit is raised.
func TestLoweredStreamLimitKeepsTheOrder(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	var attempts []*Attempt
	for n := range 60 {
		attempt, _ := host.send(fmt.Sprint("q.", n), false)
		attempts = append(attempts, attempt)
	}
	begun, unbegun := attempts[:40], attempts[40:]
	writtenWhole(begun...)
	host.pool.StreamLimitChanged(host.now, conn, 3)
	for n, attempt := range attempts {
		if (n < len(begun)) != (attempt.conn != nil) || len(host.outcomes[attempt.ID]) > 0 {
			t.Fatalf("attempt %d: on a connection %t, ended %v", n, attempt.conn != nil, host.outcomes[attempt.ID])
		}
	}
	last, _ := host.send("q.more", false)
	host.pool.StreamLimitChanged(host.now, conn, 0)
	for _, attempt := range begun {
		host.reply(conn, attempt)
	}
	if len(host.opened) != 1 || unbegun[0].conn != nil {
		t.Error("an attempt goes although the replica takes none")
	}
	host.now += 100 * time.Millisecond
	host.pool.StreamLimitChanged(host.now, conn, 100)
	order := host.written[conn][len(host.written[conn])-21:]
	for n, attempt := range append(unbegun, last) {
		if order[n] != attempt {
			t.Fatalf("place %d goes to %s", n, order[n].Call.SubqueryID)
		}
	}
}

// A replica takes no attempts at all for longer than a connect timeout. What waits for it ends as rejected: it never
// left.
func TestReplicaThatTakesNothingRejectsWhatWaits(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	host.pool.StreamLimitChanged(host.now, conn, 0)
	attempt, _ := host.send("q.1", true)
	host.advance(200 * time.Millisecond)
	host.expect(attempt)
	host.advance(100 * time.Millisecond)
	host.expect(attempt, scheduler.Overloaded)
}

// A replica sends GOAWAY. What was not begun goes on another connection, but only once; what was begun stays until it
// is answered, or the replica says that it never ran. Then the connection is closed.
func TestConnectionThatGoesAwayIsLeftByWhatWasNotBegun(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	answered, _ := host.send("q.1", true)
	refused, _ := host.send("q.2", true)
	writtenWhole(answered, refused)
	waiting, _ := host.send("q.3", false)
	host.pool.GoingAway(host.now, conn, "NO_ERROR")
	if waiting.conn == nil || waiting.conn.id == conn || host.closed[conn] {
		t.Fatal("what was not begun stays, or the connection is closed under what is outstanding")
	}
	host.pool.AttemptSettled(host.now, conn, refused.ID, true, host.now)
	host.expect(refused, scheduler.Overloaded)
	host.expect(answered)
	host.pool.GoingAway(host.now, waiting.conn.id, "NO_ERROR")
	host.expect(waiting, scheduler.Overloaded)
	host.reply(conn, answered)
	if !host.closed[conn] {
		t.Error("it is kept without attempts")
	}
}
