package soak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// A frame consists of the length of its content, as four bytes in network byte order, and the content, whose first byte
// is the type of the frame.
const (
	callFrameType  = 'R'
	replyFrameType = 'Y'
	maxFrameBytes  = 1 << 20
	lengthBytes    = 4
)

// malformedFrameError is a violation of the frame protocol by a co-ordinator.
type malformedFrameError struct{ detail string }

func (e *malformedFrameError) Error() string { return e.detail }

func malformed(format string, args ...any) error {
	return &malformedFrameError{fmt.Sprintf(format, args...)}
}

// readFrame reads a frame and returns its content. The error is a *malformedFrameError or a read error.
func readFrame(reader io.Reader) ([]byte, error) {
	var size [lengthBytes]byte
	if _, err := io.ReadFull(reader, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length == 0 || length > maxFrameBytes {
		return nil, malformed("invalid frame length %d", length)
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(reader, frame)
	return frame, err
}

func isCall(frame []byte) bool { return frame[0] == callFrameType }

// subqueryCall is a subquery of a call frame.
type subqueryCall struct {
	id      string
	timeout time.Duration // how long the co-ordinator will wait for the reply
}

// parseCall parses the subqueries of a call. Each is a line ID SHARD d=MILLISECONDS LENGTH, followed by a text
// of that length.
func parseCall(frame []byte) (calls []subqueryCall, err error) {
	rest := frame[1:]
	for len(rest) > 0 {
		call, remaining, err := parseSubquery(rest)
		if err != nil {
			return nil, malformed("%v in %q", err, frame)
		}
		calls = append(calls, call)
		rest = remaining
	}
	return calls, nil
}

// parseSubquery parses the first subquery and returns the content after it.
func parseSubquery(content []byte) (call subqueryCall, remaining []byte, err error) {
	line, rest, ended := bytes.Cut(content, []byte("\n"))
	fields := strings.Fields(string(line))
	if !ended || len(fields) != 4 {
		return call, nil, malformed("malformed subquery line %q", line)
	}
	length, err := strconv.Atoi(fields[3])
	if err != nil || length > len(rest) {
		return call, nil, malformed("invalid length in subquery line %q", line)
	}
	timeoutMS, err := strconv.Atoi(strings.TrimPrefix(fields[2], "d="))
	if err != nil || timeoutMS < 1 {
		return call, nil, malformed("invalid timeout in subquery line %q", line)
	}
	call = subqueryCall{id: fields[0], timeout: time.Duration(timeoutMS) * time.Millisecond}
	return call, rest[length:], nil
}

// replyFrame returns a reply. Its score, 7, has no effect: the co-ordinator checks only that it is a number.
func replyFrame(subquery, outcome, value string) []byte {
	content := fmt.Sprintf("%c%s %s 7 -\n%s", replyFrameType, subquery, outcome, value)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
}

// subqueryID returns the id of a subquery on the wire.
func subqueryID(query string, shard int) string { return fmt.Sprint(query, ".", shard) }
