package fake

import (
	"encoding/binary"
	"time"
)

// ShortLength returns a behavior that replies as Succeed does, except that the length of the message with the value is
// too small by missing bytes. These bytes are written after a delay, or together with the others if it is 0. HTTP/2
// replies have no content-length.
func ShortLength(missing int, delay time.Duration) Behavior {
	return func(replica *Replica, call Call) {
		value := valueOf(replica, call)
		if call.http2 != nil {
			call.http2.replyWithShortLength(call.stream, value, missing, delay)
			return
		}
		frame := replyFrame(call, "OK", value)
		length := binary.BigEndian.Uint32(frame)
		binary.BigEndian.PutUint32(frame, length-uint32(missing))
		replica.writing.Lock()
		defer replica.writing.Unlock()
		writeInParts(call.Conn, frame, len(frame)-missing, delay)
	}
}

func (conn *http2Conn) replyWithShortLength(stream uint32, value string, missing int, delay time.Duration) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.streams[stream] == nil {
		return
	}
	delete(conn.streams, stream)
	conn.writeReplyHeaders(stream, "OK", value, false)
	frame := append(dataFrameHeader(stream, len(value)-missing), value...)
	writeInParts(conn.conn, frame, len(frame)-missing, delay)
}
