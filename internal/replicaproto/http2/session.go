// Package http2 is the protocol of replicas that speak HTTP/2 (RFC 9113, with the header compression of RFC 7541): one
// stream for each call. docs/http2.md has the mapping, and what proves that a call never ran.
//
// Frames and header compression are those of golang.org/x/net. Its transport is not used, as it repeats requests by
// itself and hides which streams ran. A Session does all that a client has to: settings and their acknowledgement, the
// replica's limits on streams, frames and headers, flow control both ways, pings, GOAWAY and resets. Pushes are
// refused, unknown frames ignored, and floods end the connection.
//
// session.go has the state, output.go what is written, frames_in.go and response.go what is read.
package http2

import (
	"encoding/binary"
	"errors"
	"slices"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
)

const (
	initialWindow = 65535     // bytes of either side's flow-control windows at first (RFC 9113, 6.9.2)
	maxWindow     = 1<<31 - 1 // bytes of any window (RFC 9113, 6.9.1)
	connWindow    = 512 << 10 // bytes of the connection's window that we open: several of the largest replies
	maxStreamID   = 1<<31 - 1

	maxFrameSize    = 16384     // bytes of a payload, ours and the replica's: what any side takes (RFC 9113, 6.5.2)
	maxValue        = 128 << 10 // bytes of a reply; a longer one fits into no response to a client
	maxHeaderList   = 16 << 10  // bytes of a header list, stated in our settings
	maxHeaderBlock  = 32 << 10  // compressed bytes of one, CONTINUATION frames included
	headerTableSize = 4096      // bytes of either side's compression table

	maxPendingControl = 16 << 10 // bytes of control frames that wait to be written; beyond, the replica floods us
	maxIdleFrames     = 1000     // frames in a row that bring nothing; beyond, the replica floods us
)

// Session is the state machine of one connection.
type Session struct {
	scheme    string
	authority string

	framer *http2.Framer // reads from inbound, writes to outbound
	inbound
	outbound

	queue        []*replicaproto.Call // not begun, in order
	streams      map[uint32]*stream   // open ones, by id
	sending      []*stream            // with body left, the next one first
	lastStreamID uint32               // odd; 0: none yet

	settings       replicaSettings
	sendWindow     int64 // of the connection
	receiveWindow  receiveWindow
	pingsSent      uint64
	goingAway      bool   // the replica takes no new stream
	lastAccepted   uint32 // the highest stream that it takes then
	closeAnnounced bool
	closeCode      http2.ErrCode // of our GOAWAY
}

// replicaSettings are the replica's settings (RFC 9113, 6.5.2); until they come, the protocol's defaults.
type replicaSettings struct {
	received     bool
	maxStreams   int64 // that it takes at a time
	maxFrameSize int   // bytes of a payload that we send: at most our own maxFrameSize
	streamWindow int64 // bytes that it takes at first on a new stream
}

// New makes a session. The scheme is http or https, the authority the replica's address.
func New(scheme, authority string) *Session {
	session := &Session{
		scheme:        scheme,
		authority:     authority,
		streams:       map[uint32]*stream{},
		settings:      replicaSettings{maxStreams: maxWindow, maxFrameSize: maxFrameSize, streamWindow: initialWindow},
		sendWindow:    initialWindow,
		receiveWindow: receiveWindow{available: connWindow},
	}
	session.framer = http2.NewFramer(outputWriter{session}, &session.frameInput)
	session.framer.SetMaxReadFrameSize(maxFrameSize)
	session.framer.SetReuseFrames()
	session.encoder = hpack.NewEncoder(&session.headerBlock)
	session.decoder = hpack.NewDecoder(headerTableSize, session.headers.add)
	session.decoder.SetMaxStringLength(maxHeaderList)
	session.control = append(session.control, http2.ClientPreface...)
	session.writeControl(session.writePreface)
	return session
}

// writePreface writes our settings, and opens the connection's window.
func (session *Session) writePreface() error {
	return errors.Join(
		session.framer.WriteSettings(
			http2.Setting{ID: http2.SettingEnablePush, Val: 0},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHeaderList},
		),
		session.framer.WriteWindowUpdate(0, connWindow-initialWindow),
	)
}

var _ replicaproto.Session = (*Session)(nil)

// outputWriter lets the framer write to a session's output.
type outputWriter struct{ session *Session }

func (writer outputWriter) Write(bytes []byte) (int, error) {
	writer.session.output = append(writer.session.output, bytes...)
	return len(bytes), nil
}

// Queue has a call wait to be written.
func (session *Session) Queue(call *replicaproto.Call) { session.queue = append(session.queue, call) }

// Withdraw takes back a call of which no byte was written.
func (session *Session) Withdraw(call *replicaproto.Call) bool {
	if !call.Revocable() {
		return false
	}
	isCall := func(waiting *replicaproto.Call) bool { return waiting == call }
	session.queue = slices.DeleteFunc(session.queue, isCall)
	return true
}

// Abandon resets a call's stream.
func (session *Session) Abandon(call *replicaproto.Call) {
	if stream := session.streams[call.Stream]; stream != nil && stream.call == call {
		session.reset(stream, http2.ErrCodeCancel)
	}
}

// reset ends a stream from this side.
func (session *Session) reset(stream *stream, code http2.ErrCode) {
	session.removeStream(stream)
	session.writeControl(func() error { return session.framer.WriteRSTStream(stream.id, code) })
}

// removeStream lets go of a stream that is over.
func (session *Session) removeStream(stream *stream) {
	delete(session.streams, stream.id)
	session.stopSending(stream)
}

// stopSending takes a stream out of those with body left.
func (session *Session) stopSending(gone *stream) {
	isGone := func(sending *stream) bool { return sending == gone }
	session.sending = slices.DeleteFunc(session.sending, isGone)
}

// Ping asks the replica for a sign of life.
func (session *Session) Ping() {
	session.pingsSent++
	var data [8]byte
	binary.LittleEndian.PutUint64(data[:], session.pingsSent)
	session.writeControl(func() error { return session.framer.WritePing(false, data) })
}

// AnnounceClose has the replica told that the connection is about to be closed.
func (session *Session) AnnounceClose() {
	if session.closeAnnounced {
		return
	}
	session.closeAnnounced = true
	session.writeControl(func() error { return session.framer.WriteGoAway(0, session.closeCode, nil) })
}

// ReadBuffer gives space for what is read next.
func (session *Session) ReadBuffer() []byte { return session.input.Free() }

// Filled tells how many bytes were read into it.
func (session *Session) Filled(size int) { session.input.Filled(size) }

// HasPartialMessage tells whether a frame, or a header list of several, has begun to come that is not whole.
func (session *Session) HasPartialMessage() bool {
	return session.input.Buffered() > 0 || session.headers.open
}

// emit has an event given by Next.
func (session *Session) emit(event replicaproto.Event) {
	session.events = append(session.events, event)
}
