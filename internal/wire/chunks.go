package wire

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxChunkLine   = 1 << 10     // bytes of the line before a chunk
	maxChunksBytes = 2 * MaxBody // bytes of all chunks with their lines
)

// chunkedBody decodes a body in chunks (RFC 9112, section 7.1) while it comes in. Chunk extensions and trailers are
// skipped.
type chunkedBody struct {
	start     int    // where the body begins in its message
	end       int    // up to where it is decoded
	inTrailer bool   // the empty chunk is in
	complete  bool   // the trailer's end is in
	data      []byte // decoded so far; never nil
}

var errChunksTooLarge = protocolError(http.StatusRequestEntityTooLarge,
	"the body's chunks are over %d bytes", maxChunksBytes)

func newChunkedBody(start int) *chunkedBody {
	return &chunkedBody{start: start, end: start, data: []byte{}}
}

// decode goes on where it ended last; message is all of the message that is in. It tells whether the body is whole.
func (body *chunkedBody) decode(message []byte) (complete bool, err error) {
	for !body.complete {
		if body.end-body.start > maxChunksBytes {
			return false, errChunksTooLarge
		}
		consumed, err := body.decodeNext(message[body.end:])
		if err != nil || consumed == 0 {
			return false, err
		}
		body.end += consumed
	}
	return true, nil
}

// decodeNext decodes one chunk, or one line of the trailer. Nothing is consumed where more bytes must come in first.
func (body *chunkedBody) decodeNext(rest []byte) (consumed int, err error) {
	lineLength := bytes.IndexByte(rest, '\n') + 1
	if lineLength == 0 {
		if len(rest) > maxChunkLine {
			return 0, badRequest("the line of a chunk is over %d bytes", maxChunkLine)
		}
		return 0, nil
	}
	line := bytes.TrimSuffix(rest[:lineLength-1], []byte("\r"))
	if body.inTrailer {
		body.complete = len(line) == 0
		return lineLength, nil
	}
	size, err := body.chunkSize(line)
	if err != nil {
		return 0, err
	}
	if size == 0 {
		body.inTrailer = true
		return lineLength, nil
	}
	return body.decodeData(rest, lineLength, size)
}

// chunkSize reads the line before a chunk.
func (body *chunkedBody) chunkSize(line []byte) (int, error) {
	digits, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
	if err != nil {
		return 0, badRequest("a chunk's length %.20q", digits)
	}
	if int(size) > MaxBody-len(body.data) {
		return 0, errBodyTooLarge
	}
	return int(size), nil
}

// decodeData takes in a chunk that begins at a place, with the line end behind it.
func (body *chunkedBody) decodeData(rest []byte, from, size int) (consumed int, err error) {
	to := from + size
	behind := rest[min(len(rest), to):]
	lineEnd := 0
	switch {
	case bytes.HasPrefix(behind, []byte("\n")):
		lineEnd = 1
	case bytes.HasPrefix(behind, []byte("\r\n")):
		lineEnd = 2
	case len(behind) == 0 || len(behind) == 1 && behind[0] == '\r':
		return 0, nil
	default:
		return 0, badRequest("a chunk that is longer than its length")
	}
	body.data = append(body.data, rest[from:to]...)
	return to + lineEnd, nil
}
