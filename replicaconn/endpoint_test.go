package replicaconn

import (
	"testing"

	"terntray/connpool"
)

// All co-ordinators use the same id for a replica, whichever replicas they learned of before it. If another replica has
// that id already, the next free one is used.
func TestReplicaIDsDependOnTheUIDAlone(t *testing.T) {
	driver, other := newTestDriver(t, connpool.Limits{}), newTestDriver(t, connpool.Limits{})
	driver.EndpointOf("s-x")
	first, again := driver.EndpointOf("s-a"), driver.EndpointOf("s-a")
	id := other.EndpointOf("s-a").id
	if first.id != id || first != again {
		t.Error("the ids of one uid differ")
	}
	other.endpoints[id].uid = "s-first"
	other.endpoints[id+1] = &Endpoint{id: id + 1, uid: "s-other"}
	if got := other.EndpointOf("s-a"); got.id != id+2 || got.uid != "s-a" {
		t.Errorf("with two ids already in use: %+v", got)
	}
}
