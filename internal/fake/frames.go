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
	maxFrameBytes = 1 << 20
	callLetter    = 'R'
	abandonLetter = 'A'
	replyLetter   = 'Y'
	callWords     = 4 // id, shard, d=MS, bytes of text
)

// http2Preface begins an HTTP/2 connection (RFC 9113, 3.4). As the length of a frame it would be beyond any bound.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

func beginsHTTP2(in *bufio.Reader) bool {
	first, err := in.Peek(4)
	return err == nil && string(first) == http2Preface[:4]
}

func discardPreface(in io.Reader) bool {
	_, err := io.ReadFull(in, make([]byte, len(http2Preface)))
	return err == nil
}

// serveFrames serves a connection in frames until it ends or brings what cannot be used.
func (replica *Replica) serveFrames(conn net.Conn, in io.Reader) {
	for {
		frame, err := readFrame(in)
		if err != nil {
			return
		}
		if frame[0] == abandonLetter {
			replica.noteAbandoned(string(frame[1:]))
			continue
		}
		call, err := parseCall(frame)
		if err != nil {
			replica.OnMalformed("replica %s cannot use frame %q: %v", replica.UID, frame, err)
			return
		}
		call.Conn = conn
		replica.execute(call)
	}
}

var errFrameLength = errors.New("a frame of no length, or too long")

func readFrame(in io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length == 0 || length > maxFrameBytes {
		return nil, errFrameLength
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(in, frame)
	return frame, err
}

var errNoCall = errors.New("it is no call")

// parseCall reads a call: its letter, then "ID SHARD d=MS BYTES", a newline and the text.
func parseCall(frame []byte) (Call, error) {
	line, text, _ := bytes.Cut(frame[1:], []byte("\n"))
	words := strings.Fields(string(line))
	if frame[0] != callLetter || len(words) != callWords || words[3] != strconv.Itoa(len(text)) {
		return Call{}, errNoCall
	}
	shard, shardErr := strconv.Atoi(words[1])
	timeLeft, timeErr := strconv.Atoi(strings.TrimPrefix(words[2], "d="))
	call := Call{ID: words[0], Shard: shard, TimeLeftMS: timeLeft, Text: string(text)}
	return call, errors.Join(shardErr, timeErr)
}

func (replica *Replica) replyInFrame(call Call, end, value string) {
	replica.Write(call.Conn, replyLetter, fmt.Sprintf("%s %s 7 inflight=1\n%s", call.ID, end, value))
}

// Write writes a frame.
func (replica *Replica) Write(conn net.Conn, letter byte, rest string) {
	frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(rest)))
	frame = append(frame, letter)
	frame = append(frame, rest...)
	replica.writing.Lock()
	defer replica.writing.Unlock()
	_, _ = conn.Write(frame) // an error ends the connection, which its reader notices
}
