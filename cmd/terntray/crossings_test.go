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

	"terntray/internal/standin"
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
func nothingReaches(t *testing.T, what string, a *standin.Replica, lives string) {
	t.Helper()
	until(t, what+": the other one's part comes", func() bool { return a.Saw(lives) })
	time.Sleep(20 * time.Millisecond) // for what would come beside it
	for _, part := range a.Seen() {
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
		until(t, "the first parts are out", func() bool { return len(a.Seen()) == 8 })
		c, d := p.connect(), p.connect()
		c.send(query("look", "left", 20, 9))
		until(t, "it is taken in", func() bool { return p.counters()["taken"] == 9 })
		c.goes(way)
		until(t, way+": its end is noticed", func() bool { return p.counters()["left"] == 1 })
		d.send(query("look", "lives", 20, 10))
		until(t, "the other is taken in", func() bool { return p.counters()["taken"] >= 10 })
		for _, part := range a.Seen() {
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
		until(t, "it waits for the connection", func() bool { return strings.Contains(p.logged(), "retrieval=left") })
		c.goes(way)
		d.send(query("look", "lives", 20, 4))
		until(t, "the other waits as well", func() bool { return strings.Contains(p.logged(), "retrieval=lives") })
		until(t, way+": its end is noticed", func() bool { return p.counters()["left"] == 1 })
		late.open(real.Addr().String())
		d.expect(map[int]string{4: value(a, 4)})
		nothingReaches(t, way, a, "lives")
		a.Listener = real
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

// Where the form has no place for a reference, a request with one is refused, and nothing of it runs.
func TestRequestWithAReferenceThatCannotBePassedOnIsRefused(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, strings.Replace(settings, `"side_effect"`, `"token"`, 1), a)
	c := p.connect()
	for n, track := range []string{"claim", "look", "claim"} {
		text := query(track, fmt.Sprint("q", n), 10, 3)
		if n < 2 {
			text = strings.Replace(text, "Host: b", "Host: b\r\nIdempotency-Key: ed84f3c1", 1)
		}
		c.send(text)
		if n > 0 {
			c.expect(map[int]string{3: value(a, 3)})
		} else if r := c.receive(); r.status != 501 || r.last {
			t.Errorf("answered %d, last %t", r.status, r.last)
		}
	}
	if a.Saw("q0") {
		t.Error("its part was sent without the reference")
	}
}

// A sound request is served whatever it is cut into: in chunks of a byte it takes far more than its body.
func TestRequestInVerySmallChunksIsServed(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, settings, a)
	body := fmt.Sprintf(`{"segments":[{"segment":3,"boost":1}],"text":%q}`, strings.Repeat("t", 20_000))
	var chunks strings.Builder
	for _, b := range []byte(body) {
		fmt.Fprintf(&chunks, "1\r\n%c\r\n", b)
	}
	for n := range 3 {
		c := p.connect()
		text := fmt.Sprintf("POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: q%d\r\nReq-Deadline: 9\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", n, chunks.String())
		c.send(text[:100_000])
		time.Sleep(20 * time.Millisecond) // that it is read in two goes; it is served either way
		c.send(text[100_000:])
		c.expect(map[int]string{3: value(a, 3)})
	}
}
