package wire

import "sync"

// minSameSizeValues is the number of values of one size after which a value of another size is suspicious.
const minSameSizeValues = 64

// ValueSizes tracks whether all values of replicas have the same size. It detects a value that is truncated by a wrong
// frame length, so that its remainder follows the frame: such a value would otherwise be accepted. ValueSizes is safe
// for concurrent use. Its zero value has seen no values.
type ValueSizes struct {
	mu     sync.Mutex
	size   int  // of the first value
	same   int  // number of values of that size, up to minSameSizeValues; 0: no value yet
	varied bool // values of several sizes are valid
}

// isSuspicious records a value's size. It reports whether the size is unlike that of all values before, of which there
// were at least minSameSizeValues, and bytes that are not a frame follow. A nil ValueSizes always returns false.
func (sizes *ValueSizes) isSuspicious(size int, garbageFollows bool) bool {
	if sizes == nil {
		return false
	}
	sizes.mu.Lock()
	defer sizes.mu.Unlock()
	switch {
	case sizes.varied:
	case sizes.same == 0:
		sizes.size = size
		sizes.same = 1
	case size == sizes.size:
		sizes.same = min(sizes.same+1, minSameSizeValues)
	case garbageFollows && sizes.same == minSameSizeValues:
		return true
	case !garbageFollows:
		sizes.varied = true
	}
	return false
}
