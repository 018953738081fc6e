package coordinator

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/connpool"
	"terntray/eventloop"
	"terntray/internal/replicaproto"
	"terntray/internal/wire"
	"terntray/replicaconn"
	"terntray/scheduler"
)

// After a panic in a turn the attempts that were out hold no places.
func TestLegsOfABrokenModuleHoldNoPlaces(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cell := 0
	c := made(t, wire.Target{UID: "s-a", Endpoint: l.Addr().String(), State: wire.Ready, Cell: &cell})
	defer c.replicas.Stop()
	k := c.client(t)
	query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, c.endIteration)
	c.loop.RunIteration(c.loop.Receive(), c.endIteration) // the connection is up
	if len(c.attemptsOut) != 1 {
		t.Fatalf("%d legs are out", len(c.attemptsOut))
	}
	c.recoverFromPanic("as if")
	if c.turnWith(); len(c.attemptsOut)+len(c.subqueries)+len(c.queries) > 0 {
		t.Errorf("%d legs, %d parts, %d retrievals are left", len(c.attemptsOut), len(c.subqueries), len(c.queries))
	}
}

// A request at which a turn breaks before anything of it is open gets its answer.
func TestRequestAtWhichATurnBreaksIsAnswered(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}},
		TwoPhase: &wire.TwoPhaseQuery{}} // which this track does not take, so that nothing is ready for it
	cause := eventloop.Recover(func() { c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, c.endIteration) })
	if cause == "" {
		t.Fatal("nothing breaks")
	}
	c.recoverFromPanic(cause)
	if len(k.responses) != 1 || !strings.Contains(string(<-k.responses), " 500 ") {
		t.Error("it is not answered")
	}
	query.TwoPhase = nil
	c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, c.endIteration)
	c.recoverFromPanic("as if, later")
	if len(k.responses) != 1 {
		t.Errorf("the next has %d answers", len(k.responses))
	}
}

// The same for attempts whose end was to be told in the turn that broke, behind what broke it.
func TestWhatABrokenTurnWasToTellIsTold(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, c.endIteration)
	for _, l := range c.attemptsOut {
		c.loop.NextIteration(func() { panic("as if") })
		c.abandonAttempt(l, scheduler.TimedOut)
	}
	if cause := eventloop.Recover(c.turnWith); cause == "" || len(c.attemptsOut) != 1 {
		t.Fatalf("it breaks by %q with %d legs", cause, len(c.attemptsOut))
	}
	c.recoverFromPanic("as if")
	if c.turnWith(); len(c.attemptsOut)+len(c.subqueries)+len(c.queries) > 0 {
		t.Errorf("%d legs, %d parts, %d retrievals are left", len(c.attemptsOut), len(c.subqueries), len(c.queries))
	}
}

// A part that was being written when its query ended goes on no other connection should that one break, also where
// nothing may be called off. Guards against: parts sent after the final answer, or for a client that has left.
func TestPartBegunWhenItsRetrievalEndedIsNotBegunAnew(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		c := set(t, map[string]string{"bounds.mayCancel": "false"})
		k := c.client(t)
		query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
		c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, c.endIteration)
		ended := c.loop.Receive() // of its connection, which is as good as one that was up and broke
		q := c.queriesByRequestID["q"]
		c.replicas.ConnUp(1)
		l := q.subqueries[0].attempts[0]
		l.call.Stage = replicaproto.Begun
		if leaves {
			c.loop.RunIteration(func() { c.clientDisconnected(k) }, c.endIteration)
		} else {
			c.loop.RunIteration(func() { c.Fail(q.id) }, c.endIteration)
		}
		if c.loop.RunIteration(ended, c.endIteration); c.replicas.Conns() > 0 {
			t.Errorf("its client leaves %t: it goes on another connection", leaves)
		}
		c.turnWith()
		if len(c.attemptsOut)+len(c.subqueries) > 0 {
			t.Errorf("its client leaves %t: %d legs, %d parts are left", leaves, len(c.attemptsOut), len(c.subqueries))
		}
	}
}

// The same for the other attempt of a part that is in, be it begun or not.
func TestOtherLegOfAPartThatIsInGoesNowhere(t *testing.T) {
	for _, begun := range []bool{true, false} {
		c := set(t, map[string]string{"bounds.mayCancel": "false"})
		k := c.client(t)
		query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 0.5}, {Shard: 2, Weight: 0.5}}}
		c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, c.endIteration)
		p := c.queriesByRequestID["q"].subqueries[0]
		c.loop.Receive() // the end of its connection; they are as good as ones that stand
		c.StartAttempt(p.id, p.attempts[0].replica, time.Second)
		c.loop.Receive()
		first, other := p.attempts[0], p.attempts[1]
		if begun {
			other.call.Stage = replicaproto.Begun
		}
		on, beside := connpool.ConnID(1), connpool.ConnID(2) // a replica gets two attempts of one part on two of them
		if c.replicas.Conns() != 2 {
			t.Fatalf("%d connections", c.replicas.Conns())
		}
		c.replicas.ConnUp(on)
		c.replicas.ConnUp(beside)
		reply := replicaproto.Event{
			Kind: replicaproto.Reply, SubqueryID: first.call.SubqueryID, End: replicaproto.OK, Value: []byte("v"), Busy: -1,
		}
		c.loop.RunIteration(func() {
			c.replicas.Received(on, replicaconn.Input{Events: []replicaproto.Event{reply}, At: c.loop.Now()})
		}, func() {})
		if !p.answered {
			t.Fatal("the part is not in")
		}
		before := c.replicas.Conns()
		c.loop.RunIteration(func() { c.replicas.ConnEnded(beside, io.EOF, c.loop.Now()) }, func() {})
		if c.loop.RunIteration(func() {}, func() {}); !other.ended || c.replicas.Conns() > before-1 {
			t.Errorf("begun %t: over %t, %d connections after %d", begun, other.ended, c.replicas.Conns(), before)
		}
	}
}
