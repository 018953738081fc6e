package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"terntray/internal/fake"
)

func TestDrainFromWatchUpdateIsApplied(t *testing.T) {
	a, b := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
	program, discovery := startDeployment(t, settings, a, b)
	discovery.SetState(a, "draining")
	waitFor(t, "the change is applied", func() bool { return strings.Contains(program.logText(), "rev=6 ") })
	client := program.connect()
	for n := range 6 {
		client.send(query("look", fmt.Sprint("q", n), 10, n))
		client.expect(map[int]string{n: value(b, n)})
	}
	if len(a.Received()) > 0 {
		t.Error("subqueries were sent to a draining replica")
	}
	discovery.SetState(b, "gone")
	discovery.SetState(a, "ready")
	waitFor(t, "the next change is applied", func() bool { return strings.Contains(program.logText(), "rev=8 ") })
	client.send(query("look", "r", 10, 1))
	client.expect(map[int]string{1: value(a, 1)})
}

func TestReplicaIsReachedAtItsNewAddress(t *testing.T) {
	a, moved := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-a", 0, succeed)
	program, discovery := startDeployment(t, settings, a)
	client := program.connect()
	client.send(query("look", "q1", 10, 1))
	client.expect(map[int]string{1: value(a, 1)})
	discovery.Mu.Lock()
	discovery.Replicas = []*fake.Replica{moved}
	discovery.Mu.Unlock()
	discovery.SetState(moved, "ready")
	waitFor(t, "the change is applied", func() bool { return strings.Contains(program.logText(), "rev=6 ") })
	client.send(query("look", "q2", 10, 2))
	client.expect(map[int]string{2: value(moved, 2)})
	if len(a.Received()) != 1 || len(moved.Received()) != 1 {
		t.Errorf("%d subqueries at the old address, %d at the new one", len(a.Received()), len(moved.Received()))
	}
}

// After discovery disconnects, the list is requested again, and a list with a lower revision is accepted, whether
// discovery sends changes by itself or on request.
func TestDiscoveryRestartIsFollowed(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		a, b := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
		program, discovery := startDeployment(t, strings.Replace(settings, `"automatic"`, strconv.Quote(mode), 1), a)
		address := discovery.Listener.Addr().String()
		discovery.Server.Close()
		waitFor(t, "the failure is noticed", func() bool { return program.counters()["list_failures"] > 0 })
		again := newDiscovery(t, address, b)
		again.Mu.Lock()
		again.Revision = 2
		again.Mu.Unlock()
		waitFor(t, "a watch is open again", func() bool { return again.Watches() > 0 })
		client := program.connect()
		client.send(query("look", "q1", 10, 3))
		client.expect(map[int]string{3: value(b, 3)})
	}
}

// SIGHUP switches discovery to the address in the platform file, whatever the environment named at the start. An
// unusable file changes nothing and is read again, without another SIGHUP. Client connections stay open.
func TestReloadSwitchesToTheNewDiscoveryAddress(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		a, b := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
		old, next := newDiscovery(t, "127.0.0.1:0", a), newDiscovery(t, "127.0.0.1:0", b)
		next.Revision = 2
		changed := strings.Replace(settings, `"automatic"`, strconv.Quote(mode), 1)
		env := configure(t, old.Listener.Addr().String(), 1024, changed, a)
		program := start(t, append(env, "ROUTER_DISCOVERY="+old.Listener.Addr().String()))
		waitFor(t, "a watch is open", func() bool { return old.Watches() > 0 })
		client := program.connect()
		client.send(query("look", "q1", 10, 3))
		client.expect(map[int]string{3: value(a, 3)})
		file := strings.TrimPrefix(env[0], "ROUTER_CONFIG=")
		valid, _ := os.ReadFile(file)
		os.WriteFile(file, valid[:len(valid)/2], 0o600)
		program.cmd.Process.Signal(syscall.SIGHUP)
		waitFor(t, "the bad file is reported", func() bool {
			return strings.Contains(program.logText(), "event=reload_failed")
		})
		client.send(query("look", "q2", 10, 3))
		client.expect(map[int]string{3: value(a, 3)})
		moved := strings.Replace(string(valid), old.Listener.Addr().String(), next.Listener.Addr().String(), 1)
		os.WriteFile(file, []byte(moved), 0o600)
		waitFor(t, "the watch has moved", func() bool { return next.Watches() > 0 })
		old.Server.Close()
		for n := range 3 { // an unchanged address does not restart the watch
			program.cmd.Process.Signal(syscall.SIGHUP)
			waitFor(t, "the file is read again", func() bool { return program.counters()["reloads"] == n+2 })
		}
		client.send(query("look", "q3", 10, 3))
		client.expect(map[int]string{3: value(b, 3)})
		if counters := program.counters(); counters["list_failures"] > 0 || next.Watches() != 1 {
			t.Errorf("counters %v, %d watches", counters, next.Watches())
		}
	}
}
