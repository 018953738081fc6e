package http2

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
	"terntray/valuecheck"
)

// frameHeaderSize is the size of a frame's header in bytes (RFC 9113, 4.1).
const frameHeaderSize = 9

// inbound is the state of reading.
type inbound struct {
	input      wire.Buffer
	frameInput bytes.Reader // the frame that is being read
	decoder    *hpack.Decoder
	headers    headerList           // the header list that is being received
	events     []replicaproto.Event // that Next has not returned yet
	withheld   *withheldReply       // it follows these events once its length is confirmed
	inputEnded bool                 // no more input will follow what is buffered
	lastValue  *valuecheck.Withheld // of the last confirmed reply, until another frame follows it
	idleFrames int                  // consecutive frames without progress
}

// Next returns the next event.
func (session *Session) Next() (event replicaproto.Event, ok bool, err error) {
	for {
		if len(session.events) > 0 {
			event = session.events[0]
			session.events = session.events[1:]
			return event, true, nil
		}
		progressed, err := session.advance()
		if err = session.handleError(err); err != nil {
			session.noteMalformed()
			return event, false, err
		}
		if !progressed {
			return event, false, nil
		}
	}
}

// advance confirms the withheld reply or handles the next frame. It returns false if more bytes are needed for it.
func (session *Session) advance() (progressed bool, err error) {
	if session.withheld != nil {
		return session.confirmReply()
	}
	frame, err := session.nextFrame()
	if frame == nil || err != nil {
		return err != nil, err
	}
	return true, session.onFrame(frame)
}

// nextFrame removes the next frame from the input; it returns nil if the frame is incomplete.
func (session *Session) nextFrame() (http2.Frame, error) {
	input := session.input.Bytes()
	payload, err := payloadLength(input)
	size := frameHeaderSize + payload
	if err != nil || len(input) < size {
		return nil, err
	}
	session.frameInput.Reset(input[:size])
	frame, err := session.framer.ReadFrame()
	session.input.Consume(size)
	if err == nil {
		session.lastValue = nil
	}
	return frame, err
}

// payloadLength returns the length of the payload of the frame that the input begins. If bytes of the length are
// missing, it returns the smallest possible one. It returns an error as soon as the length is too large.
func payloadLength(input []byte) (int, error) {
	var length [3]byte
	copy(length[:], input)
	payload := int(length[0])<<16 | int(length[1])<<8 | int(length[2])
	if payload > maxFrameSize {
		return 0, http2.ConnectionError(http2.ErrCodeFrameSize)
	}
	return payload, nil
}

func (session *Session) onFrame(frame http2.Frame) error {
	_, isSettings := frame.(*http2.SettingsFrame)
	if !session.settings.received && !isSettings {
		return http2.ConnectionError(http2.ErrCodeProtocol) // the first frame must be SETTINGS (RFC 9113, 3.4)
	}
	session.idleFrames++ // reset to 0 on progress
	switch frame := frame.(type) {
	case *http2.SettingsFrame:
		return session.onSettings(frame)
	case *http2.HeadersFrame:
		session.headers.begin(frame.StreamID, frame.StreamEnded())
		return session.onHeaderBlock(frame.HeaderBlockFragment(), frame.HeadersEnded())
	case *http2.ContinuationFrame: // the framer checks that it belongs to the open header list
		return session.onHeaderBlock(frame.HeaderBlockFragment(), frame.HeadersEnded())
	case *http2.DataFrame:
		return session.onData(frame)
	case *http2.RSTStreamFrame:
		return session.onReset(frame)
	case *http2.GoAwayFrame:
		session.onGoAway(frame)
	case *http2.PingFrame:
		session.onPing(frame)
	case *http2.WindowUpdateFrame:
		return session.onWindowUpdate(frame)
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol) // our settings refuse pushes (RFC 9113, 8.4)
	}
	return nil // PRIORITY and unknown types are ignored (RFC 9113, 5.5)
}

func (session *Session) onPing(frame *http2.PingFrame) {
	if frame.IsAck() {
		session.pingsAnswered = min(session.pingsAnswered+1, session.pingsSent)
		session.emit(replicaproto.Event{Kind: replicaproto.PingAnswered})
		return
	}
	data := frame.Data
	session.writeControl(func() error { return session.framer.WritePing(true, data) })
}

