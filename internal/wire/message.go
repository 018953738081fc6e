package wire

import (
	"bytes"
	"net/http"
	"slices"
)

const (
	MaxHead = 16 << 10 // bytes of a message's head
	MaxBody = 64 << 10 // bytes of a body, as specified by the protocol
)

// messageReader splits a buffer into HTTP messages. It keeps the position of its scan, so that a message received in
// many pieces costs no more than one received at once.
type messageReader struct {
	Buffer
	scanned int          // bytes already searched for the end of the head
	headEnd int          // length of the head; 0: not received completely
	length  int          // length of the complete message, once known
	chunks  *chunkedBody // nil: no chunked body is being decoded
}

// mayBeComplete reports whether a complete message may have been received.
func (reader *messageReader) mayBeComplete() (bool, error) {
	switch {
	case reader.headEnd == 0:
		return reader.findHeadEnd()
	case reader.chunks != nil:
		return reader.chunks.decode(reader.Bytes())
	}
	return reader.Buffered() >= reader.length, nil
}

// findHeadEnd searches the bytes not yet scanned for the end of the head and reports whether it was found.
func (reader *messageReader) findHeadEnd() (bool, error) {
	reader.skipBlankLines()
	buffered := reader.Bytes()
	from := max(0, reader.scanned-3) // the last bytes scanned may be the beginning of the head's end
	end := headEnd(buffered[from:])
	reader.scanned = len(buffered)
	headLength := from + end
	if end == 0 {
		headLength = len(buffered) // lower bound
	}
	if headLength > MaxHead {
		return false, protocolError(http.StatusRequestHeaderFieldsTooLarge, "the head is over %d bytes", MaxHead)
	}
	if end > 0 {
		reader.headEnd = headLength
	}
	return end > 0, nil
}

// skipBlankLines discards blank lines before a message (RFC 9112, section 2.2).
func (reader *messageReader) skipBlankLines() {
	if reader.scanned > 0 {
		return
	}
	buffered := reader.Bytes()
	reader.Consume(len(buffered) - len(bytes.TrimLeft(buffered, "\r\n")))
}

// headEnd returns the offset just past the first empty line, or 0 if there is none. The empty line must follow the end
// of another line.
func headEnd(text []byte) int {
	for lineStart := 0; ; {
		lineEnd := bytes.IndexByte(text[lineStart:], '\n')
		if lineEnd < 0 {
			return 0
		}
		lineStart += lineEnd + 1
		switch rest := text[lineStart:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return lineStart + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return lineStart + 2
		}
	}
}

// head returns the head, which must have been received.
func (reader *messageReader) head() []byte { return reader.Bytes()[:reader.headEnd] }

// body returns a copy of the body, delimited by the length and the encodings that the head states, or nil without an
// error if more bytes are needed.
func (reader *messageReader) body(length int64, encodings []string) ([]byte, error) {
	if length > MaxBody {
		return nil, errBodyTooLarge
	}
	if slices.Contains(encodings, "chunked") {
		return reader.chunkedBody()
	}
	reader.length = reader.headEnd + int(max(0, length))
	if reader.Buffered() < reader.length {
		return nil, nil
	}
	return append([]byte{}, reader.Bytes()[reader.headEnd:reader.length]...), nil
}

var errBodyTooLarge = protocolError(http.StatusRequestEntityTooLarge, "the body is over %d bytes", MaxBody)

func (reader *messageReader) chunkedBody() ([]byte, error) {
	if reader.chunks == nil {
		reader.chunks = newChunkedBody(reader.headEnd)
		complete, err := reader.chunks.decode(reader.Bytes())
		if err != nil || !complete {
			return nil, err
		}
	}
	reader.length = reader.chunks.end
	return reader.chunks.data, nil
}

// finish consumes a complete message.
func (reader *messageReader) finish() {
	reader.Consume(reader.length)
	reader.scanned = 0
	reader.headEnd = 0
	reader.length = 0
	reader.chunks = nil
}
