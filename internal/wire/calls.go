package wire

import (
	"encoding/binary"
	"fmt"
	"strconv"
)

// SubqueryCall is one subquery in a call to a replica.
type SubqueryCall struct {
	ID     string
	Shard  int
	WaitMS int64 // how long the coordinator waits, in milliseconds
	Text   []byte
}

// SubqueryID is a subquery's id on the wire.
func SubqueryID(query string, shard int) string { return query + "." + strconv.Itoa(shard) }

// AppendCall appends the frame of a call of some subqueries.
func AppendCall(buffer []byte, subqueries ...SubqueryCall) []byte {
	start := len(buffer)
	buffer = beginFrame(buffer, frameCall)
	for _, call := range subqueries {
		buffer = fmt.Appendf(buffer, "%s %d d=%d %d\n", call.ID, call.Shard, call.WaitMS, len(call.Text))
		buffer = append(buffer, call.Text...)
	}
	return endFrame(buffer, start)
}

// AppendAbandon appends the frame that tells a replica that nobody waits for a subquery any more.
func AppendAbandon(buffer []byte, id string) []byte {
	start := len(buffer)
	buffer = beginFrame(buffer, frameAbandon)
	buffer = append(buffer, id...)
	return endFrame(buffer, start)
}

// beginFrame appends the beginning of a frame, with a length of 0.
func beginFrame(buffer []byte, letter byte) []byte { return append(buffer, 0, 0, 0, 0, letter) }

// endFrame sets the length of the frame that began at a place.
func endFrame(buffer []byte, start int) []byte {
	length := len(buffer) - start - frameLengthSize
	binary.BigEndian.PutUint32(buffer[start:], uint32(length))
	return buffer
}
