package http2

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"golang.org/x/net/http2"

	"terntray/internal/replicaproto"
	"terntray/valuecheck"
)

// withheldReply is a reply that has ended, but was not emitted yet.
//
// A ping is sent behind its receipt: the replica answers pings in order, behind all bytes of the frame that carries the
// reply. So the answer follows a sound reply within a round trip, and the rest of a value that was cut short comes first.
type withheldReply struct {
	event replicaproto.Event
	value *valuecheck.Withheld
}

// withhold withholds a reply until confirmReply emits it.
func (session *Session) withhold(reply replicaproto.Event) {
	value := session.values.Withhold(reply.Value, session.findFrames(reply.Value))
	if session.inputEnded {
		value.EndInput()
	}
	session.withheld = &withheldReply{event: reply, value: value}
}

// confirmReply emits the withheld reply if its value is judged to be complete, the start of another frame follows it, or
// it was released. It returns false while none of these is known, and an error if the value contains other frames or
// bytes follow that are not a frame.
func (session *Session) confirmReply() (confirmed bool, err error) {
	withheld := session.withheld
	follower, err := session.followerOf(session.input.Bytes())
	switch decision := withheld.value.Decide(follower); {
	case decision == valuecheck.Wait:
		session.pingToConfirm()
		return false, nil
	case decision == valuecheck.Reject && err != nil:
		return false, err
	case decision == valuecheck.Reject:
		return false, fmt.Errorf("%w: a value contains other frames", http2.ConnectionError(http2.ErrCodeProtocol))
	}
	session.emit(withheld.event)
	session.lastValue = withheld.value
	session.withheld = nil
	return true, nil
}

// followerOf says what the bytes behind the frame of the withheld reply are, with the error of those that are no frame.
func (session *Session) followerOf(input []byte) (valuecheck.Follower, error) {
	isFrame, err := session.checkFollower(input)
	switch {
	case err != nil:
		return session.withheld.value.Classify(input, session.mayBeginFrame), err
	case isFrame:
		return valuecheck.FollowedByMessage, nil
	}
	return valuecheck.FollowerUnknown, nil
}

// mayBeginFrame reports whether bytes may be the start of a frame that a replica may send now.
func (session *Session) mayBeginFrame(input []byte) bool {
	_, err := session.checkFollower(input)
	return err == nil
}

// pingToConfirm sends a ping unless the answer to an earlier one is still to come: that follows the reply as well.
func (session *Session) pingToConfirm() {
	if session.pingsAnswered == session.pingsSent {
		session.Ping()
	}
}

// Withheld returns the reply that is withheld until it is known what follows it.
func (session *Session) Withheld() (replicaproto.WithheldReply, bool) {
	if session.withheld == nil {
		return replicaproto.WithheldReply{}, false
	}
	return replicaproto.NewWithheldReply(session.withheld.event, session.withheld.value.Judgement()), true
}

// ReleaseReply lets Next return the withheld reply.
func (session *Session) ReleaseReply() {
	if session.withheld != nil {
		session.withheld.value.Release()
	}
}

// EndInput lets Next return the withheld reply and those that are still buffered behind it, as no more input will follow.
func (session *Session) EndInput() {
	session.inputEnded = true
	if session.withheld != nil {
		session.withheld.value.EndInput()
	}
}

// noteMalformed notes that the connection's input is malformed, and takes back the value before it: its length was
// probably wrong.
func (session *Session) noteMalformed() {
	if session.withheld != nil {
		session.withheld.value.Retract()
	} else {
		session.lastValue.Retract()
	}
	session.withheld = nil
	session.lastValue = nil
	session.values.MalformedReceived()
}

// checkFollower reports whether the input begins with the header of a frame that a replica may send now. It returns false
// while that is not known, as bytes are missing or the type has no meaning here, and an error if the bytes are no frame.
func (session *Session) checkFollower(input []byte) (isFrame bool, err error) {
	if _, err := payloadLength(input); err != nil || len(input) < frameHeaderSize {
		return false, err
	}
	stream := binary.BigEndian.Uint32(input[frameHeaderSize-4:]) & maxStreamID // without the reserved bit
	switch http2.FrameType(input[3]) {
	case http2.FrameData, http2.FrameHeaders, http2.FrameRSTStream:
		err = session.checkWasOpened(stream)
	case http2.FrameSettings, http2.FramePing, http2.FrameGoAway:
		if stream != 0 {
			err = http2.ConnectionError(http2.ErrCodeProtocol)
		}
	case http2.FrameWindowUpdate:
		if stream != 0 {
			err = session.checkWasOpened(stream)
		}
	default:
		return false, nil
	}
	return err == nil, err
}

// findFrames looks for frames in a value, as a DATA frame whose length is too large takes them in. The last one may be
// incomplete.
func (session *Session) findFrames(value []byte) valuecheck.Content {
	for start := 0; ; start++ {
		offset := bytes.IndexByte(value[start:], 0) // the first byte of any length up to maxFrameSize
		if offset < 0 {
			return valuecheck.NoMessage
		}
		start += offset
		if _, err := payloadLength(value[start:]); err != nil {
			continue
		}
		if len(value)-start < frameHeaderSize {
			return valuecheck.MayEndInMessage
		}
		if session.isExpectedHeader(value[start:]) {
			return valuecheck.ContainsMessages
		}
	}
}

// isExpectedHeader reports whether bytes begin with a header that a replica may send on this connection: one of a stream
// that was opened, or of a control frame with a fixed size (RFC 9113, 6.5, 6.7 and 6.9).
func (session *Session) isExpectedHeader(input []byte) bool {
	const (
		settingSize      = 6
		pingSize         = 8
		windowUpdateSize = 4
	)
	length, _ := payloadLength(input)
	stream := binary.BigEndian.Uint32(input[frameHeaderSize-4:])
	frameType := http2.FrameType(input[3])
	if stream != 0 {
		isOfStream := frameType == http2.FrameData || frameType == http2.FrameHeaders || frameType == http2.FrameRSTStream
		return isOfStream && stream <= maxStreamID && session.checkWasOpened(stream) == nil
	}
	isComplete := frameHeaderSize+length <= len(input)
	switch frameType {
	case http2.FrameSettings:
		return isComplete && length%settingSize == 0
	case http2.FramePing:
		return isComplete && length == pingSize
	case http2.FrameWindowUpdate:
		return isComplete && length == windowUpdateSize
	}
	return false
}
