package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"terntray/internal/fake"
)

// A connection that breaks once a part is written may have let it run; a part that is no single-use one goes
// to another replica, a single-use one nowhere.
func TestResetEndsLegsButNotReplayableRetrievals(t *testing.T) {
	a, b := newStandin(t, "s-a", 0, reset), newStandin(t, "s-b", 0, reset)
	p, _ := deployed(t, settings, a, b)
	c := p.connect()
	c.send(query("claim", "q1", 10, 3))
	if r := c.receive(); r.status < 500 || r.status == 503 {
		t.Errorf("a single-use retrieval that may have run was answered %d", r.status)
	}
	if n := len(a.Received()) + len(b.Received()); n != 1 {
		t.Errorf("its part was sent %d times", n)
	}
	if n := p.counters(); n["legs_reset"] != 1 || n["scrapped"] != 1 || n["dropped"] != 1 {
		t.Errorf("counters %v", n)
	}
}

func TestUnreachableReplicaNeverRanASingleUsePart(t *testing.T) {
	a, b := newStandin(t, "s-a", 0, fulfil), newStandin(t, "s-b", 0, fulfil)
	b.Listener.Close()
	p, _ := deployed(t, settings, a, b)
	c := p.connect()
	c.send(query("claim", "q1", 10, 0, 1, 2, 3))
	c.expect(map[int]string{0: value(a, 0), 1: value(a, 1), 2: value(a, 2), 3: value(a, 3)})
	if n := p.counters(); n["legs_unreachable"] == 0 || n["refused"] == 0 {
		t.Errorf("nothing was sent to the replica that is down: %v", n)
	}
}

// A replica that takes parts and says nothing costs its own parts time, and no other's.
func TestSilentReplicaHoldsUpNobodyElse(t *testing.T) {
	a, b := newStandin(t, "s-a", 0, silent), newStandin(t, "s-b", 0, fulfil)
	p, _ := deployed(t, settings, a, b)
	for n := range 8 {
		c := p.connect()
		c.send(query("look", fmt.Sprint("q", n), 20, n, n+8))
		c.expect(map[int]string{n: value(b, n), n + 8: value(b, n+8)})
	}
	until(t, "the replica is told that parts are given up", func() bool {
		a.Mu.Lock()
		defer a.Mu.Unlock()
		return len(a.Abandoned) > 0
	})
}

// Replies that cannot be used end their connection and reach no client; what they answer may have run. The replica
// is no worse for it: a single-use part that comes next goes there at once.
func TestSpoiltRepliesCloseTheirConnectionAlone(t *testing.T) {
	for name, frame := range map[string]string{
		"a refusal":          framed("Nwhat is this"),
		"an unknown end":     framed("Yq1.3 FINE 0 -\nx"),
		"no end":             framed("Yq1.3  0 -\nx"),
		"an unknown letter":  framed("Q"),
		"an unknown id":      framed("Yq9.3 OK 0 -\nx"),
		"no line":            framed("Y"),
		"no number":          framed("Yq1.3 OK nan -\nx"),
		"too short":          "\x00\x00\x00\x03Yq1.3 OK 0 -\nx",
		"no length":          "\x00\x00\x00\x00Yq1.3 OK 0 -\nx",
		"too long":           "\x00\x00\x00\x20Yq1.3 OK 0 -\nx",
		"a line without end": "\x00\x00\x20\x00Yq1.3 OK " + strings.Repeat("7", 5000),
		"a huge value":       "\xb2\xd0\x5e\x00Yq1.3 OK 0 -\n" + strings.Repeat("x", 100000),
		"noise":              "tL\xdc\x7f\xe8\r\n",
	} {
		a := newStandin(t, "s-a", 0, func(s *fake.Replica, c fake.Call) { io.WriteString(c.Conn, frame) })
		p, _ := deployed(t, settings, a)
		c := p.connect()
		c.send(query("claim", "q1", 10, 3))
		if r := c.receive(); r.status != 500 {
			t.Errorf("%s: answer %d", name, r.status)
		}
		if n := p.counters(); n["legs_spoilt"] != 1 || n["spoilt"] != 1 || n["dropped"] != 0 {
			t.Errorf("%s: counters %v", name, n)
		}
		if name == "a refusal" { // the log is written behind the answer
			until(t, "the replica's words are in the log", func() bool { return strings.Contains(p.logged(), "what is this") })
		}
		a.SetBehavior(fulfil)
		c.send(query("claim", "q2", 10, 3))
		c.expect(map[int]string{3: value(a, 3)})
	}
}

func framed(rest string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(rest)))) + rest
}

// What comes right behind a sound answer is no answer to anything, and ends nothing that is sent later.
func TestWhatComesBehindAnAnswerIsDropped(t *testing.T) {
	for name, behind := range map[string]string{"a copy": "", "noise": "tL\xdc\x7f\xe8\r\n"} {
		a := newStandin(t, "s-a", 0, func(s *fake.Replica, c fake.Call) {
			fulfil(s, c)
			if io.WriteString(c.Conn, behind); behind == "" {
				fulfil(s, c)
			}
		})
		p, _ := deployed(t, settings, a)
		c := p.connect()
		for n := range 20 {
			c.send(query("claim", fmt.Sprint("q", n), 10, 3))
			c.expect(map[int]string{3: value(a, 3)})
			time.Sleep(5 * time.Millisecond) // it is written apart from the answer; an attempt that has gone meanwhile may be lost to it
		}
		if n := p.counters(); n["legs"] != 20 || n["legs_unreachable"] > 0 {
			t.Errorf("%s: counters %v", name, n)
		}
	}
}

