package coordinator

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"terntray/connpool"
	"terntray/eventloop"
	"terntray/internal/netconn"
	"terntray/internal/replicaproto"
)

const (
	lastLook    = 5 * time.Millisecond   // for what crosses the end of a connection
	lastWords   = time.Second            // what a connection that cannot be written to may still bring
	goodbye     = 50 * time.Millisecond  // for the last word on a connection
	wholeTimes  = 4                      // times what a piece of a message may take: for all of it from the first on
	frameWithin = 100 * time.Millisecond // for a message that has begun to come to go on, at the least; else as long as to come up
	mostOutput  = 16 << 10               // bytes of a write, about: what waits behind it can still be taken back
	takenWithin = 60 * time.Millisecond  // for a write at the most: with clientSeenFresh, 0.1 s after a client has gone
)

// link drives one connection to a replica: a goroutine that reads, one that writes. What it carries is decided in
// package connpool, what the bytes mean in its session; mu guards that and all else here that may change.
type link struct {
	c    *Coordinator
	id   connpool.ConnID
	to   *replica
	addr string
	kind replicaproto.Protocol
	tls  *tls.Config // nil: cleartext

	mu      sync.Mutex
	more    *sync.Cond
	session replicaproto.Session
	conn    net.Conn // set once it is connected
	ended   bool
	mute    bool // nothing more is written
}

func newLink(c *Coordinator, id connpool.ConnID, to *replica, addr string, kind replicaproto.Protocol) *link {
	k := &link{c: c, id: id, to: to, addr: addr, kind: kind, session: c.fleet.session(kind, to)}
	if l := c.fleet.secure[to.tls]; l != nil && kind == replicaproto.HTTP2 {
		k.tls = l.Config
	}
	k.more = sync.NewCond(&k.mu)
	return k
}

// close ends the connection; its goroutines give it back. Where a dialect has a last word, its writer says it.
func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	k.session.AnnounceClose()
	k.more.Signal()
	switch {
	case k.conn == nil:
	case replicaproto.TraitsOf(k.kind).Multiplexed && !k.mute:
		k.conn.SetWriteDeadline(time.Now().Add(goodbye)) // whatever is being written
	default:
		k.conn.Close()
	}
}

// alive tells whether the far side has not ended the connection.
func (k *link) alive() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.conn != nil && !netconn.HasEnded(k.conn)
}

// run opens the connection, reads it to its end and gives it back.
func (k *link) run() {
	cause := k.carry()
	at := k.c.loop.Since(time.Now())
	k.c.loop.Post(func() { k.c.linkEnded(k, cause, at) })
}

func (k *link) carry() error {
	f := &k.c.fleet
	began := time.Now()
	conn, err := netconn.Dial(f.context, k.addr, began.Add(f.connectWithin))
	if err != nil {
		return err
	}
	defer conn.Close()
	defer netconn.CloseOnDone(f.context, conn)()
	k.mu.Lock()
	k.conn = conn
	ended := k.ended
	k.mu.Unlock()
	if ended {
		return net.ErrClosed
	}
	talk := conn
	if k.tls != nil {
		if talk, err = secured(f.context, conn, k.tls, k.addr, began.Add(f.connectWithin)); err != nil {
			return err
		}
	}
	ready := time.Time{}
	if replicaproto.TraitsOf(k.kind).Multiplexed {
		ready = began.Add(f.connectWithin)
	} else {
		k.c.loop.Post(func() { k.c.linkUp(k) })
	}
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		k.write(talk, conn)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.mute = true
	}()
	var cause error
	if panicked := eventloop.Recover(func() { cause = k.read(talk, ready) }); panicked != "" {
		cause = errors.New(panicked)
	}
	k.close()
	<-writer
	return cause
}

