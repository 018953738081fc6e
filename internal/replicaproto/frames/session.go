// Package frames is the protocol of frames (docs/sockets.md): a call has a length, a letter and a line for each of its
// subqueries; replies come in any order and name their subquery.
package frames

import (
	"slices"
	"time"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

// Session is the state machine of one connection.
type Session struct {
	maxCalls   int // of one group in a frame
	replies    wire.ReplyReader
	queue      []message
	outputEnds []replicaproto.CallEnd // of the calls in the last output, in order
}

// message is what waits to be written: a call, or that a subquery is abandoned.
type message struct {
	call      *replicaproto.Call // nil: abandoned is set
	abandoned string             // the subquery's id
}

// New makes a session that puts up to maxCalls of one group into a frame. The sizes of values, which tell how much to
// expect of a reply, may be nil.
func New(maxCalls int, sizes *wire.ValueSizes) *Session {
	return &Session{maxCalls: max(1, maxCalls), replies: wire.ReplyReader{Sizes: sizes}}
}

var _ replicaproto.Session = (*Session)(nil)

// Queue has a call wait to be written.
func (session *Session) Queue(call *replicaproto.Call) {
	session.queue = append(session.queue, message{call: call})
}

// Withdraw takes back a call of which no byte was written.
func (session *Session) Withdraw(call *replicaproto.Call) bool {
	if !call.Revocable() {
		return false
	}
	isCall := func(waiting message) bool { return waiting.call == call }
	session.queue = slices.DeleteFunc(session.queue, isCall)
	return true
}

// Abandon has the replica told that a subquery is abandoned.
func (session *Session) Abandon(call *replicaproto.Call) {
	session.queue = append(session.queue, message{abandoned: call.SubqueryID})
}

// Ping does nothing: the protocol has none.
func (session *Session) Ping() {}

// AnnounceClose does nothing: the protocol has no message for it.
func (session *Session) AnnounceClose() {}

// Output appends the messages that wait, up to about maxBytes if that is above 0. What is beyond can still be
// withdrawn.
func (session *Session) Output(buffer []byte, maxBytes int, now time.Duration) []byte {
	session.outputEnds = session.outputEnds[:0]
	start := len(buffer)
	for len(session.queue) > 0 && (maxBytes <= 0 || len(buffer)-start < maxBytes) {
		first := session.queue[0]
		if first.call == nil {
			buffer = wire.AppendAbandon(buffer, first.abandoned)
			session.queue = session.queue[1:]
			continue
		}
		subqueries, begun := session.nextFrame(now)
		if len(subqueries) == 0 {
			continue
		}
		buffer = wire.AppendCall(buffer, subqueries...)
		for _, call := range begun {
			end := replicaproto.CallEnd{Call: call, Offset: len(buffer) - start}
			session.outputEnds = append(session.outputEnds, end)
		}
	}
	if len(session.queue) == 0 {
		session.queue = nil // gives its memory back
	}
	return buffer
}

// nextFrame takes the calls of the next frame off the queue: those of the first one's group, up to maxCalls. What is
// not permitted any more is left out.
func (session *Session) nextFrame(now time.Duration) (subqueries []wire.SubqueryCall, begun []*replicaproto.Call) {
	group := session.queue[0].call.Group
	for len(session.queue) > 0 && len(subqueries) < session.maxCalls {
		call := session.queue[0].call
		if call == nil || call.Group != group {
			break
		}
		session.queue = session.queue[1:]
		waitMS, permitted := call.Begin(now)
		if !permitted {
			continue
		}
		subqueries = append(subqueries, wire.SubqueryCall{
			ID: call.SubqueryID, Shard: call.Shard, WaitMS: waitMS, Text: call.Text,
		})
		begun = append(begun, call)
	}
	return subqueries, begun
}

// Wrote tells how many bytes of the last output were taken. If none were, its calls can still be withdrawn.
func (session *Session) Wrote(bytes int) {
	for _, end := range session.outputEnds {
		switch {
		case end.Offset <= bytes:
			end.Call.Stage = replicaproto.Written
		case bytes == 0:
			end.Call.Stage = replicaproto.Waiting
		}
	}
	session.outputEnds = session.outputEnds[:0]
}

// ReadBuffer gives space for what is read next.
func (session *Session) ReadBuffer() []byte { return session.replies.FreeSpace() }

// Filled tells how many bytes were read into it.
func (session *Session) Filled(bytes int) { session.replies.Filled(bytes) }

// endOf maps the statuses of replies on the wire.
var endOf = map[wire.ReplyStatus]replicaproto.ReplyStatus{
	wire.ReplyOK:       replicaproto.OK,
	wire.ReplyError:    replicaproto.Error,
	wire.ReplyRejected: replicaproto.Rejected,
}

// Next gives the next reply.
func (session *Session) Next() (event replicaproto.Event, ok bool, err error) {
	reply, err := session.replies.Next()
	if reply == nil || err != nil {
		return event, false, err
	}
	event = replicaproto.Event{
		Kind:       replicaproto.Reply,
		SubqueryID: reply.ID,
		Status:     endOf[reply.Status],
		Value:      reply.Value,
		CPUUsage:   reply.CPUUsage,
	}
	return event, true, nil
}

// HasPartialMessage tells whether a frame has begun to come that is not whole.
func (session *Session) HasPartialMessage() bool { return session.replies.Buffered() > 0 }
