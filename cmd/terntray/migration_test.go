package main

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"terntray/internal/fake"
)

// The steps of docs/migration.md as an operator takes them, with the counters to check at each step, and the rollback.
func TestMigrationStepByStep(t *testing.T) {
	a, b := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
	ask := func(program *process, id string) {
		t.Helper()
		client := program.connect()
		client.send(query("look", id, 10, 3))
		if got := client.receive().values()[3]; got != value(a, 3) && got != value(b, 3) {
			t.Fatalf("%s: the value is %q", id, got)
		}
	}
	old, _ := startDeployment(t, settings, a, b)
	ask(old, "old")
	if line := old.get("/counters"); strings.Contains(line, "watched=") || strings.Contains(line, "stranger") {
		t.Errorf("step 1, the new build with the old files: counters %s", line)
	}
	watching, _ := startDeploymentWith(t, settings,
		`{"watch":{"settings":{"balancers":"130","bounds.secondCopies":"false"}}}`, 1024, a, b)
	ask(watching, "watching")
	if n := watching.counters(); n["watched"] != 1 || n["watched_legs"] < 1 || n["would_time_out_otherwise"] < 1 {
		t.Errorf("step 2: counters %v", n)
	}
	gossiping := strings.Replace(strings.Replace(settings, `"balancers":1`, `"balancers":2`, 1),
		`"bounds":{`, `"bounds":{"peers":true,`, 1)
	one, two := fake.FreePort("udp4"), fake.FreePort("udp4")
	file := func(listen, other string) string {
		return fmt.Sprintf(`{"peers":{"listen":%q,"others":[%q]}}`, listen, other)
	}
	first, _ := startDeploymentWith(t, gossiping, file(one, two), 1024, a, b)
	second, _ := startDeploymentWith(t, gossiping, file(two, one), 1024, a, b)
	ask(first, "told")
	waitFor(t, "step 4, the peer is notified of the attempt and of its end", func() bool {
		return second.counters()["peer_messages"] >= 2
	})
	stranger, err := net.Dial("udp4", two)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	if _, err := stranger.Write([]byte("who am I")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a message from an unknown address is counted", func() bool {
		return second.counters()["stranger_peer_messages"] == 1
	})
	if n := second.counters(); n["bad_peer_messages"] != 0 {
		t.Errorf("step 4: counters %v", n)
	}
	// Halfway through the rollback: with the setting but without the peers' addresses the program starts, sends no
	// messages and logs the setting as unsupported.
	half, _ := startDeploymentWith(t, gossiping, `{}`, 1024, a, b)
	ask(half, "half")
	if !strings.Contains(half.logText(),
		`event=unsupported_setting setting=bounds.peers value="true" effective="false"`) {
		t.Errorf("without peers.others: log %s", half.logText())
	}
	if line := half.get("/counters"); strings.Contains(line, "stranger") { // it has no socket for messages
		t.Errorf("without peers.others: counters %s", line)
	}
	back, _ := startDeploymentWith(t, settings, `{}`, 1024, a, b)
	ask(back, "back")
}