// Parts that may not run twice share no connection, so that a reply to another cannot cost them their answer.
func TestSingleUsePartsGoAlone(t *testing.T) {
	a := newStandin(t, "s-a", 0, silent)
	p, _ := deployed(t, settings, a)
	c, d := p.connect(), p.connect()
	c.send(query("claim", "q1", 10, 3, 4))
	until(t, "they are sent", func() bool { return len(a.Received()) == 2 })
	d.send(query("look", "q2", 10, 5, 6))
	until(t, "the others are sent", func() bool { return len(a.Received()) == 4 })
	on := map[net.Conn][]string{}
	for _, part := range a.Received() {
		on[part.Conn] = append(on[part.Conn], part.ID)
	}
	if len(on) != 3 {
		t.Errorf("parts by connection: %v", on)
	}
	for _, part := range a.Received() {
		if part.ID == "q2.5" {
			io.WriteString(part.Conn, "noise")
		} else if strings.HasPrefix(part.ID, "q1") {
			fulfil(a, part)
		}
	}
	c.expect(map[int]string{3: value(a, 3), 4: value(a, 4)})
}

// No part waits behind a connection that has all that it carries; no more are opened than that takes.
func TestConnectionsCarryAsMuchAsTheSettingsSay(t *testing.T) {
	a := newStandin(t, "s-a", 0, silent)
	p, _ := deployed(t, settings, a)
	c := p.connect()
	c.send(query("look", "q1", 30, 0, 1, 2, 3, 4, 5, 6))
	until(t, "all parts arrive", func() bool { return len(a.Received()) == 7 })
	on := map[net.Conn]int{}
	for _, part := range a.Received() {
		on[part.Conn]++
	}
	if len(on) != 2 {
		t.Errorf("parts on connections: %v", on)
	}
	for conn, n := range on {
		if n > 4 {
			t.Errorf("%d parts on %v", n, conn.RemoteAddr())
		}
	}
	for _, part := range a.Received() {
		fulfil(a, part)
	}
	c.receive()
}

func TestIdleConnectionsAreNotWrittenToOnceTheyMayBeClosed(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, strings.Replace(settings, `"idleClose":30000000`, `"idleClose":200000`, 1), a)
	c := p.connect()
	c.send(query("look", "q1", 10, 3))
	c.expect(map[int]string{3: value(a, 3)})
	until(t, "the connection is given back", func() bool {
		one := make([]byte, 1)
		a.Mu.Lock()
		conn := a.Conns[0]
		a.Mu.Unlock()
		_, err := conn.Write(one[:0])
		return err != nil
	})
	c.send(query("look", "q2", 10, 3))
	c.expect(map[int]string{3: value(a, 3)})
	if n := p.counters(); n["opened"] != 2 || n["legs_reset"] != 0 {
		t.Errorf("counters %v", n)
	}
}

// What was written to a process that has since started anew is not waited for.
func TestReplicaThatRestartedUnseenIsReachedByNewConnections(t *testing.T) {
	a := newStandin(t, "s-a", 0, silent)
	p, r := deployed(t, strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":20000`, 1), a)
	c := p.connect()
	c.send(query("look", "q1", 20, 3))
	until(t, "the part arrives", func() bool { return a.HasReceived("q1") })
	a.SetBehavior(fulfil)
	r.Mu.Lock()
	a.BootMS = time.Now().Add(time.Second).UnixMilli()
	r.Mu.Unlock()
	r.SetState(a, "ready")
	c.expect(map[int]string{3: value(a, 3)})
	if n := p.counters(); n["legs_reset"] != 1 || n["opened"] != 2 {
		t.Errorf("counters %v", n)
	}
}

// A machine that vanished leaves its connections open and silent. Once an attempt there was given up unheard, the
// next one opens a connection of its own, and the old one is closed.
func TestSilentConnectionIsNotUsedAgain(t *testing.T) {
	a := newStandin(t, "s-a", 0, silent)
	p, _ := deployed(t, strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":20000`, 1), a)
	c := p.connect()
	c.send(query("look", "q1", 0.2, 3))
	if r := c.receive(); r.status != 500 {
		t.Errorf("answered %d", r.status)
	}
	a.SetBehavior(fulfil)
	c.send(query("look", "q2", 10, 3))
	c.expect(map[int]string{3: value(a, 3)})
	calls := a.Received()
	if len(calls) != 2 || calls[0].Conn == calls[1].Conn {
		t.Errorf("%d parts came, the second on the silent connection", len(calls))
	}
	until(t, "the silent connection is closed", func() bool {
		_, err := calls[0].Conn.Write(nil)
		return err != nil
	})
}

// A connection that drops under a replica that lives costs its parts some time, not their query.
func TestDroppedConnectionOfALivingReplicaEndsNoReplayableRetrieval(t *testing.T) {
	var drops atomic.Int32
	a := newStandin(t, "s-a", 0, func(s *fake.Replica, c fake.Call) {
		if drops.Add(1) == 1 {
			time.Sleep(20 * time.Millisecond) // sooner it would pass for an idle connection
			reset(s, c)
			return
		}
		fulfil(s, c)
	})
	p, _ := deployed(t, settings, a)
	c := p.connect()
	c.send(query("look", "q1", 10, 3))
	c.expect(map[int]string{3: value(a, 3)})
	if n := p.counters(); n["legs_reset"] != 1 || n["legs_ok"] != 1 {
		t.Errorf("counters %v", n)
	}
}
