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
	// A call that failed for a shortage is retried after a wait that doubles from the minimum to the maximum.
	minShortageWait = 5 * time.Millisecond
	maxShortageWait = 80 * time.Millisecond
)

// ErrOSResourceShortage is wrapped by the error of a connect that failed because the operating system of this machine
// was out of file descriptors, local ports or memory for socket buffers. Such an error is no evidence about the peer.
var ErrOSResourceShortage = errors.New("the operating system is out of file descriptors, local ports or socket buffers")

// osResourceErrors are the errors by which socket(2), bind(2), connect(2) and accept(2) report a temporary shortage of
// a local resource: descriptors, memory, buffers, ports. They are no evidence about the peer, and nothing was sent.
var osResourceErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EINTR,
}

// routeErrors say that there is no route to the peer. If they are temporary, the cause may be local, such as a change
// of an address or a route; if they persist, it may be the network.
var routeErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN}

// isAnyOf reports whether a system call failed with one of the given errors.
func isAnyOf(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// IsOSResourceShortage reports whether a system call failed for one of osResourceErrors.
func IsOSResourceShortage(err error) bool { return isAnyOf(err, osResourceErrors) }

// retryOSResourceShortage retries a call that fails for a shortage of local resources, or for lack of a route, until a
// deadline or until the context ends. Otherwise a momentary shortage would count against the peer. A lasting shortage
// is returned as an ErrOSResourceShortage. The waits between retries limit the CPU time that it costs.
func retryOSResourceShortage(ctx context.Context, until time.Time, call func() error) error {
	for wait := minShortageWait; ; wait = min(maxShortageWait, 2*wait) {
		err := call()
		isShortage := IsOSResourceShortage(err)
		if !isShortage && !isAnyOf(err, routeErrors) {
			return err
		}
		if time.Now().Add(wait).After(until) {
			if isShortage {
				err = fmt.Errorf("%w: %w", ErrOSResourceShortage, err)
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

// Dial connects to an address, with until as the deadline.
func Dial(ctx context.Context, addr string, until time.Time) (conn net.Conn, err error) {
	dialer := net.Dialer{Deadline: until}
	err = retryOSResourceShortage(ctx, until, func() error {
		conn, err = dialer.DialContext(ctx, "tcp", addr)
		return err
	})
	return conn, err
}
