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
type ReplyReader struct {
	Buffer
	Sizes *ValueSizes // shared by all connections; may be nil
}

// Next returns the next reply, or nil without an error if more bytes are needed. After an error the connection cannot
// be used any further.
func (reader *ReplyReader) Next() (*Reply, error) {
	buffered := reader.Bytes()
	length, err := frameLength(buffered)
	if err != nil || length == 0 || len(buffered)-frameLengthSize < length {
		return nil, err
	}
	end := frameLengthSize + length
	letter, content := buffered[frameLengthSize], buffered[frameLengthSize+1:end]
	_, nextErr := frameLength(buffered[end:])
	reader.Consume(end)
	switch letter {
	case frameReply:
		return reader.parse(content, nextErr != nil)
	case frameRefusal:
		return nil, &RefusedError{Message: string(truncated(content))}
	}
	return nil, malformed("unknown frame type %q", letter)
}

// parse parses the content of a reply: a line with the id, the status, a score and a load report, then the value.
// garbageFollows states that the bytes after the frame are not a frame.
func (reader *ReplyReader) parse(content []byte, garbageFollows bool) (*Reply, error) {
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
	if status == ReplyOK && reader.Sizes.isSuspicious(len(value), garbageFollows) {
		return nil, malformed("value of unusual size %d followed by bytes that are not a frame", len(value))
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

// frameLength returns the length of the frame at the start of the buffered bytes, or 0 if more bytes are needed.
func frameLength(buffered []byte) (int, error) {
	if len(buffered) < frameLengthSize {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(buffered)
	if length == 0 || length > maxFrame {
		return 0, malformed("invalid frame length %d", length)
	}
	return int(length), nil
}

// truncated shortens a text that an error quotes.
func truncated(text []byte) []byte { return text[:min(len(text), maxQuotedBytes)] }
