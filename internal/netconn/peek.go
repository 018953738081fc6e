package netconn

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what can be observed about a connection without reading from it.
type State int

const (
	Quiet    State = iota // no input is available, or the state is unknown
	Readable              // input is available
	Ended                 // the peer has closed it, and all input before that has been read
)

// fatalErrors are the errors of a socket that end its connection. All others, such as a shortage of buffers, are no
// evidence about the peer.
var fatalErrors = []error{
	syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOTCONN, syscall.ECONNREFUSED,
}

func isFatal(err error) bool {
	for _, fatal := range fatalErrors {
		if errors.Is(err, fatal) {
			return true
		}
	}
	return false
}

// withDescriptor calls a function with a connection's descriptor, if it has one that is open.
func withDescriptor(conn net.Conn, do func(descriptor int)) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { do(int(descriptor)) }) // for a closed connection the state is unknown
}

// peekFunc calls recv(2) with MSG_PEEK; tests replace it.
var peekFunc = func(descriptor int, buffer []byte) (int, error) {
	n, _, err := syscall.Recvfrom(descriptor, buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Peek returns the state of a connection without blocking.
func Peek(conn net.Conn) (state State) {
	withDescriptor(conn, func(descriptor int) {
		buffer := make([]byte, 1)
		n, err := peekFunc(descriptor, buffer)
		switch {
		case n > 0:
			state = Readable
		case err == nil || isFatal(err):
			state = Ended
		}
	})
	return state
}

// HasInput reports whether a connection has input, an end or an error that was not read yet. Unlike Peek it does not
// take an error from the connection, which its reader would then miss.
func HasInput(conn net.Conn) (hasInput bool) {
	withDescriptor(conn, func(descriptor int) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		ready, err := unix.Poll(polled, 0)
		hasInput = err == nil && ready > 0
	})
	return hasInput
}

// AwaitInput waits until a connection has input to read or has ended, without reading. It returns an error if the
// connection has one, the read deadline passes or the connection is closed meanwhile.
func AwaitInput(conn net.Conn) error {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return err
	}
	buffer := make([]byte, 1)
	var connErr error
	err = raw.Read(func(descriptor uintptr) (done bool) {
		_, connErr = peekFunc(int(descriptor), buffer)
		return !errors.Is(connErr, syscall.EAGAIN) && !errors.Is(connErr, syscall.EINTR)
	})
	if err != nil {
		return err
	}
	return connErr
}

// HasEnded reports whether the peer has closed a connection and no input is left to be read, even if the connection's
// reader has not noticed yet. A writer checks this before it writes a call: after the peer has closed, the kernel
// would still accept the call's bytes, and the call would count as one that may have run.
func HasEnded(conn net.Conn) bool { return Peek(conn) == Ended }

// States of a TCP connection, as reported in tcp_info (linux/tcp.h, include/net/tcp_states.h).
const (
	tcpEstablished = 1
	tcpClose       = 7
	tcpCloseWait   = 8
	tcpLastAck     = 9
	tcpClosing     = 11
)

// HasHungUp reports whether the peer has closed a connection, even if input before that has not been read yet.
func HasHungUp(conn net.Conn) bool {
	state := uint8(0)
	withDescriptor(conn, func(descriptor int) {
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

// SinceLastData returns the time since a connection last received data, whether or not that was read. known is false if
// the operating system does not report it.
func SinceLastData(conn net.Conn) (ago time.Duration, known bool) {
	withDescriptor(conn, func(descriptor int) {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State != 0 {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
			known = true
		}
	})
	return ago, known
}
