package coordinator

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"terntray/internal/protocol"
)

const (
	mostAhead  = 80 << 10               // bytes that a client may send ahead of an answer: a request and more
	writeLimit = 10 * time.Second       // for an answer that a client does not read
	parting    = 500 * time.Millisecond // for what a client still sends after its last answer
	lastLook   = 5 * time.Millisecond   // for a request that crosses the end of its connection
)

var past = time.Unix(1, 0)

// client is a client's connection, driven by one goroutine. It reads also while a retrieval is open, to
// notice a client that leaves; an answer wakes it.
type client struct {
	c        *Coordinator
	conn     net.Conn
	requests protocol.Requests
	busy     bool // a request is out that the other goroutine answers
	ends     bool // the client wants the connection to end with its request
	asked    int  // requests so far
	warned   bool // a last look for requests is being taken

	answers   chan answer
	idleSince atomic.Int64 // Unix nanoseconds, 0 while a request is out
	evicted   atomic.Bool
	open      *retrieval // belongs to the goroutine that takes the turns
}

type answer struct {
	bytes []byte
	last  bool
}

func newClient(c *Coordinator, conn net.Conn) *client {
	k := &client{c: c, conn: conn, answers: make(chan answer, 1)}
	k.idleSince.Store(time.Now().UnixNano())
	return k
}

// last tells whether an answer made now is the connection's last.
func (k *client) last() bool { return k.ends || k.c.leaving.Load() || k.evicted.Load() }

// answer hands over the answer to the request that is out, from the goroutine that takes the turns.
func (k *client) answer(bytes []byte) {
	k.answers <- answer{bytes, k.last()}
	k.wake()
}

// wake has the connection's goroutine look up from its reading.
func (k *client) wake() { k.conn.SetReadDeadline(past) }

// serveSafely serves the connection; should that break, it ends this connection alone, and what it has open
// is told as left.
func (k *client) serveSafely() {
	if cause := guard(k.serve); cause != "" {
		k.c.log.Printf("event=client_broken cause=%q", cause)
		k.c.post(func() { k.c.clientLeaves(k) })
	}
}

// serve serves the connection until it ends; the caller closes it.
func (k *client) serve() {
	for {
		if k.busy && k.requests.Waiting() > mostAhead {
			if !k.give(<-k.answers) {
				return
			}
		}
		select {
		case a := <-k.answers:
			if !k.give(a) {
				return
			}
		default:
		}
		if !k.busy {
			r, expected, err := k.requests.Next()
			if err != nil {
				k.c.post(func() { k.c.counts.Bad++ })
				k.ends = true
				k.give(answer{refuse(err, true), true})
				return
			}
			if expected {
				k.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			if r != nil {
				if !k.dispatch(r, k.c.since(time.Now())) {
					return
				}
				continue
			}
			if (k.c.leaving.Load() || k.evicted.Load()) && k.endsIdle() {
				return
			}
		}
		n, err := k.conn.Read(k.requests.Room())
		k.requests.Filled(n)
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			k.conn.SetReadDeadline(time.Time{})
		default:
			if k.busy {
				k.c.post(func() { k.c.clientLeaves(k) })
			}
			return
		}
	}
}

// endsIdle tells whether a connection that is to go can do so now. What crosses its end gets a last look;
// one that has brought no request yet, or a part of one, is waited for longer.
func (k *client) endsIdle() bool {
	if k.warned {
		return true
	}
	k.warned = true
	wait := lastLook
	if (k.asked == 0 || k.requests.Waiting() > 0) && !k.evicted.Load() {
		wait = goingOn
	}
	k.conn.SetReadDeadline(time.Now().Add(wait))
	return false
}

// dispatch answers a request or hands it over; it tells whether the connection goes on.
func (k *client) dispatch(r *protocol.Request, at time.Duration) bool {
	k.asked++
	k.ends = r.Close
	k.idleSince.Store(0)
	k.busy = true
	track, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	_, known := k.c.tracks[track]
	var words *protocol.Fault
	switch {
	case r.Path == "/up" && r.Method == http.MethodGet:
		if !k.c.ready.Load() || k.c.leaving.Load() {
			return k.give(answer{refusal(http.StatusServiceUnavailable, "not ready", k.last()), k.last()})
		}
		return k.give(answer{refusal(http.StatusOK, "up", k.last()), k.last()})
	case r.Path == "/counters" && r.Method == http.MethodGet:
		return k.c.post(func() {
			k.answer(refusal(http.StatusOK, k.c.counts.line(len(k.c.retrievals)), k.last()))
		})
	case r.Path == "/up" || r.Path == "/counters" || known && r.Method != http.MethodPost:
		words = &protocol.Fault{Status: http.StatusMethodNotAllowed, Words: "this is for another method"}
	case !known:
		words = &protocol.Fault{Status: http.StatusNotFound, Words: "no track is called so"}
	}
	if words == nil {
		query, err := protocol.ReadQuery(r)
		if err == nil {
			return k.c.post(func() { k.c.arrives(k, query, at) })
		}
		errors.As(err, &words)
	}
	k.c.post(func() { k.c.counts.Bad++ })
	return k.give(answer{refuse(words, k.last()), k.last()})
}

func refuse(err error, last bool) []byte {
	var f *protocol.Fault
	if !errors.As(err, &f) {
		f = &protocol.Fault{Status: http.StatusBadRequest, Words: err.Error()}
	}
	return refusal(f.Status, f.Words, last)
}

// give writes an answer and tells whether the connection goes on.
func (k *client) give(a answer) bool {
	if !k.write(a.bytes) {
		return false
	}
	k.busy = false
	k.idleSince.Store(time.Now().UnixNano())
	if a.last {
		k.part()
	}
	return !a.last
}

func (k *client) write(bytes []byte) bool {
	k.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := k.conn.Write(bytes)
	return err == nil
}

// part ends the connection's sending and reads what still comes, as unread bytes would have the machine
// reset the connection and so cut off the answer.
func (k *client) part() {
	if half, ok := k.conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	k.conn.SetReadDeadline(time.Now().Add(parting))
	rest := make([]byte, 1<<10)
	for {
		if _, err := k.conn.Read(rest); err != nil {
			return
		}
	}
}
