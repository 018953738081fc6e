package http2

import (
	"bytes"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
)

// outbound is the state of writing.
type outbound struct {
	output      []byte // that frames are appended to
	outputStart int    // where this session's output begins in it
	callEnds    []replicaproto.CallEnd
	control     []byte // control frames that wait to be written
	encoder     *hpack.Encoder
	headerBlock bytes.Buffer // that the encoder writes to
}

// Output appends control frames, then new streams up to the replica's limit, then one frame of each body in turn, so
// that a large call does not delay other clients' small ones. No stream is opened before the replica's settings are
// received, because its limit is not known yet.
func (session *Session) Output(buffer []byte, maxBytes int, now time.Duration) []byte {
	session.callEnds = session.callEnds[:0]
	session.outputStart = len(buffer)
	session.output = append(buffer, session.control...)
	session.control = session.control[:0]
	for session.canBeginCall() && session.outputSize() < maxBytes {
		session.beginNextCall(now)
	}
	session.writeBodies(maxBytes, now)
	output := session.output
	session.output = nil
	return output
}

// outputSize returns the size of the output so far, in bytes.
func (session *Session) outputSize() int { return len(session.output) - session.outputStart }

// canBeginCall reports whether a stream can be opened for the first queued call. While no body can be sent, none is
// opened: it would only count toward the replica's limit.
func (session *Session) canBeginCall() bool {
	if len(session.queue) == 0 || !session.settings.received || session.closeAnnounced || session.goingAway {
		return false
	}
	canSend := session.sendWindow > 0 && session.settings.streamWindow > 0
	return canSend && int64(len(session.streams)) < session.settings.maxStreams && session.lastStreamID < maxStreamID
}

// beginNextCall opens a stream for the first queued call, or drops the call if it is no longer permitted.
func (session *Session) beginNextCall(now time.Duration) {
	call := session.queue[0]
	session.queue = session.queue[1:]
	waitMS, permitted := call.Begin(now)
	if !permitted {
		return
	}
	opened := &stream{
		id:            session.nextStreamID(),
		call:          call,
		body:          call.Text,
		sendWindow:    session.settings.streamWindow,
		receiveWindow: receiveWindow{available: initialWindow},
		contentLength: -1,
	}
	call.Stream = opened.id
	session.streams[opened.id] = opened
	session.writeHeaders(opened, waitMS)
	if len(opened.body) == 0 {
		session.recordCallEnd(opened)
		return
	}
	if size := session.sendable(opened); size == len(opened.body) { // a small body follows its headers at once
		session.writeBody(opened, size)
	} else {
		session.sending = append(session.sending, opened)
	}
}

// nextStreamID returns the ID of a new stream. With the last possible ID, the connection stops accepting calls.
func (session *Session) nextStreamID() uint32 {
	if session.lastStreamID == 0 {
		session.lastStreamID = 1
	} else {
		session.lastStreamID += 2
	}
	if session.lastStreamID == maxStreamID {
		session.goingAway = true
		session.lastAccepted = maxStreamID
		session.emit(replicaproto.Event{Kind: replicaproto.GoingAway, Detail: "the connection has used all stream IDs"})
	}
	return session.lastStreamID
}

// writeHeaders writes a call's header list, in several frames if necessary.
func (session *Session) writeHeaders(stream *stream, waitMS int64) {
	session.headerBlock.Reset()
	for _, field := range requestHeaders(session.scheme, session.authority, stream.call, waitMS) {
		must(session.encoder.WriteField(field))
	}
	block := session.headerBlock.Bytes()
	fragment, rest := splitAt(block, session.settings.maxFrameSize)
	must(session.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      stream.id,
		BlockFragment: fragment,
		EndHeaders:    len(rest) == 0,
		EndStream:     len(stream.body) == 0,
	}))
	for len(rest) > 0 {
		fragment, rest = splitAt(rest, session.settings.maxFrameSize)
		must(session.framer.WriteContinuation(stream.id, len(rest) == 0, fragment))
	}
}

// splitAt splits a slice after size bytes, or at its end if it is shorter.
func splitAt(all []byte, size int) (first, rest []byte) {
	size = min(size, len(all))
	return all[:size], all[size:]
}

// writeBodies writes one frame of each body in turn, until the output is large enough or no body can be sent. As the
// rest of a body may have waited for credit, its end is written only if the call is still permitted.
func (session *Session) writeBodies(maxBytes int, now time.Duration) {
	blocked := 0 // consecutive bodies of which nothing can be sent
	for blocked < len(session.sending) && session.outputSize() < maxBytes {
		if session.sendWindow <= 0 || session.closeAnnounced {
			return
		}
		next := session.sending[0]
		session.sending = append(session.sending[1:], next) // round robin
		size := session.sendable(next)
		if size <= 0 {
			blocked++
			continue
		}
		blocked = 0
		if isEnd := size == len(next.body); isEnd && !next.call.MayEnd(now) {
			session.reset(next, http2.ErrCodeCancel)
			continue
		}
		session.writeBody(next, size)
	}
}

// sendable returns how many bytes of a stream's body can be sent in one frame now; it may be negative.
func (session *Session) sendable(stream *stream) int {
	window := min(session.sendWindow, stream.sendWindow)
	return int(min(int64(len(stream.body)), window, int64(session.settings.maxFrameSize)))
}

// writeBody writes the next size bytes of a stream's body.
func (session *Session) writeBody(stream *stream, size int) {
	fragment, rest := splitAt(stream.body, size)
	isLast := len(rest) == 0
	must(session.framer.WriteData(stream.id, isLast, fragment))
	stream.body = rest
	stream.sendWindow -= int64(size)
	session.sendWindow -= int64(size)
	if isLast {
		session.stopSending(stream)
		session.recordCallEnd(stream)
	}
}

// recordCallEnd records the position of a call's last byte in the output.
func (session *Session) recordCallEnd(stream *stream) {
	stream.sent = true
	end := replicaproto.CallEnd{Call: stream.call, Offset: session.outputSize()}
	session.callEnds = append(session.callEnds, end)
}

// Wrote records how many bytes of the last output were accepted.
func (session *Session) Wrote(accepted int) {
	for _, end := range session.callEnds {
		if end.Offset <= accepted {
			end.Call.Stage = replicaproto.Written
		}
	}
	session.callEnds = session.callEnds[:0]
}

// writeControl calls write and queues the frames that it writes, for the next output.
func (session *Session) writeControl(write func() error) {
	current := session.output
	session.output = session.control
	must(write())
	session.control = session.output
	session.output = current
}

// sendWindowUpdate queues a WINDOW_UPDATE for a stream, or for the connection if stream is 0.
func (session *Session) sendWindowUpdate(stream uint32, increment int64) {
	if increment > 0 {
		session.writeControl(func() error { return session.framer.WriteWindowUpdate(stream, uint32(increment)) })
	}
}

// must panics if a frame could not be written. Frames are written to memory, so the frame itself must be invalid.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
