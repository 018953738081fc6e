// Package wire holds the state machines of the wire between clients, replicas, discovery and a coordinator: they
// are fed bytes and give typed messages, and know neither sockets nor clocks.
//
// The wire's own names, where they differ from the field's, stand in names.go and nowhere else. What cannot be
// used is a ProtocolError or another error; nothing is mended silently.
package wire

const (
	minFree = 2 << 10  // bytes to read into at the least
	maxKept = 16 << 10 // bytes that an empty buffer keeps; a larger one is released
)

// Buffer is the one read buffer of a connection: it grows as it needs and is compacted in place. Its zero value
// is empty.
type Buffer struct {
	data     []byte
	consumed int // bytes of data that are used up
}

// FreeSpace gives free bytes to read into; Filled has to tell how many were read.
func (buffer *Buffer) FreeSpace() []byte {
	if buffer.consumed > 0 {
		left := copy(buffer.data, buffer.data[buffer.consumed:])
		buffer.data = buffer.data[:left]
		buffer.consumed = 0
	}
	if len(buffer.data) == 0 && cap(buffer.data) > maxKept {
		buffer.data = nil
	}
	length := len(buffer.data)
	if cap(buffer.data)-length < minFree {
		grown := make([]byte, length, max(2*cap(buffer.data), length+minFree))
		copy(grown, buffer.data)
		buffer.data = grown
	}
	return buffer.data[length:cap(buffer.data)]
}

// Filled takes in the first bytes of what FreeSpace gave last.
func (buffer *Buffer) Filled(count int) { buffer.data = buffer.data[:len(buffer.data)+count] }

// Feed takes in a copy of some bytes.
func (buffer *Buffer) Feed(bytes []byte) {
	for len(bytes) > 0 {
		count := copy(buffer.FreeSpace(), bytes)
		buffer.Filled(count)
		bytes = bytes[count:]
	}
}

// Buffered is how many bytes are in and not used up.
func (buffer *Buffer) Buffered() int { return len(buffer.data) - buffer.consumed }

// Bytes is what is in and not used up; it is valid until the next call of FreeSpace.
func (buffer *Buffer) Bytes() []byte { return buffer.data[buffer.consumed:] }

// Consume uses up the first bytes of it.
func (buffer *Buffer) Consume(count int) { buffer.consumed += count }
