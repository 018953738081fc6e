package netconn

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// A look at a connection fails. Only errors that end the connection say that the peer has gone; a shortage of this
// machine says nothing of it.
func TestPeekTakesAShortageForNoEnd(t *testing.T) {
	near, _ := pair(t)
	usual := peekFunc
	defer func() { peekFunc = usual }()
	for errno, want := range map[syscall.Errno]State{
		syscall.ENOBUFS: Quiet, syscall.ENOMEM: Quiet, syscall.EINTR: Quiet, syscall.EAGAIN: Quiet,
		syscall.ECONNRESET: Ended, syscall.ETIMEDOUT: Ended, syscall.EHOSTUNREACH: Ended,
	} {
		peekFunc = func(int, []byte) (int, error) { return -1, errno }
		if got := Peek(near); got != want {
			t.Errorf("%v: %v, want %v", errno, got, want)
		}
	}
}

// A peer sends bytes and closes. Its close is noticed although nobody has read the bytes.
func TestHangUpIsSeenBehindUnreadBytes(t *testing.T) {
	near, far := pair(t)
	if HasHungUp(near) {
		t.Error("a connection that stands has hung up")
	}
	io.WriteString(far, "unread")
	waitFor(t, near, Readable)
	if HasHungUp(near) {
		t.Error("one with unread bytes has hung up")
	}
	far.Close()
	for end := time.Now().Add(20 * time.Second); !HasHungUp(near); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("one that was closed behind unread bytes stands")
		}
	}
}

// pair gives the two ends of a connection on loopback.
func pair(t *testing.T) (near, far *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	dialed.SetDeadline(time.Now().Add(20 * time.Second))
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// waitFor waits until a look at a connection shows a state.
func waitFor(t *testing.T, conn net.Conn, want State) {
	for end := time.Now().Add(20 * time.Second); Peek(conn) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing comes")
		}
	}
}
