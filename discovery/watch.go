package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"terntray/internal/netconn"
	"terntray/internal/wire"
)

// How long a poll may take beyond the time for which the agent may hold it back.
const (
	// listTimeout is for a poll of the whole list, where changes come only to those who poll.
	listTimeout = 2 * time.Second
	// watchTimeout is for a poll of changes there. Every co-ordinator counts as knowing a change 2 s after the agent
	// has it; a poll whose response is lost has to be noticed, and made again, before that.
	watchTimeout = 1 * time.Second
	// agentTimeout is for polls of either kind to an agent on this machine, which pushes changes.
	agentTimeout = 500 * time.Millisecond
)

func (watcher *Watcher) responseTimeout() time.Duration {
	if watcher.onDemand {
		return listTimeout
	}
	return agentTimeout
}

// watch polls the whole list and then, again and again, what has changed, on one connection for as long as the agent
// keeps that open. It belongs to one goroutine.
type watch struct {
	address         string
	hold            time.Duration // for which the agent may hold a poll for changes back
	responseTimeout time.Duration // beyond that
	deliver         func(list *wire.EndpointList)

	conn       net.Conn // nil: none
	stopCloser func() bool
	reader     wire.EndpointListReader

	listed   bool               // the whole list has come
	revision int64              // of the last list
	pending  *wire.EndpointList // read and not delivered yet
}

func newWatch(address string, hold, responseTimeout time.Duration, deliver func(*wire.EndpointList)) *watch {
	return &watch{address: address, hold: hold, responseTimeout: responseTimeout, deliver: deliver}
}

// run polls until a poll fails or the context ends; it returns the failure.
func (watch *watch) run(ctx context.Context) error {
	defer watch.disconnect()
	for {
		if watch.conn == nil {
			watch.deliverPending()
			if err := watch.connect(ctx); err != nil {
				return err
			}
		}
		if err := watch.poll(); err != nil {
			return err
		}
	}
}

// poll makes one poll. What the last one brought is delivered only once this one is sent: delivery waits where
// the inbox of the loop is full, and the watch would lapse meanwhile.
func (watch *watch) poll() error {
	request, hold := watch.nextRequest()
	watch.conn.SetDeadline(time.Now().Add(hold + watch.responseTimeout))
	_, err := watch.conn.Write(request)
	watch.deliverPending()
	if err != nil {
		return err
	}
	list, last, err := watch.readList()
	if err != nil {
		return err
	}
	if last {
		watch.disconnect()
	}
	continues := watch.listed && list.Revision >= watch.revision
	if !list.All && !continues {
		return &RevisionError{Found: list.Revision, After: watch.revision}
	}
	watch.listed = true
	watch.revision = list.Revision
	watch.pending = list
	watch.responseTimeout = min(watch.responseTimeout, watchTimeout)
	return nil
}

// nextRequest is the next poll, and for how long the agent may hold it back.
func (watch *watch) nextRequest() (request []byte, hold time.Duration) {
	if !watch.listed {
		return wire.ListRequest(watch.address), 0
	}
	return wire.WatchRequest(watch.address, watch.revision, watch.hold.Milliseconds()), watch.hold
}

func (watch *watch) deliverPending() {
	if watch.pending != nil {
		watch.deliver(watch.pending)
		watch.pending = nil
	}
}

func (watch *watch) connect(ctx context.Context) error {
	conn, err := netconn.Dial(ctx, watch.address, time.Now().Add(watch.responseTimeout))
	if err != nil {
		return err
	}
	watch.conn = conn
	watch.stopCloser = netconn.CloseOnDone(ctx, conn)
	watch.reader = wire.EndpointListReader{}
	return nil
}

func (watch *watch) disconnect() {
	if watch.conn == nil {
		return
	}
	watch.stopCloser()
	watch.conn.Close()
	watch.conn = nil
}

// readList reads one response; last tells that the agent closes the connection behind it. A response without a length
// ends with its connection, but only if that was closed in order: after a reset a part of the list may be missing.
func (watch *watch) readList() (list *wire.EndpointList, last bool, err error) {
	for {
		list, last, err = watch.reader.Next()
		if list != nil || err != nil {
			return list, last, err
		}
		count, err := watch.conn.Read(watch.reader.FreeSpace())
		watch.reader.Filled(count)
		isProgress := err == nil || count > 0
		if isProgress {
			continue
		}
		if !errors.Is(err, io.EOF) || watch.reader.IsClosed() {
			return nil, false, err
		}
		watch.reader.ConnClosed()
	}
}

// RevisionError says that an agent told changes that do not continue the list as it is known.
type RevisionError struct {
	Found int64 // revision of the changes
	After int64 // revision that they had to continue
}

// Error is the text in the log.
func (err *RevisionError) Error() string {
	return fmt.Sprintf("changes of revision %d after %d", err.Found, err.After)
}
