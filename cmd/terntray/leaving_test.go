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
const leftFor = 300 * time.Millisecond

// goings are ways to send a request and go: what stands behind the request, and whether the end is a reset.
var goings = map[string]struct {
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

// goes sends what stands behind a request and leaves.
func (c *client) goes(way string) {
	io.WriteString(c.Conn, goings[way].behind)
	if goings[way].reset {
		c.Conn.(*net.TCPConn).SetLinger(0)
	}
	c.Conn.Close()
}

// nothingReaches checks that of what clients left nothing came, while what another asks for does.
func nothingReaches(t *testing.T, what string, a *fake.Replica, lives string) {
	t.Helper()
	until(t, what+": the other one's part comes", func() bool { return a.HasReceived(lives) })
	time.Sleep(20 * time.Millisecond) // for what would come beside it
	for _, part := range a.Received() {
		if strings.HasPrefix(part.ID, "left") || strings.HasPrefix(part.ID, "more") {
			t.Errorf("%s: %s was sent on", what, part.ID)
		}
	}
}

// stands has the program stand still while something is done, and for a while after it.
func (p *program) stands(still time.Duration, do func()) {
	p.cmd.Process.Signal(syscall.SIGSTOP)
	until(p.t, "the program stands still", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		return err != nil || strings.Contains(string(stat), ") T ")
	})
	do()
	time.Sleep(still)
	p.cmd.Process.Signal(syscall.SIGCONT)
}

// Requests that came during a standstill, on connections old and new, and whose clients went during it.
func TestClientsThatGoDuringAStandstillAreNotSentOn(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, settings, a)
	n := 0
	for way := range goings {
		var old []*client
		for range 10 {
			old = append(old, p.connect())
		}
		d := p.connect()
		n++
		lives := fmt.Sprint("lives", n)
		p.stands(leftFor, func() {
			for i := range 20 {
				c := p.connect()
				if i < len(old) {
					c = old[i]
				}
				c.send(query("look", fmt.Sprint("left", n, "-", i), 10, 3))
				c.goes(way)
			}
			d.send(query("look", lives, 10, 3))
		})
		d.expect(map[int]string{3: value(a, 3)})
		nothingReaches(t, way, a, lives)
	}
}

// Requests that are held for a replica's cap: what went before gets no answer until their clients have gone.
func TestClientsThatGoWhileTheirRequestIsHeldAreNotSentOn(t *testing.T) {
	for way := range goings {
		a := newStandin(t, "s-a", 0, silent)
		p, _ := deployed(t, strings.Replace(settings, `"maxOpen":40`, `"maxOpen":400`, 1), a)
		for n := range 8 { // as many as the replica is sent at first
			p.connect().send(query("look", fmt.Sprint("first", n), 20, n))
		}
		until(t, "the first parts are out", func() bool { return len(a.Received()) == 8 })
		c, d := p.connect(), p.connect()
		c.send(query("look", "left", 20, 9))
		until(t, "it is taken in", func() bool { return p.counters()["taken"] == 9 })
		c.goes(way)
		until(t, way+": its end is noticed", func() bool { return p.counters()["left"] == 1 })
		d.send(query("look", "lives", 20, 10))
		until(t, "the other is taken in", func() bool { return p.counters()["taken"] >= 10 })
		for _, part := range a.Received() {
			fulfil(a, part)
		}
		nothingReaches(t, way, a, "lives")
	}
}

// Requests behind a connection that is coming up.
func TestClientsThatGoWhileAConnectionComesUpAreNotSentOn(t *testing.T) {
	for way := range goings {
		late := newLateDoor(t)
		a := newStandin(t, "s-a", 0, fulfil)
		real := a.Listener
		a.Listener = late.listener // told in the list; the replica itself takes connections later
		p, _ := deployed(t, strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":8000000`, 1), a)
		c, d := p.connect(), p.connect()
		c.send(query("look", "left", 20, 3))
		until(t, "it waits for the connection", func() bool { return strings.Contains(p.logged(), "query_arrived=left") })
		c.goes(way)
		d.send(query("look", "lives", 20, 4))
		until(t, "the other waits as well", func() bool { return strings.Contains(p.logged(), "query_arrived=lives") })
		until(t, way+": its end is noticed", func() bool { return p.counters()["left"] == 1 })
		late.open(real.Addr().String())
		d.expect(map[int]string{4: value(a, 4)})
		nothingReaches(t, way, a, "lives")
		a.Listener = real
	}
}

// Requests behind a connection that takes nothing, be it that the replica reads on at once or only after the write has
// been given up. Far more is written there before than the machines hold for a connection.
func TestClientsThatGoBehindAConnectionThatTakesNothingAreNotSentOn(t *testing.T) {
	large := make([]int, 20)
	for n := range large {
		large[n] = n
	}
	for way := range goings {
		for _, later := range []time.Duration{0, 2 * leftFor} {
			if later > 0 && goings[way].behind != "" {
				continue // two ways will do
			}
			what := fmt.Sprintf("%s, read on %v later", way, later)
			a := newStandin(t, "s-a", 0, fake.After(3*time.Millisecond, fulfil)) // no jitter of this machine stands out
			if err := a.ShrinkBuffers(); err != nil {
				t.Fatal(err)
			}
			wide := strings.Replace(settings, `"multiplex":4`, `"multiplex":100`, 1)
			// few descriptors: all connections to the replica stand full
			p := start(t, configure(t, newRoster(t, "127.0.0.1:0", a).Listener.Addr().String(), 36, wide, a))
			first := p.connect()
			for n := range 2 * len(large) { // at most as many parts may be out there as have been answered, and some
				first.send(query("look", fmt.Sprint("first", n), 20, 20))
				first.expect(map[int]string{20: value(a, 20)})
			}
			c, d := p.connect(), p.connect()
			goOn := a.PauseReading()
			before := p.counters()
			first.send(queryOf(strings.Repeat("x", 60_000), "look", "large", 20, large...))
			until(t, what+": its parts are out", func() bool { return p.counters()["legs"]-before["legs"] == len(large) })
			c.send(query("look", "left", 20, 21))
			until(t, what+": it is taken in", func() bool { return p.counters()["taken"]-before["taken"] == 2 })
			c.goes(way)
			until(t, what+": its end is noticed", func() bool { return p.counters()["left"] == 1 })
			if later == 0 {
				d.send(query("look", "lives", 20, 22))
				until(t, what+": the other is taken in", func() bool { return p.counters()["taken"]-before["taken"] >= 3 })
			}
			time.Sleep(later)
			goOn()
			if later == 0 {
				d.expect(map[int]string{22: value(a, 22)})
			}
			asked := 0
			until(t, what+": the replica serves", func() bool { // it may be taken for one that cannot be reached for a while
				asked++
				d.send(query("look", fmt.Sprint("lives", asked), 20, 23))
				return d.receive().status == 200
			})
			nothingReaches(t, what, a, fmt.Sprint("lives", asked))
		}
	}
}

// lateDoor is an address where connections do not come up until it is opened: its queue is full.
type lateDoor struct {
	t        *testing.T
	listener net.Listener
	fill     []net.Conn
}

func newLateDoor(t *testing.T) *lateDoor {
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
	l, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	d := &lateDoor{t: t, listener: l}
	t.Cleanup(func() {
		l.Close()
		for _, c := range d.fill {
			c.Close()
		}
	})
	for {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return d // the queue is full
		}
		if d.fill = append(d.fill, conn); len(d.fill) > 20 {
			t.Skip("this machine's queues cannot be filled")
		}
	}
}

// open has connections come up; their bytes go on to another address.
func (d *lateDoor) open(to string) {
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
