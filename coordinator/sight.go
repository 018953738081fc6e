package coordinator

import (
	"net"
	"syscall"
)

// sight is what can be seen of a connection without reading it.
type sight int

const (
	still sight = iota // nothing is there to be read, or it cannot be told
	more               // there is
	over               // the far side has ended it, and all before that is read
)

// look looks at a connection; it never waits.
func look(conn net.Conn) (s sight) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return still
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return still
	}
	raw.Control(func(fd uintptr) {
		one := make([]byte, 1)
		n, _, err := syscall.Recvfrom(int(fd), one, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			s = more
		case n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
			s = over
		}
	})
	return s
}

// hasEnded tells whether the far side has closed a connection, which its reader may not have been able to tell yet.
// Guards against: frames written after that, which may then have run as far as anybody knows.
func hasEnded(conn net.Conn) bool { return look(conn) == over }
