package coordinator

import (
	"io"
	"testing"
	"time"

	"terntray/internal/replicaproto"
)

// A query ends while an attempt of it is being written, and then the attempt's connection breaks. The attempt goes on no
// other connection, also where attempts may not be cancelled: it would be sent after the query's answer, or for a client
// that has disconnected.
func TestAttemptBegunWhenItsQueryEndedIsNotBegunAnew(t *testing.T) {
	for _, disconnects := range []bool{true, false} {
		c := newCoordinatorWith(t, map[string]string{"bounds.mayCancel": "false"})
		from := c.newClient()
		c.receive(from, newQuery("q", time.Minute, 0), 0)
		connEnded := c.loop.Receive() // as good as the end of one that was up and broke
		for id := range c.fleet.links {
			c.fleet.pool.ConnUp(c.loop.Now(), id)
		}
		query := c.queriesByRequestID["q"]
		query.subqueries[0].attempts[0].call.Stage = replicaproto.Begun
		if disconnects {
			c.runIteration(func() { c.clientDisconnected(from) })
		} else {
			c.runIteration(func() { c.Fail(query.id) })
		}
		c.runIteration(connEnded)
		if len(c.fleet.links) > 0 {
			t.Errorf("its client disconnects %t: it goes on another connection", disconnects)
		}
		c.runPosted()
		if len(c.fleet.attempts)+len(c.subqueries) > 0 {
			t.Errorf("its client disconnects %t: %d attempts, %d subqueries are left",
				disconnects, len(c.fleet.attempts), len(c.subqueries))
		}
	}
}

// A subquery with two attempts is answered by the first, and then the connection of the other breaks. The other goes on no
// other connection, be it begun or not.
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
		firstConn, otherConn := c.connectAll()
		reply := &replicaproto.Event{
			Kind:       replicaproto.Reply,
			SubqueryID: first.call.SubqueryID,
			End:        replicaproto.OK,
			Value:      []byte("v"),
			Busy:       -1,
		}
		c.loop.RunIteration(func() { c.replyReceived(firstConn, reply, c.loop.Now()) }, func() {})
		if !subquery.answered {
			t.Fatal("the subquery is not answered")
		}
		before := len(c.fleet.links)
		c.loop.RunIteration(func() { c.linkEnded(otherConn, io.EOF, c.loop.Now()) }, func() {})
		c.loop.RunIteration(func() {}, func() {})
		if !other.ended || len(c.fleet.links) > before-1 {
			t.Errorf("begun %t: ended %t, %d connections after %d", begun, other.ended, len(c.fleet.links), before)
		}
	}
}

// connectAll has all connections count as up. A replica gets two attempts of one subquery on two of them: the first and the
// last that were opened.
func (c *Coordinator) connectAll() (first, last *link) {
	for id, conn := range c.fleet.links {
		c.fleet.pool.ConnUp(c.loop.Now(), id)
		if first == nil || id < first.id {
			first = conn
		}
		if last == nil || id > last.id {
			last = conn
		}
	}
	return first, last
}
