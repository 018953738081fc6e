package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"terntray/internal/fake"
)

// A connection breaks after a non-idempotent subquery was written: the subquery may have run and must not be retried.
func TestConnectionResetIsNotRetriedForNonIdempotentQueries(t *testing.T) {
	a, b := newReplica(t, "s-a", 0, reset), newReplica(t, "s-b", 0, reset)
	program, _ := startDeployment(t, settings, a, b)
	client := program.connect()
	client.send(query("claim", "q1", 10, 3))
	if answer := client.receive(); answer.status < 500 || answer.status == 503 {
		t.Errorf("a non-idempotent query that may have run: status %d", answer.status)
	}
	if n := len(a.Received()) + len(b.Received()); n != 1 {
		t.Errorf("its subquery was sent %d times", n)
	}
	if counters := program.counters(); counters["legs_reset"] != 1 || counters["scrapped"] != 1 ||
		counters["dropped"] != 1 {
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
		t.Errorf("no attempt was made to the unreachable replica: %v", counters)
	}
}

// A replica that accepts subqueries and never replies delays only queries with subqueries there.
func TestSilentReplicaDelaysNoOtherQuery(t *testing.T) {
	a, b := newReplica(t, "s-a", 0, silent), newReplica(t, "s-b", 0, succeed)
	program, _ := startDeployment(t, settings, a, b)
	for n := range 8 {
		client := program.connect()
		client.send(query("look", fmt.Sprint("q", n), 20, n, n+8))
		client.expect(map[int]string{n: value(b, n), n + 8: value(b, n+8)})
	}
	waitFor(t, "the replica is notified that subqueries are abandoned", func() bool {
		a.Mu.Lock()
		defer a.Mu.Unlock()
		return len(a.Abandoned) > 0
	})
}

// A replica is silent for longer than the connect timeout, so that its connection is closed as soon as the query on it has
// ended: the replica would not learn that the subquery is abandoned, and work on.
func TestReplicaIsNotifiedOfAbandonmentBeforeItsConnectionIsClosed(t *testing.T) {
	const queries = 6
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, settings, replica)
	for n := range queries {
		program.connect().send(query("look", fmt.Sprint("q", n), 1.5, n))
	}
	waitFor(t, "the replica is notified of each abandoned subquery", func() bool {
		replica.Mu.Lock()
		defer replica.Mu.Unlock()
		return len(replica.Abandoned) == queries
	})
}

// A malformed reply closes its connection and reaches no client; its subquery may have run. The replica stays in use:
// the next non-idempotent subquery is sent to it at once.
func TestMalformedRepliesCloseOnlyTheirConnection(t *testing.T) {
	for name, frame := range map[string]string{
		"refusal":          frameOf("Nwhat is this"),
		"unknown status":   frameOf("Yq1.3 FINE 0 -\nx"),
		"no status":        frameOf("Yq1.3  0 -\nx"),
		"unknown letter":   frameOf("Q"),
		"unknown id":       frameOf("Yq9.3 OK 0 -\nx"),
		"no line":          frameOf("Y"),
		"invalid score":    frameOf("Yq1.3 OK nan -\nx"),
		"length too small": "\x00\x00\x00\x03Yq1.3 OK 0 -\nx",
		"zero length":      "\x00\x00\x00\x00Yq1.3 OK 0 -\nx",
		"length too large": "\x00\x00\x00\x20Yq1.3 OK 0 -\nx",
		"endless line":     "\x00\x00\x20\x00Yq1.3 OK " + strings.Repeat("7", 5000),
		"huge value":       "\xb2\xd0\x5e\x00Yq1.3 OK 0 -\n" + strings.Repeat("x", 100000),
		"noise":            "tL\xdc\x7f\xe8\r\n",
	} {
		replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
			io.WriteString(call.Conn, frame)
		})
		program, _ := startDeployment(t, settings, replica)
		client := program.connect()
		client.send(query("claim", "q1", 10, 3))
		if answer := client.receive(); answer.status != 500 {
			t.Errorf("%s: status %d", name, answer.status)
		}
		if counters := program.counters(); counters["legs_spoilt"] != 1 || counters["spoilt"] != 1 ||
			counters["dropped"] != 0 {
			t.Errorf("%s: counters %v", name, counters)
		}
		if name == "refusal" { // the log line is written after the response
			waitFor(t, "the replica's message is in the log", func() bool {
				return strings.Contains(program.logText(), "what is this")
			})
		}
		replica.SetBehavior(succeed)
		client.send(query("claim", "q2", 10, 3))
		client.expect(map[int]string{3: value(replica, 3)})
	}
}

func frameOf(rest string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(rest)))) + rest
}

// Bytes that follow a valid reply are not taken as a reply, and do not end attempts that are sent later. That noise is
// not the rest of a value is known once all values before had the same size.
func TestBytesAfterAReplyAreDropped(t *testing.T) {
	for name, extra := range map[string]string{"duplicate": "", "noise": "tL\xdc\x7f\xe8\r\n"} {
		replica := newReplica(t, "s-a", 0, succeed)
		program, _ := startDeployment(t, settings, replica)
		client := program.connect()
		if name == "noise" {
			receiveValues(client, replica, enoughValues)
		}
		before := program.counters()["legs"]
		replica.SetBehavior(func(replica *fake.Replica, call fake.Call) {
			succeed(replica, call)
			if io.WriteString(call.Conn, extra); extra == "" {
				succeed(replica, call)
			}
		})
		for n := range 20 {
			client.send(query("claim", fmt.Sprint("q", n), 10, 3))
			client.expect(map[int]string{3: value(replica, 3)})
			time.Sleep(5 * time.Millisecond) // for the extra bytes to arrive; an attempt sent before them may be lost
		}
		if counters := program.counters(); counters["legs"] != before+20 || counters["legs_unreachable"] > 0 {
			t.Errorf("%s: counters %v", name, counters)
		}
	}
}

