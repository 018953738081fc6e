package coordinator

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"terntray/eventloop"
	"terntray/internal/netconn"
	"terntray/internal/wire"
	"terntray/invariant"
)

const (
	mostAhead     = 80 << 10                // bytes that a client may send ahead of an answer: a request and more
	mostWhole     = 2 * mostAhead           // bytes of one request at the most, where it comes in many small chunks
	mostDropped   = 8 << 20                 // bytes beyond those that are looked through for the client's end: what machines buffer
	dropAtOnce    = 256 << 10               // bytes of them between rests of a millisecond, so that none fills the core
	plainRequest  = 16 << 10                // bytes; what sends more needs one of the places for large ones
	requestWithin = 1500 * time.Millisecond // for a request to be whole, from its first byte; the first, from the start
	idleWithin    = 2000 * time.Millisecond // between requests; from then on a connection may go
	writeLimit    = 3 * time.Second         // for an answer that a client does not read
	parting       = 300 * time.Millisecond  // for what a client still sends after its last answer,
	partingBytes  = 256 << 10               // and so many bytes of it at the most
	lastLook      = 5 * time.Millisecond    // for a request that crosses the end of its connection,
	crossing      = 50 * time.Millisecond   // and for the rest of one that has begun to come then
)

const reference = "Idempotency-Key" // the field in which clients of referenced tracks mark what they ask

var longAgo = time.Unix(1, 0)

// client is a client's connection, driven by one goroutine. It reads also while a query is open, to
// notice a client that leaves; an answer wakes it.
type client struct {
	c        *Coordinator
	conn     net.Conn
	requests wire.RequestReader
	busy     bool      // a request is out that the other goroutine answers
	dropped  int       // bytes that came beyond what may come ahead: the connection ends with its answer
	asked    int       // requests so far
	since    time.Time // of the start, the last answer, or the first byte of what is a part of a request
	lookEnds time.Time // of the last look before the connection goes; zero before
	letIn    bool      // the request that is coming is
	large    bool      // has one of the places for large requests

	unwritable bool // an answer could not be written

	answers   chan answer
	ends      atomic.Bool  // the connection ends with its answer
	gone      atomic.Bool  // the client has left: nothing of what it asked for goes out any more
	woken     atomic.Bool  // there is more to see to than what the client sends
	idleSince atomic.Int64 // time since the process' start, 0 while a request is out
	seenAt    atomic.Int64 // the last look that saw the client, as time since the process' start
	known     atomic.Bool  // has brought a request
	evicted   atomic.Bool
	open      *queryState // belongs to the goroutine that takes the turns
}

type answer struct {
	bytes []byte
	last  bool
}

func newClient(c *Coordinator, conn net.Conn) *client {
	k := &client{c: c, conn: conn, answers: make(chan answer, 1), since: time.Now()}
	k.idles()
	return k
}

// idles notes that no request is out.
func (k *client) idles() { k.idleSince.Store(max(1, int64(k.c.loop.Since(k.since)))) }

// last tells whether an answer made now is the connection's last.
func (k *client) last() bool {
	return k.ends.Load() || k.c.shuttingDown.Load() || k.evicted.Load() || k.c.front.waits.Load()
}

// answerWith makes an answer that says what becomes of its connection: one look at it holds for both. Guards against: a
// connection that is told to go in between and ends, reading what still comes, with an answer that keeps it.
func (k *client) answerWith(make func(last bool) []byte) answer {
	last := k.last()
	return answer{make(last), last}
}

// answer hands over the answer to the request that is out, from the goroutine that takes the turns.
func (k *client) answer(make func(last bool) []byte) {
	k.answers <- k.answerWith(make)
	k.wake()
}

// plainly makes an answer of some words.
func plainly(status int, words string) func(last bool) []byte {
	return func(last bool) []byte { return refusal(status, words, last) }
}

