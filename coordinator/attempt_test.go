package coordinator

import (
	"io"
	"testing"
	"time"

	"terntray/connpool"
	"terntray/internal/replicaproto"
	"terntray/replicaconn"
)

// A query ends while an attempt of it is being written, and then the attempt's connection breaks. The attempt goes
// on no other connection, also where attempts may not be cancelled: it would be sent after the query's answer, or
// for a client that has disconnected.
func TestAttemptBegunWhenItsQueryEndedIsNotBegunAnew(t *testing.T) {
	for _, disconnects := range []bool{true, false} {
		c := newCoordinatorWith(t, map[string]string{"bounds.mayCancel": "false"})
		from := c.newClient()
		c.receive(from, newQuery("q", time.Minute, 0), 0)
		connEnded := c.loop.Receive() // as good as the end of one that was up and broke
		c.connect(t, 1)
		query := c.queriesByRequestID["q"]
		query.subqueries[0].attempts[0].call.Stage = replicaproto.Begun
		if disconnects {
			c.runIteration(func() { c.clientDisconnected(from) })
		} else {
			c.runIteration(func() { c.Fail(query.id) })
		}
		c.runIteration(connEnded)
		if c.replicas.ConnCount() > 0 {
			t.Errorf("its client disconnects %t: it goes on another connection", disconnects)
		}
		c.runPosted()
		if len(c.attemptsOut)+len(c.subqueries) > 0 {
			t.Errorf("its client disconnects %t: %d attempts, %d subqueries are left",
				disconnects, len(c.attemptsOut), len(c.subqueries))
		}
	}
}

// A subquery with two attempts is answered by the first, and then the connection of the other breaks. The other
// goes on no other connection, be it begun or not.
func TestOtherAttemptOfAnAnsweredSubqueryGoesNowhere(t *testing.T) {
	for _, begun := range []bool{true, false} {
		c := newCoordinatorWith(t, map[string]string{"bounds.mayCancel": "false"})
		c.receive(c.newClient(), newQuery("q", time.Minute, 0, 2), 0)
		subquery := c.queriesByRequestID["q"].subqueries[0]
		c.loop.Receive() // the end of its connection; the connections are as good as ones that are up
		c.StartAttempt(subquery.id, subquery.attempts[0].replica, time.Second)
		c.loop.Receive()
		first, other := subquery.attempts[0], subquery.attempts[1]
		if begun {
			other.call.Stage = replicaproto.Begun
		}
		const firstConn, otherConn = 1, 2 // a replica gets two attempts of one subquery on two of them
		c.connect(t, 2)
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
			t.Fatal("the subquery is not answered")
		}
		before := c.replicas.ConnCount()
		c.loop.RunIteration(func() { c.replicas.ConnEnded(otherConn, io.EOF, c.loop.Now()) }, func() {})
		c.loop.RunIteration(func() {}, func() {})
		if !other.ended || c.replicas.ConnCount() > before-1 {
			t.Errorf("begun %t: ended %t, %d connections after %d", begun, other.ended, c.replicas.ConnCount(), before)
		}
	}
}

// connect has all connections count as up, of which there have to be so many. Their ids count from 1.
func (c *Coordinator) connect(t *testing.T, conns int) {
	t.Helper()
	if c.replicas.ConnCount() != conns {
		t.Fatalf("%d connections, want %d", c.replicas.ConnCount(), conns)
	}
	for id := range conns {
		c.replicas.ConnUp(connpool.ConnID(id + 1))
	}
}
