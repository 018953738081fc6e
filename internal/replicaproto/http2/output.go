package http2

import (
	"bytes"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
)

// outbound is what is written.
type outbound struct {
	output      []byte // that frames are being written to
	outputStart int    // where the session's own output begins in it
	callEnds    []replicaproto.CallEnd
	control     []byte // control frames that wait to be written
	encoder     *hpack.Encoder
	headerBlock bytes.Buffer // that the encoder writes to
}

// Output appends what is to be written now: control frames, then new streams as the replica's limit allows, then bodies
// in turn, a frame of each. A large call would otherwise keep small ones of other clients waiting. Nothing is begun
// before the replica's settings have come, as its limit is not known.
func (session *Session) Output(buffer []byte, maxBytes int, now time.Duration) []byte {
	session.callEnds = session.callEnds[:0]
	session.outputStart = len(buffer)
	session.output = append(buffer, session.control...)
	session.control = session.control[:0]
	for session.canBeginCall() && session.outputSize() < maxBytes {
		session.beginNextCall(now)
	}
	session.writeBodies(maxBytes)
	output := session.output
	session.output = nil
	return output
}

// outputSize is the bytes of the output so far.
func (session *Session) outputSize() int { return len(session.output) - session.outputStart }

// canBeginCall tells whether the first call that waits can begin. A stream on which nothing can be sent would only take a
// place.
func (session *Session) canBeginCall() bool {
	if len(session.queue) == 0 || !session.settings.received || session.closeAnnounced || session.goingAway {
		return false
	}
	canSend := session.sendWindow > 0 && session.settings.streamWindow > 0
	return canSend && int64(len(session.streams)) < session.settings.maxStreams && session.lastStreamID < maxStreamID
}

// beginNextCall opens a stream for the first call that waits, unless that is not permitted any more.
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
	if size := session.sendable(opened); size == len(opened.body) { // a small body goes with its head
		session.writeBody(opened, size)
	} else {
		session.sending = append(session.sending, opened)
	}
}

// nextStreamID gives the id of a new stream. After the last one the connection takes nothing new.
func (session *Session) nextStreamID() uint32 {
	if session.lastStreamID == 0 {
		session.lastStreamID = 1
	} else {
		session.lastStreamID += 2
	}
	if session.lastStreamID == maxStreamID {
		session.goingAway = true
		session.lastAccepted = maxStreamID
		session.emit(replicaproto.Event{Kind: replicaproto.GoingAway, Detail: "the stream ids are used up"})
	}
	return session.lastStreamID
}

// writeHeaders writes a call's header list, in as many frames as it needs.
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

// splitAt divides bytes after so many of them.
func splitAt(all []byte, size int) (first, rest []byte) {
	size = min(size, len(all))
	return all[:size], all[size:]
}

// writeBodies writes a frame of each body in turn, until the output is large enough or none can go on.
func (session *Session) writeBodies(maxBytes int) {
	blocked := 0 // bodies in a row of which nothing can be sent
	for blocked < len(session.sending) && session.outputSize() < maxBytes {
		if session.sendWindow <= 0 || session.closeAnnounced {
			return
		}
		next := session.sending[0]
		session.sending = append(session.sending[1:], next) // its next turn is after all others'
		size := session.sendable(next)
		if size <= 0 {
			blocked++
			continue
		}
		session.writeBody(next, size)
		blocked = 0
	}
}

// sendable is how many bytes of a stream's body can be sent in one frame now; it may be below 0.
func (session *Session) sendable(stream *stream) int {
	window := min(session.sendWindow, stream.sendWindow)
	return int(min(int64(len(stream.body)), window, int64(session.settings.maxFrameSize)))
}

// writeBody writes so many bytes of a stream's body.
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

// recordCallEnd notes where a call's last byte stands in the output.
func (session *Session) recordCallEnd(stream *stream) {
	stream.sent = true
	end := replicaproto.CallEnd{Call: stream.call, Offset: session.outputSize()}
	session.callEnds = append(session.callEnds, end)
}

// Wrote tells how many bytes of the last output were taken.
func (session *Session) Wrote(taken int) {
	for _, end := range session.callEnds {
		if end.Offset <= taken {
			end.Call.Stage = replicaproto.Written
		}
	}
	session.callEnds = session.callEnds[:0]
}

// writeControl has control frames written in the next output, after those that wait.
func (session *Session) writeControl(write func() error) {
	session.output = session.control
	must(write())
	session.control = session.output
	session.output = nil
}

// sendWindowUpdate lets the replica send more, on a stream or, with 0, the connection.
func (session *Session) sendWindowUpdate(stream uint32, increment int64) {
	if increment > 0 {
		session.writeControl(func() error { return session.framer.WriteWindowUpdate(stream, uint32(increment)) })
	}
}

// must panics on an error of writing a frame. Writing is to memory, so it is a frame that this package made wrongly.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
