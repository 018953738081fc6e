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
	frameLengthSize = 4           // bytes of the length before a frame
	maxFrame        = 2 * MaxBody // bytes; a longer one fits into no response
	maxQuoted       = 120         // bytes of a message that an error quotes
)

// Reply is what a replica says of one subquery.
type Reply struct {
	ID       string
	Status   ReplyStatus
	Value    []byte
	CPUUsage float64 // the share of its cores in use, as ParseLoadReport returns it
}

// ErrMalformedReply is a frame that cannot be used: whatever follows on its connection is in doubt.
var ErrMalformedReply = errors.New("malformed reply")

// RefusedError is a replica's refusal of a frame that it was sent.
type RefusedError struct{ Message string }

// Error gives the replica's words.
func (err *RefusedError) Error() string {
	return fmt.Sprintf("the replica could not use a frame: %q", err.Message)
}

// ReplyReader cuts a replica's frames out of the bytes of a connection.
type ReplyReader struct {
	Buffer
	Sizes *ValueSizes // what values of all connections were like; may be nil
}

// Next gives the next reply; nil without an error means that more bytes must come in first. After an error the
// connection is of no more use.
func (reader *ReplyReader) Next() (*Reply, error) {
	buffered := reader.Bytes()
	length, err := frameLength(buffered)
	if err != nil || length == 0 || len(buffered)-frameLengthSize < length {
		return nil, err
	}
	end := frameLengthSize + length
	letter, content := buffered[frameLengthSize], buffered[frameLengthSize+1:end]
	_, errBehind := frameLength(buffered[end:])
	reader.Consume(end)
	switch letter {
	case frameReply:
		return reader.parse(content, errBehind != nil)
	case frameRefusal:
		return nil, &RefusedError{Message: string(quoted(content))}
	}
	return nil, malformed("a frame of letter %q", letter)
}

// parse reads the content of a reply: a line with the id, the status, a score and a load report, then the value.
// NoiseBehind tells that what follows the frame is no frame.
func (reader *ReplyReader) parse(content []byte, noiseBehind bool) (*Reply, error) {
	line, value, hasValue := bytes.Cut(content, []byte("\n"))
	words := bytes.SplitN(line, []byte(" "), 4)
	if !hasValue || len(words) != 4 || len(words[0]) == 0 {
		return nil, malformed("a reply's line %q", quoted(line))
	}
	status := ReplyStatus(words[1])
	if status != ReplyOK && status != ReplyError && status != ReplyRejected {
		return nil, malformed("a reply's end %q", quoted(words[1]))
	}
	if !isFinite(string(words[2])) {
		return nil, malformed("a reply's score %q", quoted(words[2]))
	}
	if status == ReplyOK && reader.Sizes.isOdd(len(value), noiseBehind) {
		return nil, malformed("a value of %d bytes with what is no frame behind it", len(value))
	}
	reply := &Reply{ID: string(words[0]), Status: status, Value: bytes.Clone(value)}
	reply.CPUUsage = ParseLoadReport(string(words[3]), "=")
	return reply, nil
}

// malformedError is an ErrMalformedReply that says what was found.
type malformedError struct{ found string }

func (err *malformedError) Error() string { return err.found }

func (err *malformedError) Unwrap() error { return ErrMalformedReply }

func malformed(format string, args ...any) error {
	return &malformedError{found: fmt.Sprintf(format, args...)}
}

func isFinite(figure string) bool {
	number, err := strconv.ParseFloat(figure, 64)
	return err == nil && !math.IsNaN(number) && !math.IsInf(number, 0)
}

// frameLength is the length of the frame that begins with some bytes, 0 while that is not known.
func frameLength(buffered []byte) (int, error) {
	if len(buffered) < frameLengthSize {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(buffered)
	if length == 0 || length > maxFrame {
		return 0, malformed("a frame of %d bytes", length)
	}
	return int(length), nil
}

// quoted shortens what goes into a log.
func quoted(text []byte) []byte { return text[:min(len(text), maxQuoted)] }
