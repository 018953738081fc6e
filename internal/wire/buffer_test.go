package wire

import (
	"testing"
)

// A buffer has grown for a large message and is empty again. It gives the memory back.
func TestBufferLetsGoOfWhatItGrewFor(t *testing.T) {
	var buffer Buffer
	buffer.Feed(make([]byte, 4*maxKept))
	buffer.Consume(4 * maxKept)
	if buffer.FreeSpace(); cap(buffer.data) > maxKept {
		t.Errorf("an empty buffer keeps %d bytes", cap(buffer.data))
	}
}
