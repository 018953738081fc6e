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

// Clients that leave while their requests wait: wherever that is, nothing of it reaches a replica 0.3 s later.
const stallTime = 300 * time.Millisecond

// disconnects are ways to send a request and go: what stands behind the request, and whether the end is a reset.
var disconnects = map[string]struct {
	behind string
	reset  bool
}{
	"an end":                  {"", false},
	"a reset":                 {"", true},
	"an end behind half more": {query("look", "more", 10, 3)[:60], false},
	"an end behind requests":  {strings.Repeat(query("look", "more", 10, 3), 30), false},
	"an end behind very much": {strings.Repeat(query("look", "more", 10, 3), 2000), false},
	"a reset behind much":     {strings.Repeat("x", 150_000), true},
}

// disconnect sends what stands behind a request and leaves.
func (client *clientConn) disconnect(way string) {
	io.WriteString(client.Conn, disconnects[way].behind)
	if disconnects[way].reset {
		client.Conn.(*net.TCPConn).SetLinger(0)
	}
	client.Conn.Close()
}

// expectNothingSent checks that of what clients left nothing came, while what another asks for does.
func expectNothingSent(t *testing.T, what string, replica *fake.Replica, lives string) {
	t.Helper()
	waitFor(t, what+": the other one's part comes", func() bool { return replica.HasReceived(lives) })
	time.Sleep(20 * time.Millisecond) // for what would come beside it
	for _, part := range replica.Received() {
		if strings.HasPrefix(part.ID, "left") || strings.HasPrefix(part.ID, "more") {
			t.Errorf("%s: %s was forwarded", what, part.ID)
		}
	}
}

// whileStopped stops the program while something is done, and for a while after it.
func (program *process) whileStopped(still time.Duration, do func()) {
	program.cmd.Process.Signal(syscall.SIGSTOP)
	waitFor(program.t, "the program stands still", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", program.cmd.Process.Pid))
		return err != nil || strings.Contains(string(stat), ") T ")
	})
	do()
	time.Sleep(still)
	program.cmd.Process.Signal(syscall.SIGCONT)
}

// Requests that came during a stall, on connections old and new, and whose clients went during it.
func TestNothingIsSentForClientsThatLeftDuringAStall(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	n := 0
	for way := range disconnects {
		var old []*clientConn
		for range 10 {
			old = append(old, program.connect())
		}
		other := program.connect()
		n++
		lives := fmt.Sprint("lives", n)
		program.whileStopped(stallTime, func() {
			for i := range 20 {
				client := program.connect()
				if i < len(old) {
					client = old[i]
				}
				client.send(query("look", fmt.Sprint("left", n, "-", i), 10, 3))
				client.disconnect(way)
			}
			other.send(query("look", lives, 10, 3))
		})
		other.expect(map[int]string{3: value(replica, 3)})
		expectNothingSent(t, way, replica, lives)
	}
}

// Requests that are held for a replica's cap: what went before gets no answer until their clients have gone.
func TestNothingIsSentForClientsThatLeftWhileQueued(t *testing.T) {
	for way := range disconnects {
		replica := newReplica(t, "s-a", 0, silent)
		program, _ := startDeployment(t, strings.Replace(settings, `"maxOpen":40`, `"maxOpen":400`, 1), replica)
		for n := range 8 { // as many as the replica is sent at first
			program.connect().send(query("look", fmt.Sprint("first", n), 20, n))
		}
		waitFor(t, "the first subqueries are out", func() bool { return len(replica.Received()) == 8 })
		c, other := program.connect(), program.connect()
		c.send(query("look", "left", 20, 9))
		waitFor(t, "it is taken in", func() bool { return program.counters()["taken"] == 9 })
		c.disconnect(way)
		waitFor(t, way+": its end is noticed", func() bool { return program.counters()["left"] == 1 })
		other.send(query("look", "lives", 20, 10))
		waitFor(t, "the other is taken in", func() bool { return program.counters()["taken"] >= 10 })
		for _, part := range replica.Received() {
			succeed(replica, part)
		}
		expectNothingSent(t, way, replica, "lives")
	}
}

