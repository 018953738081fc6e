// Package http2 is the dialect of replicas that speak HTTP/2 (RFC 9113, with the header compression of RFC 7541): one
// stream a part. docs/http2.md tells the mapping, and what proves that a part never ran.
//
// Frames and header compression are those of golang.org/x/net; its transport is not used, as it repeats requests by
// itself and hides which streams ran. A Session does all of a client's duties: settings and their acknowledgement, the
// far side's limits on streams, frames and headers, flow control both ways, pings, GOAWAY, resets; pushes are refused,
// unknown frames ignored, floods end the connection.
package http2

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

const (
	preface      = http2.ClientPreface
	firstWindow  = 65535     // bytes of either side's flow-control windows at first (RFC 9113, 6.9.2)
	mostWindow   = 1<<31 - 1 // bytes of any (6.9.1)
	ownWindow    = 512 << 10 // bytes of the connection that the far side may send ahead: some answers of the largest
	leastFrame   = 16384     // bytes of a frame that anybody takes (6.5.2); we take no larger ones
	mostValue    = 128 << 10 // bytes of an answer; what is longer fits into no answer to a client
	mostHeaders  = 16 << 10  // bytes of a header list, told in our settings
	mostBlock    = 32 << 10  // compressed bytes of one, CONTINUATION included
	ownTable     = 4096      // bytes of the table that either side's header compression keeps
	mostStreamID = 1<<31 - 1
	mostControl  = 16 << 10 // bytes of our own control frames that wait to be written
	mostIdle     = 1000     // frames in a row that bring nothing, after which they count as a flood
)

// stream carries one part.
type stream struct {
	id      uint32
	call    *replicaproto.Call
	body    []byte // not yet sent
	sent    bool   // with its last byte
	window  int64  // bytes that the far side takes; below zero after its settings have shrunk
	own     int64  // bytes that it may send
	unasked int64  // bytes of it that have come and are not given back yet

	answered bool // its response's head is in
	end      replicaproto.End
	length   int64 // as the head says; below 0: not said
	value    []byte
	busy     float64 // as its head or what trails it tells
}

// Session is one connection's.
type Session struct {
	scheme, authority string
	in                wire.Buffer
	one               bytes.Reader // the frame that is read
	framer            *http2.Framer
	to                []byte // what is written at present
	control           []byte // control frames that wait
	encoder           *hpack.Encoder
	block             bytes.Buffer // what it encodes
	decoder           *hpack.Decoder

	queue   []*replicaproto.Call // not begun, in order
	streams map[uint32]*stream
	sending []*stream // with bytes left, the next first
	lastID  uint32    // of the last stream; odd
	ends    []end     // of the last output
	events  []replicaproto.Event

	settled bool  // the far side's settings are in
	most    int64 // streams it takes
	frame   int   // bytes of a frame it takes
	initial int64 // window of its new streams
	window  int64 // of the connection
	own     int64 // bytes that it may send on the connection
	unasked int64 // bytes that have come on it and are not given back yet
	pings   uint64
	going   bool   // it takes no new stream
	last    uint32 // the highest that it takes then
	idle    int    // frames in a row that brought nothing
	bye     bool
	code    http2.ErrCode // of our last word

	head head // of the headers that are coming
}

type end struct {
	call *replicaproto.Call
	at   int // bytes of the output up to its last
}

// New makes a session; scheme is http or https, authority the replica's address.
func New(scheme, authority string) *Session {
	s := &Session{scheme: scheme, authority: authority, streams: map[uint32]*stream{}, most: mostWindow, frame: leastFrame,
		initial: firstWindow, window: firstWindow, own: ownWindow}
	s.framer = http2.NewFramer(writer{s}, &s.one)
	s.framer.SetMaxReadFrameSize(leastFrame)
	s.framer.SetReuseFrames()
	s.encoder = hpack.NewEncoder(&s.block)
	s.decoder = hpack.NewDecoder(ownTable, s.head.field)
	s.decoder.SetMaxStringLength(mostHeaders)
	s.control = append(s.control, preface...)
	s.says(func() error {
		return errors.Join(s.framer.WriteSettings(http2.Setting{ID: http2.SettingEnablePush},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: mostHeaders}),
			s.framer.WriteWindowUpdate(0, ownWindow-firstWindow))
	})
	return s
}

var _ replicaproto.Session = (*Session)(nil)

// writer lets the framer write to what is written at present.
type writer struct{ s *Session }

func (w writer) Write(b []byte) (int, error) {
	w.s.to = append(w.s.to, b...)
	return len(b), nil
}

