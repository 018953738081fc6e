package netconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"terntray/internal/conntest"
)

// Peeking at a connection fails. Only errors that end the connection mean that the peer has closed it; a local
// shortage does not.
func TestPeekDoesNotTreatShortageAsEnd(t *testing.T) {
	near, _ := conntest.Pair(t)
	original := peekFunc
	defer func() { peekFunc = original }()
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

// A peer sends data and closes. The close is detected although nobody has read the data.
func TestHangUpIsDetectedBehindUnreadBytes(t *testing.T) {
	near, far := conntest.Pair(t)
	if HasHungUp(near) {
		t.Error("an open connection is reported as hung up")
	}
	io.WriteString(far, "unread")
	waitFor(t, near, Readable)
	if HasHungUp(near) {
		t.Error("an open connection with unread data is reported as hung up")
	}
	far.Close()
	for end := time.Now().Add(20 * time.Second); !HasHungUp(near); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection that was closed after unread data is not reported as hung up")
		}
	}
}

// waitFor waits until Peek returns a state.
func waitFor(t *testing.T, conn net.Conn, want State) {
	for end := time.Now().Add(20 * time.Second); Peek(conn) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection does not reach the expected state")
		}
	}
}

// A reset must reach the connection's reader even if HasInput was asked before: a reader that saw an orderly end
// instead would take an incomplete message for a complete one.
func TestHasInputLeavesAResetToTheReader(t *testing.T) {
	near, far := conntest.Pair(t)
	if HasInput(near) {
		t.Error("a silent connection has input")
	}
	far.SetLinger(0)
	far.Close()
	for end := time.Now().Add(5 * time.Second); !HasInput(near); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the reset is not input")
		}
	}
	if err := AwaitInput(near); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("AwaitInput returned %v", err)
	}
}

// AwaitInput must neither read anything nor wait longer than the read deadline.
func TestAwaitInputReadsNothing(t *testing.T) {
	near, far := conntest.Pair(t)
	near.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if err := AwaitInput(near); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without input: %v", err)
	}
	near.SetReadDeadline(time.Time{})
	far.Write([]byte("ab"))
	if err := AwaitInput(near); err != nil {
		t.Error(err)
	}
	buffer := make([]byte, 2)
	if _, err := io.ReadFull(near, buffer); err != nil || string(buffer) != "ab" {
		t.Errorf("read %q, error %v", buffer, err)
	}
}
