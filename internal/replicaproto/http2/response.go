package http2

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

// fieldOverhead is the number of bytes that each field adds to a header list's size (RFC 7541, 4.1).
const fieldOverhead = 32

// headerList collects the fields of the header list that is being received: of an interim response, a response or its
// trailers.
type headerList struct {
	stream           uint32
	open             bool // it is incomplete
	endsStream       bool
	blockSize        int  // compressed bytes so far
	listSize         int  // bytes of the fields so far, with their overhead
	malformed        bool // by RFC 9113, 8.2 and 8.3, or too large
	hasRegularFields bool // a field other than a pseudo-header was received

	status        string
	end           string  // the value of headerEnd
	cpuUsage      float64 // the load report; below 0: none
	contentLength int64   // below 0: none
}

// begin starts the header list of a stream.
func (list *headerList) begin(stream uint32, endsStream bool) {
	*list = headerList{stream: stream, open: true, endsStream: endsStream, contentLength: -1, cpuUsage: -1}
}

// add adds one field.
func (list *headerList) add(field hpack.HeaderField) {
	list.listSize += len(field.Name) + len(field.Value) + fieldOverhead
	if list.listSize > maxHeaderList {
		list.malformed = true
		return
	}
	if strings.HasPrefix(field.Name, ":") {
		if field.Name != ":status" || list.hasRegularFields || list.status != "" {
			list.malformed = true
		}
		list.status = field.Value
		return
	}
	list.hasRegularFields = true
	if !isValidName(field.Name) || !isValidValue(field.Value) {
		list.malformed = true
	}
	list.interpret(field)
}

// interpret validates and stores the fields that have a meaning here.
func (list *headerList) interpret(field hpack.HeaderField) {
	switch field.Name {
	case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
		list.malformed = true // RFC 9113, 8.2.2
	case "content-length":
		length, err := strconv.ParseUint(field.Value, 10, 62)
		if err != nil || list.contentLength >= 0 && list.contentLength != int64(length) {
			list.malformed = true
		}
		list.contentLength = int64(length)
	case headerEnd:
		if list.end != "" {
			list.malformed = true
		}
		list.end = field.Value
	case headerLoad:
		list.cpuUsage = wire.ParseLoadReport(field.Value, "=")
	}
}

// isValidName reports whether a field's name contains only allowed characters (RFC 9113, 8.2.1).
func isValidName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, isInvalidInName)
}

func isInvalidInName(char rune) bool {
	isUpper := char >= 'A' && char <= 'Z'
	return char <= ' ' || char >= 0x7f || isUpper || char == ':'
}

// isValidValue reports whether a field's value contains only allowed characters (RFC 9113, 8.2.1).
func isValidValue(value string) bool {
	return !strings.ContainsAny(value, "\x00\r\n") && value == strings.Trim(value, " \t")
}

// onHeaderBlock handles a fragment of a header list. Fragments of ended streams are decoded too, because the
// compression state depends on them.
func (session *Session) onHeaderBlock(fragment []byte, isLast bool) error {
	list := &session.headers
	list.blockSize += len(fragment)
	if list.blockSize > maxHeaderBlock {
		return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	}
	if _, err := session.decoder.Write(fragment); err != nil {
		return http2.ConnectionError(http2.ErrCodeCompression)
	}
	if !isLast {
		return nil
	}
	if err := session.decoder.Close(); err != nil {
		return http2.ConnectionError(http2.ErrCodeCompression)
	}
	list.open = false
	stream := session.streams[list.stream]
	switch {
	case stream == nil:
		return session.checkWasOpened(list.stream)
	case stream.headersReceived:
		return session.onTrailers(stream)
	}
	return session.onResponse(stream)
}

// onTrailers handles a response's trailers. They must end the stream and have no pseudo-headers (RFC 9113, 8.1).
func (session *Session) onTrailers(stream *stream) error {
	list := &session.headers
	if list.malformed || !list.endsStream || list.status != "" {
		return malformedResponse(stream)
	}
	if list.cpuUsage >= 0 {
		stream.cpuUsage = list.cpuUsage
	}
	return session.onResponseEnd(stream, false)
}

// onResponse handles the header list of a response. Interim responses are ignored.
func (session *Session) onResponse(stream *stream) error {
	list := &session.headers
	if list.malformed || len(list.status) != 3 {
		return malformedResponse(stream)
	}
	status, err := strconv.Atoi(list.status)
	if err != nil || status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return malformedResponse(stream)
	}
	if isInterim := status < http.StatusOK; isInterim {
		if list.endsStream {
			return malformedResponse(stream)
		}
		return nil
	}
	session.idleFrames = 0
	stream.headersReceived = true
	stream.replyStatus = replyStatusOf(status, list.end)
	stream.contentLength = list.contentLength
	stream.cpuUsage = list.cpuUsage
	if list.endsStream {
		return session.onResponseEnd(stream, false)
	}
	return nil
}

func malformedResponse(stream *stream) error {
	return http2.StreamError{StreamID: stream.id, Code: http2.ErrCodeProtocol}
}

// onData handles a part of a response's body. The connection's window is replenished for data on ended streams too.
func (session *Session) onData(frame *http2.DataFrame) error {
	size := int64(frame.Header().Length) // padding included (RFC 9113, 6.1)
	if !session.receiveWindow.receive(size) {
		return http2.ConnectionError(http2.ErrCodeFlowControl)
	}
	session.sendWindowUpdate(0, session.receiveWindow.replenish(size, connWindow/2))
	stream := session.streams[frame.StreamID]
	if stream == nil {
		return session.checkWasOpened(frame.StreamID)
	}
	if !stream.headersReceived {
		return malformedResponse(stream)
	}
	if !stream.receiveWindow.receive(size) {
		return http2.StreamError{StreamID: stream.id, Code: http2.ErrCodeFlowControl}
	}
	if len(frame.Data()) > 0 {
		session.idleFrames = 0
	}
	stream.value = append(stream.value, frame.Data()...)
	if len(stream.value) > maxValue {
		return http2.StreamError{StreamID: stream.id, Code: http2.ErrCodeCancel}
	}
	if frame.StreamEnded() {
		return session.onResponseEnd(stream, true)
	}
	session.sendWindowUpdate(stream.id, stream.receiveWindow.replenish(size, initialWindow/2))
	return nil
}

// onResponseEnd handles the end of a response, by a DATA frame or by a header list, and reports the reply. A DATA frame
// whose length is wrong looks like a good one with another value. If there is no content-length to compare it with, the
// reply is withheld until it is known what follows.
func (session *Session) onResponseEnd(stream *stream, endedByData bool) error {
	if stream.contentLength >= 0 && stream.contentLength != int64(len(stream.value)) {
		return malformedResponse(stream) // RFC 9113, 8.1.1
	}
	session.idleFrames = 0
	if !stream.sent { // the rest of the call is not needed
		session.reset(stream, http2.ErrCodeNo)
	}
	session.removeStream(stream)
	reply := replyEvent(stream)
	if reply.Status == replicaproto.OK && endedByData && stream.contentLength < 0 {
		session.withhold(reply)
	} else {
		session.emit(reply)
	}
	return nil
}
