package main

import (
	"bufio"
	"fmt"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"terntray/internal/fake"
)

func value(replica *fake.Replica, shard int) string {
	return fmt.Sprintf("v<%s.%d>", replica.UID, shard)
}

func TestQuerySucceedsWithTheReplicasValues(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(query("look", "q1", 10, 3, 9))
	client.expect(map[int]string{3: value(replica, 3), 9: value(replica, 9)})
	for _, call := range replica.Received() {
		if call.Text != "of q1" || call.TimeLeftMS < 1 || call.TimeLeftMS > 10000 ||
			call.ID != fmt.Sprint("q1.", call.Shard) {
			t.Errorf("the replica received %+v", call)
		}
	}
	counters := program.counters()
	if counters["taken"] != 1 || counters["fulfilled"] != 1 || counters["legs"] != 2 ||
		counters["legs_ok"] != 2 || counters["opened"] != 1 {
		t.Errorf("counters %v", counters)
	}
}

// A log that nobody reads must not block the writer of a line.
func TestUnreadLogBlocksNothing(t *testing.T) {
	stuck := make(chan struct{})
	log := newAsyncWriter(writerFunc(func(b []byte) { <-stuck }))
	for range 2 * maxPendingLines {
		log.Write([]byte("line\n"))
	}
	if log.dropped.Load() == 0 {
		t.Error("no line was dropped")
	}
	close(stuck)
	log.Close()
}

type writerFunc func([]byte)

func (w writerFunc) Write(b []byte) (int, error) { w(b); return len(b), nil }

func (program *process) expectExit(t *testing.T) {
	t.Helper()
	select {
	case <-program.done:
	case <-time.After(awaitTimeout):
		t.Fatal("the program does not exit")
	}
	if program.err != nil {
		t.Errorf("the program exited with %v", program.err)
	}
}

func TestShutdownAnswersOpenAndLateQueries(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, settings, replica)
	c, idle := program.connect(), program.connect()
	idle.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if answer := idle.receive(); answer.last {
		t.Error("the connection is closed after its first response")
	}
	c.send(query("look", "q1", 30, 3))
	waitFor(t, "the subquery arrives", func() bool { return replica.HasReceived("q1") })
	program.cmd.Process.Signal(syscall.SIGTERM)
	if _, err := idle.reader.ReadByte(); err == nil {
		t.Error("an idle connection stays open during shutdown")
	}
	other := program.connect()
	other.send(query("look", "q2", 30, 4))
	waitFor(t, "its subquery arrives", func() bool { return replica.HasReceived("q2") })
	waitFor(t, "no further connection is accepted", func() bool {
		conn, err := net.Dial("tcp", program.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	for _, call := range replica.Received() {
		succeed(replica, call)
	}
	for _, conn := range []*clientConn{c, other} {
		if answer := conn.receive(); answer.status != 200 || !answer.last {
			t.Errorf("status %d, last %t", answer.status, answer.last)
		}
	}
	program.expectExit(t)
	if log := program.logText(); !strings.Contains(log, "event=ended taken=2 fulfilled=2") {
		t.Error("the counters were not logged at the end")
	}
}

// A response that its client reads slowly during a shutdown arrives complete. A response that is never read delays the
// exit only for the time that a client has for reading one.
func TestResponseReadSlowlyAcrossTheShutdownArrivesComplete(t *testing.T) {
	for _, reads := range []bool{true, false} {
		replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
			replica.Reply(call, "OK", strings.Repeat("v", 60_000))
		})
		program, _ := startDeployment(t, settings, replica)
		narrow := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { return fake.ShrinkBuffers(raw) }}
		conn, err := narrow.Dial("tcp", program.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(2 * awaitTimeout))
		c := &clientConn{t, conn, bufio.NewReader(conn)}
		shards := make([]int, 8) // far more than fits into the socket buffers
		for n := range shards {
			shards[n] = n
		}
		c.send(query("look", "q", 10, shards...))
		waitFor(t, "the query is answered", func() bool { return program.counters()["fulfilled"] == 1 })
		program.cmd.Process.Signal(syscall.SIGTERM)
		waitFor(t, "the shutdown begins", func() bool {
			return strings.Contains(program.logText(), "event=shutting_down")
		})
		if !reads {
			program.expectExit(t)
			continue
		}
		for range 5 { // read the first bytes, and the rest only after the listener is closed
			c.reader.Peek(c.reader.Buffered() + 1)
			time.Sleep(200 * time.Millisecond)
		}
		if answer := c.receive(); answer.status != 200 || len(answer.values()) != len(shards) {
			t.Errorf("status %d with %d values", answer.status, len(answer.values()))
		}
		program.expectExit(t)
	}
}

// Bytes sent after a connection's last request must not cause a reset that cuts off the response.
func TestLastResponseArrivesCompleteDespiteTrailingBytes(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	for n := range 20 {
		client := program.connect()
		client.send(strings.Replace(query("look", fmt.Sprint("q", n), 10, 3), "Host: b", "Host: b\r\nConnection: close", 1) +
			strings.Repeat("x", 9000))
		if answer := client.receive(); answer.status != 200 || !answer.last {
			t.Fatalf("status %d, last %t", answer.status, answer.last)
		}
	}
}

func TestStartupErrorsNameTheirCause(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	valid := configure(t, "127.0.0.1:1", 64, settings)
	missing := configure(t, "127.0.0.1:1", 64, strings.Replace(settings, `"cells":1,`, "", 1))
	broken := configure(t, "127.0.0.1:1", 64, "{")
	for name, c := range map[string]struct {
		env, args []string
		status    int
		words     string
	}{
		"no platform file": {[]string{"ROUTER_CONFIG="}, []string{"serve"}, 1, "ROUTER_CONFIG"},
		"no such file":     {[]string{"ROUTER_CONFIG=/nowhere/x"}, []string{"serve"}, 1, "/nowhere/x"},
		"invalid JSON":     {broken, []string{"check"}, 1, "ROUTER_CONFIG"},
		"missing setting":  {missing, []string{"serve"}, 1, "familyInfo.cells"},
		"address in use": {
			append(valid[:len(valid):len(valid)], "ROUTER_LISTEN="+taken.Addr().String()), []string{"serve"},
			1, "ROUTER_LISTEN",
		},
		"valid":           {valid, []string{"check"}, 0, "ok: n0"},
		"version":         {nil, []string{"version"}, 0, "terntray"},
		"help":            {nil, []string{"help"}, 0, "usage:"},
		"no command":      {nil, nil, 2, "usage:"},
		"unknown command": {nil, []string{"sevre"}, 2, "usage:"},
		"unknown flag":    {nil, []string{"serve", "-x"}, 2, "-trace"},
		"extra argument":  {nil, []string{"serve", "x"}, 2, "-trace"},
	} {
		output, err := command(c.env, c.args...).CombinedOutput()
		status := 0
		if exit, ok := err.(*exec.ExitError); ok {
			status = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if status != c.status || !strings.Contains(string(output), c.words) {
			t.Errorf("%s: status %d, want %d; %q lacks %q", name, status, c.status, output, c.words)
		}
	}
}
