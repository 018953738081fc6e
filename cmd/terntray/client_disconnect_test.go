package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"terntray/internal/fake"
)

// stallTime is how long requests are held up after their clients have disconnected. No attempt may be sent 0.3 s after
// its client has disconnected, wherever its request waits.
const stallTime = 300 * time.Millisecond

// disconnects are ways for a client to disconnect: what it sends after its request, and whether it resets the
// connection.
var disconnects = map[string]struct {
	trailing string
	reset    bool
}{
	"close":                             {"", false},
	"reset":                             {"", true},
	"close after half a request":        {query("look", "more", 10, 3)[:60], false},
	"close after more requests":         {strings.Repeat(query("look", "more", 10, 3), 30), false},
	"close after a great many requests": {strings.Repeat(query("look", "more", 10, 3), 2000), false},
	"reset after much data":             {strings.Repeat("x", 150_000), true},
}

// disconnect sends the trailing bytes and disconnects.
func (client *clientConn) disconnect(way string) {
	io.WriteString(client.Conn, disconnects[way].trailing)
	if disconnects[way].reset {
		client.Conn.(*net.TCPConn).SetLinger(0)
	}
	client.Conn.Close()
}

// expectNothingSent checks that a replica received the connected client's subquery and none of the clients that
// disconnected.
func expectNothingSent(t *testing.T, scenario string, replica *fake.Replica, connectedID string) {
	t.Helper()
	waitFor(t, scenario+": the connected client's subquery arrives", func() bool {
		return replica.HasReceived(connectedID)
	})
	time.Sleep(20 * time.Millisecond) // for others to arrive
	for _, call := range replica.Received() {
		if strings.HasPrefix(call.ID, "left") || strings.HasPrefix(call.ID, "more") {
			t.Errorf("%s: %s was forwarded", scenario, call.ID)
		}
	}
}

// whileStopped calls do while the program is stopped, and resumes the program some time after it.
func (program *process) whileStopped(resumeAfter time.Duration, do func()) {
	program.cmd.Process.Signal(syscall.SIGSTOP)
	waitFor(program.t, "the program is stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", program.cmd.Process.Pid))
		return err != nil || strings.Contains(string(stat), ") T ")
	})
	do()
	time.Sleep(resumeAfter)
	program.cmd.Process.Signal(syscall.SIGCONT)
}

// During a stall, requests arrive on old and new connections and their clients disconnect.
func TestNothingIsSentForClientsThatLeftDuringAStall(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	round := 0
	for way := range disconnects {
		var old []*clientConn
		for range 10 {
			old = append(old, program.connect())
		}
		other := program.connect()
		round++
		connectedID := fmt.Sprint("connected", round)
		program.whileStopped(stallTime, func() {
			for i := range 20 {
				client := program.connect()
				if i < len(old) {
					client = old[i]
				}
				client.send(query("look", fmt.Sprint("left", round, "-", i), 10, 3))
				client.disconnect(way)
			}
			other.send(query("look", connectedID, 10, 3))
		})
		other.expect(map[int]string{3: value(replica, 3)})
		expectNothingSent(t, way, replica, connectedID)
	}
}

// Requests wait for a replica's concurrency limit, which earlier ones fill, until their clients have disconnected.
func TestNothingIsSentForClientsThatLeftWhileQueued(t *testing.T) {
	for way := range disconnects {
		replica := newReplica(t, "s-a", 0, silent)
		program, _ := startDeployment(t, strings.Replace(settings, `"maxOpen":40`, `"maxOpen":400`, 1), replica)
		for n := range 8 { // the initial concurrency limit
			program.connect().send(query("look", fmt.Sprint("first", n), 20, n))
		}
		waitFor(t, "the first subqueries arrive", func() bool { return len(replica.Received()) == 8 })
		c, other := program.connect(), program.connect()
		c.send(query("look", "left", 20, 9))
		waitFor(t, "the request is accepted", func() bool { return program.counters()["taken"] == 9 })
		c.disconnect(way)
		waitFor(t, way+": the disconnect is noticed", func() bool { return program.counters()["left"] == 1 })
		other.send(query("look", "connected", 20, 10))
		waitFor(t, "the other request is accepted", func() bool { return program.counters()["taken"] >= 10 })
		for _, call := range replica.Received() {
			succeed(replica, call)
		}
		expectNothingSent(t, way, replica, "connected")
	}
}

