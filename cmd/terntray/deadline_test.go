package main

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// fullBacklog listens on a port where the machine takes up two connections and leaves all others waiting until
// accept is called: their clients try again after a second.
func fullBacklog(t *testing.T) (listener net.Listener, accept func()) {
	t.Helper()
	var relisten error
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { relisten = syscall.Listen(int(fd), 0) }); err != nil || relisten != nil {
		t.Fatal(err, relisten)
	}
	var fillers []net.Conn
	for range 4 {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		fillers = append(fillers, conn)
	}
	if len(fillers) == 0 || len(fillers) == 4 {
		t.Fatalf("%d connections fill the backlog", len(fillers))
	}
	return listener, func() {
		for _, conn := range fillers {
			taken, err := listener.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			taken.Close()
			conn.Close()
		}
	}
}

// What a replica is told of the time left is what is left as the call is written, not as it was decided: a
// connection may take a second to come up.
func TestDeadlineSentIsWhatIsLeftWhenTheConnectionIsUp(t *testing.T) {
	const (
		deadline = 3 * time.Second
		slack    = 150 * time.Millisecond
	)
	for _, model := range []string{"m", "h2"} {
		l, accept := fullBacklog(t)
		replica := newReplica(t, "s-a", 0, silent)
		replica.Listener.Close()
		replica.Listener, replica.Model = l, model
		slow := strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":2500000`, 1)
		program, _ := startDeploymentWith(t, slow, allHTTP2, 1024, replica)
		client := program.connect()
		sent := time.Now()
		client.send(query("look", "q1", deadline.Seconds(), 3))
		time.Sleep(500 * time.Millisecond)
		accept()
		go replica.Accept(l)
		waitFor(t, "the call arrives", func() bool { return replica.HasReceived("q1") })
		left := deadline - time.Since(sent)
		told := time.Duration(replica.Received()[0].TimeLeftMS) * time.Millisecond
		if told > left+slack {
			t.Errorf("%s: told %v with %v left", model, told, left)
		}
		if time.Since(sent) < 900*time.Millisecond {
			t.Errorf("%s: the connection came up after %v: nothing was delayed", model, time.Since(sent))
		}
		l.Close()
	}
}