// enoughValues is a number of values of one size after which that size counts as usual.
const enoughValues = 10

// receiveValues sends queries until count values were received, all of the same size.
func receiveValues(client *clientConn, replica *fake.Replica, count int) {
	client.t.Helper()
	values := map[int]string{}
	for shard := range 10 {
		values[shard] = value(replica, shard)
	}
	for n := 0; n*len(values) < count; n++ {
		client.send(query("look", fmt.Sprint("warm", n), 10, slices.Sorted(maps.Keys(values))...))
		client.expect(values)
	}
}

// A reply that nothing follows before the orderly end of its connection is complete: it is served at once.
func TestReplyBeforeTheEndOfItsConnectionIsServed(t *testing.T) {
	replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
		succeed(replica, call)
		call.Conn.Close()
	})
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(query("claim", "q1", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
}

// Non-idempotent subqueries share no connection, so that a malformed reply to another one cannot lose their replies.
func TestNonIdempotentSubqueriesShareNoConnection(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, settings, replica)
	c, other := program.connect(), program.connect()
	c.send(query("claim", "q1", 10, 3, 4))
	waitFor(t, "both non-idempotent subqueries arrive", func() bool { return len(replica.Received()) == 2 })
	other.send(query("look", "q2", 10, 5, 6))
	waitFor(t, "all subqueries arrive", func() bool { return len(replica.Received()) == 4 })
	on := map[net.Conn][]string{}
	for _, call := range replica.Received() {
		on[call.Conn] = append(on[call.Conn], call.ID)
	}
	if len(on) != 3 {
		t.Errorf("subqueries by connection: %v", on)
	}
	for _, call := range replica.Received() {
		if call.ID == "q2.5" {
			io.WriteString(call.Conn, "noise")
		} else if strings.HasPrefix(call.ID, "q1") {
			succeed(replica, call)
		}
	}
	c.expect(map[int]string{3: value(replica, 3), 4: value(replica, 4)})
}

// When a connection carries its limit of attempts, another one is opened, so that no subquery waits. No more
// connections are opened than necessary.
func TestConnectionsCarryTheConfiguredNumberOfAttempts(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(query("look", "q1", 30, 0, 1, 2, 3, 4, 5, 6))
	waitFor(t, "all subqueries arrive", func() bool { return len(replica.Received()) == 7 })
	on := map[net.Conn]int{}
	for _, call := range replica.Received() {
		on[call.Conn]++
	}
	if len(on) != 2 {
		t.Errorf("subqueries by connection: %v", on)
	}
	for conn, n := range on {
		if n > 4 {
			t.Errorf("%d subqueries on %v", n, conn.RemoteAddr())
		}
	}
	for _, call := range replica.Received() {
		succeed(replica, call)
	}
	client.receive()
}

func TestIdleConnectionsAreNotUsedOnceTheyMayBeClosed(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t,
		strings.Replace(settings, `"idleClose":30000000`, `"idleClose":200000`, 1), replica)
	client := program.connect()
	client.send(query("look", "q1", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
	waitFor(t, "the idle connection is closed", func() bool {
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

// An attempt that was sent to an earlier incarnation of a replica is retried without waiting for a reply.
func TestRestartedReplicaIsReachedByNewConnections(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, discovery := startDeployment(t,
		strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":20000`, 1), replica)
	client := program.connect()
	client.send(query("look", "q1", 20, 3))
	waitFor(t, "the subquery arrives", func() bool { return replica.HasReceived("q1") })
	replica.SetBehavior(succeed)
	discovery.Mu.Lock()
	replica.BootMS = time.Now().Add(time.Second).UnixMilli()
	discovery.Mu.Unlock()
	discovery.SetState(replica, "ready")
	client.expect(map[int]string{3: value(replica, 3)})
	if counters := program.counters(); counters["legs_reset"] != 1 || counters["opened"] != 2 {
		t.Errorf("counters %v", counters)
	}
}

// A machine that disappears leaves its connections open and silent. After an attempt there ended without a reply, the
// next attempt opens a new connection, and the old one is closed.
func TestSilentConnectionIsNotUsedAgain(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t,
		strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":20000`, 1), replica)
	client := program.connect()
	client.send(query("look", "q1", 0.2, 3))
	if answer := client.receive(); answer.status != 500 {
		t.Errorf("status %d", answer.status)
	}
	replica.SetBehavior(succeed)
	client.send(query("look", "q2", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
	calls := replica.Received()
	if len(calls) != 2 || calls[0].Conn == calls[1].Conn {
		t.Errorf("%d subqueries arrived, or the second on the silent connection", len(calls))
	}
	waitFor(t, "the silent connection is closed", func() bool {
		_, err := calls[0].Conn.Write(nil)
		return err != nil
	})
}

// The loss of a connection to a healthy replica delays its idempotent subqueries but does not fail their query.
func TestConnectionLossFailsNoIdempotentQuery(t *testing.T) {
	var drops atomic.Int32
	replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
		if drops.Add(1) == 1 {
			time.Sleep(20 * time.Millisecond) // sooner it would be taken for the close of an idle connection
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
