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

// settingsJSON are the settings of the tests' deployment as they stand in a configuration file: classes look and
// claim, 24 shards in two cells.
const settingsJSON = `{"balancers":3,"bounds":{"connectTimeout":250000,"cpuUsPerRequest":0.0,"mayCancel":true,"retryAfter":false},
"discovery":"automatic","familyInfo":{"cells":2,"classFetch":[0,0],"classNeed":[1.0,0.5],"ranges":24,"span":1},"kinds":["std 2core"],
"lanes":[{"aim":2500000,"deadline":6000000,"effect":"pure","name":"look"},
{"aim":1500000,"deadline":3000000,"effect":"side_effect","name":"claim"}],
"orgs":[{"name":"a,b","share":0.47}],"report":{"fields":[]},"zone":0,"zones":["west","east"]}`

// unreachable is an address at which nobody listens.
const unreachable = "127.0.0.1:1"

// readyReplica is a replica that holds the shards of cell 0.
func readyReplica(uid, address string) wire.Endpoint {
	cell := 0
	return wire.Endpoint{UID: uid, Address: address, State: wire.Ready, Cell: &cell}
}

// twoReplicas hold the same shards and cannot be reached.
func twoReplicas() []wire.Endpoint {
	return []wire.Endpoint{readyReplica("s-a", unreachable), readyReplica("s-b", unreachable)}
}

// newDeployment makes a deployment with an endpoint list as it was last known.
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

// newCoordinator makes a coordinator whose loop the test drives. It knows no replica before newClient.
func newCoordinator(t *testing.T, known ...wire.Endpoint) *Coordinator {
	return newCoordinatorOf(t, newDeployment(t, known...))
}

// newCoordinatorWith makes one with some settings replaced, before one replica that nobody can reach unless others
// are given.
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

// newWithUnreachableReplica makes one that knows a replica which nobody can reach.
func newWithUnreachableReplica(t *testing.T) *Coordinator {
	c := newCoordinatorWith(t, nil)
	c.discovery.Repeat()
	return c
}

// newClient has the coordinator know its endpoint list and makes a client.
func (c *Coordinator) newClient() *fakeClient {
	c.discovery.Repeat()
	return newFakeClient()
}

// newQuery is a query of class look for some shards of cell 0.
func newQuery(id string, timeout time.Duration, shards ...int) *wire.Query {
	query := &wire.Query{ID: id, Class: "look", Timeout: timeout}
	for _, shard := range shards {
		weight := 1 / float64(len(shards))
		query.Subqueries = append(query.Subqueries, wire.Subquery{Shard: shard, Weight: weight})
	}
	return query
}

// runIteration runs an iteration of the loop that begins with an event.
func (c *Coordinator) runIteration(event func()) { c.loop.RunIteration(event, c.endIteration) }

// runPosted runs an iteration with what was posted.
func (c *Coordinator) runPosted() { c.runIteration(func() {}) }

// receive runs an iteration in which a query arrives that has waited for some time.
func (c *Coordinator) receive(from client, query *wire.Query, waited time.Duration) {
	c.runIteration(func() { c.queryArrives(from, query, c.loop.Now()-waited) })
}

// connPair is a connection over loopback.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	dialed.SetDeadline(time.Now().Add(20 * time.Second))
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// waitForState waits until a connection's end shows a state.
func waitForState(t *testing.T, conn net.Conn, state netconn.State) {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	for netconn.Peek(conn) != state {
		if time.Now().After(end) {
			t.Fatal("nothing comes")
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
