package fake

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// http2Conn is a replica's side of a connection in HTTP/2, as docs/http2.md states it for whoever writes a box. It is
// made of the library's framer alone and shares no code with the co-ordinator's side.
type http2Conn struct {
	s      *Replica
	conn   net.Conn
	framer *http2.Framer

	mu      sync.Mutex // guards what follows, and writing
	block   bytes.Buffer
	encoder *hpack.Encoder
	streams map[uint32]*Call
	ranUpTo uint32 // the highest stream that was run, or will be
	last    uint32 // told with GOAWAY; streams above are not run
	window  int64  // of the connection, for answers
	opened  *sync.Cond
	ended   bool
}

// serveHTTP2 serves a connection whose preface has been read.
func (s *Replica) serveHTTP2(conn net.Conn, in io.Reader) {
	h := &http2Conn{s: s, conn: conn, streams: map[uint32]*Call{}, last: 1<<31 - 1, window: 65535}
	h.framer = http2.NewFramer(conn, in)
	h.encoder = hpack.NewEncoder(&h.block)
	h.opened = sync.NewCond(&h.mu)
	s.Mu.Lock()
	s.http2 = append(s.http2, h)
	limit := s.limit
	s.Mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.ended = true
		h.opened.Broadcast()
		h.mu.Unlock()
	}()
	var first []http2.Setting
	if limit >= 0 {
		first = append(first, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(limit)})
	}
	h.write(func() error { return h.framer.WriteSettings(first...) })
	heads := hpack.NewDecoder(4096, nil)
	for {
		f, err := h.framer.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				h.write(h.framer.WriteSettingsAck)
			}
		case *http2.PingFrame:
			data := f.Data
			if s.deaf.Load() {
				continue
			}
			if !f.IsAck() {
				h.write(func() error { return h.framer.WritePing(true, data) })
			}
		case *http2.WindowUpdateFrame:
			h.mu.Lock()
			if f.StreamID == 0 {
				h.window += int64(f.Increment)
				h.opened.Broadcast()
			}
			h.mu.Unlock()
		case *http2.HeadersFrame:
			fields, err := heads.DecodeFull(f.HeaderBlockFragment())
			if err != nil || !f.HeadersEnded() {
				s.OnMalformed("replica %s: a head of stream %d that cannot be read: %v", s.UID, f.StreamID, err)
				return
			}
			h.began(f.StreamID, fields)
			if f.StreamEnded() {
				h.whole(f.StreamID)
			}
		case *http2.DataFrame:
			h.came(f)
		case *http2.RSTStreamFrame:
			h.mu.Lock()
			c := h.streams[f.StreamID]
			delete(h.streams, f.StreamID)
			h.mu.Unlock()
			if c != nil {
				s.Mu.Lock()
				if !s.NoLedger {
					s.Abandoned = append(s.Abandoned, c.ID)
				}
				s.Mu.Unlock()
			}
		case *http2.GoAwayFrame:
			return
		}
	}
}

func (h *http2Conn) write(do func() error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn.SetWriteDeadline(time.Now().Add(time.Second))
	do()
}

