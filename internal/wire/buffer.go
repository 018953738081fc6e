// Package wire implements the protocols that a co-ordinator speaks with clients, replicas and discovery agents. Its
// state machines turn bytes into typed messages and use neither sockets nor clocks.
//
// Names on the wire that differ from the terms used in the code are defined in names.go only. Malformed input is
// reported as a ProtocolError or another error and is never repaired silently.
package wire

const (
	minFreeSpace  = 2 << 10 // minimum number of bytes that FreeSpace returns
	growthDivisor = 2       // of the capacity, by which it grows at the least
	maxRetained   = 4 << 10 // bytes of capacity that an empty buffer retains; a larger one is released
)

// Buffer is the read buffer of a connection. It grows on demand and is compacted in place. The zero value is an
// empty buffer.
type Buffer struct {
	data     []byte
	consumed int // number of leading bytes of data that have been consumed
}

// FreeSpace returns unused space to read into. The caller reports the number of bytes read with Filled.
func (buffer *Buffer) FreeSpace() []byte {
	if buffer.consumed > 0 {
		remaining := copy(buffer.data, buffer.data[buffer.consumed:])
		buffer.data = buffer.data[:remaining]
		buffer.consumed = 0
	}
	buffer.ReleaseUnused()
	length := len(buffer.data)
	if cap(buffer.data)-length < minFreeSpace {
		grown := make([]byte, length, max(cap(buffer.data)+cap(buffer.data)/growthDivisor, length+minFreeSpace))
		copy(grown, buffer.data)
		buffer.data = grown
	}
	return buffer.data[length:cap(buffer.data)]
}

// ReleaseUnused releases the memory of an empty buffer that has grown large.
func (buffer *Buffer) ReleaseUnused() {
	if buffer.Buffered() == 0 && cap(buffer.data) > maxRetained {
		buffer.data = nil
		buffer.consumed = 0
	}
}

// Filled appends the first count bytes of the slice that FreeSpace returned last to the buffered bytes.
func (buffer *Buffer) Filled(count int) { buffer.data = buffer.data[:len(buffer.data)+count] }

// Feed appends a copy of bytes.
func (buffer *Buffer) Feed(bytes []byte) {
	for len(bytes) > 0 {
		count := copy(buffer.FreeSpace(), bytes)
		buffer.Filled(count)
		bytes = bytes[count:]
	}
}

// Buffered returns the number of bytes that have not been consumed.
func (buffer *Buffer) Buffered() int { return len(buffer.data) - buffer.consumed }

// Bytes returns the bytes that have not been consumed. The slice is valid until the next call of FreeSpace.
func (buffer *Buffer) Bytes() []byte { return buffer.data[buffer.consumed:] }

// Consume discards the first count bytes of Bytes.
func (buffer *Buffer) Consume(count int) { buffer.consumed += count }
