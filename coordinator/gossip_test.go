package coordinator

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"terntray/config"
	"terntray/internal/fake"
	"terntray/internal/wire"
	"terntray/scheduler"
)

// moved is a co-ordinator whose configuration has the settings and the installation file given.
func moved(t *testing.T, settings map[string]string, file string, targets ...wire.Target) (*Coordinator, error) {
	t.Helper()
	d := deployment(t, targets...)
	for name, value := range settings {
		d.settings[name] = value
	}
	if file != "" {
		in, err := config.Parse([]byte(file))
		if err != nil {
			t.Fatal(err)
		}
		d.Installation = in
	}
	return New(d, log.New(io.Discard, "", 0))
}

func peersFile(listen string, others ...string) string {
	text, _ := json.Marshal(map[string]any{"peers": map[string]any{"listen": listen, "others": others}})
	return string(text)
}

// until lets turns pass until something holds.
func (c *Coordinator) until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c.loop.RunIteration(func() {}, c.endIteration); holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// What one co-ordinator sends to replicas is told to the others as datagrams; what comes from elsewhere is not taken, and what
// cannot be read is counted.
func TestCoordinatorsTellEachOtherOnLoopback(t *testing.T) {
	cell := 0
	target := wire.Target{UID: "s-a", Endpoint: "127.0.0.1:1", State: wire.Ready, Cell: &cell}
	first, second, stranger := fake.FreePort("udp4"), fake.FreePort("udp4"), fake.FreePort("udp4")
	told := map[string]string{"bounds.peers": "true", "balancers": "40"}
	a, err := moved(t, told, peersFile(first, second), target)
	if err != nil {
		t.Fatal(err)
	}
	b, err := moved(t, told, peersFile(second, first), target)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []*Coordinator{a, b} {
		defer c.replicas.Stop()
		if err := c.startGossip(c.installation.Gossip); err != nil {
			t.Fatal(err)
		}
		defer c.drivers.Wait()
		defer c.gossip.close()
		c.client(t)
	}
	query := &wire.Query{ID: "q", Class: "look", Deadline: 5 * time.Second, Subqueries: []wire.Subquery{{Shard: 0, Weight: 1}}}
	a.loop.RunIteration(func() { a.queryArrives(a.client(t), query, a.loop.Now()) }, a.endIteration)
	if a.counts.Attempts != 1 {
		t.Fatalf("%d legs", a.counts.Attempts)
	}
	b.until(t, "the other hears of the leg", func() bool { return b.counts.Gossip == 1 })
	from, err := net.ResolveUDPAddr("udp4", stranger)
	if err != nil {
		t.Fatal(err)
	}
	s, err := net.ListenUDP("udp4", from)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	to := b.gossip.socket.LocalAddr().(*net.UDPAddr)
	if _, err := s.WriteToUDP([]byte("who am I"), to); err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{{}, []byte("x"), make([]byte, 2000)} {
		if _, err := a.gossip.socket.WriteToUDP(bad, to); err != nil {
			t.Fatal(err)
		}
	}
	b.until(t, "three bad messages are counted", func() bool { return b.counts.MalformedGossip == 3 })
	if b.counts.Gossip != 1 {
		t.Errorf("%d messages taken", b.counts.Gossip)
	}
}

// Messages that the settings allow but that have nowhere to go, and a second step that the protocol has not, are said in the
// log, and the module is told that there are none; the service starts, as such settings of another customer are valid.
// Without messages no socket is opened.
func TestSettingsThatCannotBeCarriedOutAreSaidAndNotUsed(t *testing.T) {
	for _, named := range []bool{false, true} {
		d := deployment(t)
		d.settings["bounds.peers"], d.settings["familyInfo.classFetch"] = "true", "0,2"
		if named {
			d.Installation, _ = config.Parse([]byte(peersFile("127.0.0.1:0", "127.0.0.1:9")))
		}
		var said strings.Builder
		c, err := New(d, log.New(writer(func(b []byte) { said.Write(b) }), "", 0))
		if err != nil {
			t.Fatalf("named %t: %v", named, err)
		}
		c.replicas.Stop()
		fetch := func(class scheduler.ClassConfig) bool { return class.FetchSubqueries != 0 }
		if c.config.Gossip != named || slices.ContainsFunc(c.config.Classes, fetch) || c.config.Coordinators != 3 {
			t.Errorf("named %t: the module is told %+v", named, c.config)
		}
		if got := strings.Contains(said.String(), `setting=bounds.peers value="true" effective="false"`); got == named {
			t.Errorf("named %t: it is said: %s", named, said.String())
		}
		if !strings.Contains(said.String(), `setting=familyInfo.classFetch value="0,2" effective="0"`) {
			t.Errorf("the second step is not said: %s", said.String())
		}
	}
	c, err := moved(t, nil, "")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.startGossip(c.installation.Gossip); err != nil || c.gossip != nil {
		t.Errorf("%v, peers %v", err, c.gossip)
	}
	c.Broadcast([]byte{1}) // goes nowhere
}

