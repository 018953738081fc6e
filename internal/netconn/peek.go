package netconn

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what can be seen of a connection without reading it.
type State int

const (
	Quiet    State = iota // nothing is there to be read, or it cannot be told
	Readable              // something is there to be read
	Ended                 // the peer has closed it, and everything before that has been read
)

// deadErrors are the errors of a socket that end its connection. All others, such as a shortage of buffers, say
// nothing of the peer.
var deadErrors = []error{
	syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOTCONN, syscall.ECONNREFUSED,
}

func isDead(err error) bool {
	for _, dead := range deadErrors {
		if errors.Is(err, dead) {
			return true
		}
	}
	return false
}

// onSocket calls a function with a connection's descriptor, if it has one that is open.
func onSocket(conn net.Conn, do func(descriptor int)) {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { do(int(descriptor)) }) // a closed connection shows nothing
}

// peekFunc is recv(2) with MSG_PEEK; tests replace it.
var peekFunc = func(descriptor int, buffer []byte) (int, error) {
	n, _, err := syscall.Recvfrom(descriptor, buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Peek looks at a connection; it never waits.
func Peek(conn net.Conn) (state State) {
	onSocket(conn, func(descriptor int) {
		buffer := make([]byte, 1)
		n, err := peekFunc(descriptor, buffer)
		switch {
		case n > 0:
			state = Readable
		case err == nil || isDead(err):
			state = Ended
		}
	})
	return state
}

// HasEnded tells whether the peer has closed a connection, which the connection's reader may not have noticed yet.
// A writer asks before it writes a call. The kernel would still take the call's bytes after the peer has closed, and
// the call would then count as one that may have run.
func HasEnded(conn net.Conn) bool { return Peek(conn) == Ended }

// States of a TCP connection as tcp_info gives them (linux/tcp.h, include/net/tcp_states.h).
const (
	tcpEstablished = 1
	tcpClose       = 7
	tcpCloseWait   = 8
	tcpLastAck     = 9
	tcpClosing     = 11
)

// HasHungUp tells whether the peer has closed a connection, also behind bytes that nobody has read yet.
func HasHungUp(conn net.Conn) bool {
	state := uint8(0)
	onSocket(conn, func(descriptor int) {
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	switch state {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	case tcpEstablished:
		return false
	}
	return HasEnded(conn)
}

// SinceLastData is how long ago the last bytes arrived on a connection, whether or not they have been read; 0 where
// the operating system does not tell.
func SinceLastData(conn net.Conn) (ago time.Duration) {
	onSocket(conn, func(descriptor int) {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State != 0 {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}
