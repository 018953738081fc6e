package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"terntray/internal/fake"
)

func TestRequestsInPiecesAndInARowOnOneConnection(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, settings, a)
	c := p.connect()
	body := `{"segments":[{"segment":1,"boost":1}],"text":"x"}`
	text := query("look", "q1", 10, 2) + fmt.Sprintf("POST /look/more HTTP/1.1\r\nHost: b\r\nReq-Id: q2\r\nReq-Deadline: 9\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body) + query("look", "q3", 10, 5)
	for at := 0; at < len(text); at += 37 {
		c.send(text[at:min(len(text), at+37)])
	}
	c.expect(map[int]string{2: value(a, 2)})
	c.expect(map[int]string{1: value(a, 1)})
	c.expect(map[int]string{5: value(a, 5)})
}

func TestClientThatLeavesIsNoticedAtOnce(t *testing.T) {
	a := newStandin(t, "s-a", 0, silent)
	p, _ := deployed(t, settings, a)
	c := p.connect()
	c.send(query("look", "q1", 30, 3))
	until(t, "the part arrives", func() bool { return a.HasReceived("q1") })
	c.Conn.Close()
	until(t, "the part is given up", func() bool {
		a.Mu.Lock()
		defer a.Mu.Unlock()
		return len(a.Abandoned) == 1 && a.Abandoned[0] == "q1.3"
	})
	until(t, "it is counted", func() bool { n := p.counters(); return n["left"] == 1 && n["open"] == 0 })
	// What the replica says now is of no harm.
	a.Reply(a.Received()[0], "OK", "late")
	a.SetBehavior(fulfil)
	d := p.connect()
	d.send(query("look", "q2", 10, 3))
	d.expect(map[int]string{3: value(a, 3)})
}

func TestBadRequestsAreRefusedAndTheServiceGoesOn(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, settings, a)
	good := query("look", "q1", 10, 3)
	for text, want := range map[string]int{
		"hello\r\n\r\n": 400,
		strings.Replace(good, "Req-Id: q1", "Req-Id: ", 1):                400,
		strings.Replace(good, "Req-Id: q1", "Req-Id: a b", 1):             400,
		strings.Replace(good, "10.000", "-1", 1):                          400,
		strings.Replace(good, `"boost"`, `"bo__t"`, 1):                    400,
		query("look", "q1", 10):                                           400,
		query("look", "q1", 10, 3, 3):                                     400,
		query("look", "q1", 10, 24):                                       400,
		query("lost", "q1", 10, 3):                                        404,
		strings.Replace(good, "POST", "PUT", 1):                           405,
		"POST /up HTTP/1.1\r\nHost: b\r\n\r\n":                            405,
		"POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: 65537\r\n\r\n": 413,
	} {
		c := p.connect()
		c.send(text)
		if r := c.receive(); r.status != want || len(strings.TrimSpace(r.body)) == 0 {
			t.Errorf("%.60q was answered %d %q, want %d", text, r.status, r.body, want)
		}
	}
	if n := p.counters(); n["bad"] != 12 || n["taken"] != 0 || len(a.Received()) > 0 {
		t.Errorf("counters %v", n)
	}
	c := p.connect()
	c.send(good)
	c.expect(map[int]string{3: value(a, 3)})
}

func TestRequestIDThatIsOpenIsRefusedWithoutHarm(t *testing.T) {
	a := newStandin(t, "s-a", 0, silent)
	p, _ := deployed(t, settings, a)
	c, d := p.connect(), p.connect()
	c.send(query("look", "q1", 30, 3))
	until(t, "the part arrives", func() bool { return a.HasReceived("q1") })
	d.send(query("look", "q1", 30, 3))
	if r := d.receive(); r.status != 409 {
		t.Errorf("the second was answered %d", r.status)
	}
	fulfil(a, a.Received()[0])
	c.expect(map[int]string{3: value(a, 3)})
}

