package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"terntray/dedup"
	"terntray/invariant"
)

// Guards against a query that runs twice: its id comes again after its client has left, while its first attempts may still be
// in flight.
func TestQueryIDThatCameBeforeIsRefused(t *testing.T) {
	for _, class := range []string{"look", "claim"} {
		c := newWithUnreachableReplica(t)
		arrive := func(id string) *fakeClient {
			from := newFakeClient()
			query := newQuery(id, 6*time.Second, 0)
			query.Class = class
			c.receive(from, query, 0)
			return from
		}
		first := arrive("q")
		c.runIteration(func() { c.clientDisconnected(first) })
		if c.counts.Attempts != 1 {
			t.Fatalf("class %s: %d attempts", class, c.counts.Attempts)
		}
		again := arrive("q")
		if len(again.responses) != 1 || c.counts.Attempts != 1 {
			t.Fatalf("class %s: %d responses to the id that came again, %d attempts", class, len(again.responses), c.counts.Attempts)
		}
		if text := <-again.responses; !strings.HasPrefix(string(text), "HTTP/1.1 409") {
			t.Errorf("class %s: the id that came again had %q", class, text)
		}
		if arrive("r"); c.counts.Attempts != 2 {
			t.Errorf("class %s: no attempt for a new id", class)
		}
	}
}

// Very many ids of idempotent queries cannot displace that of a query that must not run twice, and the memory for ids has a
// bound.
func TestIDsOfIdempotentQueriesDisplaceNoOthers(t *testing.T) {
	used := newUsedIDs(Limits{MemoryMB: 32})
	used.add("claim", invariant.NonIdempotent, 0)
	for n := range 1 << 17 {
		used.add(fmt.Sprint("look", n), invariant.Idempotent, 0)
	}
	if !used.contains("claim", time.Second) {
		t.Error("the id of a non-idempotent query was displaced")
	}
	if bytes := used.idempotent.Len() * dedup.EntryBytes; bytes > 32<<20/usedIDMemoryDivisor {
		t.Errorf("%d ids are kept", used.idempotent.Len())
	}
	if used.contains("claim", usedIDRetention) {
		t.Error("an id is kept longer than the retention time")
	}
}
