package fake

import (
	"bytes"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
)

// LongLength describes replies whose length takes in bytes of the next reply on their connection.
type LongLength struct {
	// Copies is how often the next reply is written: 0, 1 or 2 times.
	Copies int
	// TakenIn is how many of these bytes the length takes in; below 0: all but so many, and one more (-1 is all).
	TakenIn int
	// Delay is the time until the bytes that are not taken in are written.
	Delay time.Duration
}

// Behavior returns a behavior for calls that arrive in pairs on a connection: the first is answered with the second, as
// described, and calls after that with Succeed.
func (long LongLength) Behavior() Behavior {
	var mu sync.Mutex
	var first *Call
	return func(replica *Replica, call Call) {
		mu.Lock()
		defer mu.Unlock()
		if first == nil {
			first = &call
			return
		}
		replica.SetBehavior(Succeed)
		long.write(replica, *first, call)
	}
}

// write writes the replies to both calls.
func (long LongLength) write(replica *Replica, first, second Call) {
	head, value, next := long.parts(replica, first, second)
	following := bytes.Repeat(next, long.Copies)
	takenIn := long.TakenIn
	if takenIn < 0 {
		takenIn += len(following) + 1
	}
	message := append(head(len(value)+takenIn), value...)
	if first.http2 != nil { // no other frame, such as the answer to a ping, can interrupt one (RFC 9113, 4.1)
		first.http2.mu.Lock()
		defer first.http2.mu.Unlock()
	}
	writeInParts(first.Conn, append(message, following...), len(message)+takenIn, long.Delay)
}

// parts returns a function for the bytes before the first reply's value, which state its length, the value, and the bytes of
// the second reply.
func (long LongLength) parts(replica *Replica, first, second Call) (head func(length int) []byte, value, next []byte) {
	value = []byte(valueOf(replica, first))
	if first.http2 != nil {
		return first.http2.longLengthParts(replica, first, second, value)
	}
	frame := replyFrame(first, "OK", string(value))
	line := frame[frameLengthBytes : len(frame)-len(value)]
	head = func(length int) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(line)+length)), line...)
	}
	return head, value, replyFrame(second, "OK", valueOf(replica, second))
}

func (conn *http2Conn) longLengthParts(replica *Replica, first, second Call, value []byte) (
	head func(length int) []byte, _, next []byte) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	delete(conn.streams, first.stream)
	delete(conn.streams, second.stream)
	headers := conn.buffered(func() { conn.writeReplyHeaders(first.stream, "OK", string(value), false) })
	secondValue := valueOf(replica, second)
	next = conn.buffered(func() {
		conn.writeReplyHeaders(second.stream, "OK", secondValue, false)
		_ = conn.framer.WriteData(second.stream, true, []byte(secondValue))
	})
	head = func(length int) []byte { return append(headers, dataFrameHeader(first.stream, length)...) }
	return head, value, next
}

// buffered returns the bytes of the frames that a function writes.
func (conn *http2Conn) buffered(write func()) []byte {
	var buffer bytes.Buffer
	framer := conn.framer
	conn.framer = http2.NewFramer(&buffer, nil)
	write()
	conn.framer = framer
	return buffer.Bytes()
}

// dataFrameHeader returns the header of a DATA frame that ends a stream.
func dataFrameHeader(stream uint32, length int) []byte {
	const (
		dataType  = 0x0 // RFC 9113, 6.1
		endStream = 0x1
	)
	header := []byte{byte(length >> 16), byte(length >> 8), byte(length), dataType, endStream}
	return binary.BigEndian.AppendUint32(header, stream)
}

// writeInParts writes the bytes after the first ones after a delay.
func writeInParts(conn net.Conn, bytes []byte, first int, delay time.Duration) {
	if delay == 0 {
		first = len(bytes)
	}
	_, _ = conn.Write(bytes[:first])
	time.Sleep(delay)
	_, _ = conn.Write(bytes[first:])
}
