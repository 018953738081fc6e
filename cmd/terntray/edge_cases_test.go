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

// The protocol cannot forward idempotency keys: a request of a Keyed class with an idempotency key is refused, and none
// of its subqueries runs.
func TestIdempotencyKeyThatCannotBeForwardedIsRefused(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, strings.Replace(settings, `"side_effect"`, `"token"`, 1), replica)
	client := program.connect()
	for n, class := range []string{"claim", "look", "claim"} {
		text := query(class, fmt.Sprint("q", n), 10, 3)
		if n < 2 {
			text = strings.Replace(text, "Host: b", "Host: b\r\nIdempotency-Key: ed84f3c1", 1)
		}
		client.send(text)
		if n > 0 {
			client.expect(map[int]string{3: value(replica, 3)})
		} else if answer := client.receive(); answer.status != 501 || answer.last {
			t.Errorf("status %d, last %t", answer.status, answer.last)
		}
	}
	if replica.HasReceived("q0") {
		t.Error("a subquery was sent without its idempotency key")
	}
}

// A valid request is served even in chunks of one byte, which take far more space than its body.
func TestRequestInVerySmallChunksIsServed(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	body := fmt.Sprintf(`{"segments":[{"segment":3,"boost":1}],"text":%q}`, strings.Repeat("t", 20_000))
	var chunks strings.Builder
	for _, b := range []byte(body) {
		fmt.Fprintf(&chunks, "1\r\n%c\r\n", b)
	}
	for n := range 3 {
		client := program.connect()
		text := fmt.Sprintf(
			"POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: q%d\r\nReq-Deadline: 9\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n",
			n, chunks.String())
		client.send(text[:100_000])
		time.Sleep(20 * time.Millisecond) // so that it is read in two parts; it is served either way
		client.send(text[100_000:])
		client.expect(map[int]string{3: value(replica, 3)})
	}
}

// A watch that gets no response is replaced by a request for the full list. A drain that the watch missed must be
// applied within 1 s of the watch's end. The same holds if SIGHUP changes the discovery address meanwhile.
func TestDrainMissedBySilentWatchIsAppliedInTime(t *testing.T) {
	for _, moved := range []bool{false, true} {
		a, b := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
		old, next := newAgent(t), newAgent(t)
		// a watch lasts 1 s, half of askEvery
		changed := strings.Replace(settings, `"discovery"`, `"guarantees":{"askEvery":2000000},"discovery"`, 1)
		env := configure(t, old.Listener.Addr().String(), 1024, changed, a, b)
		program := startListening(t, env)
		(<-old.Calls).Respond(endpointList(5, true, []*fake.Replica{a, b}))
		<-old.Calls // the watch, which gets no response
		watchOpened := time.Now()
		a.State = "draining"
		agent, within := old, 2*time.Second
		if moved {
			file := strings.TrimPrefix(env[0], "ROUTER_CONFIG=")
			text, _ := os.ReadFile(file)
			os.WriteFile(file, []byte(strings.Replace(
				string(text), old.Listener.Addr().String(), next.Listener.Addr().String(), 1)), 0o600)
			program.cmd.Process.Signal(syscall.SIGHUP)
			<-next.Calls // the first request there gets no response either
			agent, within = next, 1500*time.Millisecond
		}
		call := <-agent.Calls
		if took := time.Since(watchOpened); took > within+500*time.Millisecond {
			t.Errorf("moved %t: the list was requested only after %v", moved, took)
		}
		if strings.Contains(call.Path, "from") {
			t.Errorf("moved %t: %s does not request the full list", moved, call.Path)
		}
		call.Respond(endpointList(7, true, []*fake.Replica{a, b}))
		waitFor(t, "the list is applied", func() bool { return strings.Contains(program.logText(), "rev=7 ") })
		client := program.connect()
		for n := range 6 {
			client.send(query("look", fmt.Sprint("q", n), 10, n))
			client.expect(map[int]string{n: value(b, n)})
		}
		if len(a.Received()) > 0 {
			t.Errorf("moved %t: subqueries were sent to a draining replica", moved)
		}
		a.State = "ready"
	}
}