// says has control frames written after those that wait.
func (s *Session) says(write func() error) {
	s.to = s.control
	if err := write(); err != nil {
		panic(err) // what we make ourselves is sound
	}
	s.control, s.to = s.to, nil
}

// Queue has a call wait to be written.
func (s *Session) Queue(c *replicaproto.Call) { s.queue = append(s.queue, c) }

// Withdraw takes back a call of which no byte was written.
func (s *Session) Withdraw(c *replicaproto.Call) bool {
	if !c.Revocable() {
		return false
	}
	s.queue = slices.DeleteFunc(s.queue, func(o *replicaproto.Call) bool { return o == c })
	return true
}

// Abandon resets a call's stream.
func (s *Session) Abandon(c *replicaproto.Call) {
	if st := s.streams[c.Stream]; st != nil && st.call == c {
		s.reset(st, http2.ErrCodeCancel)
	}
}

// reset ends a stream from this side.
func (s *Session) reset(st *stream, why http2.ErrCode) {
	s.drop(st)
	s.says(func() error { return s.framer.WriteRSTStream(st.id, why) })
}

// drop lets go of a stream.
func (s *Session) drop(st *stream) {
	delete(s.streams, st.id)
	s.sending = slices.DeleteFunc(s.sending, func(o *stream) bool { return o == st })
}

// Ping asks for a sign of life.
func (s *Session) Ping() {
	s.pings++
	s.says(func() error { return s.framer.WritePing(false, pingData(s.pings)) })
}

func pingData(n uint64) (d [8]byte) {
	for i := range d {
		d[i] = byte(n >> (8 * i))
	}
	return d
}

// Goodbye has the far side told that the connection ends.
func (s *Session) Goodbye() {
	if !s.bye {
		s.bye = true
		s.says(func() error { return s.framer.WriteGoAway(0, s.code, nil) })
	}
}

// Output gives what is to be written now: control frames, then new streams as the far side's limit allows, then bodies in
// turn, a frame of each. Nothing is begun before its settings are in, so that its limit is known. Guards against: one
// client's large texts that keep another's small parts waiting. Should also cover: windows that open by a little.
func (s *Session) Output(b []byte, most int, now time.Duration) []byte {
	s.ends = s.ends[:0]
	from := len(b)
	s.to, s.control = append(b, s.control...), s.control[:0]
	for s.mayBegin() && len(s.to)-from < most {
		s.begin(from, now)
	}
	for n := 0; n < len(s.sending) && s.window > 0 && !s.bye && len(s.to)-from < most; {
		st := s.sending[0]
		s.sending = append(s.sending[1:], st) // its next turn is after all others'
		switch size := min(int64(len(st.body)), s.window, st.window, int64(s.frame)); {
		case size <= 0:
			n++ // all of them in a row: none can go on
		default:
			s.body(st, int(size), from)
			n = 0
		}
	}
	b, s.to = s.to, nil
	return b
}

// mayBegin tells whether the first call that waits can begin: a stream with nothing to send on it would only hold a place.
func (s *Session) mayBegin() bool {
	return s.settled && !s.bye && !s.going && len(s.queue) > 0 && int64(len(s.streams)) < s.most &&
		s.window > 0 && s.initial > 0 && s.lastID < mostStreamID
}

// begin opens a stream for the first call that waits, unless it is not permitted any more.
func (s *Session) begin(from int, now time.Duration) {
	c := s.queue[0]
	s.queue = s.queue[1:]
	waitMS, permitted := c.Begin(now)
	if !permitted {
		return
	}
	if s.lastID == 0 {
		s.lastID = 1
	} else {
		s.lastID += 2
	}
	if s.lastID == mostStreamID {
		s.going, s.last = true, mostStreamID
		s.tell(replicaproto.Event{Kind: replicaproto.GoingAway, Detail: "the stream ids are used up"})
	}
	st := &stream{id: s.lastID, call: c, body: c.Text, window: s.initial, own: firstWindow, length: -1}
	c.Stream = st.id
	s.streams[st.id] = st
	s.block.Reset()
	for _, f := range requestHead(s.scheme, s.authority, c, waitMS) {
		s.encoder.WriteField(f)
	}
	block, first := s.block.Bytes(), true
	for first || len(block) > 0 {
		n := min(len(block), s.frame)
		var err error
		if first {
			err = s.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: st.id, BlockFragment: block[:n], EndHeaders: n == len(block),
				EndStream: len(st.body) == 0})
		} else {
			err = s.framer.WriteContinuation(st.id, n == len(block), block[:n])
		}
		if block, first = block[n:], false; err != nil {
			panic(err)
		}
	}
	if len(st.body) == 0 {
		s.lastByte(st, from)
		return
	}
	s.sending = append([]*stream{st}, s.sending...)
	if size := min(int64(len(st.body)), s.window, st.window, int64(s.frame)); size == int64(len(st.body)) {
		s.body(st, int(size), from) // a small one goes with its head
	} else {
		s.sending = append(s.sending[1:], st)
	}
}

