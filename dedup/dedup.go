// Package dedup recognises requests whose ID was used before. A request that comes again must not run again: its first
// attempts may still be in flight, or may have taken effect, after its client has left or was answered.
//
// The package has no I/O, clock or goroutine. It promises that an ID is recognised for the retention time unless more IDs than
// the capacity were used since, and that its memory is bounded by the capacity.
package dedup

import (
	"hash/maphash"
	"time"
)

// EntryBytes is the approximate memory of one ID.
const EntryBytes = 64

// UsedIDs are the IDs that were used lately. Only their hashes are kept, as IDs may be long.
type UsedIDs struct {
	capacity  int
	retention time.Duration
	seed      maphash.Seed        // random, so that clients cannot choose IDs that collide
	hashes    map[uint64]struct{} // of all entries
	entries   []entry             // oldest first, from first on
	first     int
}

type entry struct {
	hash   uint64
	usedAt time.Duration
}

// New returns an empty set for at most capacity IDs, each of which is kept for the retention time.
func New(capacity int, retention time.Duration) *UsedIDs {
	return &UsedIDs{
		capacity:  max(1, capacity),
		retention: retention,
		seed:      maphash.MakeSeed(),
		hashes:    map[uint64]struct{}{},
	}
}

// Add adds an ID that is used at the time now. An ID that is known already keeps its time.
func (used *UsedIDs) Add(id string, now time.Duration) {
	used.expire(now)
	hash := used.hashOf(id)
	if _, known := used.hashes[hash]; known {
		return
	}
	if len(used.hashes) >= used.capacity {
		used.removeOldest()
	}
	used.hashes[hash] = struct{}{}
	used.entries = append(used.entries, entry{hash: hash, usedAt: now})
}

// Contains reports whether an ID was used within the retention time before now.
func (used *UsedIDs) Contains(id string, now time.Duration) bool {
	used.expire(now)
	_, known := used.hashes[used.hashOf(id)]
	return known
}

// Len returns the number of IDs that are kept.
func (used *UsedIDs) Len() int { return len(used.hashes) }

func (used *UsedIDs) hashOf(id string) uint64 { return maphash.String(used.seed, id) }

// expire removes the entries whose retention time is over.
func (used *UsedIDs) expire(now time.Duration) {
	for used.first < len(used.entries) && now-used.entries[used.first].usedAt >= used.retention {
		used.removeOldest()
	}
}

func (used *UsedIDs) removeOldest() {
	delete(used.hashes, used.entries[used.first].hash)
	used.first++
	if used.first >= len(used.entries)/2 { // the removed entries make up half of the slice
		remaining := copy(used.entries, used.entries[used.first:])
		used.entries = used.entries[:remaining]
		used.first = 0
	}
}
