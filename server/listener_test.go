package server

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener of which some accepts fail, as where descriptors are used up.
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

// connectAndRequestUp connects to a listener and asks whether the service is up.
func connectAndRequestUp(t *testing.T, listener net.Listener) net.Conn {
	far, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	far.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(far, upRequest)
	return far
}

// expectUp checks that the response says so.
func expectUp(t *testing.T, far net.Conn) {
	t.Helper()
	expectStatus(t, far, "HTTP/1.1 200")
}

func expectStatus(t *testing.T, far net.Conn, want string) {
	t.Helper()
	if status, err := readStatus(far); err != nil || status != want {
		t.Fatalf("%q, want %q, %v", status, want, err)
	}
}

// Descriptors run out and accept fails several times. That loses no slot and ends nothing: the connection that
// waits in the kernel is accepted a little later.
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

// At SIGTERM this process stands still until the listener's deadline has passed, and a client has connected
// meanwhile. It is served all the same.
func TestConnQueuedBeforeListenerClosesIsServed(t *testing.T) {
	f := newFixture()
	f.handler.ready.Store(true)
	listener := newListener(t)
	far := connectAndRequestUp(t, listener)
	listener.SetDeadline(time.Now().Add(-time.Second))
	f.server.listener = listener
	go f.server.acceptAll()
	expectUp(t, far)
}

// The same with a single slot, which another connection holds until the final accept is over. The final accept
// begins anew once the slot is free, and the second connection is served.
func TestConnQueuedBeforeListenerClosesIsServedOnceASlotIsFree(t *testing.T) {
	f := newFixture()
	f.handler.ready.Store(true)
	f.server.slots = newConnSlots(1)
	listener := newListener(t)
	var far [2]net.Conn
	for n := range far {
		far[n] = connectAndRequestUp(t, listener)
	}
	f.finalAcceptAfterShutdown(listener)
	expectStatus(t, far[0], "HTTP/1.1 503") // that it shuts down
	time.Sleep(2 * finalAcceptTime)         // it keeps its slot until the final accept is over
	far[0].Close()
	expectStatus(t, far[1], "HTTP/1.1 503")
}
