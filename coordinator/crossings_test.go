package coordinator

import (
	"context"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"terntray/decide"
	"terntray/internal/dialect"
	"terntray/internal/protocol"
	"terntray/internal/standin"
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
func sees(t *testing.T, conn net.Conn, what sight) {
	for end := time.Now().Add(20 * time.Second); look(conn) != what; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing comes")
		}
	}
}

// fronted makes a coordinator with clients' places, whose turns the test takes.
func fronted(t *testing.T) *Coordinator {
	cell := 0
	c := made(t, protocol.Target{UID: "s-a", Endpoint: "127.0.0.1:1", State: protocol.Ready, Cell: &cell})
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
func (c *Coordinator) turnWith() { c.turn(func() {}, c.endTurn) }

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
			if c.counts.Legs+c.counts.Taken > 0 || len(c.retrievals) > 0 {
				t.Errorf("%s, reset %t: counts %+v", name, reset, c.counts)
			}
		}
	}
}

// A client's leaving is known to the turns before its word has come through the inbox: nothing of it is sent.
// Guards against: a word that waits behind a full inbox while the retrieval goes on.
func TestNothingGoesOutForAClientWhoseLeavingStillWaits(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := func(id string) *protocol.Query {
		return &protocol.Query{ID: id, Track: "look", Deadline: time.Second, Parts: []protocol.QueryPart{{Shard: 0, Weight: 1}}}
	}
	c.turn(func() { k.gone.Store(true); c.arrives(k, query("q"), c.now) }, c.endTurn)
	if c.counts.Legs > 0 || c.counts.Left != 1 {
		t.Errorf("not begun: counts %+v", c.counts)
	}
	d := c.client(t)
	c.turn(func() { c.arrives(d, query("r"), c.now); d.gone.Store(true) }, c.endTurn)
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
			sees(t, near, over)
		}
		query := &protocol.Query{ID: "q", Track: "look", Deadline: 5 * time.Second, Parts: []protocol.QueryPart{{Shard: 0, Weight: 1}}}
		c.born = c.born.Add(-10 * time.Second)
		c.turn(func() { c.arrives(k, query, c.now-waited) }, c.endTurn)
		if c.counts.Left == 0 && waited > 0 || c.counts.Legs > 0 && waited > 0 {
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
		(<-c.inbox)()
		q := c.byQuery["q"]
		if q == nil {
			t.Fatal("it is not taken in")
		}
		sent := make(chan struct{})
		go func() {
			io.WriteString(far, strings.Repeat("x", ahead))
			close(sent)
		}()
		<-sent
		for end := time.Now().Add(20 * time.Second); look(near) == more && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if len(k.answers) > 0 || c.retrievals[q.id] == nil {
			t.Fatalf("%d bytes behind it: it is answered", ahead)
		}
		c.Answer(q.id, true)
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
			sees(t, k.conn, more)
			go k.serveSafely()
			return true
		},
		"in two pieces": func(k *client, far net.Conn) bool {
			io.WriteString(far, up[:9])
			sees(t, k.conn, more)
			began := time.Now()
			k.lookEnds = began.Add(lastLook)
			go k.serveSafely()
			sees(t, k.conn, still)
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
	query := &protocol.Query{ID: "q", Track: "look", Deadline: time.Minute, Parts: []protocol.QueryPart{{Shard: 0, Weight: 1}}}
	c.turn(func() { c.arrives(k, query, c.now) }, func() {})
	c.reply(c.byQuery["q"].id, &c.counts.Fulfilled, func(q *retrieval, last bool) []byte {
		text := protocol.AnswerWith(true, nil, last)
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
				read = look(near) == still
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
	(<-c.inbox)()
	c.Answer(c.byQuery["q"].id, true)
	c.leftAt.Store(time.Now().UnixNano())
	c.leaving.Store(true)
	io.WriteString(far, "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	text, err := io.ReadAll(far)
	answers := strings.Split(string(text), "HTTP/1.1 ")
	if err != nil || len(answers) != 3 || !strings.HasPrefix(answers[1], "200") || strings.Contains(answers[1], "close") ||
		!strings.HasPrefix(answers[2], "503") || !strings.Contains(answers[2], "Connection: close") {
		t.Errorf("%q, %v", answers, err)
	}
}

// breaking is a connection whose reads break the driver once it is told.
type breaking struct {
	net.Conn
	now chan struct{}
}

func (b *breaking) Read(p []byte) (int, error) {
	select {
	case <-b.now:
		panic("as if")
	default:
	}
	return b.Conn.Read(p)
}

// A client's driver that breaks costs its own connection alone: what it has open is told as left, its slot is given back.
func TestBrokenDriverOfAClientIsToldAsLeft(t *testing.T) {
	c := fronted(t)
	near, far := pair(t)
	b := &breaking{near, make(chan struct{})}
	k := newClient(c, b)
	c.front.slots <- struct{}{}
	c.front.clients[k] = struct{}{}
	go func() {
		k.serveSafely()
		c.front.release(k)
	}()
	io.WriteString(far, asking("q"))
	(<-c.inbox)()
	close(b.now)
	k.wake()
	(<-c.inbox)()
	if n, err := far.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes come", n)
	}
	for end := time.Now().Add(20 * time.Second); len(c.front.slots) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("its slot is taken")
		}
	}
	if len(c.retrievals) > 0 || c.counts.Left != 1 {
		t.Errorf("%d retrievals, counts %+v", len(c.retrievals), c.counts)
	}
}

