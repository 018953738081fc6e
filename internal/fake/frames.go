package fake

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

const (
	maxFrameBytes    = 1 << 20
	frameLengthBytes = 4
	callLetter       = 'R'
	abandonLetter    = 'A'
	replyLetter      = 'Y'
	callFields       = 4 // id, shard, d=MS, length of the text in bytes
)

// http2Preface begins an HTTP/2 connection (RFC 9113, 3.4). It cannot be mistaken for a frame, because its first four
// bytes, read as a length, exceed maxFrameBytes.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

func beginsHTTP2(reader *bufio.Reader) bool {
	first, err := reader.Peek(4)
	return err == nil && string(first) == http2Preface[:4]
}

func discardPreface(reader io.Reader) bool {
	_, err := io.ReadFull(reader, make([]byte, len(http2Preface)))
	return err == nil
}

// serveFrames serves a connection that uses frames until it ends or a malformed frame arrives.
func (replica *Replica) serveFrames(conn net.Conn, reader io.Reader) {
	for {
		frame, err := readFrame(reader)
		if err != nil {
			return
		}
		if frame[0] == abandonLetter {
			replica.recordAbandoned(string(frame[1:]))
			continue
		}
		call, err := parseCall(frame)
		if err != nil {
			replica.OnMalformed("replica %s: malformed frame %q: %v", replica.UID, frame, err)
			return
		}
		call.Conn = conn
		replica.execute(call)
	}
}

var errBadFrameLength = errors.New("frame length is zero or exceeds the limit")

func readFrame(reader io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(reader, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length == 0 || length > maxFrameBytes {
		return nil, errBadFrameLength
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(reader, frame)
	return frame, err
}

var errNotACall = errors.New("not a call")

// parseCall parses a call: its letter, then "ID SHARD d=MS LENGTH", a newline and the text.
func parseCall(frame []byte) (Call, error) {
	line, text, _ := bytes.Cut(frame[1:], []byte("\n"))
	fields := strings.Fields(string(line))
	if frame[0] != callLetter || len(fields) != callFields || fields[3] != strconv.Itoa(len(text)) {
		return Call{}, errNotACall
	}
	shard, shardErr := strconv.Atoi(fields[1])
	timeLeft, timeErr := strconv.Atoi(strings.TrimPrefix(fields[2], "d="))
	call := Call{ID: fields[0], Shard: shard, TimeLeftMS: timeLeft, Text: string(text)}
	return call, errors.Join(shardErr, timeErr)
}

// replyInFrame replies in a frame.
func (replica *Replica) replyInFrame(call Call, status, value string) {
	replica.writeFrame(call.Conn, replyFrame(call, status, value))
}

// Write writes a frame with the given letter and payload.
func (replica *Replica) Write(conn net.Conn, letter byte, payload string) {
	replica.writeFrame(conn, newFrame(letter, payload))
}

// replyFrame returns the frame of a reply. Its score, 7, has no effect: the co-ordinator checks only that it is a
// number.
func replyFrame(call Call, status, value string) []byte {
	return newFrame(replyLetter, fmt.Sprintf("%s %s 7 inflight=1\n%s", call.ID, status, value))
}

func newFrame(letter byte, payload string) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(payload)))
	frame = append(frame, letter)
	return append(frame, payload...)
}

func (replica *Replica) writeFrame(conn net.Conn, frame []byte) {
	replica.writing.Lock()
	defer replica.writing.Unlock()
	_, _ = conn.Write(frame) // after a write error, the connection's read loop fails and closes it
}
