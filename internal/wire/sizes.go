package wire

import (
	"encoding/json"
	"sync"
)

const (
	// minUsualRun is the number of consecutive values of one size after which that size is the usual one.
	minUsualRun = 8
	// minVariedRun replaces minUsualRun once values of several sizes were received: rare sizes then exist.
	minVariedRun = 4096
)

// ValueSizes tracks whether the values of replicas all have the same size. A value of that usual size is complete: a
// frame length that is too small would have made it shorter. ValueSizes is safe for concurrent use. Its zero value has
// seen no values. A nil ValueSizes knows no usual size.
type ValueSizes struct {
	mu     sync.Mutex
	size   int  // of the last value
	run    int  // number of consecutive values of that size, up to minVariedRun; 0: no value yet
	varied bool // the values had several sizes
}

// IsUsual reports whether a value has the size that all values before it had. It returns false while there were too
// few to tell.
func (sizes *ValueSizes) IsUsual(size int) bool {
	if sizes == nil {
		return false
	}
	sizes.mu.Lock()
	defer sizes.mu.Unlock()
	required := minUsualRun
	if sizes.varied {
		required = minVariedRun
	}
	return size == sizes.size && sizes.run >= required
}

// IsSelfDelimiting reports whether a value shows by itself that it is complete: no shorter part of a JSON object or array
// is one, but for white space behind it.
func IsSelfDelimiting(value []byte) bool {
	return len(value) > 0 && (value[0] == '{' || value[0] == '[') && json.Valid(value)
}

// Record records the size of a complete value.
func (sizes *ValueSizes) Record(size int) {
	if sizes == nil {
		return
	}
	sizes.mu.Lock()
	defer sizes.mu.Unlock()
	if size == sizes.size || sizes.run == 0 {
		sizes.size = size
		sizes.run = min(sizes.run+1, minVariedRun)
		return
	}
	sizes.size = size
	sizes.run = 1
	sizes.varied = true
}
