package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/internal/wire"
)

// The same settings as the simulator words them and as they stand in a configuration.
const pairs = "balancers=3\tbounds.connectTimeout=250000\tbounds.cpuUsPerRequest=0.0\tbounds.mayCancel=true\t" +
	"bounds.retryAfter=false\tdiscovery=automatic\tfamilyInfo.cells=2\tfamilyInfo.classFetch=0,0\t" +
	"familyInfo.classNeed=1.0,0.5\tfamilyInfo.ranges=24\tfamilyInfo.span=1\tkinds=std_2core\tlanes.count=2\t" +
	"lanes.0.aim=2500000\tlanes.0.deadline=6000000\tlanes.0.effect=pure\tlanes.0.name=look\tlanes.1.aim=1500000\t" +
	"lanes.1.deadline=3000000\tlanes.1.effect=side_effect\tlanes.1.name=claim\torgs.count=1\torgs.0.name=a_b\t" +
	"orgs.0.share=0.47\treport.fields=\tzone=0\tzones=west,east"

const nested = `{"balancers":3,"bounds":{"connectTimeout":250000,"cpuUsPerRequest":0.0,"mayCancel":true,"retryAfter":false},
"discovery":"automatic","familyInfo":{"cells":2,"classFetch":[0,0],"classNeed":[1.0,0.5],"ranges":24,"span":1},"kinds":["std 2core"],
"lanes":[{"aim":2500000,"deadline":6000000,"effect":"pure","name":"look"},
{"aim":1500000,"deadline":3000000,"effect":"side_effect","name":"claim"}],
"orgs":[{"name":"a,b","share":0.47}],"report":{"fields":[]},"zone":0,"zones":["west","east"]}`

func TestSettingsReachTheModuleAsTheSimulatorWordsThem(t *testing.T) {
	want := map[string]string{}
	for pair := range strings.SplitSeq(pairs, "\t") {
		name, value, _ := strings.Cut(pair, "=")
		want[name] = value
	}
	got, err := Flatten([]byte(nested))
	if err != nil || !maps.Equal(got, want) {
		t.Errorf("%v\n%v\nwant %v", err, got, want)
	}
	for _, bad := range []string{"", "{", "[]", "{} {}"} {
		if _, err := Flatten([]byte(bad)); err == nil {
			t.Errorf("%q passes for settings", bad)
		}
	}
}

func deployment(t *testing.T, targets ...wire.Target) *Deployment {
	settings, err := Flatten([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	return &Deployment{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: "8c1f", Nested: json.RawMessage(nested),
		Known: wire.EndpointList{All: true, Targets: targets}, settings: settings}
}

func made(t *testing.T, targets ...wire.Target) *Coordinator {
	c, err := New(deployment(t, targets...), log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// client tells the module the list that the deployment knows and gives a client of which the test decides what it does.
func (c *Coordinator) client(t *testing.T) *fakeClient {
	t.Helper()
	c.discovery.Repeat()
	return newFakeClient()
}

// A client that asks to wait for a day and leaves must not be remembered for as long.
func TestNothingOfARetrievalStaysOnceItsLegsHaveEnded(t *testing.T) {
	cell := 0
	c := made(t, wire.Target{UID: "s-a", Endpoint: "127.0.0.1:1", State: wire.Ready, Cell: &cell})
	defer c.replicas.Stop()
	k := c.client(t)
	query := &wire.Query{ID: "q", Class: "look", Deadline: 24 * time.Hour, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, c.endIteration)
	if timers, _ := c.loop.Timers(); c.counts.Attempts != 1 || timers < 2 {
		t.Fatalf("%d legs, %d timers", c.counts.Attempts, timers)
	}
	c.loop.RunIteration(func() { c.clientDisconnected(k) }, c.endIteration)
	c.loop.RunIteration(func() {}, c.endIteration)
	if _, last := c.loop.Timers(); last > time.Minute {
		t.Errorf("a timer is left that is due at %v", last)
	}
	if len(c.queries)+len(c.queriesByRequestID)+len(c.queriesByClient)+len(c.subqueries)+c.openWork > 0 || c.counts.Disconnected != 1 {
		t.Errorf("left: %d retrievals, %d ids, %d parts, %d held, counts %+v", len(c.queries), len(c.queriesByRequestID), len(c.subqueries), c.openWork, c.counts)
	}
}

// Replicas that are replaced, clients and ids that are new each time leave nothing behind.
func TestNothingGrowsWithWhatHasBeen(t *testing.T) {
	c := made(t)
	defer c.replicas.Stop()
	cell, sizes := 0, ""
	for n := range 3000 {
		gone := wire.Target{UID: fmt.Sprint("s-", n-1), State: wire.Removed}
		next := wire.Target{UID: fmt.Sprint("s-", n), Endpoint: "127.0.0.1:1", State: wire.Ready, Cell: &cell}
		k := newFakeClient()
		query := &wire.Query{ID: fmt.Sprint("q", n), Class: "look", Deadline: time.Second,
			Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
		c.loop.RunIteration(func() {
			endpointHandler{c}.EndpointsReceived(&wire.EndpointList{Rev: int64(n), Targets: []wire.Target{gone, next}})
			c.queryArrives(k, query, c.loop.Now())
		}, c.endIteration)
		c.loop.RunIteration(func() { c.clientDisconnected(k) }, c.endIteration)
		for c.replicas.Endpoints() > 2 { // the last ones' connections have yet to fail
			c.loop.RunIteration(c.loop.Receive(), c.endIteration)
		}
		if n%1000 == 999 {
			timers, _ := c.loop.Timers()
			now := fmt.Sprint(len(c.queries), len(c.queriesByRequestID), len(c.queriesByClient), len(c.subqueries), timers < 10, c.openWork)
			if sizes == "" {
				sizes = now
			}
			if now != sizes {
				t.Errorf("after %d: %s, before %s", n, now, sizes)
			}
		}
	}
	if c.counts.Attempts < 2000 {
		t.Errorf("only %d legs went", c.counts.Attempts)
	}
}

// A module that breaks costs what is open, and no more.
func TestBrokenModuleStartsAnew(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cell := 0
	d := deployment(t, wire.Target{UID: "s-a", Endpoint: l.Addr().String(), State: wire.Ready, Cell: &cell})
	var lines strings.Builder
	listening := make(chan string, 100)
	c, err := New(d, log.New(writer(func(b []byte) { lines.Write(b); listening <- string(b) }), "", 0))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- c.Serve(ctx) }()
	addr := ""
	for addr == "" {
		_, after, _ := strings.Cut(<-listening, "listen=")
		addr, _, _ = strings.Cut(after, " ")
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	ask := func(id string) {
		body := `{"segments":[{"segment":0,"boost":1}],"text":"x"}`
		fmt.Fprintf(conn, "POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 9\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	ask("q1")
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	c.loop.Post(func() { panic("as if") })
	status := make([]byte, 12)
	if _, err := io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 500" {
		t.Errorf("%q, %v", status, err)
	}
	conn.Close()
	stop()
	if err := <-ended; err != nil || c.counts.Panics != 1 || c.counts.Failed != 1 || !c.ready.Load() {
		t.Errorf("ended with %v, counts %+v", err, c.counts)
	}
}

type writer func([]byte)

func (w writer) Write(b []byte) (int, error) { w(b); return len(b), nil }