func TestInstallationThatDoesNotFitTheSettingsIsNamed(t *testing.T) {
	for file, want := range map[string]string{
		peersFile("127.0.0.1:0", "127.0.0.1:9"):              "peers.others: setting bounds.peers allows no messages",
		`{"sizes":[{"model":"slow-*","size":0.75}]}`:         `sizes: setting weightKind is "", wanted nominal or rough`,
		`{"watch":{"settings":{"lanes.count":"1"}}}`:         "watch.settings: the settings to watch tell of other tracks",
		`{"watch":{"settings":{"balancers":"many"}}}`:        "watch.settings: setting balancers: found \"many\", wanted a finite number",
		`{"watch":{"settings":{"familyInfo.cells":"1000"}}}`: "watch.settings: the settings to watch tell of other tracks or shards",
	} {
		if _, err := moved(t, nil, file); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", file, err, want)
		}
	}
}

func TestSizesOfModelsReachTheModule(t *testing.T) {
	in, err := config.Parse([]byte(`{"sizes":[{"model":"slow-*","size":1.5},{"model":"*","size":2}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if in.SizeOf("slow-2c") != 1.5 || in.SizeOf("std-2c") != 2 || (&config.Config{}).SizeOf("std-2c") != 0 {
		t.Error("a model has another's size")
	}
}

// Watching, the program decides as before: the same attempts go, and the counters tell what would have differed; 900 co-ordinators that
// are silent would have longer time-outs, as no copies may go here.
func TestWatchModeCountsAndDecidesAsBefore(t *testing.T) {
	run := func(file string) (attempts int, line string) {
		var targets []wire.Target
		for n, model := range []string{"slow", "slow", "std", "std"} {
			cell := n % 2
			targets = append(targets, wire.Target{UID: "s-" + string(rune('a'+n)), Endpoint: "127.0.0.1:1", Model: model,
				State: wire.Ready, Cell: &cell})
		}
		c, err := moved(t, nil, file, targets...)
		if err != nil {
			t.Fatal(err)
		}
		defer c.replicas.Stop()
		k := c.client(t)
		query := &wire.Query{ID: "q", Class: "look", Deadline: 5 * time.Second}
		for shard := range 4 {
			query.Subqueries = append(query.Subqueries, wire.Subquery{Shard: shard, Weight: 0.25})
		}
		c.loop.RunIteration(func() { c.queryArrives(k, query, c.loop.Now()) }, c.endIteration)
		return c.counts.Attempts, c.countersLine()
	}
	attempts, line := run("")
	same, counted := run(`{"sizes":[{"model":"slow","size":0.1}],"watch":{"settings":{"balancers":"900","weightKind":"nominal"}}}`)
	if attempts == 0 || attempts != same {
		t.Errorf("%d legs, %d while watching", attempts, same)
	}
	if strings.Contains(line, "watched") || !strings.Contains(counted, " watched=1 ") ||
		!strings.Contains(counted, " watched_legs=4 would_time_out_otherwise=4 would_not_copy=0 would_copy=0") ||
		strings.Contains(counted, "would_turn_back=0 ") && strings.Contains(counted, "would_go_elsewhere=0") {
		t.Errorf("not watching: %s\nwatching: %s", line, counted)
	}
}

var _ scheduler.Host = (*Coordinator)(nil)