// Requests behind a connection that is coming up.
func TestNothingIsSentForClientsThatLeftWhileConnecting(t *testing.T) {
	for way := range disconnects {
		late := newFullListener(t)
		replica := newReplica(t, "s-a", 0, succeed)
		real := replica.Listener
		replica.Listener = late.listener // told in the list; the replica itself takes connections later
		program, _ := startDeployment(t, strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":8000000`, 1), replica)
		c, other := program.connect(), program.connect()
		c.send(query("look", "left", 20, 3))
		waitFor(t, "it waits for the connection", func() bool { return strings.Contains(program.logText(), "query_arrived=left") })
		c.disconnect(way)
		other.send(query("look", "lives", 20, 4))
		waitFor(t, "the other waits as well", func() bool { return strings.Contains(program.logText(), "query_arrived=lives") })
		waitFor(t, way+": its end is noticed", func() bool { return program.counters()["left"] == 1 })
		late.open(real.Addr().String())
		other.expect(map[int]string{4: value(replica, 4)})
		expectNothingSent(t, way, replica, "lives")
		replica.Listener = real
	}
}

// Requests behind a connection that takes nothing, be it that the replica reads on at once or only after the write has
// been given up. Far more is written there before than the machines hold for a connection.
func TestNothingIsSentForClientsThatLeftBehindAStalledWrite(t *testing.T) {
	large := make([]int, 20)
	for n := range large {
		large[n] = n
	}
	for way := range disconnects {
		for _, later := range []time.Duration{0, 2 * stallTime} {
			if later > 0 && disconnects[way].behind != "" {
				continue // two ways will do
			}
			what := fmt.Sprintf("%s, read on %v later", way, later)
			replica := newReplica(t, "s-a", 0, fake.After(3*time.Millisecond, succeed)) // no jitter of this machine stands out
			if err := replica.ShrinkBuffers(); err != nil {
				t.Fatal(err)
			}
			wide := strings.Replace(settings, `"multiplex":4`, `"multiplex":100`, 1)
			// few descriptors: all connections to the replica stand full
			program := start(t, configure(t, newDiscovery(t, "127.0.0.1:0", replica).Listener.Addr().String(), 36, wide, replica))
			first := program.connect()
			for n := range 2 * len(large) { // at most as many subqueries may be out there as have been answered, and some
				first.send(query("look", fmt.Sprint("first", n), 20, 20))
				first.expect(map[int]string{20: value(replica, 20)})
			}
			c, other := program.connect(), program.connect()
			goOn := replica.PauseReading()
			before := program.counters()
			first.send(queryOf(strings.Repeat("x", 60_000), "look", "large", 20, large...))
			waitFor(t, what+": its parts are out", func() bool { return program.counters()["legs"]-before["legs"] == len(large) })
			c.send(query("look", "left", 20, 21))
			waitFor(t, what+": it is taken in", func() bool { return program.counters()["taken"]-before["taken"] == 2 })
			c.disconnect(way)
			waitFor(t, what+": its end is noticed", func() bool { return program.counters()["left"] == 1 })
			if later == 0 {
				other.send(query("look", "lives", 20, 22))
				waitFor(t, what+": the other is taken in", func() bool { return program.counters()["taken"]-before["taken"] >= 3 })
			}
			time.Sleep(later)
			goOn()
			if later == 0 {
				other.expect(map[int]string{22: value(replica, 22)})
			}
			asked := 0
			waitFor(t, what+": the replica serves", func() bool { // it may be taken for one that cannot be reached for a while
				asked++
				other.send(query("look", fmt.Sprint("lives", asked), 20, 23))
				return other.receive().status == 200
			})
			expectNothingSent(t, what, replica, fmt.Sprint("lives", asked))
		}
	}
}

// fullListener is an address where connections do not come up until it is opened: its queue is full.
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
	d := &fullListener{t: t, listener: listener}
	t.Cleanup(func() {
		listener.Close()
		for _, c := range d.fill {
			c.Close()
		}
	})
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return d // the queue is full
		}
		if d.fill = append(d.fill, conn); len(d.fill) > 20 {
			t.Skip("this machine's queues cannot be filled")
		}
	}
}

// open has connections come up; their bytes go on to another address.
func (d *fullListener) open(to string) {
	go func() {
		for n := 0; ; n++ {
			conn, err := d.listener.Accept()
			if err != nil {
				return
			}
			if n < len(d.fill) {
				conn.Close()
				continue
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				conn.Close()
				return
			}
			go func() { io.Copy(far, conn); far.Close() }()
			go func() { io.Copy(conn, far); conn.Close() }()
		}
	}()
}
