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

// A frame is its length, four bytes in network order, and its content, whose first byte is its type.
const (
	callFrameType  = 'R'
	replyFrameType = 'Y'
	maxFrameBytes  = 1 << 20
	lengthBytes    = 4
)

// malformedFrameError says what a coordinator sent against the protocol.
type malformedFrameError struct{ detail string }

func (e *malformedFrameError) Error() string { return e.detail }

func malformed(format string, args ...any) error {
	return &malformedFrameError{fmt.Sprintf(format, args...)}
}

// readFrame reads a frame's content. An error is a malformedFrameError or the connection's end.
func readFrame(in io.Reader) ([]byte, error) {
	var size [lengthBytes]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length == 0 || length > maxFrameBytes {
		return nil, malformed("a frame of %d bytes", length)
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(in, frame)
	return frame, err
}

func isCall(frame []byte) bool { return frame[0] == callFrameType }

// subqueryCall is one subquery of a call.
type subqueryCall struct {
	id      string
	timeout time.Duration // how long the coordinator says that it waits
}

// parseCall reads the subqueries of a call: lines ID SHARD LIST LENGTH, each followed by a text of that length.
func parseCall(frame []byte) (calls []subqueryCall, err error) {
	rest := frame[1:]
	for len(rest) > 0 {
		call, behind, err := parseSubquery(rest)
		if err != nil {
			return nil, malformed("%v in %q", err, frame)
		}
		calls = append(calls, call)
		rest = behind
	}
	return calls, nil
}

// parseSubquery reads the first subquery, and returns what stands behind it.
func parseSubquery(content []byte) (call subqueryCall, behind []byte, err error) {
	line, rest, ended := bytes.Cut(content, []byte("\n"))
	words := strings.Fields(string(line))
	if !ended || len(words) != 4 {
		return call, nil, malformed("a line that cannot be read: %q", line)
	}
	length, err := strconv.Atoi(words[3])
	if err != nil || length > len(rest) {
		return call, nil, malformed("a length that cannot be: %q", line)
	}
	timeoutMS, err := strconv.Atoi(strings.TrimPrefix(words[2], "d="))
	if err != nil || timeoutMS < 1 {
		return call, nil, malformed("a time that cannot be: %q", line)
	}
	call = subqueryCall{id: words[0], timeout: time.Duration(timeoutMS) * time.Millisecond}
	return call, rest[length:], nil
}

func replyFrame(subquery, outcome, value string) []byte {
	content := fmt.Sprintf("%c%s %s 7 -\n%s", replyFrameType, subquery, outcome, value)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
}

// subqueryID is a subquery's id on the wire.
func subqueryID(query string, shard int) string { return fmt.Sprint(query, ".", shard) }