// body sends so many bytes of a stream's.
func (s *Session) body(st *stream, size, from int) {
	whole := size == len(st.body)
	if err := s.framer.WriteData(st.id, whole, st.body[:size]); err != nil {
		panic(err)
	}
	st.body = st.body[size:]
	st.window -= int64(size)
	if s.window -= int64(size); whole {
		s.sending = slices.DeleteFunc(s.sending, func(o *stream) bool { return o == st })
		s.lastByte(st, from)
	}
}

// lastByte notes where a stream's last byte stands in the output.
func (s *Session) lastByte(st *stream, from int) {
	st.sent = true
	s.ends = append(s.ends, end{st.call, len(s.to) - from})
}

// Wrote tells how many bytes of the last output went.
func (s *Session) Wrote(n int) {
	for _, e := range s.ends {
		if e.at <= n {
			e.call.Stage = replicaproto.Written
		}
	}
	s.ends = s.ends[:0]
}

// ReadBuffer gives space for what comes next.
func (s *Session) ReadBuffer() []byte { return s.in.Free() }

// Filled tells how many bytes came into it.
func (s *Session) Filled(n int) { s.in.Filled(n) }

// MidMessage tells whether a frame, or a head of several, has begun to come that is not whole.
func (s *Session) MidMessage() bool { return s.in.Buffered() > 0 || s.head.open }

func (s *Session) tell(e replicaproto.Event) { s.events = append(s.events, e) }

// Next gives the next event.
func (s *Session) Next() (e replicaproto.Event, ok bool, err error) {
	for {
		if len(s.events) > 0 {
			e, s.events = s.events[0], s.events[1:]
			return e, true, nil
		}
		f, err := s.next()
		if f == nil && err == nil {
			return e, false, nil
		}
		if err == nil {
			err = s.takes(f)
		}
		if err = s.mend(err); err != nil {
			return e, false, err
		}
	}
}

// next cuts the next frame out of what came; nil where more must come in first.
func (s *Session) next() (http2.Frame, error) {
	const header = 9 // bytes (RFC 9113, 4.1)
	b := s.in.Bytes()
	if len(b) < header {
		return nil, nil
	}
	size := int(b[0])<<16 | int(b[1])<<8 | int(b[2])
	if size > leastFrame {
		return nil, http2.ConnectionError(http2.ErrCodeFrameSize)
	}
	if len(b) < header+size {
		return nil, nil
	}
	s.one.Reset(b[:header+size])
	f, err := s.framer.ReadFrame()
	s.in.Consume(header + size)
	return f, err
}

// mend ends the stream that an error is about, if it is about one alone; else the error is the connection's.
func (s *Session) mend(err error) error {
	var ofStream http2.StreamError
	switch {
	case err == nil:
	case errors.As(err, &ofStream):
		if st := s.streams[ofStream.StreamID]; st != nil {
			s.tell(replicaproto.Event{Kind: replicaproto.MayHaveRun, Attempt: st.call.Attempt, Detail: ofStream.Error()})
			s.reset(st, ofStream.Code)
		} else if err := s.known(ofStream.StreamID); err != nil {
			return s.broken(err)
		}
	default:
		return s.broken(err)
	}
	if s.idle > mostIdle || len(s.control) > mostControl {
		return s.broken(http2.ConnectionError(http2.ErrCodeEnhanceYourCalm))
	}
	return nil
}

// broken notes what our last word says.
func (s *Session) broken(err error) error {
	s.code = http2.ErrCodeProtocol
	var of http2.ConnectionError
	if errors.As(err, &of) {
		s.code = http2.ErrCode(of)
	}
	if detail := s.framer.ErrorDetail(); detail != nil {
		return fmt.Errorf("%w: %w", err, detail)
	}
	return err
}

// known tells whether a stream was ever opened; what comes for one that was not breaks the connection (RFC 9113, 5.1).
func (s *Session) known(id uint32) error {
	if id%2 == 0 || id > s.lastID {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	return nil
}

// inOrder lists the open streams by their ids.
func (s *Session) inOrder() []*stream {
	return slices.SortedFunc(maps.Values(s.streams), func(a, b *stream) int { return cmp.Compare(a.id, b.id) })
}
