package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"terntray/internal/fake"
)

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
	if a.HasReceived("q0") {
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

// A watch that falls silent is opened anew, and what it missed is kept, within the second that it may take before that counts
// as told; the same for a SIGHUP that moves discovery while it is silent.
func TestDrainMissedByASilentWatchIsLearnedInTime(t *testing.T) {
	for _, moved := range []bool{false, true} {
		a, b := newStandin(t, "s-a", 0, fulfil), newStandin(t, "s-b", 0, fulfil)
		old, next := newAgent(t), newAgent(t)
		set := strings.Replace(settings, `"discovery"`, `"guarantees":{"askEvery":2000000},"discovery"`, 1) // a watch waits for 1 s
		env := configure(t, old.Listener.Addr().String(), 1024, set, a, b)
		p := newProgram(t, env)
		(<-old.Calls).Respond(listing(5, true, []*fake.Replica{a, b}))
		<-old.Calls // the watch, which gets no answer
		silent := time.Now()
		a.State = "draining"
		from, within := old, 2*time.Second
		if moved {
			file := strings.TrimPrefix(env[0], "ROUTER_CONFIG=")
			text, _ := os.ReadFile(file)
			os.WriteFile(file, []byte(strings.Replace(string(text), old.Listener.Addr().String(), next.Listener.Addr().String(), 1)), 0o600)
			p.cmd.Process.Signal(syscall.SIGHUP)
			<-next.Calls // the first call there gets none either
			from, within = next, 1500*time.Millisecond
		}
		call := <-from.Calls
		if took := time.Since(silent); took > within+500*time.Millisecond {
			t.Errorf("moved %t: it is asked again after %v", moved, took)
		}
		if strings.Contains(call.Path, "from") {
			t.Errorf("moved %t: %s asks for no whole list", moved, call.Path)
		}
		call.Respond(listing(7, true, []*fake.Replica{a, b}))
		until(t, "the list is told", func() bool { return strings.Contains(p.logged(), "rev=7 ") })
		c := p.connect()
		for n := range 6 {
			c.send(query("look", fmt.Sprint("q", n), 10, n))
			c.expect(map[int]string{n: value(b, n)})
		}
		if len(a.Received()) > 0 {
			t.Errorf("moved %t: parts were sent to a draining replica", moved)
		}
		a.State = "ready"
	}
}

// The same where lists come to those who ask only: a watch that has fallen silent is asked anew before what it missed counts
// as told, 2 s after its wait is over.
func TestSilentWatchIsAskedAnewWhereListsAreAskedFor(t *testing.T) {
	a, agent := newStandin(t, "s-a", 0, fulfil), newAgent(t)
	set := strings.Replace(settings, `"discovery":"automatic"`, `"guarantees":{"askEvery":2000000},"discovery":"subscribe"`, 1) // a watch waits for 1 s
	newProgram(t, configure(t, agent.Listener.Addr().String(), 1024, set, a))
	(<-agent.Calls).Respond(listing(5, true, []*fake.Replica{a}))
	if call := <-agent.Calls; !strings.Contains(call.Path, "hold_ms=1000") {
		t.Fatalf("%s is no watch that waits for 1 s", call.Path)
	}
	silent := time.Now()
	if call := <-agent.Calls; time.Since(silent) > 3*time.Second || strings.Contains(call.Path, "from") {
		t.Errorf("%s comes after %v", call.Path, time.Since(silent))
	}
}

func newAgent(t *testing.T) *fake.DiscoveryAgent {
	a, err := fake.NewDiscoveryAgent()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Listener.Close() })
	return a
}

// Wherever its connection is cut, a single-use part runs once at the most, and where it may have run no answer says that
// trying again is harmless.
func TestSingleUsePartRunsOnceWhereverItsConnectionIsCut(t *testing.T) {
	a, b := newStandin(t, "s-a", 0, fulfil), newStandin(t, "s-b", 0, fulfil)
	p, _ := deployed(t, settings, a, b)
	frame := 5 + len("q00.3 3 d=9999 6\nof q00")
	cuts := []int{0, 1, 4, 5, 12, 20}
	for n := range 9 {
		cuts = append(cuts, frame-4+n)
	}
	for _, n := range cuts {
		for _, s := range []*fake.Replica{a, b} {
			s.Mu.Lock()
			s.CutAfter = func() int { return n }
			s.Mu.Unlock()
			s.CloseConnections(n%2 == 0)
		}
		id := fmt.Sprintf("q%02d", n)
		c := p.connect()
		c.send(query("claim", id, 10, 3))
		r := c.receive()
		ran := 0
		for _, s := range []*fake.Replica{a, b} {
			for _, part := range s.Received() {
				if part.ID == id+".3" {
					ran++
				}
			}
		}
		if ran > 1 || ran > 0 && r.status == 503 || r.status == 200 && ran != 1 {
			t.Errorf("cut after %d bytes: run %d times, answered %d", n, ran, r.status)
		}
		c.Conn.Close()
	}
}

