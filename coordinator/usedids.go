package coordinator

import (
	"time"

	"terntray/dedup"
	"terntray/invariant"
)

const (
	usedIDRetention     = time.Minute // longer than any deadline: no attempt of an earlier use is in flight after it
	usedIDMemoryDivisor = 128         // of the memory limit, for the IDs of either kind
	defaultUsedIDs      = 1 << 16     // IDs of either kind if no limit is configured
)

// usedIDs are the ids of the queries of which an attempt was decided. Those of idempotent queries are kept apart, so that many
// of them cannot displace an id whose query must not run twice.
type usedIDs struct {
	idempotent *dedup.UsedIDs
	others     *dedup.UsedIDs
}

func newUsedIDs(limits Limits) usedIDs {
	capacity := defaultUsedIDs
	if limits.MemoryMB > 0 {
		capacity = min(capacity, limits.MemoryMB<<20/usedIDMemoryDivisor/dedup.EntryBytes)
	}
	return usedIDs{
		idempotent: dedup.New(capacity, usedIDRetention),
		others:     dedup.New(capacity, usedIDRetention),
	}
}

func (used *usedIDs) contains(id string, now time.Duration) bool {
	return used.others.Contains(id, now) || used.idempotent.Contains(id, now)
}

func (used *usedIDs) add(id string, effect invariant.Effect, now time.Duration) {
	if effect == invariant.Idempotent {
		used.idempotent.Add(id, now)
	} else {
		used.others.Add(id, now)
	}
}
