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
	inTime = 20 * time.Second // for anything awaited: a busy machine may be slow
	asMain = "TERNTRAY_TEST_MAIN"
)

// TestMain lets the test binary stand in for the program, so that the race detector watches it too.
func TestMain(m *testing.M) {
	if os.Getenv(asMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(inTime); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// The scripted peers, ended with their test.
var fulfil, silent, reset, listing = fake.Succeed, fake.Silent, fake.ResetConnection, fake.EndpointList

func newStandin(t *testing.T, uid string, cell int, act func(*fake.Replica, fake.Call)) *fake.Replica {
	s, err := fake.NewReplica(uid, cell, act)
	if err != nil {
		t.Fatal(err)
	}
	s.OnMalformed = t.Errorf
	t.Cleanup(func() { s.Listener.Close() })
	return s
}

func newRoster(t *testing.T, at string, replicas ...*fake.Replica) *fake.Discovery {
	r, err := fake.NewDiscovery(at, replicas...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Server.Close() })
	return r
}

// settings describe a deployment of one cell, one shard a number, with three tracks.
const settings = `{"balancers":1,"bounds":{"connectTimeout":1000000,"idleClose":30000000,"maxAttempts":3,
"maxOpen":40,"mayCancel":true,"multiplex":4,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":1,"classFetch":[0,0,0],"classNeed":[1.0,1.0,1.0],
"leastShare":[1.0,1.0,0.3],"partialEarns":[0.9,0.9,0.9],"ranges":24,"span":1},
"lanes":[{"name":"look","aim":2000000,"deadline":30000000,"effect":"pure"},
{"name":"claim","aim":2000000,"deadline":30000000,"effect":"side_effect"},
{"name":"some","aim":2000000,"deadline":30000000,"effect":"pure"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west","east"]}`

// program is the co-ordinator under test.
type program struct {
	t    *testing.T
	cmd  *exec.Cmd
	addr string
	done chan struct{}
	err  error

	Mu  sync.Mutex
	log bytes.Buffer
}

func (p *program) Write(b []byte) (int, error) {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	return p.log.Write(b)
}

func (p *program) logged() string {
	p.Mu.Lock()
	defer p.Mu.Unlock()
	return p.log.String()
}

// command makes the program's command line, with the environment that it names.
func command(env []string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), asMain+"=1"), env...)
	return cmd
}

// configure writes a configuration and returns the variables that name it.
func configure(t *testing.T, discovery string, sockets int, settings string, known ...*fake.Replica) []string {
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		discovery, sockets, listing(1, true, known), settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME="}
}

// start starts the program and waits until it serves.
func start(t *testing.T, env []string, args ...string) *program {
	p := newProgram(t, env, args...)
	until(t, "GET /up", func() bool { return p.get("/up") == "200 up" })
	return p
}

// newProgram starts it and waits until it can be connected to.
func newProgram(t *testing.T, env []string, args ...string) *program {
	p := &program{t: t, cmd: command(env, append([]string{"serve", "-trace"}, args...)...), done: make(chan struct{})}
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
		if log := p.logged(); t.Failed() || strings.Contains(log, "DATA RACE") || strings.Contains(log, "event=loop_panic") || strings.Contains(log, "event=violation") {
			t.Errorf("the program's log:\n%s", log)
		}
	})
	until(t, "the program serves", func() bool {
		_, after, ok := strings.Cut(p.logged(), "listen=")
		p.addr, _, _ = strings.Cut(after, " ")
		return ok && p.addr != ""
	})
	return p
}

// deployed starts the program among replicas and discovery.
func deployed(t *testing.T, settings string, replicas ...*fake.Replica) (*program, *fake.Discovery) {
	r := newRoster(t, "127.0.0.1:0", replicas...)
	p := start(t, configure(t, r.Listener.Addr().String(), 1024, settings, replicas...))
	until(t, "a watch stands", func() bool { return r.Watches() > 0 })
	return p, r
}

func (p *program) get(path string) string {
	r, err := http.Get("http://" + p.addr + path)
	if err != nil {
		return err.Error()
	}
	defer r.Body.Close()
	body, _ := io.ReadAll(r.Body)
	return fmt.Sprint(r.StatusCode, " ", strings.TrimSpace(string(body)))
}

// counters reads what the program has counted.
func (p *program) counters() map[string]int {
	all := map[string]int{}
	for _, pair := range strings.Fields(p.get("/counters"))[1:] {
		name, n, _ := strings.Cut(pair, "=")
		all[name], _ = strconv.Atoi(n)
	}
	if sum := all["fulfilled"] + all["turned_back"] + all["scrapped"] + all["left"] + all["open"]; sum != all["taken"] {
		p.t.Errorf("taken does not add up: %v", all)
	}
	return all
}

// client is a connection to the program.
type client struct {
	t    *testing.T
	Conn net.Conn
	in   *bufio.Reader
}

func (p *program) connect() *client {
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * inTime))
	return &client{p.t, conn, bufio.NewReader(conn)}
}

// query makes a request for some shards.
func query(track, id string, within float64, shards ...int) string {
	return queryOf("of "+id, track, id, within, shards...)
}

// queryOf makes one whose parts carry a text.
func queryOf(text, track, id string, within float64, shards ...int) string {
	var segments []string
	for _, s := range shards {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%v}`, s, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":%q}`, strings.Join(segments, ","), text)
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		track, id, within, len(body), body)
}

func (c *client) send(text string) { io.WriteString(c.Conn, text) }

// answer is a response; matches holds the values by shard.
type answer struct {
	status  int
	last    bool
	body    string
	AllIn   bool `json:"all_in"`
	Matches []struct {
		Segment int
		Payload string
	}
}

func (a *answer) values() map[int]string {
	all := map[int]string{}
	for _, m := range a.Matches {
		all[m.Segment] = m.Payload
	}
	return all
}

func (c *client) receive() *answer {
	c.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Errorf("no answer: %v", err)
		return &answer{}
	}
	body, err := io.ReadAll(r.Body)
	a := &answer{status: r.StatusCode, last: r.Close, body: string(body)}
	if err != nil || r.Header.Get("Content-Type") == "application/json" && json.Unmarshal(body, a) != nil {
		c.t.Errorf("an answer of %q: %v", body, err)
	}
	return a
}

// expect checks that an answer is whole and has exactly these values.
func (c *client) expect(values map[int]string) {
	c.t.Helper()
	if a := c.receive(); a.status != http.StatusOK || !a.AllIn || !maps.Equal(a.values(), values) {
		c.t.Errorf("answer %d %s, want %v", a.status, a.body, values)
	}
}
