package wire

import (
	"testing"
)

// A buffer that has grown for a large message releases the memory once it is empty.
func TestEmptyBufferReleasesLargeCapacity(t *testing.T) {
	var buffer Buffer
	buffer.Feed(make([]byte, 4*maxRetained))
	buffer.Consume(4 * maxRetained)
	if buffer.FreeSpace(); cap(buffer.data) > maxRetained {
		t.Errorf("an empty buffer retains %d bytes", cap(buffer.data))
	}
}
