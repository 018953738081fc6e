package coordinator

import (
	"io"
	"testing"
	"time"

	"terntray/connpool"
	"terntray/internal/replicaproto"
	"terntray/replicaconn"
	"terntray/scheduler"
)

// A query closes while one of its attempts is being written, and then the attempt's connection breaks. The attempt
// must not be retransmitted on another connection, even if attempts may not be cancelled: it would be sent after the
// query's answer, or for a client that has disconnected.
func TestPartlyWrittenAttemptOfClosedQueryIsNotRetransmitted(t *testing.T) {
	for _, disconnects := range []bool{true, false} {
		c := newCoordinatorWith(t, map[string]string{"bounds.mayCancel": "false"})
		from := c.newClient()
		c.receive(from, newQuery("q", time.Minute, 0), 0)
		connEnded := c.loop.Receive() // the failed connect, handled below like a break of an established connection
		c.markConnsUp(t, 1)
		query := c.queriesByRequestID["q"]
		query.subqueries[0].attempts[0].call.Stage = replicaproto.Begun
		if disconnects {
			c.runIteration(func() { c.clientDisconnected(from) })
		} else {
			c.runIteration(func() { c.Fail(query.id) })
		}
		c.runIteration(connEnded)
		if c.replicas.ConnCount() > 0 {
			t.Errorf("client disconnects %t: the attempt is retransmitted on another connection", disconnects)
		}
		c.runPosted()
		if len(c.attemptsInFlight)+len(c.subqueries) > 0 {
			t.Errorf("client disconnects %t: %d attempts and %d subqueries are left",
				disconnects, len(c.attemptsInFlight), len(c.subqueries))
		}
	}
}

// A subquery with two attempts is answered by the first, and then the connection of the other breaks. The other must
// not be retransmitted on another connection, whether or not it is partly written.
func TestOtherAttemptOfAnsweredSubqueryIsNotRetransmitted(t *testing.T) {
	for _, partlyWritten := range []bool{true, false} {
		c := newCoordinatorWith(t, map[string]string{"bounds.mayCancel": "false"})
		c.receive(c.newClient(), newQuery("q", time.Minute, 0, 2), 0)
		subquery := c.queriesByRequestID["q"].subqueries[0]
		c.loop.Receive() // drop the failed connect; markConnsUp below makes the connections count as up
		c.StartAttempt(subquery.id, subquery.attempts[0].replica, time.Second)
		c.loop.Receive()
		first, other := subquery.attempts[0], subquery.attempts[1]
		if partlyWritten {
			other.call.Stage = replicaproto.Begun
		}
		const firstConn, otherConn = 1, 2 // two attempts of a subquery use different connections to a replica
		c.markConnsUp(t, 2)
		reply := replicaproto.Event{
			Kind:       replicaproto.Reply,
			SubqueryID: first.call.SubqueryID,
			Status:     replicaproto.OK,
			Value:      []byte("v"),
			CPUUsage:   -1,
		}
		input := replicaconn.Input{Events: []replicaproto.Event{reply}, At: c.loop.Now()}
		c.loop.RunIteration(func() { c.replicas.Received(firstConn, input) }, func() {})
		if !subquery.answered {
			t.Fatal("the subquery was not answered")
		}
		before := c.replicas.ConnCount()
		c.loop.RunIteration(func() { c.replicas.ConnEnded(otherConn, io.EOF, c.loop.Now()) }, func() {})
		c.loop.RunIteration(func() {}, func() {})
		if !other.ended || c.replicas.ConnCount() > before-1 {
			t.Errorf("partly written %t: ended %t, %d connections, %d before",
				partlyWritten, other.ended, c.replicas.ConnCount(), before)
		}
	}
}

// A reply is still withheld at the deadline of its query, and attempts may not be cancelled. The replica is not at fault: it has
// replied in time, so the attempt does not count as timed out there.
func TestAttemptWithAWithheldReplyDoesNotTimeOut(t *testing.T) {
	const timeout = 400 * time.Millisecond
	c := newCoordinatorWith(t, map[string]string{"bounds.mayCancel": "false"})
	c.receive(c.newClient(), newQuery("q", timeout, 0), 0)
	attempt := c.queriesByRequestID["q"].subqueries[0].attempts[0]
	c.loop.Receive() // drop the failed connect
	c.markConnsUp(t, 1)
	attempt.call.Stage = replicaproto.Written
	unconfirmed := replicaproto.Event{Kind: replicaproto.Unconfirmed, SubqueryID: attempt.call.SubqueryID, CPUUsage: -1}
	input := replicaconn.Input{Events: []replicaproto.Event{unconfirmed}, At: c.loop.Now()}
	c.runIteration(func() { c.replicas.Received(1, input) })
	for end := time.Now().Add(20 * time.Second); !attempt.ended && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
		c.runPosted()
	}
	c.runPosted()
	if !attempt.ended || attempt.outcome != scheduler.Cancelled || c.counts.UnconfirmedReplies != 1 {
		t.Errorf("ended %t with outcome %s, %d unconfirmed replies",
			attempt.ended, outcomeKeys[attempt.outcome], c.counts.UnconfirmedReplies)
	}
}

// markConnsUp checks the number of connections and marks all of them as up. Their ids count from 1.
func (c *Coordinator) markConnsUp(t *testing.T, conns int) {
	t.Helper()
	if c.replicas.ConnCount() != conns {
		t.Fatalf("%d connections, want %d", c.replicas.ConnCount(), conns)
	}
	for id := range conns {
		c.replicas.ConnUp(connpool.ConnID(id + 1))
	}
}
