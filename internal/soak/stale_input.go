package soak

import (
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// staleInput counts the bytes that are read from a connection, and remembers which of them may have been sent long before
// they were read: those that had arrived when the replica resumed reading. The time at which they are read does not show
// that, as it may be much later on a busy machine.
type staleInput struct {
	net.Conn
	read     atomic.Int64 // bytes so far
	staleEnd atomic.Int64 // offset of the first byte that cannot be stale
}

// Read reads from the connection.
func (input *staleInput) Read(buffer []byte) (int, error) {
	size, err := input.Conn.Read(buffer)
	input.read.Add(int64(size))
	return size, err
}

// markStale marks all bytes that have arrived so far.
func (input *staleInput) markStale() {
	unread := int64(unreadBytes(input.Conn)) // before those read, so that bytes that are read meanwhile count
	input.staleEnd.Store(input.read.Load() + unread)
}

// isStale reports whether a byte may have been sent much earlier, given how many of the bytes read come from it on.
func (input *staleInput) isStale(buffered int) bool {
	return input.read.Load()-int64(buffered) < input.staleEnd.Load()
}

// unreadBytes returns how many bytes have arrived on a connection and were not read, or 0 if that is unknown.
func unreadBytes(conn net.Conn) (count int) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(descriptor uintptr) { // for a closed connection the count is unknown
		if arrived, err := unix.IoctlGetInt(int(descriptor), unix.TIOCINQ); err == nil {
			count = arrived
		}
	})
	return count
}
