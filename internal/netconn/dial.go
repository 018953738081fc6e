package netconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// A call that failed as this machine lacked something is repeated after a wait that doubles from the first to
	// the longest.
	firstShortageWait   = 5 * time.Millisecond
	longestShortageWait = 80 * time.Millisecond
)

// ErrShortage is wrapped by the error of a connect that failed as this machine lacked something for it (descriptors,
// ports, memory). It says nothing of the peer.
var ErrShortage = errors.New("this machine lacks something for a connection")

// shortages are the errors by which socket(2), bind(2), connect(2) and accept(2) say that this machine lacks
// something for the moment: descriptors, memory, buffers, ports. They say nothing of the peer, and nothing was
// sent.
var shortages = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EINTR,
}

// routeErrors say that there is no route to the peer. For a moment that may be this machine's fault, as while an
// address or a route is changed; if it lasts, it may be the network's.
var routeErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN}

// isAnyOf tells whether a system call failed with one of some errors.
func isAnyOf(err error, some []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(some, errno)
}

// IsShortage tells whether a system call failed for want of something on this machine.
func IsShortage(err error) bool { return isAnyOf(err, shortages) }

// retryShortage repeats a call that fails as this machine lacks something, or a route, until a time or the
// context's end. A shortage of a moment would otherwise count against the peer. One that lasts ends as a
// ErrShortage, and the waits between keep it from using up the processor.
func retryShortage(ctx context.Context, until time.Time, call func() error) error {
	for wait := firstShortageWait; ; wait = min(longestShortageWait, 2*wait) {
		err := call()
		isShortage := IsShortage(err)
		if !isShortage && !isAnyOf(err, routeErrors) {
			return err
		}
		if time.Now().Add(wait).After(until) {
			if isShortage {
				err = fmt.Errorf("%w: %w", ErrShortage, err)
			}
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// Dial connects to an address until a time.
func Dial(ctx context.Context, addr string, until time.Time) (conn net.Conn, err error) {
	dialer := net.Dialer{Deadline: until}
	err = retryShortage(ctx, until, func() error {
		conn, err = dialer.DialContext(ctx, "tcp", addr)
		return err
	})
	return conn, err
}
