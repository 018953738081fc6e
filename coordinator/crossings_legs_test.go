package coordinator

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/eventloop"
	"terntray/internal/replicaproto"
	"terntray/internal/wire"
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
	defer c.fleet.stop()
	k := c.client(t)
	query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	c.loop.RunIteration(func() { c.arrives(k, query, c.loop.Now()) }, c.endTurn)
	c.loop.RunIteration(c.loop.Receive(), c.endTurn) // the connection is up
	if len(c.fleet.attempts) != 1 {
		t.Fatalf("%d legs are out", len(c.fleet.attempts))
	}
	c.broken("as if")
	if c.turnWith(); len(c.fleet.attempts)+len(c.parts)+len(c.queries) > 0 {
		t.Errorf("%d legs, %d parts, %d retrievals are left", len(c.fleet.attempts), len(c.parts), len(c.queries))
	}
}

// A request at which a turn breaks before anything of it is open gets its answer.
func TestRequestAtWhichATurnBreaksIsAnswered(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}},
		TwoPhase: &wire.TwoPhaseQuery{}} // which this track does not take, so that nothing is ready for it
	cause := eventloop.Recover(func() { c.loop.RunIteration(func() { c.arrives(k, query, c.loop.Now()) }, c.endTurn) })
	if cause == "" {
		t.Fatal("nothing breaks")
	}
	c.broken(cause)
	if len(k.responses) != 1 || !strings.Contains(string(<-k.responses), " 500 ") {
		t.Error("it is not answered")
	}
	query.TwoPhase = nil
	c.loop.RunIteration(func() { c.arrives(k, query, c.loop.Now()) }, c.endTurn)
	c.broken("as if, later")
	if len(k.responses) != 1 {
		t.Errorf("the next has %d answers", len(k.responses))
	}
}

// The same for attempts whose end was to be told in the turn that broke, behind what broke it.
func TestWhatABrokenTurnWasToTellIsTold(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	c.loop.RunIteration(func() { c.arrives(k, query, c.loop.Now()) }, c.endTurn)
	for _, l := range c.fleet.attempts {
		c.loop.NextIteration(func() { panic("as if") })
		c.giveUp(l, scheduler.TimedOut)
	}
	if cause := eventloop.Recover(c.turnWith); cause == "" || len(c.fleet.attempts) != 1 {
		t.Fatalf("it breaks by %q with %d legs", cause, len(c.fleet.attempts))
	}
	c.broken("as if")
	if c.turnWith(); len(c.fleet.attempts)+len(c.parts)+len(c.queries) > 0 {
		t.Errorf("%d legs, %d parts, %d retrievals are left", len(c.fleet.attempts), len(c.parts), len(c.queries))
	}
}

// A write that the far side does not take ends with its connection before a client of it can be gone for 0.3 s, however
// long connections may take to come up. What was not begun by then can be taken back.
func TestWriteThatIsNotTakenEndsSoon(t *testing.T) {
	c := fronted(t)
	c.fleet.connectWithin = 10 * time.Second
	near, far := pair(t)
	near.SetWriteBuffer(4 << 10)
	far.SetReadBuffer(4 << 10)
	k := newLink(c, 1, c.fleet.named("s-a"), "127.0.0.1:1", replicaproto.Frames)
	var calls []*replicaproto.Call
	for n := range 60 {
		calls = append(calls, &replicaproto.Call{Attempt: uint64(n + 1), Group: uint64(n + 1), SubqueryID: wire.SubqueryID("q", n), Text: make([]byte, 60_000), Deadline: time.Hour})
		k.session.Queue(calls[n])
	}
	began := time.Now()
	k.write(near, near)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("it is written to for %v", took)
	}
	last := calls[len(calls)-1]
	if last.Stage != replicaproto.Waiting || !k.session.Withdraw(last) {
		t.Errorf("the last of what waits is at stage %v", last.Stage)
	}
}

// A part that was being written when its query ended goes on no other connection should that one break, also where
// nothing may be called off. Guards against: parts sent after the final answer, or for a client that has left.
func TestPartBegunWhenItsRetrievalEndedIsNotBegunAnew(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		c := set(t, map[string]string{"bounds.mayCancel": "false"})
		k := c.client(t)
		query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
		c.loop.RunIteration(func() { c.arrives(k, query, c.loop.Now()) }, c.endTurn)
		ended := c.loop.Receive() // of its connection, which is as good as one that was up and broke
		q := c.byQuery["q"]
		for id := range c.fleet.links {
			c.fleet.pool.ConnUp(c.loop.Now(), id)
		}
		l := q.parts[0].attempts[0]
		l.call.Stage = replicaproto.Begun
		if leaves {
			c.loop.RunIteration(func() { c.clientLeaves(k) }, c.endTurn)
		} else {
			c.loop.RunIteration(func() { c.Fail(q.id) }, c.endTurn)
		}
		if c.loop.RunIteration(ended, c.endTurn); len(c.fleet.links) > 0 {
			t.Errorf("its client leaves %t: it goes on another connection", leaves)
		}
		c.turnWith()
		if len(c.fleet.attempts)+len(c.parts) > 0 {
			t.Errorf("its client leaves %t: %d legs, %d parts are left", leaves, len(c.fleet.attempts), len(c.parts))
		}
	}
}

// The same for the other attempt of a part that is in, be it begun or not.
func TestOtherLegOfAPartThatIsInGoesNowhere(t *testing.T) {
	for _, begun := range []bool{true, false} {
		c := set(t, map[string]string{"bounds.mayCancel": "false"})
		k := c.client(t)
		query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 0.5}, {Shard: 2, Weight: 0.5}}}
		c.loop.RunIteration(func() { c.arrives(k, query, c.loop.Now()) }, c.endTurn)
		p := c.byQuery["q"].parts[0]
		c.loop.Receive() // the end of its connection; they are as good as ones that stand
		c.StartAttempt(p.id, p.attempts[0].to, time.Second)
		c.loop.Receive()
		first, other := p.attempts[0], p.attempts[1]
		if begun {
			other.call.Stage = replicaproto.Begun
		}
		var on, beside *link
		for id, l := range c.fleet.links {
			c.fleet.pool.ConnUp(c.loop.Now(), id)
			if on == nil || id < on.id {
				on = l
			}
			if beside == nil || id > beside.id { // a replica gets two attempts of one part on two of them
				beside = l
			}
		}
		c.loop.RunIteration(func() {
			c.replied(on, &replicaproto.Event{Kind: replicaproto.Reply, SubqueryID: first.call.SubqueryID, End: replicaproto.OK, Value: []byte("v"), Busy: -1}, c.loop.Now())
		}, func() {})
		if !p.in {
			t.Fatal("the part is not in")
		}
		before := len(c.fleet.links)
		c.loop.RunIteration(func() { c.linkEnded(beside, io.EOF, c.loop.Now()) }, func() {})
		if c.loop.RunIteration(func() {}, func() {}); !other.over || len(c.fleet.links) > before-1 {
			t.Errorf("begun %t: over %t, %d connections after %d", begun, other.over, len(c.fleet.links), before)
		}
	}
}
