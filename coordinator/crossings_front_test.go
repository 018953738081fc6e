package coordinator

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

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
	(c.loop.Receive())()
	close(b.now)
	k.wake()
	(c.loop.Receive())()
	if n, err := far.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes come", n)
	}
	for end := time.Now().Add(20 * time.Second); len(c.front.slots) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("its slot is taken")
		}
	}
	if len(c.queries) > 0 || c.counts.Disconnected != 1 {
		t.Errorf("%d retrievals, counts %+v", len(c.queries), c.counts)
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
	far := asksUp(t, l)
	isUp(t, far)
}

// asksUp connects to a listener and asks whether the service is up.
func asksUp(t *testing.T, l net.Listener) net.Conn {
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	far.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(far, "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	return far
}

// isUp checks that the answer says so.
func isUp(t *testing.T, far net.Conn) {
	t.Helper()
	got := make([]byte, 12)
	if _, err := io.ReadFull(far, got); err != nil || string(got) != "HTTP/1.1 200" {
		t.Fatalf("%q, %v", got, err)
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
	far := asksUp(t, l)
	l.(*net.TCPListener).SetDeadline(time.Now().Add(-time.Second))
	c.front.listener = l
	go c.front.accept(c)
	isUp(t, far)
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
		far[n] = asksUp(t, l)
	}
	c.shutdownAt.Store(int64(c.loop.Since(time.Now().Add(-goingOn))))
	l.(*net.TCPListener).SetDeadline(time.Now().Add(-time.Second))
	c.front.listener = l
	go c.front.accept(c)
	isUp(t, far[0])
	time.Sleep(2 * sweepUp) // it keeps its slot until the last look is over
	far[0].Close()
	isUp(t, far[1])
}
