package dedup

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Compares the set with a plain list of all uses, on random histories: no ID is recognised that was not used lately, none is
// forgotten early, and the number of entries stays within the capacity.
func TestUsedIDsMatchesAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention = 10 * time.Second
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		used := New(capacity, retention)
		var uses []plainUse // IDs in the order of their first use, none twice
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			for len(uses) > 0 && now-uses[0].at >= retention {
				uses = uses[1:]
			}
			id := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id"))
			known := isUsed(uses, id)
			if got := used.Contains(id, now); got != known {
				t.Fatalf("ID %s at %v: known %t, want %t", id, now, got, known)
			}
			used.Add(id, now)
			if !known {
				uses = append(uses, plainUse{id, now})
				uses = uses[max(0, len(uses)-capacity):]
			}
			if used.Len() != len(uses) || len(used.entries) > 2*capacity+2 {
				t.Fatalf("%d IDs in %d entries, want %d of up to %d", used.Len(), len(used.entries), len(uses), capacity)
			}
		}
	})
}

type plainUse struct {
	id string
	at time.Duration
}

func isUsed(uses []plainUse, id string) bool {
	for _, use := range uses {
		if use.id == id {
			return true
		}
	}
	return false
}
