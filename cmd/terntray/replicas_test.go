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

// A connection that breaks once a subquery is written may have let it run; a subquery that is no non-idempotent one
// goes to another replica, a non-idempotent one nowhere.
func TestConnectionResetIsRetriedForIdempotentQueries(t *testing.T) {
	a, b := newReplica(t, "s-a", 0, reset), newReplica(t, "s-b", 0, reset)
	program, _ := startDeployment(t, settings, a, b)
	client := program.connect()
	client.send(query("claim", "q1", 10, 3))
	if answer := client.receive(); answer.status < 500 || answer.status == 503 {
		t.Errorf("a non-idempotent query that may have run was answered %d", answer.status)
	}
	if n := len(a.Received()) + len(b.Received()); n != 1 {
		t.Errorf("its subquery was sent %d times", n)
	}
	if counters := program.counters(); counters["legs_reset"] != 1 || counters["scrapped"] != 1 || counters["dropped"] != 1 {
		t.Errorf("counters %v", counters)
	}
}

func TestNonIdempotentSubqueryIsRetriedIfItsReplicaIsUnreachable(t *testing.T) {
	a, b := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
	b.Listener.Close()
	program, _ := startDeployment(t, settings, a, b)
	client := program.connect()
	client.send(query("claim", "q1", 10, 0, 1, 2, 3))
	client.expect(map[int]string{0: value(a, 0), 1: value(a, 1), 2: value(a, 2), 3: value(a, 3)})
	if counters := program.counters(); counters["legs_unreachable"] == 0 || counters["refused"] == 0 {
		t.Errorf("nothing was sent to the replica that is down: %v", counters)
	}
}

// A replica that takes subqueries and says nothing costs its own subqueries time, and no other's.
func TestSilentReplicaDelaysNoOtherQuery(t *testing.T) {
	a, b := newReplica(t, "s-a", 0, silent), newReplica(t, "s-b", 0, succeed)
	program, _ := startDeployment(t, settings, a, b)
	for n := range 8 {
		client := program.connect()
		client.send(query("look", fmt.Sprint("q", n), 20, n, n+8))
		client.expect(map[int]string{n: value(b, n), n + 8: value(b, n+8)})
	}
	waitFor(t, "the replica is told that subqueries are given up", func() bool {
		a.Mu.Lock()
		defer a.Mu.Unlock()
		return len(a.Abandoned) > 0
	})
}

// Replies that cannot be used end their connection and reach no client; what they answer may have run. The replica
// is no worse for it: a non-idempotent subquery that comes next goes there at once.
func TestMalformedRepliesCloseOnlyTheirConnection(t *testing.T) {
	for name, frame := range map[string]string{
		"a refusal":          frameOf("Nwhat is this"),
		"an unknown end":     frameOf("Yq1.3 FINE 0 -\nx"),
		"no end":             frameOf("Yq1.3  0 -\nx"),
		"an unknown letter":  frameOf("Q"),
		"an unknown id":      frameOf("Yq9.3 OK 0 -\nx"),
		"no line":            frameOf("Y"),
		"no number":          frameOf("Yq1.3 OK nan -\nx"),
		"too short":          "\x00\x00\x00\x03Yq1.3 OK 0 -\nx",
		"no length":          "\x00\x00\x00\x00Yq1.3 OK 0 -\nx",
		"too long":           "\x00\x00\x00\x20Yq1.3 OK 0 -\nx",
		"a line without end": "\x00\x00\x20\x00Yq1.3 OK " + strings.Repeat("7", 5000),
		"a huge value":       "\xb2\xd0\x5e\x00Yq1.3 OK 0 -\n" + strings.Repeat("x", 100000),
		"noise":              "tL\xdc\x7f\xe8\r\n",
	} {
		replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) { io.WriteString(call.Conn, frame) })
		program, _ := startDeployment(t, settings, replica)
		client := program.connect()
		client.send(query("claim", "q1", 10, 3))
		if answer := client.receive(); answer.status != 500 {
			t.Errorf("%s: answer %d", name, answer.status)
		}
		if counters := program.counters(); counters["legs_spoilt"] != 1 || counters["spoilt"] != 1 || counters["dropped"] != 0 {
			t.Errorf("%s: counters %v", name, counters)
		}
		if name == "a refusal" { // the log is written behind the answer
			waitFor(t, "the replica's words are in the log", func() bool { return strings.Contains(program.logText(), "what is this") })
		}
		replica.SetBehavior(succeed)
		client.send(query("claim", "q2", 10, 3))
		client.expect(map[int]string{3: value(replica, 3)})
	}
}

func frameOf(rest string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(rest)))) + rest
}

// What comes right behind a sound answer is no answer to anything, and ends nothing that is sent later.
func TestBytesAfterAReplyAreDropped(t *testing.T) {
	for name, behind := range map[string]string{"a copy": "", "noise": "tL\xdc\x7f\xe8\r\n"} {
		replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
			succeed(replica, call)
			if io.WriteString(call.Conn, behind); behind == "" {
				succeed(replica, call)
			}
		})
		program, _ := startDeployment(t, settings, replica)
		client := program.connect()
		for n := range 20 {
			client.send(query("claim", fmt.Sprint("q", n), 10, 3))
			client.expect(map[int]string{3: value(replica, 3)})
			time.Sleep(5 * time.Millisecond) // it is written apart from the answer; an attempt that has gone meanwhile may be lost to it
		}
		if counters := program.counters(); counters["legs"] != 20 || counters["legs_unreachable"] > 0 {
			t.Errorf("%s: counters %v", name, counters)
		}
	}
}

