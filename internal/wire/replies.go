package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
)

const (
	frameLengthSize = 4           // bytes of the length field before a frame
	frameHeaderSize = 5           // bytes of the length field and the letter
	maxFrame        = 2 * MaxBody // bytes; the value of a longer frame would not fit into a response to a client
	maxQuotedBytes  = 120         // bytes of a message that an error quotes
)

// Reply is a replica's reply to one subquery.
type Reply struct {
	ID       string
	Status   ReplyStatus
	Value    []byte
	CPUUsage float64 // the share of its cores in use, as ParseLoadReport returns it
}

// ErrMalformedReply reports a malformed frame, after which nothing on its connection can be relied on.
var ErrMalformedReply = errors.New("malformed reply")

// RefusedError reports that a replica refused a frame as malformed. Message is the text that the replica sent.
type RefusedError struct{ Message string }

// Error returns a message that quotes the replica's text.
func (err *RefusedError) Error() string {
	return fmt.Sprintf("the replica refused a frame: %q", err.Message)
}

// ReplyReader parses a replica's frames from the bytes of a connection.
//
// The length of a frame may be wrong. If it is too small, the frame looks like a good one with a shorter value, and the
// rest of the value follows it. So an OK reply is withheld until the start of another frame follows, unless its value
// has the usual size or is self-delimiting. A reply that is followed by anything else is malformed, unless its value
// has the usual size. As a frame that nothing follows may be the last one for a while, the caller releases a reply that
// has been withheld for long enough.
type ReplyReader struct {
	Buffer
	Sizes *ValueSizes // shared by all connections; may be nil

	withheld *Reply // parsed, but not returned yet
	released bool   // withheld may be returned although nothing follows it
}

// Next returns the next reply, or nil without an error if more bytes are needed. After an error the connection cannot
// be used any further.
func (reader *ReplyReader) Next() (*Reply, error) {
	if reader.withheld == nil {
		reply, err := reader.parseFrame()
		if reply == nil || err != nil {
			return nil, err
		}
		reader.withheld = reply
	}
	return reader.confirm()
}

// Withholds reports whether a reply is withheld until it is known what follows it.
func (reader *ReplyReader) Withholds() bool { return reader.withheld != nil }

// Release lets Next return the withheld reply, as nothing has followed it for long enough.
func (reader *ReplyReader) Release() { reader.released = reader.withheld != nil }

// confirm returns the withheld reply once its length is known to fit, and nil without an error until then.
func (reader *ReplyReader) confirm() (*Reply, error) {
	reply := reader.withheld
	hasValue := reply.Status == ReplyOK
	isUsual := hasValue && reader.Sizes.IsUsual(len(reply.Value))
	following, err := parseFrameHeader(reader.Bytes())
	switch {
	case isUsual:
	case err != nil:
		return nil, malformed("reply with a value of %d bytes followed by bytes that are not a frame", len(reply.Value))
	case hasValue && !following.complete && !reader.released && !IsSelfDelimiting(reply.Value):
		return nil, nil
	}
	if hasValue {
		reader.Sizes.Record(len(reply.Value))
	}
	reader.withheld = nil
	reader.released = false
	return reply, nil
}

// parseFrame consumes the next frame and returns the reply in it, or nil without an error if the frame is incomplete.
func (reader *ReplyReader) parseFrame() (*Reply, error) {
	buffered := reader.Bytes()
	header, err := parseFrameHeader(buffered)
	end := frameLengthSize + header.length
	if err != nil || !header.complete || len(buffered) < end {
		return nil, err
	}
	content := buffered[frameHeaderSize:end]
	reader.Consume(end)
	if header.letter == frameRefusal {
		return nil, &RefusedError{Message: string(truncated(content))}
	}
	return parseReply(content)
}

// parseReply parses the content of a reply: a line with the id, the status, a score and a load report, then the value.
func parseReply(content []byte) (*Reply, error) {
	line, value, hasValue := bytes.Cut(content, []byte("\n"))
	words := bytes.SplitN(line, []byte(" "), 4)
	if !hasValue || len(words) != 4 || len(words[0]) == 0 {
		return nil, malformed("malformed reply line %q", truncated(line))
	}
	status := ReplyStatus(words[1])
	if status != ReplyOK && status != ReplyError && status != ReplyRejected {
		return nil, malformed("unknown reply status %q", truncated(words[1]))
	}
	if !isFinite(string(words[2])) {
		return nil, malformed("malformed reply score %q", truncated(words[2]))
	}
	reply := &Reply{ID: string(words[0]), Status: status, Value: bytes.Clone(value)}
	reply.CPUUsage = ParseLoadReport(string(words[3]), "=")
	return reply, nil
}

// malformedError is an ErrMalformedReply that states what was found.
type malformedError struct{ detail string }

func (err *malformedError) Error() string { return err.detail }

func (err *malformedError) Unwrap() error { return ErrMalformedReply }

func malformed(format string, args ...any) error {
	return &malformedError{detail: fmt.Sprintf(format, args...)}
}

func isFinite(text string) bool {
	number, err := strconv.ParseFloat(text, 64)
	return err == nil && !math.IsNaN(number) && !math.IsInf(number, 0)
}

// frameHeader is the start of a frame: its length, which covers the letter and the content, and its letter.
type frameHeader struct {
	length   int
	letter   byte
	complete bool // false: more bytes are needed
}

// parseFrameHeader parses the start of a frame, of which a part may be missing. It returns an error as soon as the
// bytes cannot begin a frame.
func parseFrameHeader(buffered []byte) (frameHeader, error) {
	var padded [frameLengthSize]byte
	present := copy(padded[:], buffered)
	length := binary.BigEndian.Uint32(padded[:]) // the smallest possible one if bytes of it are missing
	if length > maxFrame || length == 0 && present == frameLengthSize {
		return frameHeader{}, malformed("invalid frame length %d", length)
	}
	if len(buffered) < frameHeaderSize {
		return frameHeader{}, nil
	}
	letter := buffered[frameLengthSize]
	if letter != frameReply && letter != frameRefusal {
		return frameHeader{}, malformed("unknown frame type %q", letter)
	}
	return frameHeader{length: int(length), letter: letter, complete: true}, nil
}

// truncated shortens a text that an error quotes.
func truncated(text []byte) []byte { return text[:min(len(text), maxQuotedBytes)] }
