package wire

import "sync"

// sameSizesNeeded is how many values of one size have to come before another size says anything.
const sameSizesNeeded = 64

// ValueSizes knows whether the values of replicas have all been of one size. It guards against a value that is
// cut short by a frame's wrong length, whose rest then stands behind the frame: it would pass for a good value.
// Any goroutine may use it; its zero value has seen nothing.
type ValueSizes struct {
	mu     sync.Mutex
	size   int // of the first value
	same   int // values of that size, up to sameSizesNeeded; 0: none
	varied bool
}

// isOdd notes a value and tells whether it is of another size than all before it and has noise behind it. A nil
// ValueSizes finds nothing odd.
func (sizes *ValueSizes) isOdd(size int, noiseBehind bool) bool {
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
		sizes.same = min(sizes.same+1, sameSizesNeeded)
	case noiseBehind && sizes.same == sameSizesNeeded:
		return true
	case !noiseBehind:
		sizes.varied = true
	}
	return false
}
