package coordinator

import (
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"strings"
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
	t.Cleanup(c.fleet.stop)
	c.list.c, c.list.held = c, c.deployment.Known
	c.list.retell()
	c.front.slots, c.front.large, c.front.clients = make(chan struct{}, 100), make(chan struct{}, 1), map[*client]struct{}{}
	c.front.usual = 100
	return c
}

func asking(id string) string {
	body := `{"segments":[{"segment":0,"boost":1}],"text":"x"}`
	return fmt.Sprintf("POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 2\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// turnWith takes a turn with all that waits; nothing else is under way.
func (c *Coordinator) turnWith() { c.loop.RunIteration(func() {}, c.endIteration) }

// What waited unread for a client that has left meanwhile is not taken in, however much stands before the client's end.
// Guards against: a crowd or a standstill behind which requests go out for nobody.
func TestRequestWhoseClientHasLeftUnreadIsNotTakenIn(t *testing.T) {
	for name, text := range map[string]string{
		"alone":              asking("q"),
		"with half of more":  asking("q") + asking("r")[:40],
		"with more ahead":    strings.Repeat(asking("q"), 9),
		"with far more":      strings.Repeat(asking("q"), 900),
		"with a body beyond": asking("q") + "POST /look HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 200_000),
	} {
		for _, reset := range []bool{false, true} {
			c := fronted(t)
			near, far := pair(t)
			io.WriteString(far, text) // what the machines buffer
			if reset {
				far.SetLinger(0)
			}
			far.Close()
			k := newClient(c, near)
			c.front.slots <- struct{}{}
			c.front.clients[k] = struct{}{}
			k.serveSafely()
			c.front.release(k)
			c.turnWith()
			if c.counts.Attempts+c.counts.Queries > 0 || len(c.queries) > 0 {
				t.Errorf("%s, reset %t: counts %+v", name, reset, c.counts)
			}
		}
	}
}

// A client's leaving is known to the turns before its word has come through the inbox: nothing of it is sent.
// Guards against: a word that waits behind a full inbox while the query goes on.
func TestNothingGoesOutForAClientWhoseLeavingStillWaits(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := func(id string) *wire.Query {
		return &wire.Query{ID: id, Class: "look", Deadline: time.Second, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	}
	c.loop.RunIteration(func() { k.gone.Store(true); c.queryArrives(k, query("q"), c.loop.Now()) }, c.endIteration)
	if c.counts.Attempts > 0 || c.counts.Disconnected != 1 {
		t.Errorf("not begun: counts %+v", c.counts)
	}
	d := c.client(t)
	c.loop.RunIteration(func() { c.queryArrives(d, query("r"), c.loop.Now()); d.gone.Store(true) }, c.endIteration)
	c.turnWith()
	if len(c.fleet.links) > 0 {
		t.Errorf("taken in, then left: %d connections for its parts", len(c.fleet.links))
	}
}

// The same for a client whose end lies unread while its request waits for its turn.
func TestRequestThatWaitedForItsTurnIsNotSentOnForAClientThatHasLeft(t *testing.T) {
	for _, waited := range []time.Duration{0, time.Second} {
		c := fronted(t)
		near, far := pair(t)
		k := newClient(c, near)
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

// A client that sends on and on while its request is open loses what comes beyond, and neither that request's answer nor
// its truth. Guards against: an answer that says that nothing ran, given for want of a place to what may have run.
func TestOpenRequestIsNotTurnedBackForWhatComesBehindIt(t *testing.T) {
	for _, ahead := range []int{plainRequest + 2000, mostAhead + 5000, 600_000} {
		c := fronted(t)
		c.front.enlarge() // the only place is taken
		near, far := pair(t)
		k := newClient(c, near)
		c.front.slots <- struct{}{}
		served := make(chan struct{})
		go func() {
			k.serveSafely()
			c.front.release(k)
			close(served)
		}()
		io.WriteString(far, asking("q"))
		(c.loop.Receive())()
		q := c.queriesByRequestID["q"]
		if q == nil {
			t.Fatal("it is not taken in")
		}
		sent := make(chan struct{})
		go func() {
			io.WriteString(far, strings.Repeat("x", ahead))
			close(sent)
		}()
		<-sent
		for end := time.Now().Add(20 * time.Second); netconn.Peek(near) == netconn.Readable && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if len(k.answers) > 0 || c.queries[q.id] == nil {
			t.Fatalf("%d bytes behind it: it is answered", ahead)
		}
		c.Complete(q.id, true)
		got := make([]byte, 12)
		if _, err := io.ReadFull(far, got); err != nil || string(got) != "HTTP/1.1 200" {
			t.Errorf("%d bytes behind it: %q, %v", ahead, got, err)
		}
		far.Close()
		<-served
	}
}

// A request that comes during the last look at its connection is served, also if this process stood still over the whole
// of it, and also if its rest comes a little later.
func TestRequestThatCrossesTheEndOfItsConnectionIsServed(t *testing.T) {
	up := "GET /up HTTP/1.1\r\nHost: b\r\n\r\n"
	crosses := map[string]func(k *client, far net.Conn) (inTime bool){
		"a standstill": func(k *client, far net.Conn) bool {
			k.lookEnds = time.Now().Add(-time.Second)
			io.WriteString(far, up)
			sees(t, k.conn, netconn.Readable)
			go k.serveSafely()
			return true
		},
		"in two pieces": func(k *client, far net.Conn) bool {
			io.WriteString(far, up[:9])
			sees(t, k.conn, netconn.Readable)
			began := time.Now()
			k.lookEnds = began.Add(lastLook)
			go k.serveSafely()
			sees(t, k.conn, netconn.Quiet)
			time.Sleep(2 * lastLook) // the look is over by then
			io.WriteString(far, up[9:])
			return time.Since(began) < crossing // else it may have come too late
		},
	}
	for name := range crosses {
		for try := 0; ; try++ {
			c := fronted(t)
			c.ready.Store(true)
			near, far := pair(t)
			k := newClient(c, near)
			k.evicted.Store(true)
			inTime := crosses[name](k, far)
			got := make([]byte, 12)
			_, err := io.ReadFull(far, got)
			if err == nil && string(got) == "HTTP/1.1 200" {
				break
			}
			if inTime || try == 50 {
				t.Errorf("%s: %q, %v, try %d", name, got, err, try)
				break
			}
		}
	}
}

// What an answer says of its connection is what becomes of it, also if that is told to go while the answer is made.
// Guards against: a connection that ends by an answer which keeps it, and reads and drops the client's next request.
func TestAnswerSaysWhatBecomesOfItsConnection(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := &wire.Query{ID: "q", Class: "look", Deadline: time.Minute, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, func() {})
	c.answer(c.queriesByRequestID["q"].id, succeeded, func(q *queryState, last bool) []byte {
		text := wire.CompleteResponse(true, nil, last)
		k.evicted.Store(true)
		return text
	})
	if a := <-k.answers; a.last != strings.Contains(string(a.bytes), "Connection: close") {
		t.Errorf("its connection ends %t with %q", a.last, a.bytes)
	}
}

// A word that comes late to the goroutine of a connection that has given its last answer does not end it before what the
// client still sends is read: unread, that would reset the connection and cut the answer off.
func TestLastAnswerIsNotCutOffByALateWord(t *testing.T) {
	for try := 0; ; try++ {
		c := fronted(t)
		near, far := pair(t)
		k := newClient(c, near)
		began, parted := time.Now(), make(chan struct{})
		go func() {
			k.part()
			close(parted)
		}()
		far.Read(make([]byte, 1)) // its end
		for range 3 {
			k.wake()
			time.Sleep(time.Millisecond)
		}
		io.WriteString(far, "more")
		read := false
		for end := time.Now().Add(parting); !read && time.Now().Before(end); time.Sleep(time.Millisecond) {
			select {
			case <-parted:
				end = began
			default:
				read = netconn.Peek(near) == netconn.Quiet
			}
		}
		inTime := time.Since(began) < parting
		far.Close()
		<-parted
		if read {
			return
		}
		if inTime || try == 50 {
			t.Fatalf("what still came was left unread, try %d", try)
		}
	}
}

// An answer that was made before the word to end and is written after it keeps its connection: a request that crosses the
// end which follows is served all the same, and told that it was the last.
func TestRequestBehindAnAnswerMadeBeforeTheWordToEndIsServed(t *testing.T) {
	c := fronted(t)
	near, far := pair(t)
	k := newClient(c, near)
	io.WriteString(far, asking("q"))
	go k.serveSafely()
	(c.loop.Receive())()
	c.Complete(c.queriesByRequestID["q"].id, true)
	c.shutdownAt.Store(int64(c.loop.Since(time.Now())))
	c.shuttingDown.Store(true)
	io.WriteString(far, "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	text, err := io.ReadAll(far)
	answers := strings.Split(string(text), "HTTP/1.1 ")
	if err != nil || len(answers) != 3 || !strings.HasPrefix(answers[1], "200") || strings.Contains(answers[1], "close") ||
		!strings.HasPrefix(answers[2], "503") || !strings.Contains(answers[2], "Connection: close") {
		t.Errorf("%q, %v", answers, err)
	}
}

// Told to end, it takes no request that comes later than it may still be answered.
func TestRequestsInPiecesEndWithTheTimeToCome(t *testing.T) {
	c := fronted(t)
	near, _ := pair(t)
	k := newClient(c, near)
	c.shutdownAt.Store(int64(c.loop.Since(time.Now().Add(-goingOn))))
	c.shuttingDown.Store(true)
	if left := time.Until(k.limit()); left > crossing {
		t.Errorf("a new connection may bring a request for %v", left)
	}
	c.shutdownAt.Store(int64(c.loop.Since(time.Now())))
	if left := time.Until(k.limit()); left < goingOn/2 {
		t.Errorf("right after the word to end it has only %v", left)
	}
}

// set makes a coordinator before one replica that nobody can reach, with some settings replaced.
func set(t *testing.T, settings map[string]string) *Coordinator {
	cell := 0
	d := deployment(t, wire.Target{UID: "s-a", Endpoint: "127.0.0.1:1", State: wire.Ready, Cell: &cell})
	maps.Copy(d.settings, settings)
	c, err := New(d, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.fleet.stop)
	return c
}
