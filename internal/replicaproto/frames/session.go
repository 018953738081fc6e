// Package frames implements the frames protocol (docs/sockets.md): a call frame has a length, a letter and, for each of
// its subqueries, a line and the text; replies arrive in any order and name their subquery.
package frames

import (
	"slices"
	"time"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
	"terntray/valuecheck"
)

// Session is the state machine of one connection.
type Session struct {
	maxCalls int // maximum number of calls in a frame, all of one group
	replies  wire.ReplyReader
	queue    []queueEntry
	callEnds []replicaproto.CallEnd // of the calls in the last output, in order
	sent     sentIDs

	closeAnnounced bool // no call is begun any more
}

// queueEntry is an entry of the queue: a call, or the notice that a subquery is abandoned.
type queueEntry struct {
	call      *replicaproto.Call // nil: abandoned is set
	abandoned string             // the subquery's ID
}

// New returns a session that writes up to maxCalls calls of one group in a frame. The history, against which values are
// checked, may be nil.
func New(maxCalls int, values *valuecheck.History) *Session {
	session := &Session{maxCalls: max(1, maxCalls)}
	session.replies = wire.ReplyReader{Values: values, Sent: &session.sent}
	return session
}

var _ replicaproto.Session = (*Session)(nil)

// Queue appends a call to the calls that wait to be written, unless the connection is about to be closed.
func (session *Session) Queue(call *replicaproto.Call) {
	if session.closeAnnounced {
		return
	}
	session.queue = append(session.queue, queueEntry{call: call})
}

// Withdraw removes a call from the queue and reports whether it could; see replicaproto.Call.Revocable.
func (session *Session) Withdraw(call *replicaproto.Call) bool {
	if !call.Revocable() {
		return false
	}
	isCall := func(queued queueEntry) bool { return queued.call == call }
	session.queue = slices.DeleteFunc(session.queue, isCall)
	return true
}

// Abandon queues a message that notifies the replica that a subquery is abandoned.
func (session *Session) Abandon(call *replicaproto.Call) {
	session.queue = append(session.queue, queueEntry{abandoned: call.SubqueryID})
}

// Ping does nothing: the protocol has no pings.
func (session *Session) Ping() {}

// AnnounceClose drops the calls that wait and leaves the notices of abandoned subqueries to be written.
func (session *Session) AnnounceClose() (hasLastMessages bool) {
	session.closeAnnounced = true
	isCall := func(queued queueEntry) bool { return queued.call != nil }
	session.queue = slices.DeleteFunc(session.queue, isCall)
	return len(session.queue) > 0
}

// Output appends the frames for the queue, up to about maxBytes; 0 means no limit. Calls that remain in the queue can
// still be withdrawn.
func (session *Session) Output(buffer []byte, maxBytes int, now time.Duration) []byte {
	session.callEnds = session.callEnds[:0]
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
			session.callEnds = append(session.callEnds, end)
		}
	}
	if len(session.queue) == 0 {
		session.queue = nil // releases its memory
	}
	return buffer
}

// nextFrame removes the calls of the next frame from the queue: up to maxCalls of the first call's group. Calls that
// are no longer permitted are dropped.
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
		session.sent.add(call.SubqueryID)
	}
	return subqueries, begun
}

// Wrote records how many bytes of the last output were accepted. If none were, its calls can be withdrawn again.
func (session *Session) Wrote(bytes int) {
	for _, end := range session.callEnds {
		switch {
		case end.Offset <= bytes:
			end.Call.Stage = replicaproto.Written
		case bytes == 0:
			end.Call.Stage = replicaproto.Waiting
		}
	}
	session.callEnds = session.callEnds[:0]
}

// ReadBuffer returns space for the next read.
func (session *Session) ReadBuffer() []byte { return session.replies.FreeSpace() }

// Filled records how many bytes were read into the read buffer.
func (session *Session) Filled(bytes int) { session.replies.Filled(bytes) }

// replyStatusOf maps the statuses on the wire to those of events.
var replyStatusOf = map[wire.ReplyStatus]replicaproto.ReplyStatus{
	wire.ReplyOK:       replicaproto.OK,
	wire.ReplyError:    replicaproto.Error,
	wire.ReplyRejected: replicaproto.Rejected,
}

// Next returns the next reply.
func (session *Session) Next() (event replicaproto.Event, ok bool, err error) {
	reply, err := session.replies.Next()
	if reply == nil || err != nil {
		return event, false, err
	}
	return replyEvent(reply), true, nil
}

func replyEvent(reply *wire.Reply) replicaproto.Event {
	return replicaproto.Event{
		Kind:       replicaproto.Reply,
		SubqueryID: reply.ID,
		Status:     replyStatusOf[reply.Status],
		Value:      reply.Value,
		CPUUsage:   reply.CPUUsage,
	}
}

// Withheld returns the reply that is withheld until it is known what follows it.
func (session *Session) Withheld() (replicaproto.WithheldReply, bool) {
	reply, judgement := session.replies.Withheld()
	if reply == nil {
		return replicaproto.WithheldReply{}, false
	}
	return replicaproto.NewWithheldReply(replyEvent(reply), judgement), true
}

// ReleaseReply lets Next return the withheld reply.
func (session *Session) ReleaseReply() { session.replies.Release() }

// EndInput lets Next return the withheld reply, as no more input will follow.
func (session *Session) EndInput() { session.replies.EndInput() }

// HasPartialMessage reports whether an incomplete frame has been received.
func (session *Session) HasPartialMessage() bool { return session.replies.Buffered() > 0 }
