package connpool

import (
	"fmt"
	"net"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// A replica starts to drain with one attempt fully written, one partly written and one not started. The last one is
// withdrawn, and no attempt is sent later on another connection, not even the partly written one when its connection
// breaks.
func TestDrainingReplicaGetsNoNewAttempts(t *testing.T) {
	for _, protocol := range protocols {
		host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		complete, conn := host.send("q.1", false)
		host.connUp(conn)
		if protocol == replicaproto.HTTP2 {
			host.pool.StreamLimitChanged(host.now, conn, 2)
		}
		started, _ := host.send("q.2", false)
		waiting, _ := host.send("q.3", false)
		markFullyWritten(complete)
		started.Call.Stage = replicaproto.Begun
		host.listReplica("a:1", protocol, true)
		host.expectOutcomes(complete)
		host.expectOutcomes(started)
		host.expectOutcomes(waiting, scheduler.Overloaded)
		host.endConn(conn, net.ErrClosed)
		host.expectOutcomes(complete, scheduler.ConnectionReset)
		host.expectOutcomes(started, scheduler.Unreachable)
		if host.pool.Send(host.now, host.newAttempt("q.4"), testReplica) || len(host.opened) != 1 {
			t.Errorf("%s: an attempt is sent to a draining replica, or a connection was opened", protocol)
		}
	}
}

// A replica moves to another address, so that another process may be at the old one. An attempt whose writing has not
// begun is sent to the new address. One that was written stays, and the old connection is closed after it.
func TestUnstartedAttemptsFollowReplicaToNewAddress(t *testing.T) {
	for _, protocol := range protocols {
		host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		started, old := host.send("q.1", false)
		waiting, waitingOn := host.send("q.2", false)
		if waitingOn != old {
			t.Fatalf("%s: the attempts are on connections %d and %d, want one", protocol, old, waitingOn)
		}
		markFullyWritten(started)
		host.listReplica("a:2", protocol, false)
		if len(host.opened) != 2 || waiting.conn == nil || waiting.conn.id == old || started.conn.id != old {
			t.Fatalf("%s: connections %v, the unstarted attempt is on %+v", protocol, host.opened, waiting.conn)
		}
		host.connUp(old)
		host.pool.ReplyReceived(host.now, old, started.ID, "q.1", host.now)
		if !host.closed[old] {
			t.Errorf("%s: the connection to the old address is not closed", protocol)
		}
	}
}

// newSharedConn returns a host with a multiplexed connection that has carried one attempt, to a replica that accepts
// maxAttempts concurrent attempts.
func newSharedConn(t *testing.T, maxAttempts int) (*fakeHost, ConnID) {
	limits := Limits{MaxAttemptsPerConn: 4, MaxConns: 9, MaxStreamsPerConn: 100, MaxSharedConns: 1}
	host := newFakeHostFor(t, replicaproto.HTTP2, limits)
	attempt, conn := host.send("q.first", false)
	host.connUp(conn)
	host.pool.StreamLimitChanged(host.now, conn, maxAttempts)
	markFullyWritten(attempt)
	host.reply(conn, attempt)
	return host, conn
}

// A replica lowers its stream limit during a burst, finally to zero. No attempt ends because of that; the waiting
// attempts are sent in order once the limit is raised.
func TestLoweredStreamLimitPreservesOrder(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	var attempts []*Attempt
	for n := range 60 {
		attempt, _ := host.send(fmt.Sprint("q.", n), false)
		attempts = append(attempts, attempt)
	}
	started, unstarted := attempts[:40], attempts[40:]
	markFullyWritten(started...)
	host.pool.StreamLimitChanged(host.now, conn, 3)
	for n, attempt := range attempts {
		if (n < len(started)) != (attempt.conn != nil) || len(host.outcomes[attempt.ID]) > 0 {
			t.Fatalf("attempt %d: on a connection %t, ended %v", n, attempt.conn != nil, host.outcomes[attempt.ID])
		}
	}
	last, _ := host.send("q.more", false)
	host.pool.StreamLimitChanged(host.now, conn, 0)
	for _, attempt := range started {
		host.reply(conn, attempt)
	}
	if len(host.opened) != 1 || unstarted[0].conn != nil {
		t.Error("an attempt is sent although the stream limit is 0")
	}
	host.now += 100 * time.Millisecond
	host.pool.StreamLimitChanged(host.now, conn, 100)
	order := host.written[conn][len(host.written[conn])-21:]
	for n, attempt := range append(unstarted, last) {
		if order[n] != attempt {
			t.Fatalf("position %d in the order of writing is %s", n, order[n].Call.SubqueryID)
		}
	}
}

// A replica accepts no attempts at all for longer than the connect timeout. The attempt that waits for it ends as
// rejected: it was never sent.
func TestWaitingAttemptsAreRejectedWhileStreamLimitIsZero(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	host.pool.StreamLimitChanged(host.now, conn, 0)
	attempt, _ := host.send("q.1", true)
	host.advance(200 * time.Millisecond)
	host.expectOutcomes(attempt)
	host.advance(100 * time.Millisecond)
	host.expectOutcomes(attempt, scheduler.Overloaded)
}

// A replica sends GOAWAY. An attempt whose writing has not begun moves to another connection, but only once. Those
// that were written stay until they are answered, or the replica states that they never ran. Then the connection is
// closed.
func TestGoAwayMovesUnstartedAttemptsOnce(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	answered, _ := host.send("q.1", true)
	refused, _ := host.send("q.2", true)
	markFullyWritten(answered, refused)
	waiting, _ := host.send("q.3", false)
	host.pool.GoingAway(host.now, conn, "NO_ERROR")
	if waiting.conn == nil || waiting.conn.id == conn || host.closed[conn] {
		t.Fatal("the unstarted attempt stays, or the connection is closed with attempts outstanding")
	}
	host.pool.AttemptSettled(host.now, conn, refused.ID, true, host.now)
	host.expectOutcomes(refused, scheduler.Overloaded)
	host.expectOutcomes(answered)
	host.pool.GoingAway(host.now, waiting.conn.id, "NO_ERROR")
	host.expectOutcomes(waiting, scheduler.Overloaded)
	host.reply(conn, answered)
	if !host.closed[conn] {
		t.Error("the connection stays open after its last attempt")
	}
}
