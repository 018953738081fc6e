package wire

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxChunkLine   = 1 << 10     // bytes of the line that precedes a chunk
	maxChunksBytes = 2 * MaxBody // bytes of all chunks including their lines
)

// chunkedBody decodes a chunked body (RFC 9112, section 7.1) incrementally. Chunk extensions and trailers are ignored.
type chunkedBody struct {
	start     int    // offset of the body in its message
	end       int    // offset up to which the message is decoded
	inTrailer bool   // the last chunk, of size 0, has been decoded
	complete  bool   // the end of the trailer has been decoded
	data      []byte // decoded so far; never nil
}

var errChunksTooLarge = protocolError(http.StatusRequestEntityTooLarge,
	"the body's chunks are over %d bytes", maxChunksBytes)

func newChunkedBody(start int) *chunkedBody {
	return &chunkedBody{start: start, end: start, data: []byte{}}
}

// decode continues where the last call stopped and reports whether the body is complete. message holds all bytes of
// the message received so far.
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

// decodeNext decodes one chunk or one line of the trailer. It returns 0 if more bytes are needed.
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

// chunkSize parses the line that precedes a chunk.
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

// decodeData decodes the data of a chunk, which begins at from, and the line end that follows it.
func (body *chunkedBody) decodeData(rest []byte, from, size int) (consumed int, err error) {
	to := from + size
	following := rest[min(len(rest), to):]
	lineEndLength := 0
	switch {
	case bytes.HasPrefix(following, []byte("\n")):
		lineEndLength = 1
	case bytes.HasPrefix(following, []byte("\r\n")):
		lineEndLength = 2
	case len(following) == 0 || len(following) == 1 && following[0] == '\r':
		return 0, nil
	default:
		return 0, badRequest("a chunk that is longer than its length")
	}
	body.data = append(body.data, rest[from:to]...)
	return to + lineEndLength, nil
}
