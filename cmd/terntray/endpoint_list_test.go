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
	program, r := startDeployment(t, settings, a, b)
	r.SetState(a, "draining")
	waitFor(t, "the change is told", func() bool { return strings.Contains(program.logText(), "rev=6 ") })
	client := program.connect()
	for n := range 6 {
		client.send(query("look", fmt.Sprint("q", n), 10, n))
		client.expect(map[int]string{n: value(b, n)})
	}
	if len(a.Received()) > 0 {
		t.Error("subqueries were sent to a draining replica")
	}
	r.SetState(b, "gone")
	r.SetState(a, "ready")
	waitFor(t, "the next change is told", func() bool { return strings.Contains(program.logText(), "rev=8 ") })
	client.send(query("look", "r", 10, 1))
	client.expect(map[int]string{1: value(a, 1)})
}

func TestReplicaIsReachedAtItsNewAddress(t *testing.T) {
	a, moved := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-a", 0, succeed)
	program, r := startDeployment(t, settings, a)
	client := program.connect()
	client.send(query("look", "q1", 10, 1))
	client.expect(map[int]string{1: value(a, 1)})
	r.Mu.Lock()
	r.Replicas = []*fake.Replica{moved}
	r.Mu.Unlock()
	r.SetState(moved, "ready")
	waitFor(t, "the change is told", func() bool { return strings.Contains(program.logText(), "rev=6 ") })
	client.send(query("look", "q2", 10, 2))
	client.expect(map[int]string{2: value(moved, 2)})
	if len(a.Received()) != 1 || len(moved.Received()) != 1 {
		t.Errorf("%d subqueries at the old address, %d at the new one", len(a.Received()), len(moved.Received()))
	}
}

// Discovery that breaks off is asked again, and a list that begins anew at a lower revision is taken, whether
// changes come unasked or to those who ask.
func TestDiscoveryRestartIsFollowed(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		a, b := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
		program, r := startDeployment(t, strings.Replace(settings, `"automatic"`, strconv.Quote(mode), 1), a)
		at := r.Listener.Addr().String()
		r.Server.Close()
		waitFor(t, "the failure is noticed", func() bool { return program.counters()["list_failures"] > 0 })
		again := newDiscovery(t, at, b)
		again.Mu.Lock()
		again.Revision = 2
		again.Mu.Unlock()
		waitFor(t, "a watch stands again", func() bool { return again.Watches() > 0 })
		client := program.connect()
		client.send(query("look", "q1", 10, 3))
		client.expect(map[int]string{3: value(b, 3)})
	}
}

// SIGHUP moves the list to the address that the file then names, whatever the environment said at the start. A file
// that cannot be used changes nothing and is read again; nobody's connection is touched.
func TestReloadSwitchesToTheNewDiscoveryAddress(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		a, b := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
		old, next := newDiscovery(t, "127.0.0.1:0", a), newDiscovery(t, "127.0.0.1:0", b)
		next.Revision = 2
		set := strings.Replace(settings, `"automatic"`, strconv.Quote(mode), 1)
		env := configure(t, old.Listener.Addr().String(), 1024, set, a)
		program := start(t, append(env, "ROUTER_DISCOVERY="+old.Listener.Addr().String()))
		waitFor(t, "a watch stands", func() bool { return old.Watches() > 0 })
		client := program.connect()
		client.send(query("look", "q1", 10, 3))
		client.expect(map[int]string{3: value(a, 3)})
		file := strings.TrimPrefix(env[0], "ROUTER_CONFIG=")
		sound, _ := os.ReadFile(file)
		os.WriteFile(file, sound[:len(sound)/2], 0o600)
		program.cmd.Process.Signal(syscall.SIGHUP)
		waitFor(t, "the file is found bad", func() bool { return strings.Contains(program.logText(), "event=reload_failed") })
		client.send(query("look", "q2", 10, 3))
		client.expect(map[int]string{3: value(a, 3)})
		moved := strings.Replace(string(sound), old.Listener.Addr().String(), next.Listener.Addr().String(), 1)
		os.WriteFile(file, []byte(moved), 0o600)
		waitFor(t, "the watch has moved", func() bool { return next.Watches() > 0 })
		old.Server.Close()
		for n := range 3 { // with the same address no watch begins anew
			program.cmd.Process.Signal(syscall.SIGHUP)
			waitFor(t, "it is read again", func() bool { return program.counters()["reloads"] == n+2 })
		}
		client.send(query("look", "q3", 10, 3))
		client.expect(map[int]string{3: value(b, 3)})
		if counters := program.counters(); counters["list_failures"] > 0 || next.Watches() != 1 {
			t.Errorf("counters %v, %d watches", counters, next.Watches())
		}
	}
}