// The same if lists are sent only on request: a watch that gets no response is replaced by a request for the full list
// within 2 s of the watch's end, the time by which the changes that it missed have to be applied.
func TestSilentWatchIsRestartedWhereListsArePolled(t *testing.T) {
	a, agent := newReplica(t, "s-a", 0, succeed), newAgent(t)
	changed := strings.Replace(settings, // a watch lasts 1 s, half of askEvery
		`"discovery":"automatic"`, `"guarantees":{"askEvery":2000000},"discovery":"subscribe"`, 1)
	startListening(t, configure(t, agent.Listener.Addr().String(), 1024, changed, a))
	(<-agent.Calls).Respond(endpointList(5, true, []*fake.Replica{a}))
	if call := <-agent.Calls; !strings.Contains(call.Path, "hold_ms=1000") {
		t.Fatalf("%s is not a watch of 1 s", call.Path)
	}
	watchOpened := time.Now()
	if call := <-agent.Calls; time.Since(watchOpened) > 3*time.Second || strings.Contains(call.Path, "from") {
		t.Errorf("%s was requested after %v", call.Path, time.Since(watchOpened))
	}
}

func newAgent(t *testing.T) *fake.DiscoveryAgent {
	agent, err := fake.NewDiscoveryAgent()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { agent.Listener.Close() })
	return agent
}

// Whatever byte its connection breaks at, a non-idempotent subquery runs at most once. If it may have run, the response
// is not a 503, which would tell the client that a retry is safe.
func TestNonIdempotentSubqueryRunsAtMostOnceIfItsConnectionBreaks(t *testing.T) {
	a, b := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
	program, _ := startDeployment(t, settings, a, b)
	frame := 5 + len("q00.3 3 d=9999 6\nof q00")
	cuts := []int{0, 1, 4, 5, 12, 20}
	for n := range 9 {
		cuts = append(cuts, frame-4+n)
	}
	for _, cutAfter := range cuts {
		for _, replica := range []*fake.Replica{a, b} {
			replica.Mu.Lock()
			replica.CutAfter = func() int { return cutAfter }
			replica.Mu.Unlock()
			replica.CloseConnections(cutAfter%2 == 0)
		}
		id := fmt.Sprintf("q%02d", cutAfter)
		client := program.connect()
		client.send(query("claim", id, 10, 3))
		answer := client.receive()
		ran := 0
		for _, replica := range []*fake.Replica{a, b} {
			for _, call := range replica.Received() {
				if call.ID == id+".3" {
					ran++
				}
			}
		}
		if ran > 1 || ran > 0 && answer.status == 503 || answer.status == 200 && ran != 1 {
			t.Errorf("cut after %d bytes: run %d times, status %d", cutAfter, ran, answer.status)
		}
		client.Conn.Close()
	}
}

// SIGTERM arrives during a stall, together with requests on old and new connections. All are answered.
func TestRequestsDuringShutdownAreAnswered(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	var all []*clientConn
	for range 6 {
		all = append(all, program.connect())
	}
	program.whileStopped(100*time.Millisecond, func() {
		for range 6 {
			all = append(all, program.connect())
		}
		for n, c := range all[:6] {
			c.send(query("look", fmt.Sprint("old", n), 10, n))
		}
		program.cmd.Process.Signal(syscall.SIGTERM)
		for n, c := range all[6:] {
			c.send(query("look", fmt.Sprint("new", n), 10, n))
		}
	})
	for n, c := range all {
		c.expect(map[int]string{n % 6: value(replica, n%6)})
	}
	program.expectExit(t)
}

