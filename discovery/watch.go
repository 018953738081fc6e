package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"terntray/internal/netconn"
	"terntray/internal/wire"
)

// Response timeouts of polls, in addition to the time for which the agent may hold a poll.
const (
	// listTimeout applies to polls of the full list on demand.
	listTimeout = 2 * time.Second
	// watchTimeout applies to polls for changes on demand. Each co-ordinator is expected to know of a change 2 s
	// after the agent does; a poll whose response is lost has to be detected and retried within that time.
	watchTimeout = 1 * time.Second
	// agentTimeout applies to all polls of an agent on the same host, which pushes changes.
	agentTimeout = 500 * time.Millisecond
)

// answerTime is how long an agent on the same host may take for an answer that it has: for a longer time without one it holds
// the poll, or is down.
const answerTime = 20 * time.Millisecond

func (watcher *Watcher) responseTimeout() time.Duration {
	if watcher.onDemand {
		return listTimeout
	}
	return agentTimeout
}

// watch polls the full list and then repeatedly polls for changes, on one connection for as long as the agent keeps it
// open. It is used by a single goroutine, except for hasCaughtUp.
type watch struct {
	mu sync.Mutex // held by run, except while it connects or waits for input; guards conn

	address         string
	hold            time.Duration // how long the agent may hold a poll for changes
	responseTimeout time.Duration // in addition to hold
	deliver         func(list *wire.EndpointList)

	conn       net.Conn    // nil if not connected
	stopCloser func() bool // stops netconn.CloseOnDone
	reader     wire.EndpointListReader

	hasList  bool               // the full list was received
	revision int64              // of the last list
	pending  *wire.EndpointList // received but not delivered yet

	askedAt time.Time // when the last poll was written, or the watch began to connect for it
	isOver  bool      // its context is cancelled
}

func newWatch(address string, hold, responseTimeout time.Duration, deliver func(*wire.EndpointList)) *watch {
	return &watch{address: address, hold: hold, responseTimeout: responseTimeout, deliver: deliver}
}

// run polls until a poll fails or the context is cancelled, and returns the error. It begins with the full list.
func (watch *watch) run(ctx context.Context) error {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	defer watch.endRun(ctx)
	watch.hasList = false
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

// endRun disconnects. Until the next run has had time for an answer, the watch has not caught up.
func (watch *watch) endRun(ctx context.Context) {
	watch.disconnect()
	watch.askedAt = time.Now()
	watch.isOver = ctx.Err() != nil
}

// poll sends one poll and reads its response. The previous poll's list is delivered only after this poll has been sent:
// delivery blocks while the queue of the event loop is full, and the watch would expire meanwhile.
func (watch *watch) poll() error {
	request, hold := watch.nextRequest()
	watch.conn.SetDeadline(time.Now().Add(hold + watch.responseTimeout))
	_, err := watch.conn.Write(request)
	watch.askedAt = time.Now()
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
	continues := watch.hasList && list.Revision >= watch.revision
	if !list.All && !continues {
		return &RevisionError{Found: list.Revision, After: watch.revision}
	}
	watch.hasList = true
	watch.revision = list.Revision
	watch.pending = list
	watch.responseTimeout = min(watch.responseTimeout, watchTimeout)
	return nil
}

// nextRequest returns the next poll request and how long the agent may hold it.
func (watch *watch) nextRequest() (request []byte, hold time.Duration) {
	if !watch.hasList {
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
	watch.askedAt = time.Now()
	watch.mu.Unlock()
	conn, err := netconn.Dial(ctx, watch.address, time.Now().Add(watch.responseTimeout))
	watch.mu.Lock()
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

// readList reads one response; last is true if the agent closes the connection after it. A response without a
// length ends when the agent closes the connection, but not with a reset, after which part of the list may be
// missing.
func (watch *watch) readList() (list *wire.EndpointList, last bool, err error) {
	for {
		list, last, err = watch.reader.Next()
		if list != nil || err != nil {
			return list, last, err
		}
		if err := watch.awaitInput(); err != nil {
			return nil, false, err
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

// awaitInput waits until there is something to read.
func (watch *watch) awaitInput() error {
	watch.mu.Unlock()
	defer watch.mu.Lock()
	return netconn.AwaitInput(watch.conn)
}

// hasCaughtUp reports whether everything that the agent has for this process has arrived, was read and, if it completed a
// list, delivered. An agent answers only polls: what it has learned since its last answer arrives once the next poll was
// written, perhaps on a new connection, and the agent had time to answer it. It may be called from any goroutine.
func (watch *watch) hasCaughtUp() bool {
	if !watch.mu.TryLock() {
		return false
	}
	defer watch.mu.Unlock()
	if watch.isOver {
		return true
	}
	hasInput := watch.conn != nil && netconn.HasInput(watch.conn)
	return !hasInput && time.Since(watch.askedAt) >= answerTime
}

// RevisionError is returned if the changes sent by an agent are older than the last received list, or come before any
// list.
type RevisionError struct {
	Found int64 // revision of the changes
	After int64 // revision of the last received list
}

// Error returns both revisions.
func (err *RevisionError) Error() string {
	return fmt.Sprintf("received changes of revision %d after revision %d", err.Found, err.After)
}
