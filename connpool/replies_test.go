package connpool

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// withheld returns a host with a connection on which the reply to a fully written attempt is withheld.
func withheld(t *testing.T, protocol replicaproto.Protocol, limits Limits) (*fakeHost, *Attempt, ConnID) {
	t.Helper()
	host := newFakeHostFor(t, protocol, limits)
	host.answersPings = true
	attempt, conn := host.send("q.1", false)
	host.connUp(conn)
	markFullyWritten(attempt)
	if host.withholdReply(conn, attempt) != attempt {
		t.Fatal("the reply is not taken for the attempt's")
	}
	return host, attempt, conn
}

var bothProtocols = []replicaproto.Protocol{replicaproto.Frames, replicaproto.HTTP2}

// A connection breaks while a reply is withheld. The replica had replied, so the query did not crash it.
func TestResetBehindAWithheldReplyIsNoCrash(t *testing.T) {
	for _, protocol := range bothProtocols {
		host, attempt, conn := withheld(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		host.endConn(conn, errors.New("reset"))
		host.advance(2 * resetGrace)
		host.expectOutcomes(attempt, scheduler.MalformedReply)
	}
}

// The pool closes a connection that it takes for dead, for a ping without an answer or for malformed input behind a reply.
// A reply that was read before is released at the end of the connection, and counts.
func TestReplyReadBeforeItsConnectionFailedCounts(t *testing.T) {
	for _, protocol := range bothProtocols {
		host, attempt, conn := withheld(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		unanswered, other := host.send("q.2", false)
		if other != conn {
			t.Fatalf("%s: the second attempt is on another connection", protocol)
		}
		markFullyWritten(unanswered)
		host.pool.MalformedReceived(host.now, conn, errors.New("a message stalled"))
		if ended, _ := host.reply(conn, attempt); ended != attempt {
			t.Errorf("%s: the reply that was read before does not count", protocol)
		}
		if ended, _ := host.reply(conn, unanswered); ended != nil {
			t.Errorf("%s: a reply that was not read before counts", protocol)
		}
		host.endConn(conn, net.ErrClosed)
		host.expectOutcomes(attempt)
		host.expectOutcomes(unanswered, scheduler.MalformedReply)
	}
}

// A message stalls in the middle. The replica may only stand still: the attempt on the connection goes on, and the next one
// uses another connection.
func TestConnectionWithAStalledMessageGetsNoNewAttempts(t *testing.T) {
	for _, protocol := range bothProtocols {
		host := newFakeHostFor(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		waiting, stalled := host.send("q.1", false)
		host.connUp(stalled)
		markFullyWritten(waiting)
		host.pool.MessageStalled(stalled)
		if _, next := host.send("q.2", false); next == stalled {
			t.Errorf("%s: the next attempt waits behind the stalled message", protocol)
		}
		if ended, _ := host.reply(stalled, waiting); ended != waiting || !host.closed[stalled] {
			t.Errorf("%s: the attempt has not ended by its reply, or its connection is open", protocol)
		}
	}
}

// A client leaves while a reply is withheld. There is nothing to cancel, and the connection is as good as before.
func TestAttemptWithAWithheldReplyIsNotCancelled(t *testing.T) {
	for _, protocol := range bothProtocols {
		host, attempt, conn := withheld(t, protocol, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
		host.advance(300 * time.Millisecond)
		host.pool.Abandon(host.now, attempt)
		if len(host.abandoned) > 0 {
			t.Errorf("%s: cancelled: %v", protocol, host.abandoned)
		}
		id := attempt.ID
		if protocol == replicaproto.Frames {
			id = 0 // replies name only the subquery
		}
		if _, late := host.pool.ReplyReceived(host.now, conn, id, attempt.Call.SubqueryID, host.now); !late {
			t.Errorf("%s: the reply is not known once it is confirmed", protocol)
		}
		if _, next := host.send("q.2", false); next != conn {
			t.Errorf("%s: the next attempt is on connection %d, want %d", protocol, next, conn)
		}
	}
}

// A replica is done with an attempt whose reply is withheld: the attempt takes no slot, and its connection is not silent
// while the replica answers later attempts on others.
func TestWithheldReplyTakesNoSlot(t *testing.T) {
	host, _, conn := withheld(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 1, MaxConns: 9})
	second, secondConn := host.send("q.2", false)
	if secondConn != conn {
		t.Fatalf("the second attempt is on connection %d, want %d", secondConn, conn)
	}
	markFullyWritten(second)
	host.reply(conn, second)
	for n := range maxOvertaken {
		host.advance(time.Millisecond)
		first, firstConn := host.send(fmt.Sprint("q.a", n), false)
		other, otherConn := host.send(fmt.Sprint("q.b", n), false)
		for _, sent := range []struct {
			attempt *Attempt
			conn    ConnID
		}{{first, firstConn}, {other, otherConn}} {
			host.connUp(sent.conn)
			markFullyWritten(sent.attempt)
			host.reply(sent.conn, sent.attempt)
		}
	}
	if host.pool.conns[conn].suspect {
		t.Error("the connection is suspect")
	}
}

// A non-idempotent attempt has its connection to itself, but a replica that has replied is done: the next one may follow on
// that connection, where its reply confirms the withheld one. It does not while malformed input would spoil both.
func TestNonIdempotentAttemptsFollowWithheldReplies(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
	first, conn := host.send("q.1", true)
	host.connUp(conn)
	markFullyWritten(first)
	if _, other := host.send("q.2", true); other == conn {
		t.Error("two non-idempotent attempts share a connection")
	}
	host.withholdReply(conn, first)
	if _, next := host.send("q.3", true); next != conn {
		t.Errorf("the next attempt is on connection %d, want %d", next, conn)
	}
	if _, other := host.send("q.4", true); other == conn {
		t.Error("two non-idempotent attempts share a connection behind a withheld reply")
	}
}

// Malformed input was received lately, so a withheld reply may well be malformed too: a non-idempotent attempt keeps away.
func TestNonIdempotentAttemptsAvoidWithheldRepliesAfterMalformedInput(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
	first, conn := host.send("q.1", true)
	_, spoilt := host.send("q.2", true)
	host.connUp(conn)
	host.connUp(spoilt)
	markFullyWritten(first)
	host.withholdReply(conn, first)
	host.pool.MalformedReceived(host.now, spoilt, errors.New("malformed"))
	if _, other := host.send("q.3", true); other == conn {
		t.Error("a non-idempotent attempt shares a connection with a withheld reply")
	}
	host.advance(distrustInputFor)
	if _, next := host.send("q.4", true); next != conn {
		t.Errorf("after %v the next attempt is on connection %d, want %d", distrustInputFor, next, conn)
	}
}
