package coordinator

import (
	"encoding/json"
	"io"
	"log"
	"maps"
	"net"
	"testing"
	"time"

	"terntray/internal/netconn"
	"terntray/internal/wire"
)

// settingsJSON is the settings object of the tests' platform file: classes look and claim, 24 shards in two cells.
const settingsJSON = `{"balancers":3,"bounds":{"connectTimeout":250000,"cpuUsPerRequest":0.0,"mayCancel":true,"retryAfter":false},
"discovery":"automatic","familyInfo":{"cells":2,"classFetch":[0,0],"classNeed":[1.0,0.5],"ranges":24,"span":1},"kinds":["std 2core"],
"lanes":[{"aim":2500000,"deadline":6000000,"effect":"pure","name":"look"},
{"aim":1500000,"deadline":3000000,"effect":"side_effect","name":"claim"}],
"orgs":[{"name":"a,b","share":0.47}],"report":{"fields":[]},"zone":0,"zones":["west","east"]}`

// unreachable is an address on which nothing listens.
const unreachable = "127.0.0.1:1"

// readyReplica returns the endpoint of a ready replica of cell 0.
func readyReplica(uid, address string) wire.Endpoint {
	cell := 0
	return wire.Endpoint{UID: uid, Address: address, State: wire.Ready, Cell: &cell}
}

// twoReplicas returns two unreachable replicas of the same shards.
func twoReplicas() []wire.Endpoint {
	return []wire.Endpoint{readyReplica("s-a", unreachable), readyReplica("s-b", unreachable)}
}

// newDeployment returns a deployment with a last known endpoint list.
func newDeployment(t *testing.T, known ...wire.Endpoint) *Deployment {
	settings, err := Flatten([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	return &Deployment{
		Name:           "n0",
		Listen:         "127.0.0.1:0",
		Discovery:      unreachable,
		Seed:           "8c1f",
		SettingsJSON:   json.RawMessage(settingsJSON),
		KnownEndpoints: wire.EndpointList{All: true, Endpoints: known},
		settings:       settings,
	}
}

// newCoordinator returns a coordinator whose loop the test drives. It knows no replica until newClient is called.
func newCoordinator(t *testing.T, known ...wire.Endpoint) *Coordinator {
	return newCoordinatorOf(t, newDeployment(t, known...))
}

// newCoordinatorWith returns a coordinator with some settings replaced. Without an explicit endpoint list, it has one
// unreachable replica.
func newCoordinatorWith(t *testing.T, settings map[string]string, known ...wire.Endpoint) *Coordinator {
	if known == nil {
		known = []wire.Endpoint{readyReplica("s-a", unreachable)}
	}
	d := newDeployment(t, known...)
	maps.Copy(d.settings, settings)
	return newCoordinatorOf(t, d)
}

func newCoordinatorOf(t *testing.T, d *Deployment) *Coordinator {
	t.Helper()
	c, err := New(d, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.replicas.Stop)
	return c
}

// newWithUnreachableReplica returns a coordinator that knows one unreachable replica.
func newWithUnreachableReplica(t *testing.T) *Coordinator {
	c := newCoordinatorWith(t, nil)
	c.discovery.Redeliver()
	return c
}

// newClient returns a client, after making the coordinator apply its endpoint list.
func (c *Coordinator) newClient() *fakeClient {
	c.discovery.Redeliver()
	return newFakeClient()
}

// newQuery returns a query of class look for some shards.
func newQuery(id string, timeout time.Duration, shards ...int) *wire.Query {
	query := &wire.Query{ID: id, Class: "look", Timeout: timeout}
	for _, shard := range shards {
		weight := 1 / float64(len(shards))
		query.Subqueries = append(query.Subqueries, wire.Subquery{Shard: shard, Weight: weight})
	}
	return query
}

// runIteration runs an iteration of the loop with an event.
func (c *Coordinator) runIteration(event func()) { c.loop.RunIteration(event, c.endIteration) }

// runPosted runs an iteration without an event of its own, which calls the posted functions.
func (c *Coordinator) runPosted() { c.runIteration(func() {}) }

// receive runs an iteration in which a query arrives that has already waited for some time.
func (c *Coordinator) receive(from client, query *wire.Query, waited time.Duration) {
	c.runIteration(func() { c.queryArrives(from, query, c.loop.Now()-waited) })
}

// awaitState waits until netconn.Peek returns a state for a connection.
func awaitState(t *testing.T, conn net.Conn, state netconn.State) {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	for netconn.Peek(conn) != state {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the connection's state")
		}
		time.Sleep(time.Millisecond)
	}
}

// writerFunc implements io.Writer.
type writerFunc func([]byte)

func (write writerFunc) Write(text []byte) (int, error) {
	write(text)
	return len(text), nil
}
