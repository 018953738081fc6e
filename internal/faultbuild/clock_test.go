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

// The deadline of a request that waits to be accepted counts from the arrival of its bytes: the answer is not late, and
// replicas are sent only the time that is left.
func TestTimeWaitingForAcceptCountsTowardsDeadline(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	p, page, replica := startProgramWith(t, settings, fake.Silent, 0, 0)
	page.Set(faultbuild.AcceptFails, faultbuild.Always)
	conn := dial(t, p.Addr)
	io.WriteString(conn, strings.Replace(request("q"),
		"Req-Deadline: 5", fmt.Sprintf("Req-Deadline: %v", deadline.Seconds()), 1))
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
		if left := time.Duration(call.TimeLeftMS) * time.Millisecond; left >
			deadline-900*time.Millisecond+150*time.Millisecond {
			t.Errorf("the replica was sent %v as the time left, which ignores the wait for accept", left)
		}
	}
}

// slowStartSettings are settings that enable slow start.
var slowStartSettings = strings.Replace(settings, `"lanes":`,
	`"guarantees":{"stopSendingWithin":1000000,"answerSlack":20000,"tipMultiple":2.0,
"overloadFor":1000000,"startCapacity":0.02,"warmAfter":1000000},"lanes":`, 1)

// A replica whose start time changes between two endpoint lists has restarted between them, whatever the wall clock
// says. A wall clock that has been off by an hour since the co-ordinator started must not make such a cold replica pass
// for warm.
func TestRestartedReplicaIsColdDespiteWrongWallClock(t *testing.T) {
	for _, clockOffset := range []time.Duration{0, time.Hour, -time.Hour} {
		p, _, replica, discovery := startProgramAndDiscovery(t, slowStartSettings, fake.Succeed, clockOffset, 2*time.Hour)
		if strings.Contains(p.Log(), "is warming up") {
			t.Errorf("clock off by %v: a replica that has been up for hours is warming up", clockOffset)
		}
		discovery.Mu.Lock()
		replica.BootMS = time.Now().UnixMilli()
		discovery.Mu.Unlock()
		discovery.SetState(replica, "ready")
		for end := time.Now().Add(5 * time.Second); !strings.Contains(p.Log(), "is warming up"); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("clock off by %v: a replica that has just restarted is considered warm", clockOffset)
				break
			}
		}
	}
}

// A start time in the future means that the co-ordinator's clock is wrong. The replica is then held back no longer than
// if it had started just now.
func TestStartTimeInTheFutureCountsAsNow(t *testing.T) {
	p, _, _, _ := startProgramAndDiscovery(t, slowStartSettings, fake.Succeed, -time.Hour, 30*time.Minute)
	time.Sleep(2500 * time.Millisecond)
	for n := range 20 {
		if status := sendQuery(t, p.Addr, fmt.Sprint("q", n)); status != http.StatusOK {
			t.Errorf("query %d: status %d, want 200", n, status)
		}
	}
}

// startProgramWith starts a build of the program with fault injection. Its wall clock is off by clockOffset, and its
// one replica has been up for uptime (0: since the Unix epoch).
func startProgramWith(t *testing.T, settings string, behavior func(*fake.Replica, fake.Call),
	clockOffset, uptime time.Duration) (*fake.Program, *faultbuild.Page, *fake.Replica) {
	t.Helper()
	p, page, replica, _ := startProgramAndDiscovery(t, settings, behavior, clockOffset, uptime)
	return p, page, replica
}

// startProgramAndDiscovery does the same as startProgramWith and also returns the discovery that lists the replica.
func startProgramAndDiscovery(t *testing.T, settings string, behavior func(*fake.Replica, fake.Call),
	clockOffset, uptime time.Duration) (*fake.Program, *faultbuild.Page, *fake.Replica, *fake.Discovery) {
	t.Helper()
	module, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	executable := filepath.Join(t.TempDir(), "terntray")
	if err := faultbuild.Build(module, "./cmd/terntray", executable, nil); err != nil {
		t.Fatal(err)
	}
	page, err := faultbuild.NewPage(filepath.Join(t.TempDir(), "page"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { page.Close() })
	page.SetWallClockOffset(clockOffset)
	replica, err := fake.NewReplica("s-a", 0, behavior)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replica.Close)
	if uptime > 0 {
		replica.BootMS = time.Now().Add(-uptime).UnixMilli()
	}
	discovery, err := fake.NewDiscovery("127.0.0.1:0", replica)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discovery.Server.Close() })
	p, err := fake.Start(fake.Options{Path: executable, Settings: settings,
		Discovery: discovery.Listener.Addr().String(), Known: fake.EndpointList(1, true, discovery.Replicas),
		Env: []string{page.EnvVar()}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p, page, replica, discovery
}