// read reads until the connection ends; where a dialect has to say that calls may go, it has until ready for that.
// Guards against: noise and lengths that do not fit, which leave a message unfinished. Should also cover: a replica that
// stops in the midst of one, or goes on and on, while the answers behind it wait. Could hurt: never, a piece that was lost on its way comes within what a lost connect may take.
func (k *link) read(conn net.Conn, ready time.Time) error {
	shares := replicaproto.TraitsOf(k.kind).Multiplexed
	timed, looked := !ready.IsZero(), false
	within := max(frameWithin, k.c.fleet.connectWithin) // a piece
	whole, began := time.Time{}, false                  // until when a message that has begun has to be
	conn.SetReadDeadline(ready)
	for {
		n, err := conn.Read(k.session.ReadBuffer())
		at := k.c.loop.Since(time.Now())
		all, partly, bad := k.take(n)
		if !partly || !began || len(all) > 0 {
			whole = time.Now().Add(wholeTimes * within)
		} else if n > 0 && bad == nil && time.Now().After(whole) && netconn.Peek(conn) != netconn.Readable { // else it may have waited here
			bad = errors.New("a message that does not end")
		}
		began = partly
		if errors.Is(err, os.ErrDeadlineExceeded) && bad == nil && (partly || !ready.IsZero()) {
			if !looked { // it may have come while this process stood still
				looked = true
				conn.SetReadDeadline(time.Now().Add(lastLook))
				continue
			}
			bad = errors.New("a message that does not go on")
			if !ready.IsZero() {
				return fmt.Errorf("nothing there speaks %s", k.kind)
			}
		}
		for _, e := range all {
			if e.Kind == replicaproto.Ready {
				ready = time.Time{}
			}
		}
		if len(all) > 0 || bad != nil || shares && n > 0 {
			k.c.loop.Post(func() { k.c.came(k, all, bad, at) })
		}
		switch {
		case bad != nil:
			return bad
		case err != nil:
			return err
		case !ready.IsZero():
			conn.SetReadDeadline(ready)
		case partly:
			conn.SetReadDeadline(time.Now().Add(within))
		case timed:
			conn.SetReadDeadline(time.Time{})
		}
		timed, looked = partly || !ready.IsZero(), false
	}
}

// take gives the session what came and takes what it makes of it.
func (k *link) take(n int) (all []replicaproto.Event, partly bool, bad error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session.Filled(n)
	e, ok, bad := k.session.Next()
	for ; ok; e, ok, bad = k.session.Next() {
		all = append(all, e)
	}
	if replicaproto.TraitsOf(k.kind).Multiplexed { // what came may ask for words, or make room for some
		k.more.Signal()
	}
	return all, k.session.MidMessage(), bad
}

// write writes what waits, until the connection ends. How many bytes went tells which calls did. What the machine does not
// take in time ends this connection. Guards against: parts that go out long after their query's answer or a drain, from
// behind a replica that reads nothing. Should also cover: links that take nothing. Could hurt: large texts on a slow link,
// where buffers are small.
func (k *link) write(conn, raw net.Conn) {
	var bytes []byte
	for {
		ended := false
		bytes, ended = k.output(bytes[:0])
		k.c.reportRefusedWrites()
		switch {
		case ended:
			k.writeLast(conn, bytes)
			raw.Close()
			return
		case len(bytes) > 0 && !k.writeSome(conn, raw, bytes):
			conn.SetReadDeadline(time.Now().Add(lastWords))
			return
		}
	}
}

// output waits for something to be written, or withheld, and appends it to bytes; ended tells that it is the last.
func (k *link) output(bytes []byte) (_ []byte, ended bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for !k.ended {
		now := k.c.loop.Since(time.Now())
		if bytes = k.session.Output(bytes, mostOutput, now); len(bytes) > 0 || k.c.refusedWrites.waits() {
			return bytes, false
		}
		k.more.Wait()
	}
	if replicaproto.TraitsOf(k.kind).Multiplexed {
		bytes = k.session.Output(bytes, mostOutput, k.c.loop.Since(time.Now()))
	}
	return bytes, true
}

// writeLast writes the last word on a connection, where its dialect has one.
func (k *link) writeLast(conn net.Conn, bytes []byte) {
	if len(bytes) > 0 {
		conn.SetWriteDeadline(time.Now().Add(goodbye))
		conn.Write(bytes)
	}
}

// writeSome writes and tells whether the connection goes on.
func (k *link) writeSome(conn, raw net.Conn, bytes []byte) bool {
	gone := netconn.HasEnded(raw)
	n, err := 0, error(nil)
	if !gone {
		conn.SetWriteDeadline(time.Now().Add(min(k.c.fleet.connectWithin, takenWithin)))
		n, err = conn.Write(bytes)
	}
	k.mu.Lock()
	k.session.Wrote(n)
	k.mu.Unlock()
	if gone || err == nil {
		return !gone
	}
	k.c.loop.Post(func() { k.c.fleet.pool.WriteStalled(k.c.loop.Now(), k.id) })
	return false
}
