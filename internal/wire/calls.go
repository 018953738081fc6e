package wire

import (
	"encoding/binary"
	"fmt"
	"strconv"
)

// SubqueryCall is one subquery of a call frame.
type SubqueryCall struct {
	ID     string
	Shard  int
	WaitMS int64 // how long the co-ordinator waits for the reply, in milliseconds
	Text   []byte
}

// SubqueryID returns the id of a subquery on the wire.
func SubqueryID(query string, shard int) string { return query + "." + strconv.Itoa(shard) }

// AppendCall appends a call frame with the given subqueries.
func AppendCall(buffer []byte, subqueries ...SubqueryCall) []byte {
	start := len(buffer)
	buffer = beginFrame(buffer, frameCall)
	for _, call := range subqueries {
		buffer = fmt.Appendf(buffer, "%s %d d=%d %d\n", call.ID, call.Shard, call.WaitMS, len(call.Text))
		buffer = append(buffer, call.Text...)
	}
	return endFrame(buffer, start)
}

// AppendAbandon appends the frame that notifies a replica that the result of a subquery is no longer needed.
func AppendAbandon(buffer []byte, id string) []byte {
	start := len(buffer)
	buffer = beginFrame(buffer, frameAbandon)
	buffer = append(buffer, id...)
	return endFrame(buffer, start)
}

// beginFrame appends the header of a frame; endFrame sets its length.
func beginFrame(buffer []byte, letter byte) []byte { return append(buffer, 0, 0, 0, 0, letter) }

// endFrame sets the length of the frame that begins at start and ends with the buffer.
func endFrame(buffer []byte, start int) []byte {
	length := len(buffer) - start - frameLengthSize
	binary.BigEndian.PutUint32(buffer[start:], uint32(length))
	return buffer
}