func TestMoreThanMayBeOpenIsTurnedBack(t *testing.T) {
	a := newStandin(t, "s-a", 0, silent)
	p, _ := deployed(t, strings.Replace(settings, `"maxOpen":40`, `"maxOpen":6`, 1), a)
	c, d := p.connect(), p.connect()
	c.send(query("look", "q1", 30, 1, 2, 3, 4, 5))
	until(t, "its parts arrive", func() bool { return len(a.Received()) == 5 })
	d.send(query("look", "q2", 30, 6))
	if r := d.receive(); r.status != 503 {
		t.Errorf("answered %d", r.status)
	}
	fulfil(a, a.Received()[0]) // a part that is in makes room
	until(t, "it is in", func() bool { return p.counters()["legs_ok"] == 1 })
	a.SetBehavior(fulfil)
	d.send(query("look", "q3", 30, 7, 8, 9))
	if r := d.receive(); r.status != 200 {
		t.Errorf("answered %d", r.status)
	}
	if n := p.counters(); n["full"] != 1 || n["turned_back"] != 1 || n["taken"] != 3 || n["open"] != 1 {
		t.Errorf("counters %v", n)
	}
}

// When there are more clients than descriptors for them, those that are idle make room.
func TestIdleClientsMakeRoom(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	r := newRoster(t, "127.0.0.1:0", a)
	p := start(t, configure(t, r.Listener.Addr().String(), 40, settings, a))
	for n := range 20 {
		p.connect().send("POST /look HTTP/1.1\r\n"[:n])
		c := p.connect()
		c.send(query("look", fmt.Sprint("q", n), 10, 3))
		c.expect(map[int]string{3: value(a, 3)})
	}
}

