package coordinator

import (
	"encoding/json"
	"io"
	"log"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"terntray/config"
	"terntray/internal/wire"
	"terntray/scheduler"
)

// newWithInstallation returns a coordinator with some settings replaced and with an installation file, or without one
// if file is empty.
func newWithInstallation(
	t *testing.T, settings map[string]string, file string, known ...wire.Endpoint,
) (*Coordinator, error) {
	t.Helper()
	d := newDeployment(t, known...)
	maps.Copy(d.settings, settings)
	if file != "" {
		installation, err := config.Parse([]byte(file))
		if err != nil {
			t.Fatal(err)
		}
		d.Installation = installation
	}
	return New(d, log.New(io.Discard, "", 0))
}

// peersFile returns the text of an installation file that names peers.
func peersFile(listen string, peers ...string) string {
	text, _ := json.Marshal(map[string]any{"peers": map[string]any{"listen": listen, "others": peers}})
	return string(text)
}

// Settings of another deployment may allow gossip although no peers are named, and second steps, which the protocol
// does not have. They are valid, so the process starts, logs the unsupported settings and runs without them.
func TestUnsupportedSettingsAreLoggedAndNotUsed(t *testing.T) {
	for _, hasPeers := range []bool{false, true} {
		d := newDeployment(t)
		d.settings["bounds.peers"] = "true"
		d.settings["familyInfo.classFetch"] = "0,2"
		if hasPeers {
			d.Installation, _ = config.Parse([]byte(peersFile("127.0.0.1:0", "127.0.0.1:9")))
		}
		var logged strings.Builder
		c, err := New(d, log.New(&logged, "", 0))
		if err != nil {
			t.Fatalf("peers %t: %v", hasPeers, err)
		}
		c.replicas.Stop()
		hasSecondStep := func(class scheduler.ClassConfig) bool { return class.FetchSubqueries != 0 }
		if c.schedulerConfig.Gossip != hasPeers || slices.ContainsFunc(c.schedulerConfig.Classes, hasSecondStep) ||
			c.schedulerConfig.Coordinators != 3 {
			t.Errorf("peers %t: the scheduler has %+v", hasPeers, c.schedulerConfig)
		}
		if got := strings.Contains(logged.String(), `setting=bounds.peers value="true" effective="false"`); got == hasPeers {
			t.Errorf("peers %t: bounds.peers must be logged as unsupported only without peers: %s",
				hasPeers, logged.String())
		}
		if !strings.Contains(logged.String(), `setting=familyInfo.classFetch value="0,2" effective="0"`) {
			t.Errorf("the second step is not logged: %s", logged.String())
		}
	}
}

func TestWithoutPeersNoSocketIsOpened(t *testing.T) {
	c, err := newWithInstallation(t, nil, "")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.startGossip(c.installation.Gossip); err != nil || c.gossip != nil {
		t.Errorf("%v, gossip %v", err, c.gossip)
	}
	c.Broadcast([]byte{1}) // must do nothing
}

func TestInstallationConflictingWithSettingsIsRejected(t *testing.T) {
	for file, want := range map[string]string{
		peersFile("127.0.0.1:0", "127.0.0.1:9"):              "peers.others: setting bounds.peers allows no messages",
		`{"sizes":[{"model":"slow-*","size":0.75}]}`:         `sizes: setting weightKind is "", wanted nominal or rough`,
		`{"watch":{"settings":{"lanes.count":"1"}}}`:         "watch.settings: the shadow configuration has a different number of classes, cells or cells per shard",
		`{"watch":{"settings":{"balancers":"many"}}}`:        "watch.settings: setting balancers: found \"many\", wanted a finite number",
		`{"watch":{"settings":{"familyInfo.cells":"1000"}}}`: "watch.settings: the shadow configuration has a different number of classes, cells or cells per shard",
	} {
		if _, err := newWithInstallation(t, nil, file); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", file, err, want)
		}
	}
}

func TestFirstMatchingSizeApplies(t *testing.T) {
	installation, err := config.Parse([]byte(`{"sizes":[{"model":"slow-*","size":1.5},{"model":"*","size":2}]}`))
	if err != nil {
		t.Fatal(err)
	}
	slow, standard, none :=
		installation.SizeOf("slow-2c"), installation.SizeOf("std-2c"), (&config.Config{}).SizeOf("std-2c")
	if slow != 1.5 || standard != 2 || none != 0 {
		t.Errorf("sizes %v, %v, %v", slow, standard, none)
	}
}

// Shadow evaluation must not change decisions: the same attempts are sent, and the counters show what would have
// differed. With 900 co-ordinators that send no gossip, attempts would have longer timeouts, because hedges are not
// allowed in these settings.
func TestShadowEvaluationDoesNotChangeDecisions(t *testing.T) {
	run := func(file string) (attempts int, line string) {
		var replicas []wire.Endpoint
		for n, model := range []string{"slow", "slow", "std", "std"} {
			cell := n % 2
			replica := readyReplica("s-"+string(rune('a'+n)), unreachable)
			replica.Model = model
			replica.Cell = &cell
			replicas = append(replicas, replica)
		}
		c, err := newWithInstallation(t, nil, file, replicas...)
		if err != nil {
			t.Fatal(err)
		}
		defer c.replicas.Stop()
		c.receive(c.newClient(), newQuery("q", 5*time.Second, 0, 1, 2, 3), 0)
		return c.counts.Attempts, c.countersLine()
	}
	attempts, line := run("")
	same, counted := run(`{"sizes":[{"model":"slow","size":0.1}],"watch":{"settings":{"balancers":"900","weightKind":"nominal"}}}`)
	if attempts == 0 || attempts != same {
		t.Errorf("%d attempts, %d with shadow evaluation", attempts, same)
	}
	if strings.Contains(line, "watched") {
		t.Errorf("counters of shadow evaluation without it: %s", line)
	}
	for _, want := range []string{
		" watched=1 ",
		" watched_legs=4 would_time_out_otherwise=4 would_not_copy=0 would_copy=0",
	} {
		if !strings.Contains(counted, want) {
			t.Errorf("%s, want %q", counted, want)
		}
	}
	if strings.Contains(counted, "would_turn_back=0 ") && strings.Contains(counted, "would_go_elsewhere=0") {
		t.Errorf("shadow evaluation found no difference: %s", counted)
	}
}

var _ scheduler.Host = (*Coordinator)(nil)
