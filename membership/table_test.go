package membership

import (
	"fmt"
	"testing"
	"time"

	"terntray/internal/wire"
)

// states returns the states in a list by UID.
func states(list *wire.EndpointList) map[string]string {
	all := map[string]string{}
	for _, endpoint := range list.Endpoints {
		all[endpoint.UID] = endpoint.State
	}
	return all
}

func endpoint(uid, state string) wire.Endpoint {
	return wire.Endpoint{UID: uid, Address: "127.0.0.1:1", State: state, BootMS: 100}
}

// Guards against subqueries that are sent to a replica after its drain was told: a list that is older than the one that told
// it, from another agent or one that has restarted, says that the replica is ready. What is known to have ended the drain
// ends it: a list as new, another start of the replica's process, or a long time.
func TestOlderListDoesNotUndoAWithdrawal(t *testing.T) {
	const told, older = 43, 41
	restarted := endpoint("s-0", wire.Ready)
	restarted.BootMS = 200
	for _, withdrawn := range []string{wire.Draining, wire.Removed} {
		for _, test := range []struct {
			name     string
			revision int64
			listed   wire.Endpoint
			after    time.Duration
			want     string
		}{
			{"older", older, endpoint("s-0", wire.Ready), 3 * time.Second, withdrawn},
			{"as new", told, endpoint("s-0", wire.Ready), 3 * time.Second, wire.Ready},
			{"newer", told + 1, endpoint("s-0", wire.Ready), 3 * time.Second, wire.Ready},
			{"older, restarted", older, restarted, 3 * time.Second, wire.Ready},
			{"older, long after", older, endpoint("s-0", wire.Ready), withdrawalHold, wire.Ready},
		} {
			for _, all := range []bool{true, false} {
				table := NewTable(wire.EndpointList{})
				both := []wire.Endpoint{endpoint("s-0", wire.Ready), endpoint("s-1", wire.Ready)}
				table.Update(&wire.EndpointList{Revision: older, All: true, Endpoints: both}, 0)
				table.Update(&wire.EndpointList{Revision: told, Endpoints: []wire.Endpoint{endpoint("s-0", withdrawn)}}, 0)
				list := &wire.EndpointList{Revision: test.revision, All: all,
					Endpoints: []wire.Endpoint{test.listed, endpoint("s-1", wire.Ready)}}
				effective, changesIn := table.Update(list, test.after)
				want := test.want
				if all && want == wire.Removed {
					want = "" // a full list leaves it out
				}
				if got := states(effective)["s-0"]; got != want || states(effective)["s-1"] != wire.Ready {
					t.Errorf("%s, list %s, full %t: %v, want %q", withdrawn, test.name, all, states(effective), want)
				}
				wantIn := time.Duration(0)
				if test.want != wire.Ready {
					wantIn = withdrawalHold - test.after
				}
				if changesIn != wantIn {
					t.Errorf("%s, list %s: changes in %v, want %v", withdrawn, test.name, changesIn, wantIn)
				}
			}
		}
	}
}

// A withdrawal that an older list contradicts ends by itself, as revisions may start over: the replica is in use again.
func TestContradictedWithdrawalEnds(t *testing.T) {
	table := NewTable(wire.EndpointList{})
	ready := []wire.Endpoint{endpoint("s-0", wire.Ready)}
	table.Update(&wire.EndpointList{Revision: 43, All: true, Endpoints: []wire.Endpoint{endpoint("s-0", wire.Draining)}}, 0)
	_, changesIn := table.Update(&wire.EndpointList{Revision: 2, All: true, Endpoints: ready}, time.Second)
	if early, _ := table.Lifted(time.Second); len(early.Endpoints) > 0 || states(table.Full(time.Second))["s-0"] != wire.Draining {
		t.Errorf("the withdrawal ended early: %v", early)
	}
	lifted, nextIn := table.Lifted(time.Second + changesIn)
	if states(lifted)["s-0"] != wire.Ready || nextIn != 0 || lifted.All {
		t.Errorf("lifted %+v, next in %v", lifted, nextIn)
	}
}

// Replicas are replaced repeatedly. Removed ones do not accumulate in the last known list.
func TestRemovedEndpointsLeaveTheKnownList(t *testing.T) {
	table := NewTable(wire.EndpointList{})
	for n := range 3000 {
		gone := wire.Endpoint{UID: fmt.Sprint("s-", n-1), State: wire.Removed}
		next := wire.Endpoint{UID: fmt.Sprint("s-", n), Address: "127.0.0.1:1", State: wire.Ready}
		table.Update(&wire.EndpointList{Revision: int64(n), Endpoints: []wire.Endpoint{gone, next}}, time.Duration(n)*time.Second)
		if len(table.known.Endpoints) != 1 || table.known.Endpoints[0].UID != next.UID ||
			table.known.Revision != int64(n) {
			t.Fatalf("after %d: %+v", n, table.known)
		}
		if seconds := int(withdrawalHold / time.Second); len(table.withdrawn) > seconds {
			t.Fatalf("after %d: %d withdrawals are kept", n, len(table.withdrawn))
		}
	}
}