// onSettings handles the replica's settings or its acknowledgement of ours.
func (session *Session) onSettings(frame *http2.SettingsFrame) error {
	if frame.IsAck() {
		if !session.settings.received {
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
		return nil
	}
	if err := frame.ForeachSetting(session.applySetting); err != nil {
		return err
	}
	session.writeControl(session.framer.WriteSettingsAck)
	if !session.settings.received {
		session.settings.received = true
		session.emit(replicaproto.Event{Kind: replicaproto.Ready})
	}
	return nil
}

func (session *Session) applySetting(setting http2.Setting) error {
	if err := setting.Valid(); err != nil {
		return err
	}
	switch setting.ID {
	case http2.SettingEnablePush:
		if setting.Val != 0 {
			return http2.ConnectionError(http2.ErrCodeProtocol) // RFC 9113, 6.5.2
		}
	case http2.SettingMaxConcurrentStreams:
		session.settings.maxStreams = int64(setting.Val)
		maxCalls := int(min(setting.Val, maxWindow))
		session.emit(replicaproto.Event{Kind: replicaproto.CallLimit, MaxCalls: maxCalls})
	case http2.SettingInitialWindowSize:
		return session.changeInitialWindow(int64(setting.Val))
	case http2.SettingMaxFrameSize:
		// Larger frames would delay other calls.
		session.settings.maxFrameSize = int(min(setting.Val, maxFrameSize))
	case http2.SettingHeaderTableSize:
		session.encoder.SetMaxDynamicTableSizeLimit(min(setting.Val, headerTableSize))
	}
	return nil
}

// changeInitialWindow sets the window of new streams and changes those of open streams by the difference. Windows may
// become negative (RFC 9113, 6.9.2).
func (session *Session) changeInitialWindow(size int64) error {
	change := size - session.settings.streamWindow
	session.settings.streamWindow = size
	for _, stream := range session.streamsInOrder() {
		stream.sendWindow += change
		if stream.sendWindow > maxWindow {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
	}
	return nil
}

// onWindowUpdate increases the send window of the connection or a stream.
func (session *Session) onWindowUpdate(frame *http2.WindowUpdateFrame) error {
	increment := int64(frame.Increment)
	if frame.StreamID == 0 {
		session.sendWindow += increment
		if session.sendWindow > maxWindow {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
		return nil
	}
	stream := session.streams[frame.StreamID]
	if stream == nil {
		return session.checkWasOpened(frame.StreamID)
	}
	stream.sendWindow += increment
	if stream.sendWindow > maxWindow {
		return http2.StreamError{StreamID: stream.id, Code: http2.ErrCodeFlowControl}
	}
	return nil
}

// onGoAway handles the replica's GOAWAY. Streams above its last stream ID never ran, except those whose response had
// started, which contradicts the GOAWAY. Another GOAWAY may lower the last stream ID (RFC 9113, 6.8).
func (session *Session) onGoAway(frame *http2.GoAwayFrame) {
	if session.goingAway && frame.LastStreamID >= session.lastAccepted {
		return
	}
	session.lastAccepted = frame.LastStreamID
	if !session.goingAway {
		session.goingAway = true
		session.emit(replicaproto.Event{Kind: replicaproto.GoingAway, Detail: frame.ErrCode.String()})
	}
	for _, stream := range session.streamsInOrder() {
		if stream.id <= session.lastAccepted {
			continue
		}
		session.removeStream(stream)
		if stream.headersReceived {
			session.emit(mayHaveRunEvent(stream, ""))
		} else {
			session.emit(neverRanEvent(stream, replicaproto.AboveLastStreamID))
		}
	}
}

// onReset handles the replica's reset of a stream. A refused stream never ran (RFC 9113, 8.7), unless its response had
// started.
func (session *Session) onReset(frame *http2.RSTStreamFrame) error {
	stream := session.streams[frame.StreamID]
	if stream == nil { // its response was complete, or we reset it
		return session.checkWasOpened(frame.StreamID)
	}
	session.removeStream(stream)
	if frame.ErrCode == http2.ErrCodeRefusedStream && !stream.headersReceived {
		session.emit(neverRanEvent(stream, replicaproto.RefusedStream))
	} else {
		session.emit(mayHaveRunEvent(stream, frame.ErrCode.String()))
	}
	return nil
}

// handleError handles the result of a frame, which may be nil. A stream error ends only its stream. Any other error is
// returned and ends the connection, and so does a flood: too many frames without progress, or frames that require
// responses faster than those can be written.
func (session *Session) handleError(err error) error {
	var streamError http2.StreamError
	if errors.As(err, &streamError) {
		err = session.endStream(streamError)
	}
	if err != nil {
		return session.recordConnectionError(err)
	}
	if session.idleFrames > maxIdleFrames || len(session.control) > maxPendingControl {
		return session.recordConnectionError(http2.ConnectionError(http2.ErrCodeEnhanceYourCalm))
	}
	return nil
}

// endStream resets the stream that an error concerns.
func (session *Session) endStream(cause http2.StreamError) error {
	stream := session.streams[cause.StreamID]
	if stream == nil {
		return session.checkWasOpened(cause.StreamID)
	}
	session.emit(mayHaveRunEvent(stream, cause.Error()))
	session.reset(stream, cause.Code)
	return nil
}

// recordConnectionError sets the error code of our GOAWAY and returns the error with the framer's detail.
func (session *Session) recordConnectionError(err error) error {
	session.closeCode = http2.ErrCodeProtocol
	var connectionError http2.ConnectionError
	if errors.As(err, &connectionError) {
		session.closeCode = http2.ErrCode(connectionError)
	}
	if detail := session.framer.ErrorDetail(); detail != nil {
		return fmt.Errorf("%w: %w", err, detail)
	}
	return err
}

// checkWasOpened returns nil for a stream that we have opened, even if it has ended, and otherwise a connection error
// (RFC 9113, 5.1).
func (session *Session) checkWasOpened(id uint32) error {
	isClientInitiated := id%2 == 1
	if !isClientInitiated || id > session.lastStreamID {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	return nil
}

// streamsInOrder returns the open streams, sorted by ID.
func (session *Session) streamsInOrder() []*stream {
	byID := func(a, b *stream) int { return cmp.Compare(a.id, b.id) }
	return slices.SortedFunc(maps.Values(session.streams), byID)
}
