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
	for _, part := range replica.Received() {
		if part.Text != "of q1" || part.TimeLeftMS < 1 || part.TimeLeftMS > 10000 || part.ID != fmt.Sprint("q1.", part.Shard) {
			t.Errorf("the replica was sent %+v", part)
		}
	}
	counters := program.counters()
	if counters["taken"] != 1 || counters["fulfilled"] != 1 || counters["legs"] != 2 || counters["legs_ok"] != 2 || counters["opened"] != 1 {
		t.Errorf("counters %v", counters)
	}
}

// A log that nobody reads holds up nothing.
func TestUnreadLogBlocksNothing(t *testing.T) {
	stuck := make(chan struct{})
	l := newAsyncWriter(writerFunc(func(b []byte) { <-stuck }))
	for range 2 * maxPendingLines {
		l.Write([]byte("line\n"))
	}
	if l.dropped.Load() == 0 {
		t.Error("no line was dropped")
	}
	close(stuck)
	l.Close()
}

type writerFunc func([]byte)

func (w writerFunc) Write(b []byte) (int, error) { w(b); return len(b), nil }

func (program *process) expectExit(t *testing.T) {
	t.Helper()
	select {
	case <-program.done:
	case <-time.After(awaitTimeout):
		t.Fatal("the program does not end")
	}
	if program.err != nil {
		t.Errorf("the program ended with %v", program.err)
	}
}

func TestShutdownAnswersOpenAndLateQueries(t *testing.T) {
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, settings, replica)
	c, idle := program.connect(), program.connect()
	idle.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if answer := idle.receive(); answer.last {
		t.Error("the connection was ended with its first answer")
	}
	c.send(query("look", "q1", 30, 3))
	waitFor(t, "the subquery arrives", func() bool { return replica.HasReceived("q1") })
	program.cmd.Process.Signal(syscall.SIGTERM)
	if _, err := idle.in.ReadByte(); err == nil {
		t.Error("an idle connection stays open")
	}
	other := program.connect()
	other.send(query("look", "q2", 30, 4))
	waitFor(t, "its subquery arrives", func() bool { return replica.HasReceived("q2") })
	waitFor(t, "no further connection is taken", func() bool {
		conn, err := net.Dial("tcp", program.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	for _, part := range replica.Received() {
		succeed(replica, part)
	}
	for _, k := range []*clientConn{c, other} {
		if answer := k.receive(); answer.status != 200 || !answer.last {
			t.Errorf("answered %d, last %t", answer.status, answer.last)
		}
	}
	program.expectExit(t)
	if log := program.logText(); !strings.Contains(log, "event=ended taken=2 fulfilled=2") {
		t.Error("no counters at the end")
	}
}

// An answer that its client takes slowly while the program is told to end arrives whole; one that is never read
// holds the end up for no longer than an answer may take to be read.
func TestResponseReadSlowlyAcrossTheShutdownArrivesComplete(t *testing.T) {
	for _, reads := range []bool{true, false} {
		replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) { replica.Reply(call, "OK", strings.Repeat("v", 60_000)) })
		program, _ := startDeployment(t, settings, replica)
		narrow := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { return fake.ShrinkBuffers(raw) }}
		conn, err := narrow.Dial("tcp", program.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(2 * awaitTimeout))
		c := &clientConn{t, conn, bufio.NewReader(conn)}
		shards := make([]int, 8) // far more than the machines hold for a connection
		for n := range shards {
			shards[n] = n
		}
		c.send(query("look", "q", 10, shards...))
		waitFor(t, "the answer is made", func() bool { return program.counters()["fulfilled"] == 1 })
		program.cmd.Process.Signal(syscall.SIGTERM)
		waitFor(t, "it is told to end", func() bool { return strings.Contains(program.logText(), "event=shutting_down") })
		if !reads {
			program.expectExit(t)
			continue
		}
		for range 5 { // a first bit of it, then the rest after the listener's end
			c.in.Peek(c.in.Buffered() + 1)
			time.Sleep(200 * time.Millisecond)
		}
		if answer := c.receive(); answer.status != 200 || len(answer.values()) != len(shards) {
			t.Errorf("answered %d with %d values", answer.status, len(answer.values()))
		}
		program.expectExit(t)
	}
}

// Bytes that come behind a last request must not have its answer cut off by a reset.
func TestLastResponseArrivesCompleteDespiteTrailingBytes(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	for range 20 {
		client := program.connect()
		client.send(strings.Replace(query("look", "q1", 10, 3), "Host: b", "Host: b\r\nConnection: close", 1) + strings.Repeat("x", 9000))
		if answer := client.receive(); answer.status != 200 || !answer.last {
			t.Fatalf("answered %d, last %t", answer.status, answer.last)
		}
	}
}

func TestStartupErrorsNameTheirCause(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	fine := configure(t, "127.0.0.1:1", 64, settings)
	missing := configure(t, "127.0.0.1:1", 64, strings.Replace(settings, `"cells":1,`, "", 1))
	broken := configure(t, "127.0.0.1:1", 64, "{")
	for name, c := range map[string]struct {
		env, args []string
		status    int
		words     string
	}{
		"no configuration": {[]string{"ROUTER_CONFIG="}, []string{"serve"}, 1, "ROUTER_CONFIG"},
		"no such file":     {[]string{"ROUTER_CONFIG=/nowhere/x"}, []string{"serve"}, 1, "/nowhere/x"},
		"no JSON":          {broken, []string{"check"}, 1, "ROUTER_CONFIG"},
		"no setting":       {missing, []string{"serve"}, 1, "familyInfo.cells"},
		"address taken":    {append(fine[:len(fine):len(fine)], "ROUTER_LISTEN="+taken.Addr().String()), []string{"serve"}, 1, "ROUTER_LISTEN"},
		"all fine":         {fine, []string{"check"}, 0, "ok: n0"},
		"version":          {nil, []string{"version"}, 0, "terntray"},
		"help":             {nil, []string{"help"}, 0, "usage:"},
		"no command":       {nil, nil, 2, "usage:"},
		"unknown command":  {nil, []string{"sevre"}, 2, "usage:"},
		"unknown flag":     {nil, []string{"serve", "-x"}, 2, "-trace"},
		"a word too many":  {nil, []string{"serve", "x"}, 2, "-trace"},
	} {
		out, err := command(c.env, c.args...).CombinedOutput()
		status := 0
		if exit, ok := err.(*exec.ExitError); ok {
			status = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if status != c.status || !strings.Contains(string(out), c.words) {
			t.Errorf("%s: status %d, want %d; %q lacks %q", name, status, c.status, out, c.words)
		}
	}
}
