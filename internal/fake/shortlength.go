package fake

import (
	"encoding/binary"
	"net"
	"time"
)

// ShortLength returns a behavior that replies as Succeed does, except that the length of the message with the value is
// too small by missing bytes. These bytes are written after a delay, or together with the others if it is 0. HTTP/2
// replies have no content-length.
func ShortLength(missing int, delay time.Duration) Behavior {
	return shortLength(missing, func(conn net.Conn, reply []byte, first int) { writeInParts(conn, reply, first, delay) })
}

// CutShort returns a behavior that replies as with ShortLength, except that the missing bytes are never written.
func CutShort(missing int) Behavior {
	return shortLength(missing, func(conn net.Conn, reply []byte, first int) { _, _ = conn.Write(reply[:first]) })
}

// shortLength returns a behavior that passes a reply whose length is too small to a function, with the number of bytes
// that the length covers.
func shortLength(missing int, write func(conn net.Conn, reply []byte, first int)) Behavior {
	return func(replica *Replica, call Call) {
		value := valueOf(replica, call)
		if call.http2 != nil {
			call.http2.replyWithShortLength(call.stream, value, missing, write)
			return
		}
		frame := replyFrame(call, "OK", value)
		length := binary.BigEndian.Uint32(frame)
		binary.BigEndian.PutUint32(frame, length-uint32(missing))
		replica.writing.Lock()
		defer replica.writing.Unlock()
		write(call.Conn, frame, len(frame)-missing)
	}
}

func (conn *http2Conn) replyWithShortLength(
	stream uint32, value string, missing int, write func(conn net.Conn, reply []byte, first int),
) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.streams[stream] == nil {
		return
	}
	delete(conn.streams, stream)
	conn.writeReplyHeaders(stream, "OK", value, false)
	frame := append(dataFrameHeader(stream, len(value)-missing), value...)
	write(conn.conn, frame, len(frame)-missing)
}
