// Package frames is the dialect of frames (docs/sockets.md): calls with a length, a letter and a line for each part;
// replies in any order that name the part.
package frames

import (
	"slices"
	"time"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

// Session is one connection's.
type Session struct {
	batch   int
	replies wire.ReplyReader
	queue   []item
	ends    []end // of the calls in the last output
}

// item is what waits to be written: a call, or the word that a part is given up.
type item struct {
	call   *replicaproto.Call
	giveUp string
}

type end struct {
	call *replicaproto.Call
	at   int // bytes of the output up to the call's last
}

// New makes a session that puts so many parts of a group into one call at the most; sizes may be nil.
func New(batch int, sizes *wire.ValueSizes) *Session {
	return &Session{batch: max(1, batch), replies: wire.ReplyReader{Sizes: sizes}}
}

var _ replicaproto.Session = (*Session)(nil)

// Queue has a call wait to be written.
func (s *Session) Queue(c *replicaproto.Call) { s.queue = append(s.queue, item{call: c}) }

// Withdraw takes back a call of which no byte was written.
func (s *Session) Withdraw(c *replicaproto.Call) bool {
	if !c.Revocable() {
		return false
	}
	s.queue = slices.DeleteFunc(s.queue, func(i item) bool { return i.call == c })
	return true
}

// Abandon has the replica told that a part is given up.
func (s *Session) Abandon(c *replicaproto.Call) {
	s.queue = append(s.queue, item{giveUp: c.SubqueryID})
}

// Ping does nothing: there is none.
func (s *Session) Ping() {}

// Goodbye does nothing: the connection's end says it.
func (s *Session) Goodbye() {}

// Output appends what waits, about most bytes of it where that is above 0: what is not begun can still be taken back.
func (s *Session) Output(b []byte, most int, now time.Duration) []byte {
	s.ends = s.ends[:0]
	from := len(b)
	for len(s.queue) > 0 && (most <= 0 || len(b)-from < most) {
		first := s.queue[0]
		if first.call == nil {
			b = wire.AppendAbandon(b, first.giveUp)
			s.queue = s.queue[1:]
			continue
		}
		parts, begun := s.frame(now)
		if len(parts) == 0 {
			continue
		}
		b = wire.AppendCall(b, parts...)
		for _, call := range begun {
			s.ends = append(s.ends, end{call, len(b) - from})
		}
	}
	if len(s.queue) == 0 {
		s.queue = nil
	}
	return b
}

// frame takes the calls of the next frame off the queue: those of the first one's group, up to the batch. What is not
// permitted any more is left out.
func (s *Session) frame(now time.Duration) (parts []wire.SubqueryCall, begun []*replicaproto.Call) {
	group := s.queue[0].call.Group
	for len(s.queue) > 0 && len(parts) < s.batch {
		call := s.queue[0].call
		if call == nil || call.Group != group {
			break
		}
		s.queue = s.queue[1:]
		waitMS, permitted := call.Begin(now)
		if !permitted {
			continue
		}
		parts = append(parts, wire.SubqueryCall{ID: call.SubqueryID, Shard: call.Shard, WaitMS: waitMS, Text: call.Text})
		begun = append(begun, call)
	}
	return parts, begun
}

// Wrote tells how many bytes of the last output went; where none did, its calls can still be taken back.
func (s *Session) Wrote(n int) {
	for _, e := range s.ends {
		switch {
		case e.at <= n:
			e.call.Stage = replicaproto.Written
		case n == 0:
			e.call.Stage = replicaproto.Waiting
		}
	}
	s.ends = s.ends[:0]
}

// ReadBuffer gives space for what comes next.
func (s *Session) ReadBuffer() []byte { return s.replies.Free() }

// Filled tells how many bytes came into it.
func (s *Session) Filled(n int) { s.replies.Filled(n) }

var ends = map[wire.ReplyStatus]replicaproto.End{
	wire.ReplyOK: replicaproto.OK, wire.ReplyError: replicaproto.Error, wire.ReplyRejected: replicaproto.Rejected,
}

// Next gives the next reply.
func (s *Session) Next() (e replicaproto.Event, ok bool, err error) {
	r, err := s.replies.Next()
	if r == nil || err != nil {
		return e, false, err
	}
	return replicaproto.Event{Kind: replicaproto.Reply, SubqueryID: r.ID, End: ends[r.Status], Value: r.Value, Busy: r.Busy}, true, nil
}

// MidMessage tells whether a frame has begun to come that is not whole.
func (s *Session) MidMessage() bool { return s.replies.Buffered() > 0 }