// turnedBack makes the answer that trying again is harmless.
func turnedBack(words string) func(last bool) []byte {
	return func(last bool) []byte { return wire.RejectResponse(0, words, last) }
}

// wake has the connection's goroutine look up from its reading.
func (k *client) wake() {
	k.woken.Store(true)
	k.conn.SetReadDeadline(longAgo)
}

// serveSafely serves the connection; should that break, it ends this connection alone, and what it has open
// is told as left.
func (k *client) serveSafely() {
	reason := closedBroken
	if cause := eventloop.Recover(func() { reason = k.serve() }); cause != "" {
		k.c.log.Printf("event=client_broken cause=%q", cause)
		k.c.loop.Post(func() { k.c.clientDisconnected(k) })
	}
	k.noteClosed(reason)
}

// serve serves the connection until it ends and tells why; the caller closes it.
func (k *client) serve() closeReason {
	for {
		select {
		case a := <-k.answers:
			if !k.give(a) {
				return k.endedAfterAnswer()
			}
		default:
		}
		taken, goesOn, reason := k.takeRequest()
		if !goesOn {
			return reason
		}
		if taken {
			continue
		}
		if !k.roomy() {
			return k.endedAfterAnswer()
		}
		limit := k.limit()
		k.conn.SetReadDeadline(limit)
		if k.woken.Swap(false) {
			continue
		}
		n, err := k.read()
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			k.leaves()
			return closedByClient
		case k.busy || n > 0 || time.Now().Before(limit): // woken
		case k.lookEnds.IsZero() || netconn.Peek(k.conn) == netconn.Readable:
			k.lookEnds = time.Now().Add(lastLook)
		default:
			reason := k.silentReason()
			if reason == closedSlowRequest {
				k.refuse(&wire.Fault{Status: http.StatusRequestTimeout, Words: "the request did not come whole in time"})
			}
			return reason
		}
	}
}

