// Package http2 implements the protocol of replicas that speak HTTP/2 (RFC 9113, with the header compression of RFC
// 7541): one stream for each call. docs/http2.md describes the mapping and what proves that a call never ran.
//
// Frames and header compression use golang.org/x/net. Its transport is not used, because it retries requests by itself
// and hides which streams ran. A Session implements all of a client's duties: settings and their acknowledgement, the
// replica's limits on streams, frames and headers, flow control in both directions, pings, GOAWAY and resets. Pushes
// are refused, unknown frames are ignored, and floods end the connection.
//
// session.go holds the state, output.go what is written, frames_in.go and response.go what is read.
package http2

import (
	"encoding/binary"
	"errors"
	"slices"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
	"terntray/valuecheck"
)

const (
	initialWindow = 65535     // bytes; initial flow-control window of either side (RFC 9113, 6.9.2)
	maxWindow     = 1<<31 - 1 // bytes; limit of any window (RFC 9113, 6.9.1)
	connWindow    = 512 << 10 // bytes; the receive window of a connection: several of the largest replies
	maxStreamID   = 1<<31 - 1

	maxFrameSize    = 16384     // bytes of payload in either direction; every peer accepts this size (RFC 9113, 6.5.2)
	maxValue        = 128 << 10 // bytes of a reply; longer ones do not fit into a response to a client
	maxHeaderList   = 16 << 10  // bytes of a header list, announced in our settings
	maxHeaderBlock  = 32 << 10  // bytes of a compressed header list, CONTINUATION frames included
	headerTableSize = 4096      // bytes of either side's compression table

	maxPendingControl = 16 << 10 // bytes of queued control frames; more are treated as a flood
	maxIdleFrames     = 1000     // consecutive frames without progress; more are treated as a flood
)

// Session is the state machine of one connection.
type Session struct {
	scheme    string
	authority string

	framer *http2.Framer // reads from inbound, writes to outbound
	inbound
	outbound

	queue        []*replicaproto.Call // not yet started, in order
	streams      map[uint32]*stream   // open streams by ID
	sending      []*stream            // streams with unsent body, the next to send first
	lastStreamID uint32               // odd; 0: none yet

	values         *valuecheck.History // shared by all connections; may be nil
	settings       replicaSettings
	sendWindow     int64 // of the connection
	receiveWindow  receiveWindow
	pingsSent      uint64
	pingsAnswered  uint64
	goingAway      bool   // no new stream may be opened
	lastAccepted   uint32 // the last stream ID of the replica's GOAWAY
	closeAnnounced bool
	closeCode      http2.ErrCode // of our GOAWAY
}

// replicaSettings are the replica's settings (RFC 9113, 6.5.2), or the protocol's defaults until they are received.
type replicaSettings struct {
	received     bool
	maxStreams   int64 // concurrent streams that the replica accepts
	maxFrameSize int   // bytes of payload that we send: at most our own maxFrameSize
	streamWindow int64 // bytes; initial window of a new stream
}

// New returns a session. The scheme is http or https, the authority is the replica's address. The history, against
// which values without a content-length are checked, may be nil.
func New(scheme, authority string, values *valuecheck.History) *Session {
	session := &Session{
		scheme:        scheme,
		authority:     authority,
		values:        values,
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

// writePreface writes our settings and raises the connection's window to connWindow.
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

// outputWriter is the framer's writer; it appends to a session's output.
type outputWriter struct{ session *Session }

func (writer outputWriter) Write(bytes []byte) (int, error) {
	writer.session.output = append(writer.session.output, bytes...)
	return len(bytes), nil
}

// Queue appends a call to the calls that wait to be written.
func (session *Session) Queue(call *replicaproto.Call) { session.queue = append(session.queue, call) }

// Withdraw removes a call from the queue and reports whether it could; see replicaproto.Call.Revocable.
func (session *Session) Withdraw(call *replicaproto.Call) bool {
	if !call.Revocable() {
		return false
	}
	isCall := func(queued *replicaproto.Call) bool { return queued == call }
	session.queue = slices.DeleteFunc(session.queue, isCall)
	return true
}

// Abandon resets a call's stream.
func (session *Session) Abandon(call *replicaproto.Call) {
	if stream := session.streams[call.Stream]; stream != nil && stream.call == call {
		session.reset(stream, http2.ErrCodeCancel)
	}
}

// reset removes a stream and queues a RST_STREAM for it.
func (session *Session) reset(stream *stream, code http2.ErrCode) {
	session.removeStream(stream)
	session.writeControl(func() error { return session.framer.WriteRSTStream(stream.id, code) })
}

// removeStream removes an ended stream.
func (session *Session) removeStream(stream *stream) {
	delete(session.streams, stream.id)
	session.stopSending(stream)
}

// stopSending removes a stream from those with unsent body.
func (session *Session) stopSending(removed *stream) {
	isRemoved := func(sending *stream) bool { return sending == removed }
	session.sending = slices.DeleteFunc(session.sending, isRemoved)
}

// Ping queues a ping.
func (session *Session) Ping() {
	session.pingsSent++
	var data [8]byte
	binary.LittleEndian.PutUint64(data[:], session.pingsSent)
	session.writeControl(func() error { return session.framer.WritePing(false, data) })
}

// AnnounceClose queues a GOAWAY; no stream is opened and no body is sent after it.
func (session *Session) AnnounceClose() (hasLastMessages bool) {
	if !session.closeAnnounced {
		session.closeAnnounced = true
		session.writeControl(func() error { return session.framer.WriteGoAway(0, session.closeCode, nil) })
	}
	return true
}

// ReadBuffer returns space for the next read.
func (session *Session) ReadBuffer() []byte { return session.input.FreeSpace() }

// Filled records how many bytes were read into the read buffer.
func (session *Session) Filled(size int) { session.input.Filled(size) }

// HasPartialMessage reports whether an incomplete frame or header list has been received.
func (session *Session) HasPartialMessage() bool {
	return session.input.Buffered() > 0 || session.headers.open
}

// emit queues an event for Next.
func (session *Session) emit(event replicaproto.Event) {
	session.events = append(session.events, event)
}
