package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"terntray/internal/fake"
)

const (
	awaitTimeout = 20 * time.Second // for any awaited condition; a busy machine may be slow
	mainVariable = "TERNTRAY_TEST_MAIN"
)

// TestMain lets the test binary run as the program, so that the race detector covers the program too.
func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", condition)
		}
	}
}

// Short names for helpers of package fake.
var succeed, silent, reset, endpointList = fake.Succeed, fake.Silent, fake.ResetConnection, fake.EndpointList

func newReplica(t *testing.T, uid string, cell int, act func(*fake.Replica, fake.Call)) *fake.Replica {
	replica, err := fake.NewReplica(uid, cell, act)
	if err != nil {
		t.Fatal(err)
	}
	replica.OnMalformed = t.Errorf
	t.Cleanup(func() { replica.Listener.Close() })
	return replica
}

func newDiscovery(t *testing.T, address string, replicas ...*fake.Replica) *fake.Discovery {
	discovery, err := fake.NewDiscovery(address, replicas...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discovery.Server.Close() })
	return discovery
}

// settings describe a deployment of one cell and 24 shards, with three classes.
const settings = `{"balancers":1,"bounds":{"connectTimeout":1000000,"idleClose":30000000,"maxAttempts":3,
"maxOpen":40,"mayCancel":true,"multiplex":4,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":1,"classFetch":[0,0,0],"classNeed":[1.0,1.0,1.0],
"leastShare":[1.0,1.0,0.3],"partialEarns":[0.9,0.9,0.9],"ranges":24,"span":1},
"lanes":[{"name":"look","aim":2000000,"deadline":30000000,"effect":"pure"},
{"name":"claim","aim":2000000,"deadline":30000000,"effect":"side_effect"},
{"name":"some","aim":2000000,"deadline":30000000,"effect":"pure"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west","east"]}`

// process is a running co-ordinator under test.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	addr string
	done chan struct{}
	err  error

	Mu  sync.Mutex
	log bytes.Buffer
}

func (program *process) Write(b []byte) (int, error) {
	program.Mu.Lock()
	defer program.Mu.Unlock()
	return program.log.Write(b)
}

func (program *process) logText() string {
	program.Mu.Lock()
	defer program.Mu.Unlock()
	return program.log.String()
}

// command returns a command that runs the program with additional environment variables.
func command(env []string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), mainVariable+"=1"), env...)
	return cmd
}

// configure writes a platform file and returns the environment variables for it.
func configure(t *testing.T, discovery string, sockets int, settings string, known ...*fake.Replica) []string {
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		discovery, sockets, endpointList(1, true, known), settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME="}
}

// start starts the program and waits until it is ready.
func start(t *testing.T, env []string, args ...string) *process {
	program := startListening(t, env, args...)
	waitFor(t, "GET /up", func() bool { return program.get("/up") == "200 up" })
	return program
}

// startListening starts the program and waits until it listens.
func startListening(t *testing.T, env []string, args ...string) *process {
	p := &process{t: t, cmd: command(env, append([]string{"serve", "-trace"}, args...)...), done: make(chan struct{})}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.done
		if log := p.logText(); t.Failed() || strings.Contains(log, "DATA RACE") ||
			strings.Contains(log, "event=loop_panic") || strings.Contains(log, "event=violation") {
			t.Errorf("the program's log:\n%s", log)
		}
	})
	waitFor(t, "the program listens", func() bool {
		_, after, ok := strings.Cut(p.logText(), "listen=")
		p.addr, _, _ = strings.Cut(after, " ")
		return ok && p.addr != ""
	})
	return p
}

// startDeployment starts the program with discovery and replicas.
func startDeployment(t *testing.T, settings string, replicas ...*fake.Replica) (*process, *fake.Discovery) {
	discovery := newDiscovery(t, "127.0.0.1:0", replicas...)
	program := start(t, configure(t, discovery.Listener.Addr().String(), 1024, settings, replicas...))
	waitFor(t, "a watch is open", func() bool { return discovery.Watches() > 0 })
	return program, discovery
}

func (program *process) get(path string) string {
	r, err := http.Get("http://" + program.addr + path)
	if err != nil {
		return err.Error()
	}
	defer r.Body.Close()
	body, _ := io.ReadAll(r.Body)
	return fmt.Sprint(r.StatusCode, " ", strings.TrimSpace(string(body)))
}

// counters reads the program's counters and checks that the outcomes of queries add up.
func (program *process) counters() map[string]int {
	all := map[string]int{}
	for _, pair := range strings.Fields(program.get("/counters"))[1:] {
		name, n, _ := strings.Cut(pair, "=")
		all[name], _ = strconv.Atoi(n)
	}
	if sum := all["fulfilled"] + all["turned_back"] + all["scrapped"] + all["left"] + all["open"]; sum != all["taken"] {
		program.t.Errorf("the outcomes of queries do not add up to taken: %v", all)
	}
	return all
}

// clientConn is a connection to the program.
type clientConn struct {
	t      *testing.T
	Conn   net.Conn
	reader *bufio.Reader
}

func (program *process) connect() *clientConn {
	conn, err := net.Dial("tcp", program.addr)
	if err != nil {
		program.t.Fatal(err)
	}
	program.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * awaitTimeout))
	return &clientConn{program.t, conn, bufio.NewReader(conn)}
}

// query returns a request for some shards, with a deadline in seconds.
func query(class, id string, deadline float64, shards ...int) string {
	return queryWithText("of "+id, class, id, deadline, shards...)
}

// queryWithText returns a request whose subqueries have the given text.
func queryWithText(text, class, id string, deadline float64, shards ...int) string {
	var segments []string
	for _, shard := range shards {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%v}`, shard, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":%q}`, strings.Join(segments, ","), text)
	return fmt.Sprintf(
		"POST /%s HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		class, id, deadline, len(body), body)
}

func (client *clientConn) send(text string) { io.WriteString(client.Conn, text) }

// response is the program's response to a request.
type response struct {
	status  int
	last    bool // the program closes the connection after it
	body    string
	AllIn   bool `json:"all_in"`
	Matches []struct {
		Segment int
		Payload string
	}
}

func (a *response) values() map[int]string {
	all := map[int]string{}
	for _, m := range a.Matches {
		all[m.Segment] = m.Payload
	}
	return all
}

func (client *clientConn) receive() *response {
	client.t.Helper()
	r, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		client.t.Errorf("no response: %v", err)
		return &response{}
	}
	body, err := io.ReadAll(r.Body)
	a := &response{status: r.StatusCode, last: r.Close, body: string(body)}
	if err != nil || r.Header.Get("Content-Type") == "application/json" && json.Unmarshal(body, a) != nil {
		client.t.Errorf("unusable response body %q: %v", body, err)
	}
	return a
}

// expect checks that the next response is complete and has exactly the given values by shard.
func (client *clientConn) expect(values map[int]string) {
	client.t.Helper()
	if a := client.receive(); a.status != http.StatusOK || !a.AllIn || !maps.Equal(a.values(), values) {
		client.t.Errorf("status %d %s, want %v", a.status, a.body, values)
	}
}