// Whatever a bad client does, it has an error or a close within three seconds of its connecting.
func TestBadClientsAreEndedInTime(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, settings, a)
	good := query("look", "q1", 10, 3)
	drip := func(c *client) { // a head without an end, byte by byte
		c.send("POST /look HTTP/1.1\r\nX: ")
		for n := 0; n < 200; n++ {
			if _, err := io.WriteString(c.Conn, "y"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	a.SetBehavior(func(s *fake.Replica, c fake.Call) {
		if c.ID != "open.3" {
			fulfil(s, c)
		}
	})
	c := p.connect()
	c.send(query("look", "open", 20, 3))
	until(t, "the part is there", func() bool { return a.HasReceived("open.3") })
	ended := make(chan string)
	for name, does := range map[string]func(*client){
		"silence":             func(*client) {},
		"half a request":      func(c *client) { c.send(good[:len(good)-9]) },
		"drops":               drip,
		"half after a whole":  func(c *client) { c.send(good); c.receive(); c.send(good[:20]) },
		"a body of 60 MB":     func(c *client) { c.send("POST /look HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"); c.pour(60e6) },
		"chunks without end":  func(c *client) { c.send("POST /look HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff"); c.pour(60e6) },
		"another one's id":    func(c *client) { c.send(query("look", "open", 10, 3)) },
		"too many conditions": func(c *client) { c.send("POST /look HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 9000)) },
	} {
		go func() {
			c := p.connect()
			c.Conn.SetDeadline(time.Now().Add(3 * time.Second))
			does(c)
			if _, err := io.Copy(io.Discard, c.in); errors.Is(err, os.ErrDeadlineExceeded) {
				name += " is not ended"
			}
			ended <- name
		}()
	}
	for range 8 {
		if name := <-ended; strings.Contains(name, "not ended") {
			t.Error(name)
		}
	}
	for _, part := range a.Received() {
		if part.ID == "open.3" {
			fulfil(a, part)
		}
	}
	c.expect(map[int]string{3: value(a, 3)})
}

// pour sends so many bytes, or as many as are taken.
func (c *client) pour(n int) {
	some := []byte(strings.Repeat("y", 1<<16))
	for ; n > 0; n -= len(some) {
		if _, err := c.Conn.Write(some); err != nil {
			return
		}
	}
}

// Hundreds that say nothing leave room for usual clients, who keep their connections.
func TestSilentCrowdLeavesRoom(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	r := newRoster(t, "127.0.0.1:0", a)
	p := start(t, configure(t, r.Listener.Addr().String(), 256, settings, a))
	var usual []*client
	for n := range 20 {
		usual = append(usual, p.connect())
		usual[n].send(query("look", fmt.Sprint("a", n), 10, 3))
		usual[n].expect(map[int]string{3: value(a, 3)})
	}
	for range 600 {
		p.connect()
	}
	for n, c := range usual {
		c.send(query("look", fmt.Sprint("b", n), 10, 3))
		c.expect(map[int]string{3: value(a, 3)})
		d := p.connect()
		d.send(query("look", fmt.Sprint("c", n), 10, 3))
		d.expect(map[int]string{3: value(a, 3)})
	}
}

// Clients hold no more than a third of the descriptors: those that asked once and stay have to leave room for others.
func TestClientsThatAskOnceAndStayLeaveRoom(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	r := newRoster(t, "127.0.0.1:0", a)
	p := start(t, configure(t, r.Listener.Addr().String(), 96, settings, a))
	var open atomic.Int32
	for n := range 60 {
		c := p.connect()
		open.Add(1)
		c.send(query("look", fmt.Sprint("q", n), 10, 3))
		c.expect(map[int]string{3: value(a, 3)})
		go func() {
			c.in.ReadByte()
			open.Add(-1)
		}()
		asked := time.Now()
		until(t, "so few stay that there is room", func() bool { return open.Load() < 96/3-4 })
		if waited := time.Since(asked); waited > time.Second {
			t.Fatalf("there was room only after %v", waited)
		}
	}
	if n := open.Load(); n < 10 {
		t.Errorf("only %d may stay", n)
	}
}

// What one client does not read holds up nobody else.
func TestClientThatReadsNothingHoldsUpNobody(t *testing.T) {
	var asked atomic.Int32
	a := newStandin(t, "s-a", 0, func(s *fake.Replica, c fake.Call) {
		asked.Add(1)
		s.Reply(c, "OK", strings.Repeat("v", 60000))
	})
	p, _ := deployed(t, settings, a)
	c := p.connect()
	c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() {
		for n := range 400 {
			if _, err := c.Conn.Write([]byte(query("look", fmt.Sprint("c", n), 10, 3))); err != nil {
				return
			}
		}
	}()
	until(t, "its answers pile up", func() bool { return asked.Load() >= 5 })
	d := p.connect()
	for n := range 5 {
		d.send(query("look", fmt.Sprint("d", n), 10, 3))
		if r := d.receive(); r.status != 200 {
			t.Errorf("answered %d", r.status)
		}
	}
}

// What clients and replicas open and drop is given back, however they do it.
func TestDescriptorsAreGivenBack(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, settings, a)
	descriptors := func() int {
		all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			t.Skip("the descriptors of a process cannot be seen here")
		}
		return len(all)
	}
	http.DefaultClient.CloseIdleConnections()
	before := descriptors()
	for n := range 60 {
		c := p.connect()
		switch n % 4 {
		case 0: // leaves with its answer
			c.send(query("look", fmt.Sprint("q", n), 10, 3))
			c.receive()
		case 1: // leaves without it
			c.send(query("look", fmt.Sprint("q", n), 10, 3))
		case 2: // leaves in the midst of a request
			c.send(query("look", fmt.Sprint("q", n), 10, 3)[:n])
		case 3: // sends what is no request
			c.send("?\r\n\r\n")
			c.receive()
		}
		c.Conn.Close()
		if n%10 == 0 {
			a.Mu.Lock()
			for _, conn := range a.Conns {
				conn.Close()
			}
			a.Mu.Unlock()
		}
	}
	until(t, "all descriptors but a connection to the replica are back", func() bool { return descriptors() <= before+1 })
}

// A request that comes a byte a millisecond has an end as well: something lies unread at any look at its connection.
func TestRequestThatDripsQuicklyIsEndedInTime(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, settings, a)
	for name, begin := range map[string]string{
		"a head": "POST /look HTTP/1.1\r\nX: ",
		"a body": "POST /look HTTP/1.1\r\nReq-Id: q\r\nReq-Deadline: 9\r\nContent-Length: 60000\r\n\r\n",
	} {
		c := p.connect()
		c.send(begin)
		began := time.Now()
		go func() {
			for time.Since(began) < 6*time.Second {
				if _, err := io.WriteString(c.Conn, "y"); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		c.Conn.SetReadDeadline(began.Add(3 * time.Second))
		if _, err := c.in.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s that drips has neither an error nor an end after 3 s", name)
		}
		c.Conn.Close()
	}
}
