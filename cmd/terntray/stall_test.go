package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"terntray/internal/fake"
)

const drainGrace = time.Second // from the notification of a drain to the last attempt at the replica

// Guards against attempts being sent to a draining replica long after the co-ordinator was notified: the process stands
// still while the endpoint list changes and many clients send requests. When it goes on, it must apply the list, which
// arrived first, before it decides on the requests.
func TestListReceivedDuringAStallIsAppliedBeforeQueries(t *testing.T) {
	const clientCount = 150
	for round := range 3 {
		draining, other := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
		program, discovery := startDeployment(t, strings.Replace(settings, `"maxOpen":40`, `"maxOpen":4000`, 1),
			draining, other)
		var clients []*clientConn
		for range clientCount {
			clients = append(clients, program.connect())
		}
		program.cmd.Process.Signal(syscall.SIGSTOP)
		discovery.SetState(draining, "draining")
		time.Sleep(50 * time.Millisecond) // for discovery to write the change
		for n, client := range clients {
			client.send(query("look", fmt.Sprint("q", n), 10, firstShards(24)...))
		}
		time.Sleep(drainGrace + timeSlack)
		program.cmd.Process.Signal(syscall.SIGCONT)
		for _, client := range clients {
			client.receive() // any answer: one replica alone may be too few
		}
		if late := len(draining.Received()); late > 0 {
			t.Errorf("round %d: %d of %d subqueries were sent to the draining replica", round, late, clientCount)
		}
	}
}

// Guards against the same for an attempt that was decided before the stall and waits for its connection. The connection
// comes up during the stall, and its writer may run before the event loop does.
func TestAttemptDecidedBeforeAStallIsNotSentToADrainingReplica(t *testing.T) {
	for _, model := range []string{"m", "h2"} {
		listener, accept := fullBacklog(t)
		draining, other := newReplica(t, "s-a", 0, succeed), newReplica(t, "s-b", 0, succeed)
		draining.Listener.Close()
		draining.Listener, draining.Model, other.State = listener, model, "draining"
		slow := strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":5000000`, 1)
		program, discovery := startDeploymentWith(t, slow, allHTTP2, 1024, draining, other)
		client := program.connect()
		client.send(query("look", "q1", 10, 3))
		waitFor(t, "an attempt waits for its connection", func() bool { return program.counters()["legs"] == 1 })
		discovery.SetState(other, "ready")
		waitFor(t, "the change is applied", func() bool { return strings.Contains(program.logText(), "rev=6 ") })
		program.cmd.Process.Signal(syscall.SIGSTOP)
		discovery.SetState(draining, "draining")
		accept()
		go draining.Accept(listener)
		time.Sleep(drainGrace + timeSlack)
		program.cmd.Process.Signal(syscall.SIGCONT)
		client.expect(map[int]string{3: value(other, 3)})
		if draining.HasReceived("q1") {
			t.Errorf("%s: an attempt was sent to the draining replica", model)
		}
	}
}

// Guards against replicas being sent too long a time: requests that arrived during a stall are read only after it, some
// of them long after others. Their deadlines count from when they arrived.
func TestTimeLeftAfterAStallCountsFromTheArrival(t *testing.T) {
	const (
		clientCount = 150
		deadline    = 10 * time.Second
	)
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	checked := 0
	replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
		mu.Lock()
		defer mu.Unlock()
		id, _, _ := strings.Cut(call.ID, ".")
		left := deadline - time.Since(sentAt[id])
		if told := time.Duration(call.TimeLeftMS) * time.Millisecond; told > left+timeSlack {
			t.Errorf("%s: the replica was sent %v as the time left, with %v left", call.ID, told, left)
		}
		checked++
		succeed(replica, call)
	})
	patient := strings.NewReplacer(`"maxOpen":40`, `"maxOpen":4000`, `"aim":2000000`, `"aim":9000000`).Replace(settings)
	program, _ := startDeployment(t, patient, replica)
	var clients []*clientConn
	for n := range clientCount {
		clients = append(clients, program.connect())
		mu.Lock()
		sentAt[fmt.Sprint("first", n)] = time.Now()
		mu.Unlock()
		clients[n].send(query("look", fmt.Sprint("first", n), deadline.Seconds(), 3))
	}
	for _, client := range clients {
		client.receive()
	}
	program.cmd.Process.Signal(syscall.SIGSTOP)
	for n, client := range clients {
		mu.Lock()
		sentAt[fmt.Sprint("q", n)] = time.Now()
		mu.Unlock()
		client.send(query("look", fmt.Sprint("q", n), deadline.Seconds(), firstShards(24)...))
	}
	time.Sleep(time.Second)
	program.cmd.Process.Signal(syscall.SIGCONT)
	for _, client := range clients {
		client.receive() // any answer: one replica may be too few
	}
	if checked <= clientCount {
		t.Error("no attempt was made after the stall")
	}
}

// Guards against a value that is cut short being served after a stall: its rest arrives while the process stands still,
// for longer than replies are withheld.
func TestRestOfAReplyThatArrivesDuringAStallIsSeen(t *testing.T) {
	const missing = 3
	var program *process
	replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
		text := frameOf(fmt.Sprintf("Y%s OK 7 -\n%s", call.ID, value(replica, call.Shard)))
		text = text[:3] + string(text[3]-missing) + text[4:]
		io.WriteString(call.Conn, text[:len(text)-missing])
		time.Sleep(3 * time.Millisecond) // for the reply to be read, which is then withheld
		program.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond)
		io.WriteString(call.Conn, text[len(text)-missing:])
		program.cmd.Process.Signal(syscall.SIGCONT)
	})
	program, _ = startDeployment(t, settings, replica)
	client := program.connect()
	for n := range 5 {
		client.send(query("claim", fmt.Sprint("q", n), 10, 3))
		if answer := client.receive(); answer.status != http.StatusInternalServerError {
			t.Errorf("round %d: status %d %s", n, answer.status, answer.body)
		}
	}
}