// takeRequest takes the next request, if one is whole and none is open; goesOn tells whether the connection does, and
// reason why not.
func (k *client) takeRequest() (taken, goesOn bool, reason closeReason) {
	if k.busy {
		return false, true, 0
	}
	if k.requests.Buffered() > 0 {
		unread := k.readsOn()
		if k.gone.Load() {
			return false, false, closedByClient
		}
		if unread {
			return false, true, 0
		}
	}
	if !k.atTheDoor() {
		return false, false, k.endedAfterAnswer()
	}
	request, expected, err := k.requests.Next()
	if err != nil {
		k.refuse(err)
		return false, false, closedBadRequest
	}
	if expected {
		k.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if request == nil {
		return false, true, 0
	}
	return true, k.dispatch(request, k.cameAt()), k.endedAfterAnswer()
}

// cameAt is when the request that was just read came. The first on a connection may have waited for accept; how long ago
// its last bytes came is then known to the machine alone. Guards against: answers and told times that are late by that wait.
// Could hurt: by a system call for each connection.
func (k *client) cameAt() time.Duration {
	now := k.c.loop.Since(time.Now())
	if k.asked > 0 {
		return now
	}
	return now - netconn.SinceLastData(k.conn)
}

// readsOn tells whether there is more to be read before a request is looked at; it notices a client that has left.
// Guards against: requests sent on whose clients had left while they waited unread, behind a standstill or a crowd.
// Should also cover: clients that send much at once and go. Could hurt: by a system call for each request.
func (k *client) readsOn() bool {
	switch netconn.Peek(k.conn) {
	case netconn.Ended:
		k.leaves()
	case netconn.Readable:
		return k.dropped <= mostDropped
	}
	k.seenAt.Store(int64(k.c.loop.Since(time.Now())))
	return false
}

// leaves notes that the client has left, and has what it has open ended.
func (k *client) leaves() {
	k.gone.Store(true)
	if k.busy {
		k.c.loop.Post(func() { k.c.clientDisconnected(k) })
	}
}

// read reads what comes next. What comes beyond what a client may send ahead of its answer is dropped, as only its end is
// of interest; nothing behind it is taken for a request.
func (k *client) read() (n int, err error) {
	most := mostWhole
	if k.busy {
		most = mostAhead
	}
	if k.dropped == 0 && k.requests.Buffered() <= most && (k.large || k.requests.Buffered() < plainRequest) {
		had := k.requests.Buffered()
		n, err = k.conn.Read(k.requests.Free())
		k.requests.Filled(n)
		if had > 0 || n == 0 {
			return n, err
		}
		if k.asked > 0 {
			k.since = time.Now()
		}
		switch late := k.evicted.Load() || k.c.shuttingDown.Load(); {
		case k.lookEnds.IsZero():
		case late:
			k.lookEnds = time.Now().Add(crossing)
		default:
			k.lookEnds = time.Time{}
		}
		return n, err
	}
	k.ends.Store(true)
	rest := make([]byte, 16<<10)
	if n, err = k.conn.Read(rest); n > 0 && (k.dropped+n)/dropAtOnce > k.dropped/dropAtOnce {
		time.Sleep(time.Millisecond)
	}
	k.dropped += n
	return n, err
}

// limit is until when the client may be silent, or its request in pieces; zero while it waits for an answer.
// Guards against: crowds that connect and say nothing, heads without end, half requests, connections that are
// kept for good. Should also cover: clients that vanished. Could hurt: requests that take longer than that to come.
func (k *client) limit() time.Time {
	if k.busy {
		return time.Time{}
	}
	if !k.lookEnds.IsZero() {
		return k.lookEnds
	}
	partly := k.asked == 0 || k.requests.Buffered() > 0
	limit := k.since.Add(requestWithin)
	switch {
	case k.evicted.Load() || k.c.shuttingDown.Load() && !partly:
		return longAgo
	case k.c.shuttingDown.Load(): // later ones might not be answered before the end
		limit = k.c.loop.Start().Add(time.Duration(k.c.shutdownAt.Load())).Add(goingOn)
		if least := k.since.Add(crossing); limit.Before(least) {
			limit = least
		}
	case !partly:
		limit = k.since.Add(idleWithin)
	}
	return limit
}

// roomy tells whether the client may send on: a request that is larger than most needs one of few places.
// Guards against: many that send their largest at once, where memory is scarce. Could hurt: usual clients whose
// requests are as large; they are told that trying again is harmless.
func (k *client) roomy() bool {
	if k.large || k.requests.Buffered() < plainRequest || k.dropped > 0 {
		return true
	}
	if k.large = k.c.front.enlarge(); !k.large && !k.busy { // while a request is open, read drops what is too much
		k.c.loop.Post(func() { k.c.counts.Malformed++ })
		k.give(answer{wire.RejectResponse(0, "too many large requests", true), true})
	}
	return k.large || k.busy
}

// refuse answers what is no request and ends the connection: where the next one begins is in doubt.
func (k *client) refuse(err error) bool {
	k.c.loop.Post(func() { k.c.counts.Malformed++ })
	return k.give(answer{refuse(err, true), true})
}

// dispatch answers a request or hands it over; it tells whether the connection goes on.
func (k *client) dispatch(r *wire.Request, at time.Duration) bool {
	k.begins(r.Close)
	defer func() { k.letIn = false }()
	track, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	_, known := k.c.classes[track]
	switch {
	case r.Path == "/up" && r.Method == http.MethodGet:
		if !k.c.ready.Load() || k.c.shuttingDown.Load() {
			return k.give(k.answerWith(plainly(http.StatusServiceUnavailable, "not ready")))
		}
		return k.give(k.answerWith(plainly(http.StatusOK, "up")))
	case r.Path == "/counters" && r.Method == http.MethodGet:
		return k.c.loop.Post(func() { k.answer(plainly(http.StatusOK, k.c.countersLine())) })
	case r.Path == "/beliefs" && r.Method == http.MethodGet:
		return k.c.loop.Post(func() { k.answer(plainly(http.StatusOK, k.c.estimatesPage())) })
	case r.Path == "/up" || r.Path == "/counters" || r.Path == "/beliefs" || known && r.Method != http.MethodPost:
		return k.refuse(&wire.Fault{Status: http.StatusMethodNotAllowed, Words: "this is for another method"})
	case !known:
		return k.refuse(&wire.Fault{Status: http.StatusNotFound, Words: "no track is called so"})
	}
	if !k.letIn && !k.c.admission.admit() {
		return k.give(k.answerWith(turnedBack("busy")))
	}
	lacks := ""
	if k.c.classes[track].hasSecondStep {
		lacks = "the protocol has no second step"
	} else if k.c.classes[track].effect == invariant.Keyed && r.Header.Get(reference) != "" { // without it a repeat would run
		lacks = "a reference cannot be passed on to replicas"
	}
	if lacks != "" {
		k.c.loop.Post(func() { k.c.counts.Malformed++ })
		return k.give(k.answerWith(plainly(http.StatusNotImplemented, lacks)))
	}
	query, err := wire.ReadQuery(r, k.c.maxTimeouts, k.c.twoPhase.allowed)
	if err != nil {
		return k.refuse(err)
	}
	read := k.c.loop.Since(time.Now())
	return k.c.loop.Post(func() {
		k.c.admission.queueDelay(k.c.loop.Now(), k.c.loop.Now()-read)
		k.c.queryArrives(k, query, at)
	})
}

// begins notes that a request has come.
func (k *client) begins(last bool) {
	k.asked++
	k.ends.Store(last || k.dropped > 0)
	k.idleSince.Store(0)
	if k.asked == 1 {
		k.c.front.meet(k)
	}
	k.busy, k.lookEnds = true, time.Time{}
}

// atTheDoor turns requests back by their heads alone, while not all are let in; it tells whether the connection goes on.
// Guards against: a core that spends itself on reading what it turns back. Should also cover: clients that ask again at
// once. Could hurt: never, what is not plain is read as ever.
func (k *client) atTheDoor() bool {
	for !k.letIn && k.c.admission.isShedding() {
		path, size := k.requests.Plain()
		track, _, _ := bytes.Cut(path, []byte("/"))
		if _, known := k.c.classes[string(track)]; size == 0 || !known {
			return true
		}
		if k.letIn = k.c.admission.admit(); k.letIn {
			return true
		}
		k.requests.Consume(size)
		k.begins(false)
		if !k.give(k.answerWith(turnedBack("busy"))) {
			return false
		}
	}
	return true
}

func refuse(err error, last bool) []byte {
	var f *wire.Fault
	if !errors.As(err, &f) {
		f = &wire.Fault{Status: http.StatusBadRequest, Words: err.Error()}
	}
	return refusal(f.Status, f.Words, last)
}

// give writes an answer and tells whether the connection goes on.
func (k *client) give(a answer) bool {
	if !k.write(a.bytes) {
		k.unwritable = true
		return false
	}
	k.busy, k.since = false, time.Now()
	k.idles()
	if k.large && k.requests.Buffered() < plainRequest {
		k.large = false
		k.c.front.lessen()
	}
	last := a.last || k.dropped > 0
	if last {
		k.part()
	}
	return !last
}

func (k *client) write(bytes []byte) bool {
	k.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := k.conn.Write(bytes)
	return err == nil
}

// part ends the connection's sending and reads what still comes, as unread bytes would have the machine
// reset the connection and so cut off the answer. Who sends on and on is cut off all the same.
func (k *client) part() {
	if half, ok := k.conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	rest, until := make([]byte, 4<<10), time.Now().Add(parting)
	for read := 0; read < partingBytes; {
		k.conn.SetReadDeadline(until)
		n, err := k.conn.Read(rest)
		woken := errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until) // by the word of this very answer
		if read += n; err != nil && !woken {
			return
		}
	}
}