// Subqueries that may not run twice share no connection, so that a reply to another cannot cost them their answer.
func TestNonIdempotentSubqueriesAreNotHedged(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, settings, replica)
	c, other := program.connect(), program.connect()
	c.send(query("claim", "q1", 10, 3, 4))
	waitFor(t, "they are sent", func() bool { return len(replica.Received()) == 2 })
	other.send(query("look", "q2", 10, 5, 6))
	waitFor(t, "the others are sent", func() bool { return len(replica.Received()) == 4 })
	on := map[net.Conn][]string{}
	for _, part := range replica.Received() {
		on[part.Conn] = append(on[part.Conn], part.ID)
	}
	if len(on) != 3 {
		t.Errorf("subqueries by connection: %v", on)
	}
	for _, part := range replica.Received() {
		if part.ID == "q2.5" {
			io.WriteString(part.Conn, "noise")
		} else if strings.HasPrefix(part.ID, "q1") {
			succeed(replica, part)
		}
	}
	c.expect(map[int]string{3: value(replica, 3), 4: value(replica, 4)})
}

// No subquery waits behind a connection that has all that it carries; no more are opened than that takes.
func TestConnectionsCarryTheConfiguredNumberOfAttempts(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(query("look", "q1", 30, 0, 1, 2, 3, 4, 5, 6))
	waitFor(t, "all subqueries arrive", func() bool { return len(replica.Received()) == 7 })
	on := map[net.Conn]int{}
	for _, part := range replica.Received() {
		on[part.Conn]++
	}
	if len(on) != 2 {
		t.Errorf("subqueries on connections: %v", on)
	}
	for conn, n := range on {
		if n > 4 {
			t.Errorf("%d subqueries on %v", n, conn.RemoteAddr())
		}
	}
	for _, part := range replica.Received() {
		succeed(replica, part)
	}
	client.receive()
}

func TestIdleConnectionsAreNotUsedOnceTheyMayBeClosed(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, strings.Replace(settings, `"idleClose":30000000`, `"idleClose":200000`, 1), replica)
	client := program.connect()
	client.send(query("look", "q1", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
	waitFor(t, "the connection is given back", func() bool {
		one := make([]byte, 1)
		replica.Mu.Lock()
		conn := replica.Conns[0]
		replica.Mu.Unlock()
		_, err := conn.Write(one[:0])
		return err != nil
	})
	client.send(query("look", "q2", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
	if counters := program.counters(); counters["opened"] != 2 || counters["legs_reset"] != 0 {
		t.Errorf("counters %v", counters)
	}
}

// What was written to a process that has since started anew is not waited for.
func TestRestartedReplicaIsReachedByNewConnections(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, r := startDeployment(t, strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":20000`, 1), replica)
	client := program.connect()
	client.send(query("look", "q1", 20, 3))
	waitFor(t, "the subquery arrives", func() bool { return replica.HasReceived("q1") })
	replica.SetBehavior(succeed)
	r.Mu.Lock()
	replica.BootMS = time.Now().Add(time.Second).UnixMilli()
	r.Mu.Unlock()
	r.SetState(replica, "ready")
	client.expect(map[int]string{3: value(replica, 3)})
	if counters := program.counters(); counters["legs_reset"] != 1 || counters["opened"] != 2 {
		t.Errorf("counters %v", counters)
	}
}

// A machine that vanished leaves its connections open and silent. Once an attempt there was given up unheard, the
// next one opens a connection of its own, and the old one is closed.
func TestSilentConnectionIsNotUsedAgain(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":20000`, 1), replica)
	client := program.connect()
	client.send(query("look", "q1", 0.2, 3))
	if answer := client.receive(); answer.status != 500 {
		t.Errorf("answered %d", answer.status)
	}
	replica.SetBehavior(succeed)
	client.send(query("look", "q2", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
	calls := replica.Received()
	if len(calls) != 2 || calls[0].Conn == calls[1].Conn {
		t.Errorf("%d subqueries came, the second on the silent connection", len(calls))
	}
	waitFor(t, "the silent connection is closed", func() bool {
		_, err := calls[0].Conn.Write(nil)
		return err != nil
	})
}

// A connection that drops under a replica that lives costs its subqueries some time, not their query.
func TestConnectionLossFailsNoIdempotentQuery(t *testing.T) {
	var drops atomic.Int32
	replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
		if drops.Add(1) == 1 {
			time.Sleep(20 * time.Millisecond) // sooner it would pass for an idle connection
			reset(replica, call)
			return
		}
		succeed(replica, call)
	})
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(query("look", "q1", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
	if counters := program.counters(); counters["legs_reset"] != 1 || counters["legs_ok"] != 1 {
		t.Errorf("counters %v", counters)
	}
}
