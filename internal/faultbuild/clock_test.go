package faultbuild_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"terntray/internal/fake"
	"terntray/internal/faultbuild"
)

// A request that waited for accept has been waiting since its bytes came: its answer is due then, and replicas are told no
// more than is left.
func TestRequestThatWaitedForAcceptKeepsItsDeadline(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	p, page, replica := startedWith(t, settings, fake.Silent, 0, 0)
	page.Set(faultbuild.AcceptFails, faultbuild.Always)
	conn := dialed(t, p.Addr)
	io.WriteString(conn, strings.Replace(request("q"), "Req-Deadline: 5", fmt.Sprintf("Req-Deadline: %v", deadline.Seconds()), 1))
	sent := time.Now()
	time.Sleep(900 * time.Millisecond)
	page.Set(faultbuild.AcceptFails, 0)
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Fatal(err)
	}
	if late := time.Since(sent) - deadline; late > 200*time.Millisecond {
		t.Errorf("answered %v after its deadline", late)
	}
	for _, call := range replica.Received() {
		if told := time.Duration(call.TimeLeftMS) * time.Millisecond; told > deadline-900*time.Millisecond+150*time.Millisecond {
			t.Errorf("the replica was told %v", told)
		}
	}
}

// slow are settings with a slow start.
var slow = strings.Replace(settings, `"lanes":`, `"guarantees":{"stopSendingWithin":1000000,"answerSlack":20000,"tipMultiple":2.0,
"overloadFor":1000000,"startCapacity":0.02,"warmAfter":1000000},"lanes":`, 1)

// What is known without any clock: a replica whose start changes between two lists started between them. A wall clock that
// is off by an hour since this process' start makes no cold replica warm.
func TestReplicaThatRestartsIsColdWhateverTheWallClockSays(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		p, _, replica, roster := startedStepped(t, slow, fake.Succeed, step, 2*time.Hour)
		if strings.Contains(p.Log(), "is warming up") {
			t.Errorf("clock off by %v: a replica that has been up for hours is warming up", step)
		}
		roster.Mu.Lock()
		replica.BootMS = time.Now().UnixMilli()
		roster.Mu.Unlock()
		roster.SetState(replica, "ready")
		for end := time.Now().Add(5 * time.Second); !strings.Contains(p.Log(), "is warming up"); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("clock off by %v: a replica that has just restarted passes for warm", step)
				break
			}
		}
	}
}

// A start that lies in the future by the own clock says that the clock is off; it holds the replica back no longer than a
// start of just now would.
func TestStartInTheFutureIsNoLongerColdThanOneOfNow(t *testing.T) {
	p, _, _, _ := startedStepped(t, slow, fake.Succeed, -time.Hour, 30*time.Minute)
	time.Sleep(2500 * time.Millisecond)
	for n := range 20 {
		if status := asked(t, p.Addr, fmt.Sprint("q", n)); status != http.StatusOK {
			t.Errorf("query %d: answered %d", n, status)
		}
	}
}

// startedWith starts the program with faults, with a wall clock that is off, among one replica that has been up for a time
// (0: for ever).
func startedWith(t *testing.T, settings string, act func(*fake.Replica, fake.Call), step, up time.Duration) (*fake.Program, *faultbuild.Page, *fake.Replica) {
	t.Helper()
	p, page, replica, _ := startedStepped(t, settings, act, step, up)
	return p, page, replica
}

func startedStepped(t *testing.T, settings string, act func(*fake.Replica, fake.Call), step, up time.Duration) (*fake.Program, *faultbuild.Page, *fake.Replica, *fake.Discovery) {
	t.Helper()
	module, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	built := filepath.Join(t.TempDir(), "terntray")
	if err := faultbuild.Build(module, "./cmd/terntray", built, nil); err != nil {
		t.Fatal(err)
	}
	page, err := faultbuild.NewPage(filepath.Join(t.TempDir(), "page"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { page.Close() })
	page.SetWallClockOffset(step)
	replica, err := fake.NewReplica("s-a", 0, act)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replica.Close)
	if up > 0 {
		replica.BootMS = time.Now().Add(-up).UnixMilli()
	}
	roster, err := fake.NewDiscovery("127.0.0.1:0", replica)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { roster.Server.Close() })
	p, err := fake.Start(fake.Options{Path: built, Settings: settings, Discovery: roster.Listener.Addr().String(),
		Known: fake.EndpointList(1, true, roster.Replicas), Env: []string{page.EnvVar()}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p, page, replica, roster
}