// failing is a listener of which some accepts fail, as where descriptors are used up.
type failing struct {
	net.Listener
	times int
}

func (f *failing) Accept() (net.Conn, error) {
	if f.times--; f.times >= 0 {
		return nil, syscall.EMFILE
	}
	return f.Listener.Accept()
}

// An accept that fails loses no slot and ends nothing: what waits is taken a little later.
func TestAcceptThatFailsIsMadeAgain(t *testing.T) {
	c := fronted(t)
	c.ready.Store(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.front.slots = make(chan struct{}, 2)
	c.front.listener = &failing{l, 5}
	go c.front.accept(c)
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	far.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(far, "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	got := make([]byte, 12)
	if _, err := io.ReadFull(far, got); err != nil || string(got) != "HTTP/1.1 200" {
		t.Errorf("%q, %v", got, err)
	}
}

// A connection that the machine took before the listener's end is served, also if this process stood still until then.
func TestConnectionTakenBeforeTheListenersEndIsServed(t *testing.T) {
	c := fronted(t)
	c.ready.Store(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	far.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(far, "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	l.(*net.TCPListener).SetDeadline(time.Now().Add(-time.Second))
	c.front.listener = l
	go c.front.accept(c)
	got := make([]byte, 12)
	if _, err := io.ReadFull(far, got); err != nil || string(got) != "HTTP/1.1 200" {
		t.Errorf("%q, %v", got, err)
	}
}

// The same where no slot is free until the listener's last look is over: the one before it holds the only one.
func TestConnectionTakenBeforeTheListenersEndIsServedOnceThereIsASlot(t *testing.T) {
	c := fronted(t)
	c.ready.Store(true)
	c.front.slots = make(chan struct{}, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var far [2]net.Conn
	for n := range far {
		if far[n], err = net.Dial("tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer far[n].Close()
		far[n].SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(far[n], "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	}
	c.leftAt.Store(time.Now().Add(-goingOn).UnixNano())
	l.(*net.TCPListener).SetDeadline(time.Now().Add(-time.Second))
	c.front.listener = l
	go c.front.accept(c)
	got := make([]byte, 12)
	if _, err := io.ReadFull(far[0], got); err != nil || string(got) != "HTTP/1.1 200" {
		t.Fatalf("the first: %q, %v", got, err)
	}
	time.Sleep(2 * sweepUp) // it keeps its slot until the last look is over
	far[0].Close()
	if _, err := io.ReadFull(far[1], got); err != nil || string(got) != "HTTP/1.1 200" {
		t.Errorf("%q, %v", got, err)
	}
}

// Told to end, it takes no request that comes later than it may still be answered.
func TestRequestsInPiecesEndWithTheTimeToCome(t *testing.T) {
	c := fronted(t)
	near, _ := pair(t)
	k := newClient(c, near)
	c.leftAt.Store(time.Now().Add(-goingOn).UnixNano())
	c.leaving.Store(true)
	if left := time.Until(k.limit()); left > crossing {
		t.Errorf("a new connection may bring a request for %v", left)
	}
	c.leftAt.Store(time.Now().UnixNano())
	if left := time.Until(k.limit()); left < goingOn/2 {
		t.Errorf("right after the word to end it has only %v", left)
	}
}

// The next call of discovery goes out while what the last one told waits for its turn. Guards against: a full inbox that
// lets a watch lapse.
func TestWatchGoesOnWhileItsListWaitsForItsTurn(t *testing.T) {
	a, err := standin.NewAgent()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Listener.Close()
	c := fronted(t)
	ctx, stop := context.WithCancel(context.Background())
	waits, ended := make(chan struct{}), make(chan struct{})
	go func() {
		c.list.calls(ctx, a.Listener.Addr().String(), func(*protocol.Listing) { <-waits })
		close(ended)
	}()
	(<-a.Calls).Tell(`{"rev":5,"all":true,"targets":[]}`)
	select {
	case next := <-a.Calls:
		if !strings.Contains(next.Path, "from=5") {
			t.Errorf("the next call is %s", next.Path)
		}
	case <-time.After(5 * time.Second):
		t.Error("no next call comes before the list has had its turn")
	}
	close(waits)
	stop()
	<-ended
}

// An agent that swallows a call, as while discovery is down, is asked again before what it tells at its return is late.
// Guards against: a drain that counts as told while a call hangs. 0.6 s is some more than an agent is waited for.
func TestCallThatHangsIsMadeAgainSoon(t *testing.T) {
	a, err := standin.NewAgent()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Listener.Close()
	c := fronted(t)
	for _, wait := range []time.Duration{0, 100 * time.Millisecond} { // the whole list; a watch
		c.list.hold = wait
		ended := make(chan error)
		go func() {
			ended <- c.list.calls(context.Background(), a.Listener.Addr().String(), func(*protocol.Listing) {})
		}()
		call := <-a.Calls
		if wait > 0 {
			call.Tell(`{"rev":5,"all":true,"targets":[]}`)
			<-a.Calls
		}
		began := time.Now()
		if <-ended; time.Since(began) > wait+1200*time.Millisecond {
			t.Errorf("a call that may wait %v is given up after %v", wait, time.Since(began))
		}
	}
}

// A list that states no length ends with its connection; one that is reset on the way has no end, whatever of it came.
func TestListWithoutALengthEndsWithItsConnectionAlone(t *testing.T) {
	for _, reset := range []bool{false, true} {
		a, err := standin.NewAgent()
		if err != nil {
			t.Fatal(err)
		}
		c := fronted(t)
		c.list.hold = time.Minute
		ctx, stop := context.WithCancel(context.Background())
		told, ended := make(chan *protocol.Listing, 9), make(chan error, 1)
		go func() {
			ended <- c.list.calls(ctx, a.Listener.Addr().String(), func(l *protocol.Listing) { told <- l })
		}()
		call := <-a.Calls
		io.WriteString(call.Conn, "HTTP/1.1 200 OK\r\n\r\n{\"rev\":5,\"all\":true,\"targets\":[]}")
		if reset {
			call.Conn.(*net.TCPConn).SetLinger(0)
		}
		call.Conn.Close()
		select {
		case l := <-told:
			if reset || l.Rev != 5 {
				t.Errorf("reset %t: told %+v", reset, l)
			}
			if next := <-a.Calls; !strings.Contains(next.Path, "from=5") { // on a connection of its own
				t.Errorf("the next call is %s", next.Path)
			}
		case err := <-ended:
			if !reset {
				t.Errorf("it is taken for a failure: %v", err)
			}
			ended <- err
		}
		stop()
		<-ended
		a.Listener.Close()
	}
}

// A new process serves nobody by its old list as long as a newer one may be had at once.
func TestReadyOnlyOnceTheListIsKnownAnew(t *testing.T) {
	for _, told := range []bool{true, false} {
		a, err := standin.NewAgent()
		if err != nil {
			t.Fatal(err)
		}
		cell := 0
		d := deployment(t, protocol.Target{UID: "s-a", Endpoint: "127.0.0.1:1", State: protocol.Ready, Cell: &cell})
		d.Discovery = a.Listener.Addr().String()
		c, err := New(d, log.New(io.Discard, "", 0))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- c.Serve(ctx) }()
		call := <-a.Calls
		if c.ready.Load() {
			t.Error("it is ready with the list of its last life")
		}
		if told {
			call.Tell(`{"rev":5,"all":true,"targets":[{"uid":"s-a","endpoint":"127.0.0.1:1","az":"west","pod_group":0,"state":"draining"}]}`)
		} else { // discovery is down: the old one is all there is
			call.Conn.Close()
		}
		for end := time.Now().Add(20 * time.Second); !c.ready.Load(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("told %t: it is never ready", told)
			}
		}
		stop()
		<-ended
		a.Listener.Close()
	}
}

// After a panic in a turn the legs that were out hold no places.
func TestLegsOfABrokenModuleHoldNoPlaces(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cell := 0
	c := made(t, protocol.Target{UID: "s-a", Endpoint: l.Addr().String(), State: protocol.Ready, Cell: &cell})
	defer c.fleet.stop()
	k := c.client(t)
	query := &protocol.Query{ID: "q", Track: "look", Deadline: time.Minute, Parts: []protocol.QueryPart{{Shard: 0, Weight: 1}}}
	c.turn(func() { c.arrives(k, query, c.now) }, c.endTurn)
	c.turn(<-c.inbox, c.endTurn) // the connection is up
	if len(c.fleet.legs) != 1 {
		t.Fatalf("%d legs are out", len(c.fleet.legs))
	}
	c.broken("as if")
	if c.turnWith(); len(c.fleet.legs)+len(c.parts)+len(c.retrievals) > 0 {
		t.Errorf("%d legs, %d parts, %d retrievals are left", len(c.fleet.legs), len(c.parts), len(c.retrievals))
	}
}

// A request at which a turn breaks before anything of it is open gets its answer.
func TestRequestAtWhichATurnBreaksIsAnswered(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := &protocol.Query{ID: "q", Track: "look", Deadline: time.Minute, Parts: []protocol.QueryPart{{Shard: 0, Weight: 1}},
		Question: &protocol.Question{}} // which this track does not take, so that nothing is ready for it
	cause := guard(func() { c.turn(func() { c.arrives(k, query, c.now) }, c.endTurn) })
	if cause == "" {
		t.Fatal("nothing breaks")
	}
	c.broken(cause)
	if len(k.answers) != 1 || !strings.Contains(string((<-k.answers).bytes), " 500 ") {
		t.Error("it is not answered")
	}
	query.Question = nil
	c.turn(func() { c.arrives(k, query, c.now) }, c.endTurn)
	c.broken("as if, later")
	if len(k.answers) != 1 {
		t.Errorf("the next has %d answers", len(k.answers))
	}
}

// The same for legs whose end was to be told in the turn that broke, behind what broke it.
func TestWhatABrokenTurnWasToTellIsTold(t *testing.T) {
	c := fronted(t)
	k := c.client(t)
	query := &protocol.Query{ID: "q", Track: "look", Deadline: time.Minute, Parts: []protocol.QueryPart{{Shard: 0, Weight: 1}}}
	c.turn(func() { c.arrives(k, query, c.now) }, c.endTurn)
	for _, l := range c.fleet.legs {
		c.next = append(c.next, func() { panic("as if") })
		c.giveUp(l, decide.TimedOut)
	}
	if cause := guard(c.turnWith); cause == "" || len(c.fleet.legs) != 1 {
		t.Fatalf("it breaks by %q with %d legs", cause, len(c.fleet.legs))
	}
	c.broken("as if")
	if c.turnWith(); len(c.fleet.legs)+len(c.parts)+len(c.retrievals) > 0 {
		t.Errorf("%d legs, %d parts, %d retrievals are left", len(c.fleet.legs), len(c.parts), len(c.retrievals))
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
	k := newLink(c, 1, c.fleet.named("s-a"), "127.0.0.1:1", dialect.Frames)
	var calls []*dialect.Call
	for n := range 60 {
		calls = append(calls, &dialect.Call{Leg: uint64(n + 1), Group: uint64(n + 1), Wire: protocol.PartID("q", n), Text: make([]byte, 60_000)})
		k.session.Queue(calls[n])
	}
	began := time.Now()
	k.write(near, near)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("it is written to for %v", took)
	}
	last := calls[len(calls)-1]
	if last.Stage != dialect.Waiting || !k.session.Withdraw(last) {
		t.Errorf("the last of what waits is at stage %v", last.Stage)
	}
}

// set makes a coordinator before one replica that nobody can reach, with some settings replaced.
func set(t *testing.T, settings map[string]string) *Coordinator {
	cell := 0
	d := deployment(t, protocol.Target{UID: "s-a", Endpoint: "127.0.0.1:1", State: protocol.Ready, Cell: &cell})
	maps.Copy(d.settings, settings)
	c, err := New(d, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.fleet.stop)
	return c
}

// A part that was being written when its retrieval ended goes on no other connection should that one break, also where
// nothing may be called off. Guards against: parts sent after the final answer, or for a client that has left.
func TestPartBegunWhenItsRetrievalEndedIsNotBegunAnew(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		c := set(t, map[string]string{"bounds.mayCancel": "false"})
		k := c.client(t)
		query := &protocol.Query{ID: "q", Track: "look", Deadline: time.Minute, Parts: []protocol.QueryPart{{Shard: 0, Weight: 1}}}
		c.turn(func() { c.arrives(k, query, c.now) }, c.endTurn)
		ended := <-c.inbox // of its connection, which is as good as one that was up and broke
		q := c.byQuery["q"]
		for id := range c.fleet.links {
			c.fleet.pool.Up(c.now, id)
		}
		l := q.parts[0].legs[0]
		l.call.Stage = dialect.Begun
		if leaves {
			c.turn(func() { c.clientLeaves(k) }, c.endTurn)
		} else {
			c.turn(func() { c.Scrap(q.id) }, c.endTurn)
		}
		if c.turn(ended, c.endTurn); len(c.fleet.links) > 0 {
			t.Errorf("its client leaves %t: it goes on another connection", leaves)
		}
		c.turnWith()
		if len(c.fleet.legs)+len(c.parts) > 0 {
			t.Errorf("its client leaves %t: %d legs, %d parts are left", leaves, len(c.fleet.legs), len(c.parts))
		}
	}
}

// The same for the other leg of a part that is in, be it begun or not.
func TestOtherLegOfAPartThatIsInGoesNowhere(t *testing.T) {
	for _, begun := range []bool{true, false} {
		c := set(t, map[string]string{"bounds.mayCancel": "false"})
		k := c.client(t)
		query := &protocol.Query{ID: "q", Track: "look", Deadline: time.Minute, Parts: []protocol.QueryPart{{Shard: 0, Weight: 0.5}, {Shard: 2, Weight: 0.5}}}
		c.turn(func() { c.arrives(k, query, c.now) }, c.endTurn)
		p := c.byQuery["q"].parts[0]
		<-c.inbox // the end of its connection; they are as good as ones that stand
		c.Send(p.id, p.legs[0].to, time.Second)
		<-c.inbox
		first, other := p.legs[0], p.legs[1]
		if begun {
			other.call.Stage = dialect.Begun
		}
		var on, beside *link
		for id, l := range c.fleet.links {
			c.fleet.pool.Up(c.now, id)
			if on == nil || id < on.id {
				on = l
			}
			if beside == nil || id > beside.id { // a replica gets two legs of one part on two of them
				beside = l
			}
		}
		c.turn(func() {
			c.replied(on, &dialect.Event{Kind: dialect.Answered, Wire: first.call.Wire, End: dialect.OK, Value: []byte("v"), Busy: -1}, c.now)
		}, func() {})
		if !p.in {
			t.Fatal("the part is not in")
		}
		before := len(c.fleet.links)
		c.turn(func() { c.linkEnded(beside, io.EOF, c.now) }, func() {})
		if c.turn(func() {}, func() {}); !other.over || len(c.fleet.links) > before-1 {
			t.Errorf("begun %t: over %t, %d connections after %d", begun, other.over, len(c.fleet.links), before)
		}
	}
}

// What clients ask for is charged to the tenant that they name, and to no other. Guards against: tenants that are turned back
// for what others asked beyond their shares.
func TestRequestsAreChargedToTheTenantThatAsks(t *testing.T) {
	c := set(t, map[string]string{"orgs.count": "2", "orgs.1.name": "c", "orgs.0.quotaPerS": "1", "orgs.1.quotaPerS": "1"})
	asks := func(tenant string, parts int) (turnedBack bool) {
		before := c.counts.TurnedBack
		query := &protocol.Query{ID: "q", Track: "look", Tenant: tenant, Deadline: 6 * time.Second}
		for n := range parts {
			query.Parts = append(query.Parts, protocol.QueryPart{Shard: 2 * n, Weight: 1 / float64(parts)})
		}
		k := c.client(t)
		c.turn(func() { c.arrives(k, query, c.now) }, func() { c.module.TurnEnds(c.now) })
		c.turn(func() { c.clientLeaves(k) }, func() {})
		c.turnWith()
		return c.counts.TurnedBack > before
	}
	for range 2 { // its allowance
		asks("a,b", 1)
	}
	for _, tenant := range []string{"a,b", "c", "", "nobody"} { // four parts at one replica take a third of the agreed time
		if back := asks(tenant, 4); back != (tenant == "a,b") {
			t.Errorf("%q is turned back: %t", tenant, back)
		}
	}
}

// with makes a coordinator of settings of which one is replaced.
func with(t *testing.T, old, new string) error {
	text := strings.Replace(nested, old, new, 1)
	if text == nested && old != new {
		t.Fatalf("%s is not there", old)
	}
	settings, err := Flatten([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := deployment(t)
	d.settings = settings
	c, err := New(d, log.New(io.Discard, "", 0))
	if err == nil {
		c.fleet.stop()
	}
	return err
}

// A setting with which nothing could be served is named in one line, instead of a start that serves nothing or breaks.
func TestAbsurdSettingsAreNamedInOneLine(t *testing.T) {
	for _, c := range [][3]string{
		{`"connectTimeout":250000`, `"connectTimeout":0`, "bounds.connectTimeout"},
		{`"connectTimeout":250000`, `"connectTimeout":"soon"`, "bounds.connectTimeout"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"maxOpen":0`, "bounds.maxOpen"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"maxOpen":-5`, "bounds.maxOpen"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"multiplex":0`, "bounds.multiplex"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"maxAttempts":0`, "bounds.maxAttempts"},
		{`"discovery"`, `"guarantees":{"askEvery":-1},"discovery"`, "guarantees.askEvery"},
		{`"cells":2`, `"cells":-1`, "familyInfo.cells"},
		{`"cells":2`, `"cells":1e12`, "familyInfo.cells"},
		{`"span":1`, `"span":-2`, "familyInfo.span"},
		{`"name":"claim"`, `"name":"look"`, "lanes.1.name"},
		{`"name":"claim"`, `"name":""`, "lanes.1.name"},
		{`"name":"claim"`, `"name":"a/b"`, "lanes.1.name"},
		{`"deadline":3000000`, `"deadline":0`, "lanes.1.deadline"},
		{`"effect":"side_effect"`, `"effect":"magic"`, "lanes.1.effect"},
	} {
		if err := with(t, c[0], c[1]); err == nil || !strings.Contains(err.Error(), c[2]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c[1], err)
		}
	}
	for _, c := range [][2]string{ // other customers
		{`"deadline":3000000`, `"deadline":300000`}, {`"aim":1500000`, `"aim":100000`}, {`"automatic"`, `"subscribe"`},
		{`"connectTimeout":250000,`, ``}, {`"effect":"side_effect"`, `"effect":"token","window":400000`},
		{`"zones":["west","east"]`, `"zones":["a","b","c","d","e"]`}, {`"name":"claim"`, `"name":"lao-broneering"`},
		{`"cells":2`, `"cells":200`}, {`"discovery"`, `"guarantees":{"stopSendingWithin":50000},"discovery"`},
		{`"connectTimeout":250000`, `"connectTimeout":20000,"maxAttempts":1,"secondCopies":false,"multiplex":1,"idleClose":500000`},
	} {
		if err := with(t, c[0], c[1]); err != nil {
			t.Errorf("%s does not start: %v", c[1], err)
		}
	}
}
