// Package wire holds the state machines of the wire between clients, replicas, discovery and a
// co-ordinator. They are fed bytes and know neither sockets nor clocks.
package wire

const (
	leastRoom = 2 << 10  // bytes to read into at the least
	keptRoom  = 16 << 10 // bytes that an empty buffer may keep; a larger one is let go
)

// Buffer is a connection's one buffer: it grows as it needs and is compacted in place.
type Buffer struct {
	data []byte
	from int // what stands before is used up
}

// Free gives free bytes to read into; Filled tells how many were.
func (b *Buffer) Free() []byte {
	if b.from > 0 {
		n := copy(b.data, b.data[b.from:])
		b.data, b.from = b.data[:n], 0
	}
	if len(b.data) == 0 && cap(b.data) > keptRoom {
		b.data = nil
	}
	if cap(b.data)-len(b.data) < leastRoom {
		grown := make([]byte, len(b.data), max(2*cap(b.data), len(b.data)+leastRoom))
		copy(grown, b.data)
		b.data = grown
	}
	return b.data[len(b.data):cap(b.data)]
}

// Filled takes in the first n bytes of what Room gave last.
func (b *Buffer) Filled(n int) { b.data = b.data[:len(b.data)+n] }

// Feed takes in a copy of some bytes.
func (b *Buffer) Feed(p []byte) {
	for len(p) > 0 {
		n := copy(b.Free(), p)
		b.Filled(n)
		p = p[n:]
	}
}

// Buffered is how many bytes are in and not used up.
func (b *Buffer) Buffered() int { return len(b.data) - b.from }

// Bytes is what is in and not used up; it is good until the next call of Room.
func (b *Buffer) Bytes() []byte { return b.data[b.from:] }

// Consume lets go of the first n bytes of it.
func (b *Buffer) Consume(n int) { b.from += n }
