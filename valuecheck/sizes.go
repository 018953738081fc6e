package valuecheck

import "math/bits"

const (
	frequentCount = 4    // values of a size that make it frequent
	settledCount  = 64   // accepted values of a size after which single values of larger ones do not count against it
	maxSizes      = 64   // distinct sizes that are counted
	forgetAfter   = 4096 // accepted values after which all counts are halved, so that sizes that no longer occur are forgotten
	recentValues  = 64   // last accepted values whose sizes are compared; the bits of sizeCounts.infrequent
	variousCount  = 32   // of the recent values, of sizes that were not frequent: sizes are no evidence
)

// sizeCounts counts the values of each size.
type sizeCounts struct {
	bySize     map[int]*sizeCount
	accepted   int    // since counts were halved last
	infrequent uint64 // a bit for each of the recent accepted values: its size was not frequent
	recent     int    // accepted values so far, up to recentValues
}

// sizeCount counts the values of one size. An observed value that is accepted counts in both fields.
type sizeCount struct {
	observed int
	accepted int
}

// of returns the count of a size; it is zero if the size is not counted.
func (counts *sizeCounts) of(size int) sizeCount {
	if count := counts.bySize[size]; count != nil {
		return *count
	}
	return sizeCount{}
}

func (counts *sizeCounts) observe(size int) {
	count := counts.bySize[size]
	if count == nil {
		count = counts.add(size)
	}
	count.observed++
}

// add adds a size, if necessary in place of the least frequent one.
func (counts *sizeCounts) add(size int) *sizeCount {
	if counts.bySize == nil {
		counts.bySize = map[int]*sizeCount{}
	}
	if len(counts.bySize) >= maxSizes {
		delete(counts.bySize, counts.leastFrequent())
	}
	count := &sizeCount{}
	counts.bySize[size] = count
	return count
}

// leastFrequent returns the size with the fewest values; the smallest of them if there are several.
func (counts *sizeCounts) leastFrequent() (least int) {
	fewest := -1
	for size, count := range counts.bySize {
		isFewer := fewest < 0 || count.observed < fewest
		if isFewer || count.observed == fewest && size < least {
			least, fewest = size, count.observed
		}
	}
	return least
}

func (counts *sizeCounts) accept(size int) {
	counts.infrequent <<= 1
	if !counts.isFrequent(size) {
		counts.infrequent |= 1
	}
	if count := counts.bySize[size]; count != nil {
		count.accepted++
	}
	counts.recent = min(counts.recent+1, recentValues)
	counts.accepted++
	if counts.accepted >= forgetAfter {
		counts.halve()
	}
}

// retract takes back an observed value, which may have been accepted.
func (counts *sizeCounts) retract(size int, wasAccepted bool) {
	count := counts.bySize[size]
	if count == nil {
		return
	}
	count.observed--
	if wasAccepted {
		count.accepted--
	}
	if count.observed <= 0 {
		delete(counts.bySize, size)
	}
}

func (counts *sizeCounts) halve() {
	counts.accepted = 0
	for size, count := range counts.bySize {
		count.observed /= 2
		count.accepted /= 2
		if count.observed == 0 {
			delete(counts.bySize, size)
		}
	}
}

// isFrequent reports whether a size was received often enough to exist.
func (counts *sizeCounts) isFrequent(size int) bool { return counts.of(size).observed >= frequentCount }

// isLargest reports whether no larger size is known. For a size of which many values were accepted a larger one is known
// only if several of its own values were.
func (counts *sizeCounts) isLargest(size int) bool {
	isSettled := counts.of(size).accepted >= settledCount
	for other, count := range counts.bySize {
		isKnown := count.accepted > 1 || !isSettled
		if other > size && isKnown {
			return false
		}
	}
	return true
}

// others returns the number of other sizes that are counted.
func (counts *sizeCounts) others(size int) int {
	if counts.of(size).observed == 0 {
		return len(counts.bySize)
	}
	return len(counts.bySize) - 1
}

// areVarious reports whether most values have sizes that are not frequent.
func (counts *sizeCounts) areVarious() bool {
	return bits.OnesCount64(counts.infrequent) >= variousCount
}

// isUnusual reports whether no value of a size was accepted, while all recent values had frequent sizes.
func (counts *sizeCounts) isUnusual(size int) bool {
	allFrequent := counts.recent == recentValues && counts.infrequent == 0
	return allFrequent && counts.of(size).accepted == 0
}