// began takes a call's head.
func (h *http2Conn) began(id uint32, fields []hpack.HeaderField) {
	c := &Call{Conn: h.conn, h2: h, stream: id}
	for _, f := range fields {
		switch f.Name {
		case "part-id":
			c.ID = f.Value
		case "part-shard":
			c.Shard, _ = strconv.Atoi(f.Value)
		case "part-wait-ms":
			c.TimeLeftMS, _ = strconv.Atoi(f.Value)
		case ":path":
			if f.Value != "/part" {
				h.s.OnMalformed("replica %s: path %q", h.s.UID, f.Value)
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams[id] = c
	h.s.Mu.Lock()
	h.s.most = max(h.s.most, len(h.streams))
	h.s.Mu.Unlock()
}

// came takes a piece of a call's body; its credit is given back unless the windows are to stall.
func (h *http2Conn) came(f *http2.DataFrame) {
	h.mu.Lock()
	c := h.streams[f.StreamID]
	if c != nil {
		c.Text += string(f.Data())
	}
	h.mu.Unlock()
	if size := f.Header().Length; size > 0 && !h.s.stalls.Load() {
		h.write(func() error {
			h.framer.WriteWindowUpdate(0, size)
			if !f.StreamEnded() {
				h.framer.WriteWindowUpdate(f.StreamID, size)
			}
			return nil
		})
	}
	if f.StreamEnded() {
		h.whole(f.StreamID)
	}
}

// whole has a whole call wait in the box and then run, unless the box has said by then that it will not.
func (h *http2Conn) whole(id uint32) {
	h.mu.Lock()
	c := h.streams[id]
	h.mu.Unlock()
	if c == nil {
		return
	}
	s := h.s
	s.Mu.Lock()
	waits := s.QueueTime
	s.Mu.Unlock()
	if waits == nil {
		h.run(id, c)
		return
	}
	time.AfterFunc(waits(), func() { h.run(id, c) })
}

func (h *http2Conn) run(id uint32, c *Call) {
	h.mu.Lock()
	if h.ended || id > h.last || h.streams[id] != c {
		h.mu.Unlock()
		return
	}
	h.ranUpTo = max(h.ranUpTo, id)
	h.mu.Unlock()
	h.s.takes(*c)
}

// reply answers a part.
func (h *http2Conn) reply(id uint32, end, value string) {
	status, word := "200", "ok"
	switch end {
	case "ERROR":
		status, word = "500", "error"
	case "REJECTED":
		status, word = "503", "rejected"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.streams[id] == nil {
		return // given up
	}
	for h.window < int64(len(value)) && !h.ended {
		h.opened.Wait()
	}
	if h.ended || h.streams[id] == nil {
		return
	}
	delete(h.streams, id)
	h.window -= int64(len(value))
	h.block.Reset()
	for _, f := range [][2]string{{":status", status}, {"part-end", word}, {"part-load", "inflight=1"},
		{"content-length", strconv.Itoa(len(value))}} {
		h.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	h.conn.SetWriteDeadline(time.Now().Add(time.Second))
	h.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: h.block.Bytes(), EndHeaders: true, EndStream: value == ""})
	for len(value) > 0 {
		n := min(len(value), 16384)
		h.framer.WriteData(id, n == len(value), []byte(value[:n]))
		value = value[n:]
	}
}

// refuse ends a stream that was not run.
func (h *http2Conn) refuse(id uint32, code http2.ErrCode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams, id)
	h.framer.WriteRSTStream(id, code)
}

// goAway says that nothing new is taken; what waits in the box and is above what has run will not run.
func (h *http2Conn) goAway(graceful bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if graceful {
		h.framer.WriteGoAway(1<<31-1, http2.ErrCodeNo, nil)
	}
	h.last = h.ranUpTo
	h.framer.WriteGoAway(h.last, http2.ErrCodeNo, nil)
}

// each does something with each connection in HTTP/2 that stands.
func (s *Replica) each(do func(*http2Conn)) {
	s.Mu.Lock()
	all := append([]*http2Conn{}, s.http2...)
	s.Mu.Unlock()
	for _, h := range all {
		do(h)
	}
}

// SetStreamLimit has the box take so many streams on each connection from now on, below 0 any number.
func (s *Replica) SetStreamLimit(n int) {
	s.Mu.Lock()
	s.limit = n
	s.Mu.Unlock()
	s.each(func(h *http2Conn) {
		h.write(func() error {
			return h.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(n)})
		})
	})
}

// GoAway has it take nothing new on the connections that stand; what waits in it never runs. Abrupt, they end at once.
func (s *Replica) GoAway(graceful, abrupt bool) {
	s.each(func(h *http2Conn) {
		h.goAway(graceful)
		if abrupt {
			h.conn.Close()
		}
	})
}

// IgnorePings has it leave pings without an answer, and Stall has it give back no credit, from now on.
func (s *Replica) IgnorePings(is bool)    { s.deaf.Store(is) }
func (s *Replica) WithholdCredit(is bool) { s.stalls.Store(is) }

// GrantCredit gives so much credit on each connection, and on each stream that stands.
func (s *Replica) GrantCredit(bytes int) {
	s.each(func(h *http2Conn) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.framer.WriteWindowUpdate(0, uint32(bytes))
		for id := range h.streams {
			h.framer.WriteWindowUpdate(id, uint32(bytes))
		}
	})
}

// MaxStreams is the largest number of streams that were open on a connection at a time.
func (s *Replica) MaxStreams() int {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.most
}

// Reject ends a part's stream: it never ran, as the protocol's own word says.
func Reject(s *Replica, c Call) {
	if c.h2 == nil {
		s.Reply(c, "REJECTED", "")
		return
	}
	c.h2.refuse(c.stream, http2.ErrCodeRefusedStream)
}

// CancelStream ends a part's stream with no word on whether it ran.
func CancelStream(s *Replica, c Call) {
	if c.h2 == nil {
		s.Reply(c, "ERROR", "")
		return
	}
	c.h2.refuse(c.stream, http2.ErrCodeCancel)
}

// Garbage writes what is no message of either dialect.
func Garbage(s *Replica, c Call) {
	fmt.Fprint(c.Conn, "\xff\xff\xff\xffgarbage, which is no frame of anything")
}
