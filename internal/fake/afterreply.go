package fake

import (
	"encoding/binary"
	"time"
)

// partialHeader begins a message in both protocols: its length is small enough, and the rest of it is missing.
var partialHeader = []byte{0, 0}

// SucceedThen returns a behavior that replies as Succeed does and runs another behavior on the same call after a delay. The
// reply is whole, whatever follows it on its connection.
func SucceedThen(delay time.Duration, next Behavior) Behavior {
	return func(replica *Replica, call Call) {
		Succeed(replica, call)
		time.AfterFunc(delay, func() { next(replica, call) })
	}
}

// CloseConnection closes the connection in order.
func CloseConnection(_ *Replica, call Call) { call.Conn.Close() }

// BeginMessage writes the first bytes of a message that never goes on. Over frames the caller sees to it that nothing
// more is written on the connection.
func BeginMessage(_ *Replica, call Call) {
	if call.http2 != nil {
		call.http2.writeLast(partialHeader)
		return
	}
	_, _ = call.Conn.Write(partialHeader)
}

// noise has bytes that are neither a message of a protocol nor text: they begin like one, or do not.
var noise = []string{"\xff\xff\xff\xffgarbage, which is no frame of anything", "tL\xdc\x7f\xe8\r\n"}

// WriteNoise returns a behavior that writes noise on the connection, or over frames also a reply with a header that cannot be
// read: a letter that does not exist, a length of zero or one of 3 GB. The kind, 0 or more, selects which.
func WriteNoise(kind int) Behavior {
	return func(replica *Replica, call Call) {
		if call.http2 != nil {
			call.http2.writeLast([]byte(noise[kind%len(noise)]))
			return
		}
		kinds := [][]byte{
			replyWithHeader(call, 1, 'Q'),
			replyWithHeader(call, 0, replyLetter),
			replyWithHeader(call, 3_000_000_000, replyLetter),
			[]byte(noise[0]),
			[]byte(noise[1]),
		}
		replica.writeFrame(call.Conn, kinds[kind%len(kinds)])
	}
}

// replyWithHeader returns the frame of a reply with another length and letter.
func replyWithHeader(call Call, length uint32, letter byte) []byte {
	frame := replyFrame(call, "OK", "value")
	binary.BigEndian.PutUint32(frame, length)
	frame[frameLengthBytes] = letter
	return frame
}

// SucceedWithPause returns a behavior that replies as Succeed does, except that the replica stands still for a while when
// it has written the first bytes of the reply. It does so over frames only.
func SucceedWithPause(pause time.Duration) Behavior {
	return func(replica *Replica, call Call) {
		if call.http2 != nil {
			Succeed(replica, call)
			return
		}
		frame := replyFrame(call, "OK", valueOf(replica, call))
		replica.writing.Lock()
		defer replica.writing.Unlock()
		writeInParts(call.Conn, frame, len(partialHeader), pause)
	}
}
