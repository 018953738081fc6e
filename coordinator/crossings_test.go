package coordinator

import (
	"io"
	"log"
	"maps"
	"net"
	"testing"
	"time"

	"terntray/internal/netconn"
	"terntray/internal/wire"
)

// pair is a connection over loopback, the near end first.
func pair(t *testing.T) (near, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); other.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return other.(*net.TCPConn), conn.(*net.TCPConn)
}

// sees waits until a connection's end shows something.
func sees(t *testing.T, conn net.Conn, what netconn.State) {
	for end := time.Now().Add(20 * time.Second); netconn.Peek(conn) != what; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing comes")
		}
	}
}

// fronted makes a coordinator with clients' places, whose turns the test takes.
func fronted(t *testing.T) *Coordinator {
	cell := 0
	c := made(t, wire.Target{UID: "s-a", Endpoint: "127.0.0.1:1", State: wire.Ready, Cell: &cell})
	t.Cleanup(c.replicas.Stop)
	c.discovery.Repeat()
	return c
}

// turnWith takes a turn with all that waits; nothing else is under way.
func (c *Coordinator) turnWith() { c.loop.RunIteration(func() {}, c.endIteration) }

// A client's leaving is known to the turns before its word has come through the inbox: nothing of it is sent.
// Guards against: a word that waits behind a full inbox while the query goes on.
func TestNothingGoesOutForAClientWhoseLeavingStillWaits(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := func(id string) *wire.Query {
		return &wire.Query{ID: id, Class: "look", Deadline: time.Second, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	}
	k.gone.Store(true)
	c.loop.RunIteration(func() { c.queryArrives(k, query("q"), c.loop.Now()) }, c.endIteration)
	if c.counts.Attempts > 0 || c.counts.Disconnected != 1 {
		t.Errorf("not begun: counts %+v", c.counts)
	}
	d := c.client(t)
	c.loop.RunIteration(func() { c.queryArrives(d, query("r"), c.loop.Now()); d.gone.Store(true) }, c.endIteration)
	c.turnWith()
	if c.replicas.Conns() > 0 {
		t.Errorf("taken in, then left: %d connections for its parts", c.replicas.Conns())
	}
}

// The same for a client whose end lies unread while its request waits for its turn.
func TestRequestThatWaitedForItsTurnIsNotSentOnForAClientThatHasLeft(t *testing.T) {
	for _, waited := range []time.Duration{0, time.Second} {
		c := fronted(t)
		near, far := pair(t)
		k := c.server.NewConn(near)
		if far.Close(); waited > 0 {
			sees(t, near, netconn.Ended)
		}
		query := &wire.Query{ID: "q", Class: "look", Deadline: 5 * time.Second, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
		c.loop.AdvanceClock(10 * time.Second)
		c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()-waited) }, c.endIteration)
		if c.counts.Disconnected == 0 && waited > 0 || c.counts.Attempts > 0 && waited > 0 {
			t.Errorf("it waited for %v: counts %+v", waited, c.counts)
		}
	}
}

// set makes a coordinator with some settings replaced, before one replica that nobody can reach unless others are given.
func set(t *testing.T, settings map[string]string, targets ...wire.Target) *Coordinator {
	if targets == nil {
		cell := 0
		targets = []wire.Target{{UID: "s-a", Endpoint: "127.0.0.1:1", State: wire.Ready, Cell: &cell}}
	}
	d := deployment(t, targets...)
	maps.Copy(d.settings, settings)
	c, err := New(d, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.replicas.Stop)
	return c
}
