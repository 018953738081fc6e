package netconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"terntray/connpool"
)

const (
	shortageFirstWait = 5 * time.Millisecond  // from a call that failed for want of something here to the next
	shortageMostWait  = 80 * time.Millisecond // the longest such wait; it doubles up to here
)

// shortages are the errors by which socket(2), bind(2), connect(2) and accept(2) say that this machine lacks something for
// the moment: descriptors, memory, buffers, ports. They say nothing of the far side, and nothing was sent.
var shortages = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
}

// routeErrors say that there is no way to the far side's network: for a moment that is this machine's doing, for longer it
// may be the network's.
var routeErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN}

// isErrno tells whether a system call failed with one of some errors.
func isErrno(err error, among []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(among, errno)
}

// IsShortage tells whether a system call failed for want of something on this machine.
func IsShortage(err error) bool { return isErrno(err, shortages) }

// retryShortage calls again what fails for want of something on this machine, or of a route, until a time or the context's
// end. What still fails for want of something here then is a connpool.ErrShortage. Guards against: a shortage of a moment that counts against whoever was to be
// reached. Should also cover: one that lasts, which must not spin. Could hurt: by some milliseconds.
func retryShortage(ctx context.Context, until time.Time, call func() error) error {
	for wait := shortageFirstWait; ; wait = min(shortageMostWait, 2*wait) {
		err := call()
		short := IsShortage(err)
		if !short && !isErrno(err, routeErrors) {
			return err
		}
		if time.Now().Add(wait).After(until) {
			if short {
				err = fmt.Errorf("%w: %w", connpool.ErrShortage, err)
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
