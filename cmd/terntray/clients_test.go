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

func TestPipelinedAndSplitRequestsAreServed(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	body := `{"segments":[{"segment":1,"boost":1}],"text":"x"}`
	text := query("look", "q1", 10, 2) + fmt.Sprintf(
		"POST /look/more HTTP/1.1\r\nHost: b\r\nReq-Id: q2\r\nReq-Deadline: 9\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body) + query("look", "q3", 10, 5)
	for at := 0; at < len(text); at += 37 {
		client.send(text[at:min(len(text), at+37)])
	}
	client.expect(map[int]string{2: value(replica, 2)})
	client.expect(map[int]string{1: value(replica, 1)})
	client.expect(map[int]string{5: value(replica, 5)})
}

func TestClientDisconnectCancelsItsQuery(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(query("look", "q1", 30, 3))
	waitFor(t, "the subquery arrives", func() bool { return replica.HasReceived("q1") })
	client.Conn.Close()
	waitFor(t, "the subquery is abandoned", func() bool {
		replica.Mu.Lock()
		defer replica.Mu.Unlock()
		return len(replica.Abandoned) == 1 && replica.Abandoned[0] == "q1.3"
	})
	waitFor(t, "the disconnect is counted", func() bool {
		counters := program.counters()
		return counters["left"] == 1 && counters["open"] == 0
	})
	// A late reply must have no effect.
	replica.Reply(replica.Received()[0], "OK", "late")
	replica.SetBehavior(succeed)
	other := program.connect()
	other.send(query("look", "q2", 10, 3))
	other.expect(map[int]string{3: value(replica, 3)})
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
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
		client := program.connect()
		client.send(text)
		if answer := client.receive(); answer.status != want || len(strings.TrimSpace(answer.body)) == 0 {
			t.Errorf("%.60q: status %d %q, want %d", text, answer.status, answer.body, want)
		}
	}
	if counters := program.counters(); counters["bad"] != 12 || counters["taken"] != 0 || len(replica.Received()) > 0 {
		t.Errorf("counters %v", counters)
	}
	client := program.connect()
	client.send(good)
	client.expect(map[int]string{3: value(replica, 3)})
}

func TestDuplicateRequestIDIsRefused(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, settings, replica)
	c, other := program.connect(), program.connect()
	c.send(query("look", "q1", 30, 3))
	waitFor(t, "the subquery arrives", func() bool { return replica.HasReceived("q1") })
	other.send(query("look", "q1", 30, 3))
	if answer := other.receive(); answer.status != 409 {
		t.Errorf("the second request: status %d", answer.status)
	}
	succeed(replica, replica.Received()[0])
	c.expect(map[int]string{3: value(replica, 3)})
}

func TestQueriesBeyondMaxOpenAreRejected(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, strings.Replace(settings, `"maxOpen":40`, `"maxOpen":6`, 1), replica)
	c, other := program.connect(), program.connect()
	c.send(query("look", "q1", 30, 1, 2, 3, 4, 5))
	waitFor(t, "its subqueries arrive", func() bool { return len(replica.Received()) == 5 })
	other.send(query("look", "q2", 30, 6))
	if answer := other.receive(); answer.status != 503 {
		t.Errorf("status %d", answer.status)
	}
	succeed(replica, replica.Received()[0]) // a reply makes room for another query
	waitFor(t, "the reply is counted", func() bool { return program.counters()["legs_ok"] == 1 })
	replica.SetBehavior(succeed)
	other.send(query("look", "q3", 30, 7, 8, 9))
	if answer := other.receive(); answer.status != 200 {
		t.Errorf("status %d", answer.status)
	}
	if counters := program.counters(); counters["full"] != 1 || counters["turned_back"] != 1 ||
		counters["taken"] != 3 || counters["open"] != 1 {
		t.Errorf("counters %v", counters)
	}
}

// When clients need more descriptors than there are, idle connections are closed to make room for new ones.
func TestIdleClientsAreEvictedForNewOnes(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	discovery := newDiscovery(t, "127.0.0.1:0", replica)
	program := start(t, configure(t, discovery.Listener.Addr().String(), 40, settings, replica))
	for n := range 20 {
		program.connect().send("POST /look HTTP/1.1\r\n"[:n])
		client := program.connect()
		client.send(query("look", fmt.Sprint("q", n), 10, 3))
		client.expect(map[int]string{3: value(replica, 3)})
	}
}