// Told to end while it stands still, with requests on old and new connections behind it: all are answered.
func TestRequestsThatComeWhileItIsToldToEndAreAnswered(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, settings, a)
	var all []*client
	for range 6 {
		all = append(all, p.connect())
	}
	p.stands(100*time.Millisecond, func() {
		for range 6 {
			all = append(all, p.connect())
		}
		for n, c := range all[:6] {
			c.send(query("look", fmt.Sprint("old", n), 10, n))
		}
		p.cmd.Process.Signal(syscall.SIGTERM)
		for n, c := range all[6:] {
			c.send(query("look", fmt.Sprint("new", n), 10, n))
		}
	})
	for n, c := range all {
		c.expect(map[int]string{n % 6: value(a, n%6)})
	}
	p.ends(t)
}

// An answer whose rest was lost on its way and comes a little later is as good as any; single-use parts depend on it.
func TestAnswerInPiecesIsTaken(t *testing.T) {
	a := newStandin(t, "s-a", 0, nil)
	a.SetBehavior(func(s *fake.Replica, c fake.Call) {
		text := framed(fmt.Sprintf("Y%s OK 7 -\n%s", c.ID, value(s, c.Shard)))
		io.WriteString(c.Conn, text[:len(text)/2])
		time.Sleep(220 * time.Millisecond) // as long as machines wait before they send again
		io.WriteString(c.Conn, text[len(text)/2:])
	})
	p, _ := deployed(t, settings, a)
	c := p.connect()
	c.send(query("claim", "q1", 10, 3))
	c.expect(map[int]string{3: value(a, 3)})
}

// The same after a rest that is longer than a whole answer may take.
func TestAnswerInPiecesAfterARestIsTaken(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":100000`, 1), a)
	c := p.connect()
	c.send(query("claim", "q1", 10, 3))
	c.expect(map[int]string{3: value(a, 3)})
	a.SetBehavior(func(s *fake.Replica, c fake.Call) {
		text := framed(fmt.Sprintf("Y%s OK 7 -\n%s", c.ID, value(s, c.Shard)))
		io.WriteString(c.Conn, text[:len(text)/2])
		time.Sleep(20 * time.Millisecond)
		io.WriteString(c.Conn, text[len(text)/2:])
	})
	time.Sleep(600 * time.Millisecond) // four times what a piece may take are 0.4 s
	c.send(query("claim", "q2", 10, 3))
	c.expect(map[int]string{3: value(a, 3)})
}

// An answer that goes on and on, a byte at a time, ends its connection within a bound: nothing waits behind it for a whole
// cut-off. A part that may run again is answered elsewhere, one that may not is given up for good.
func TestAnswerWithoutEndEndsItsConnectionSoon(t *testing.T) {
	a := newStandin(t, "s-a", 0, func(s *fake.Replica, c fake.Call) {
		go func() {
			io.WriteString(c.Conn, "\x00\x00\xff\xffY")
			for {
				if _, err := io.WriteString(c.Conn, "7"); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	})
	p, _ := deployed(t, strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":100000`, 1), a)
	c := p.connect()
	began := time.Now()
	c.send(query("claim", "q1", 10, 3))
	if r := c.receive(); r.status != 500 || time.Since(began) > 5*time.Second {
		t.Errorf("answered %d after %v", r.status, time.Since(began))
	}
	if n := p.counters(); n["legs_spoilt"] != 1 || n["spoilt"] != 1 {
		t.Errorf("counters %v", n)
	}
}

// A track with a second step, which the protocol has not, gets no answer that passes for whole; the others are served.
func TestTrackWithASecondStepIsRefused(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, strings.Replace(settings, `"classFetch":[0,0,0]`, `"classFetch":[0,2,0]`, 1), a)
	c := p.connect()
	c.send(query("claim", "q1", 10, 3))
	if r := c.receive(); r.status != 501 || r.last || a.HasReceived("q1") {
		t.Errorf("answered %d, last %t", r.status, r.last)
	}
	c.send(query("look", "q2", 10, 3))
	c.expect(map[int]string{3: value(a, 3)})
}

// However many requests wait for an answer, the next is heard and answered at once: it does not lie in the machine's queue
// until one of those ends, nor behind a client that has its answer and rests. With 36 descriptors there are eight places.
func TestRequestBehindWaitingOnesIsHeardAtOnce(t *testing.T) {
	a := newStandin(t, "s-a", 0, silent)
	p := start(t, configure(t, newRoster(t, "127.0.0.1:0", a).Listener.Addr().String(), 36, settings, a))
	for n := range 8 { // all but one may wait
		p.connect().send(query("look", fmt.Sprint("waits", n), 20, n))
	}
	until(t, "they wait", func() bool { return strings.Count(p.logged(), "query_arrived=waits") >= 7 })
	for n := range 9 {
		c := p.connect()
		began := time.Now()
		c.send(query("look", fmt.Sprint("q", n), 0.5, 9))
		if r := c.receive(); r.status != 503 || time.Since(began) > time.Second {
			t.Errorf("%d: answered %d after %v", n, r.status, time.Since(began))
		}
	}
	if n := p.counters(); n["taken"] != 17 || n["full"] != 10 {
		t.Errorf("counters %v", n)
	}
}
