package server

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose first accepts fail as if there were no descriptors left.
type failingListener struct {
	net.Listener
	failures int
}

func (listener *failingListener) Accept() (net.Conn, error) {
	listener.failures--
	if listener.failures >= 0 {
		return nil, syscall.EMFILE
	}
	return listener.Listener.Accept()
}

func newListener(t *testing.T) *net.TCPListener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener.(*net.TCPListener)
}

// connectAndRequestUp connects to a listener and sends a request for /up.
func connectAndRequestUp(t *testing.T, listener net.Listener) net.Conn {
	clientEnd, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { clientEnd.Close() })
	clientEnd.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(clientEnd, upRequest)
	return clientEnd
}

// expectUp checks that the response reports the service as up.
func expectUp(t *testing.T, clientEnd net.Conn) {
	t.Helper()
	expectStatus(t, clientEnd, "HTTP/1.1 200")
}

func expectStatus(t *testing.T, clientEnd net.Conn, want string) {
	t.Helper()
	if status, err := readStatus(clientEnd); err != nil || status != want {
		t.Fatalf("%q, want %q, %v", status, want, err)
	}
}

// Accept fails several times because there are no descriptors left. No slot is leaked and the listener keeps
// running: the connection in the kernel's queue is accepted later.
func TestFailedAcceptIsRetried(t *testing.T) {
	f := newFixture()
	f.handler.ready.Store(true)
	listener := newListener(t)
	f.server.slots = newConnSlots(2)
	f.server.listener = &failingListener{listener, 5}
	go f.server.acceptAll()
	defer listener.Close()
	expectUp(t, connectAndRequestUp(t, listener))
}

// During shutdown the process is stalled until the listener's deadline has passed, and a client connects in that time.
// The client is still served.
func TestConnQueuedBeforeListenerClosesIsServed(t *testing.T) {
	f := newFixture()
	f.handler.ready.Store(true)
	listener := newListener(t)
	clientEnd := connectAndRequestUp(t, listener)
	listener.SetDeadline(time.Now().Add(-time.Second))
	f.server.listener = listener
	go f.server.acceptAll()
	expectUp(t, clientEnd)
}

// As above, but with a single slot, which another connection holds until the final accept has ended. The final accept
// starts over once the slot is free, and the second connection is served.
func TestConnQueuedBeforeListenerClosesIsServedOnceASlotIsFree(t *testing.T) {
	f := newFixture()
	f.handler.ready.Store(true)
	f.server.slots = newConnSlots(1)
	listener := newListener(t)
	var clientEnds [2]net.Conn
	for n := range clientEnds {
		clientEnds[n] = connectAndRequestUp(t, listener)
	}
	f.finalAcceptAfterShutdown(listener)
	expectStatus(t, clientEnds[0], "HTTP/1.1 503") // the server is shutting down
	time.Sleep(2 * finalAcceptTime)                // holds its slot until the final accept has ended
	clientEnds[0].Close()
	expectStatus(t, clientEnds[1], "HTTP/1.1 503")
}

// Guards against requests that get no answer: other clients hold all slots, and what has no slot waited in the kernel's queue
// until they were done, far beyond its deadline. Such connections are answered soon, while those clients are still there.
func TestConnectionWithoutASlotIsAnsweredSoon(t *testing.T) {
	const (
		waiting = 5
		limit   = 2 * slotPatience // each waits from its arrival on, not from when its turn comes
	)
	f := newFixture()
	f.run(t)
	listener := newListener(t)
	f.server.slots = newConnSlots(2)
	f.server.listener = listener
	go f.server.acceptAll()
	defer listener.Close()
	start := time.Now()
	for n := range cap(f.server.slots.used) {
		holder, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer holder.Close()
		io.WriteString(holder, queryRequest(fmt.Sprint("q", n))) // has no answer
	}
	for end := time.Now().Add(20 * time.Second); len(f.server.slots.used) < cap(f.server.slots.used) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	var ends []net.Conn
	for range waiting {
		ends = append(ends, connectAndRequestUp(t, listener))
	}
	for _, end := range ends {
		expectStatus(t, end, "HTTP/1.1 503")
	}
	if took := time.Since(start); took > limit {
		t.Errorf("the last of them was answered after %v, want %v at the most", took, limit)
	}
	if shed := f.server.Counts().Shed; shed != waiting {
		t.Errorf("%d connections were shed, want %d", shed, waiting)
	}
}