// A misbehaving client gets an error or is disconnected within three seconds of connecting.
func TestMisbehavingClientsAreDisconnectedInTime(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	good := query("look", "q1", 10, 3)
	drip := func(client *clientConn) { // endless request headers, byte by byte
		client.send("POST /look HTTP/1.1\r\nX: ")
		for n := 0; n < 200; n++ {
			if _, err := io.WriteString(client.Conn, "y"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	replica.SetBehavior(func(replica *fake.Replica, call fake.Call) {
		if call.ID != "open.3" {
			succeed(replica, call)
		}
	})
	client := program.connect()
	client.send(query("look", "open", 20, 3))
	waitFor(t, "the subquery arrives", func() bool { return replica.HasReceived("open.3") })
	ended := make(chan string)
	for name, misbehave := range map[string]func(*clientConn){
		"silence":              func(*clientConn) {},
		"half a request":       func(client *clientConn) { client.send(good[:len(good)-9]) },
		"headers byte by byte": drip,
		"half a request after a complete one": func(client *clientConn) {
			client.send(good)
			client.receive()
			client.send(good[:20])
		},
		"a body of 60 MB": func(client *clientConn) {
			client.send("POST /look HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
			client.sendFiller(60e6)
		},
		"endless chunks": func(client *clientConn) {
			client.send("POST /look HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff")
			client.sendFiller(60e6)
		},
		"a duplicate id": func(client *clientConn) { client.send(query("look", "open", 10, 3)) },
		"too many headers": func(client *clientConn) {
			client.send("POST /look HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 9000))
		},
	} {
		go func() {
			client := program.connect()
			client.Conn.SetDeadline(time.Now().Add(3 * time.Second))
			misbehave(client)
			if _, err := io.Copy(io.Discard, client.reader); errors.Is(err, os.ErrDeadlineExceeded) {
				name += " is not disconnected"
			}
			ended <- name
		}()
	}
	for range 8 {
		if name := <-ended; strings.Contains(name, "not disconnected") {
			t.Error(name)
		}
	}
	for _, call := range replica.Received() {
		if call.ID == "open.3" {
			succeed(replica, call)
		}
	}
	client.expect(map[int]string{3: value(replica, 3)})
}

// sendFiller sends n bytes, or as many as the program accepts.
func (client *clientConn) sendFiller(n int) {
	some := []byte(strings.Repeat("y", 1<<16))
	for ; n > 0; n -= len(some) {
		if _, err := client.Conn.Write(some); err != nil {
			return
		}
	}
}

// Hundreds of connections that send nothing do not keep other clients out, and clients with earlier requests keep their
// connections.
func TestManySilentConnectionsDoNotLockOutClients(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	discovery := newDiscovery(t, "127.0.0.1:0", replica)
	program := start(t, configure(t, discovery.Listener.Addr().String(), 256, settings, replica))
	receiveValues(program.connect(), replica, enoughValues) // from now on no reply is withheld
	var usual []*clientConn
	for n := range 20 {
		usual = append(usual, program.connect())
		usual[n].send(query("look", fmt.Sprint("a", n), 10, 3))
		usual[n].expect(map[int]string{3: value(replica, 3)})
	}
	for range 600 {
		program.connect()
	}
	for n, c := range usual {
		c.send(query("look", fmt.Sprint("b", n), 10, 3))
		c.expect(map[int]string{3: value(replica, 3)})
		other := program.connect()
		other.send(query("look", fmt.Sprint("c", n), 10, 3))
		other.expect(map[int]string{3: value(replica, 3)})
	}
}

// Guards against usual clients that lose their connections to a crowd that sends nothing, because they rested for longer than
// the crowd was there: the process or its clients are slow, or have little to ask.
func TestRestingClientsKeepTheirConnectionsBesideSilentOnes(t *testing.T) {
	const (
		clients = 20
		rest    = 1500 * time.Millisecond
		crowd   = 600
	)
	replica := newReplica(t, "s-a", 0, succeed)
	discovery := newDiscovery(t, "127.0.0.1:0", replica)
	program := start(t, configure(t, discovery.Listener.Addr().String(), 256, settings, replica))
	receiveValues(program.connect(), replica, enoughValues) // from now on no reply is withheld
	var usual []*clientConn
	for n := range clients {
		usual = append(usual, program.connect())
		usual[n].send(query("look", fmt.Sprint("a", n), 10, 3))
		usual[n].expect(map[int]string{3: value(replica, 3)})
	}
	time.Sleep(rest)
	for range crowd {
		program.connect()
	}
	for n, client := range usual {
		client.send(query("look", fmt.Sprint("b", n), 10, 3))
		client.expect(map[int]string{3: value(replica, 3)})
	}
}

// Clients may use at most a third of the descriptors: idle connections with earlier requests are closed to make room
// for new ones.
func TestIdleClientsAreEvictedAfterTheirRequests(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	discovery := newDiscovery(t, "127.0.0.1:0", replica)
	program := start(t, configure(t, discovery.Listener.Addr().String(), 96, settings, replica))
	var open atomic.Int32
	for n := range 60 {
		client := program.connect()
		open.Add(1)
		client.send(query("look", fmt.Sprint("q", n), 10, 3))
		client.expect(map[int]string{3: value(replica, 3)})
		go func() {
			client.reader.ReadByte()
			open.Add(-1)
		}()
		began := time.Now()
		waitFor(t, "there is room for new connections", func() bool { return open.Load() < 96/3-4 })
		if waited := time.Since(began); waited > time.Second {
			t.Fatalf("there was room only after %v", waited)
		}
	}
	if n := open.Load(); n < 10 {
		t.Errorf("only %d connections are kept", n)
	}
}

// Responses that one client does not read must not delay other clients.
func TestClientThatDoesNotReadBlocksNoOther(t *testing.T) {
	var asked atomic.Int32
	replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
		asked.Add(1)
		replica.Reply(call, "OK", strings.Repeat("v", 60000))
	})
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() {
		for n := range 400 {
			if _, err := client.Conn.Write([]byte(query("look", fmt.Sprint("c", n), 10, 3))); err != nil {
				return
			}
		}
	}()
	waitFor(t, "its responses pile up", func() bool { return asked.Load() >= 5 })
	other := program.connect()
	for n := range 5 {
		other.send(query("look", fmt.Sprint("d", n), 10, 3))
		if answer := other.receive(); answer.status != 200 {
			t.Errorf("status %d", answer.status)
		}
	}
}

// The descriptors of connections are released however clients and replicas close them.
func TestDescriptorsAreReleased(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	descriptors := func() int {
		all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", program.cmd.Process.Pid))
		if err != nil {
			t.Skip("the descriptors of a process cannot be listed on this system")
		}
		return len(all)
	}
	http.DefaultClient.CloseIdleConnections()
	before := descriptors()
	for index := range 60 {
		client := program.connect()
		switch index % 4 {
		case 0: // disconnects after the response
			client.send(query("look", fmt.Sprint("q", index), 10, 3))
			client.receive()
		case 1: // disconnects before the response
			client.send(query("look", fmt.Sprint("q", index), 10, 3))
		case 2: // disconnects within a request
			client.send(query("look", fmt.Sprint("q", index), 10, 3)[:index])
		case 3: // sends an invalid request
			client.send("?\r\n\r\n")
			client.receive()
		}
		client.Conn.Close()
		if index%10 == 0 {
			replica.Mu.Lock()
			for _, conn := range replica.Conns {
				conn.Close()
			}
			replica.Mu.Unlock()
		}
	}
	waitFor(t, "all descriptors but one connection to the replica are released", func() bool {
		return descriptors() <= before+1
	})
}

// A request of which a byte arrives every millisecond times out too, although its connection always has unread input.
func TestRequestByteByByteTimesOut(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	for name, begin := range map[string]string{
		"headers": "POST /look HTTP/1.1\r\nX: ",
		"body":    "POST /look HTTP/1.1\r\nReq-Id: q\r\nReq-Deadline: 9\r\nContent-Length: 60000\r\n\r\n",
	} {
		client := program.connect()
		client.send(begin)
		began := time.Now()
		go func() {
			for time.Since(began) < 6*time.Second {
				if _, err := io.WriteString(client.Conn, "y"); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		client.Conn.SetReadDeadline(began.Add(3 * time.Second))
		if _, err := client.reader.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s byte by byte: neither an error nor a close after 3 s", name)
		}
		client.Conn.Close()
	}
}