// A reply whose second half is delayed, as by a lost packet, is accepted; a non-idempotent subquery cannot be retried.
func TestReplyInPiecesIsAccepted(t *testing.T) {
	replica := newReplica(t, "s-a", 0, nil)
	replica.SetBehavior(func(replica *fake.Replica, call fake.Call) {
		text := frameOf(fmt.Sprintf("Y%s OK 7 -\n%s", call.ID, value(replica, call.Shard)))
		io.WriteString(call.Conn, text[:len(text)/2])
		time.Sleep(220 * time.Millisecond) // a TCP retransmission timeout
		io.WriteString(call.Conn, text[len(text)/2:])
	})
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(query("claim", "q1", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
}

// A reply may also arrive in pieces on a connection that was idle for longer than the limit for a complete reply.
func TestReplyInPiecesOnAnIdleConnectionIsAccepted(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t,
		strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":100000`, 1), replica)
	client := program.connect()
	client.send(query("claim", "q1", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
	replica.SetBehavior(func(replica *fake.Replica, call fake.Call) {
		text := frameOf(fmt.Sprintf("Y%s OK 7 -\n%s", call.ID, value(replica, call.Shard)))
		io.WriteString(call.Conn, text[:len(text)/2])
		time.Sleep(20 * time.Millisecond)
		io.WriteString(call.Conn, text[len(text)/2:])
	})
	time.Sleep(600 * time.Millisecond) // the limit for a complete reply is 0.4 s, four times that for a part
	client.send(query("claim", "q2", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
}

// A reply that arrives byte by byte without end closes its connection within a bounded time, so that no attempt behind
// it has to wait until its own deadline. An idempotent subquery would be retried elsewhere; the non-idempotent one here
// fails.
func TestEndlessReplyClosesItsConnection(t *testing.T) {
	replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
		go func() {
			io.WriteString(call.Conn, "\x00\x00\xff\xffY")
			for {
				if _, err := io.WriteString(call.Conn, "7"); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	})
	program, _ := startDeployment(t,
		strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":100000`, 1), replica)
	client := program.connect()
	began := time.Now()
	client.send(query("claim", "q1", 10, 3))
	if answer := client.receive(); answer.status != 500 || time.Since(began) > 5*time.Second {
		t.Errorf("status %d after %v", answer.status, time.Since(began))
	}
	if counters := program.counters(); counters["legs_spoilt"] != 1 || counters["spoilt"] != 1 {
		t.Errorf("counters %v", counters)
	}
}

// The protocol has no second step (familyInfo.classFetch, not the fetch phase of two-phase queries): queries of a class
// that requires one are refused, other classes are served.
func TestClassWithASecondPhaseIsRefused(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t,
		strings.Replace(settings, `"classFetch":[0,0,0]`, `"classFetch":[0,2,0]`, 1), replica)
	client := program.connect()
	client.send(query("claim", "q1", 10, 3))
	if answer := client.receive(); answer.status != 501 || answer.last || replica.HasReceived("q1") {
		t.Errorf("status %d, last %t", answer.status, answer.last)
	}
	client.send(query("look", "q2", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
}

// However many requests are waiting for a response, the next one is answered at once. It does not stay in the listen
// backlog until one of them ends, nor wait for an idle client. With 36 descriptors the limit is eight client
// connections.
func TestRequestIsAnsweredAtOnceWhileOthersWait(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program := start(t, configure(
		t, newDiscovery(t, "127.0.0.1:0", replica).Listener.Addr().String(), 36, settings, replica))
	for n := range 8 { // seven wait; the last is answered at once, as one place is kept free
		program.connect().send(query("look", fmt.Sprint("waits", n), 20, n))
	}
	waitFor(t, "the queries are waiting", func() bool {
		return strings.Count(program.logText(), "query_arrived=waits") >= 7
	})
	for n := range 9 {
		client := program.connect()
		began := time.Now()
		client.send(query("look", fmt.Sprint("q", n), 0.5, 9))
		if answer := client.receive(); answer.status != 503 || time.Since(began) > time.Second {
			t.Errorf("request %d: status %d after %v", n, answer.status, time.Since(began))
		}
	}
	if counters := program.counters(); counters["taken"] != 17 || counters["full"] != 10 {
		t.Errorf("counters %v", counters)
	}
}
