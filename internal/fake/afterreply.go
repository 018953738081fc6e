package fake

import "time"

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