// Requests wait for a connection to come up.
func TestNothingIsSentForClientsThatLeftWhileConnecting(t *testing.T) {
	for way := range disconnects {
		full := newFullListener(t)
		replica := newReplica(t, "s-a", 0, succeed)
		real := replica.Listener
		replica.Listener = full.listener // its address is in the list; the replica itself listens elsewhere
		program, _ := startDeployment(t,
			strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":8000000`, 1), replica)
		c, other := program.connect(), program.connect()
		c.send(query("look", "left", 20, 3))
		waitFor(t, "the request waits for the connection", func() bool {
			return strings.Contains(program.logText(), "query_arrived=left")
		})
		c.disconnect(way)
		other.send(query("look", "connected", 20, 4))
		waitFor(t, "the other request waits too", func() bool {
			return strings.Contains(program.logText(), "query_arrived=connected")
		})
		waitFor(t, way+": the disconnect is noticed", func() bool { return program.counters()["left"] == 1 })
		full.open(real.Addr().String())
		other.expect(map[int]string{4: value(replica, 4)})
		expectNothingSent(t, way, replica, "connected")
		replica.Listener = real
	}
}

// Requests wait behind a blocked write, which is far larger than the socket buffers. The replica resumes reading at
// once, or only after the write has timed out.
func TestNothingIsSentForClientsThatLeftBehindAStalledWrite(t *testing.T) {
	large := make([]int, 20)
	for n := range large {
		large[n] = n
	}
	for way := range disconnects {
		for _, resumeDelay := range []time.Duration{0, 2 * stallTime} {
			if resumeDelay > 0 && disconnects[way].trailing != "" {
				continue // two ways are enough here
			}
			scenario := fmt.Sprintf("%s, reading resumed after %v", way, resumeDelay)
			// replies take 3 ms, so that jitter of the machine running the test is small in comparison
			replica := newReplica(t, "s-a", 0, fake.After(3*time.Millisecond, succeed))
			if err := replica.ShrinkBuffers(); err != nil {
				t.Fatal(err)
			}
			manyPerConn := strings.Replace(settings, `"multiplex":4`, `"multiplex":100`, 1)
			// few descriptors, so that all connections to the replica are blocked
			program := start(t, configure(
				t, newDiscovery(t, "127.0.0.1:0", replica).Listener.Addr().String(), 36, manyPerConn, replica))
			first := program.connect()
			for n := range 2 * len(large) { // the concurrency limit grows with the replies
				first.send(query("look", fmt.Sprint("first", n), 20, 20))
				first.expect(map[int]string{20: value(replica, 20)})
			}
			c, other := program.connect(), program.connect()
			resume := replica.PauseReading()
			before := program.counters()
			first.send(queryWithText(strings.Repeat("x", 60_000), "look", "large", 20, large...))
			waitFor(t, scenario+": its subqueries are sent", func() bool {
				return program.counters()["legs"]-before["legs"] == len(large)
			})
			c.send(query("look", "left", 20, 21))
			waitFor(t, scenario+": the request is accepted", func() bool {
				return program.counters()["taken"]-before["taken"] == 2
			})
			c.disconnect(way)
			waitFor(t, scenario+": the disconnect is noticed", func() bool { return program.counters()["left"] == 1 })
			if resumeDelay == 0 {
				other.send(query("look", "connected", 20, 22))
				waitFor(t, scenario+": the other request is accepted", func() bool {
					return program.counters()["taken"]-before["taken"] >= 3
				})
			}
			time.Sleep(resumeDelay)
			resume()
			if resumeDelay == 0 {
				other.expect(map[int]string{22: value(replica, 22)})
			}
			asked := 0
			waitFor(t, scenario+": the replica serves", func() bool { // it may be considered unreachable for a while
				asked++
				other.send(query("look", fmt.Sprint("connected", asked), 20, 23))
				return other.receive().status == 200
			})
			expectNothingSent(t, scenario, replica, fmt.Sprint("connected", asked))
		}
	}
}

// fullListener is a listener whose backlog is full, so that connections do not come up until it is opened.
type fullListener struct {
	t        *testing.T
	listener net.Listener
	fill     []net.Conn
}

func newFullListener(t *testing.T) *fullListener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "")
	listener, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	full := &fullListener{t: t, listener: listener}
	t.Cleanup(func() {
		listener.Close()
		for _, c := range full.fill {
			c.Close()
		}
	})
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return full // the backlog is full
		}
		if full.fill = append(full.fill, conn); len(full.fill) > 20 {
			t.Skip("the listen backlog cannot be filled on this system")
		}
	}
}

// open accepts connections and forwards them to another address.
func (full *fullListener) open(address string) {
	go func() {
		for n := 0; ; n++ {
			conn, err := full.listener.Accept()
			if err != nil {
				return
			}
			if n < len(full.fill) {
				conn.Close()
				continue
			}
			target, err := net.Dial("tcp", address)
			if err != nil {
				conn.Close()
				return
			}
			go func() { io.Copy(target, conn); target.Close() }()
			go func() { io.Copy(conn, target); conn.Close() }()
		}
	}()
}
