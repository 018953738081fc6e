package netconn

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// Only errors that end a connection say that its far side has gone; a shortage of this machine says nothing.
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

// A far side that has closed is noticed behind bytes that nobody has read.
func TestHangUpIsSeenBehindUnreadBytes(t *testing.T) {
	near, far := pair(t)
	if HasHungUp(near) {
		t.Error("a connection that stands has hung up")
	}
	io.WriteString(far, "unread")
	sees(t, near, Readable)
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
func sees(t *testing.T, conn net.Conn, what State) {
	for end := time.Now().Add(20 * time.Second); Peek(conn) != what; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing comes")
		}
	}
}
