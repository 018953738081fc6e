package main

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// fullBacklog listens with a backlog that holds two connections and is full. Further connections come up only after
// accept is called, when their SYN is retransmitted after a second.
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
			accepted, err := listener.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			accepted.Close()
			conn.Close()
		}
	}
}

// The time left that a replica is sent must be computed when the call is written, not when the attempt was decided: a
// connection may take a second to come up.
func TestDeadlineSentIsTheTimeLeftWhenTheCallIsWritten(t *testing.T) {
	const (
		deadline = 3 * time.Second
		slack    = 150 * time.Millisecond
	)
	for _, model := range []string{"m", "h2"} {
		listener, accept := fullBacklog(t)
		replica := newReplica(t, "s-a", 0, silent)
		replica.Listener.Close()
		replica.Listener, replica.Model = listener, model
		slow := strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":2500000`, 1)
		program, _ := startDeploymentWith(t, slow, allHTTP2, 1024, replica)
		client := program.connect()
		sent := time.Now()
		client.send(query("look", "q1", deadline.Seconds(), 3))
		time.Sleep(500 * time.Millisecond)
		accept()
		go replica.Accept(listener)
		waitFor(t, "the call arrives", func() bool { return replica.HasReceived("q1") })
		left := deadline - time.Since(sent)
		sentLeft := time.Duration(replica.Received()[0].TimeLeftMS) * time.Millisecond
		if sentLeft > left+slack {
			t.Errorf("%s: the replica was sent %v as the time left, with %v left", model, sentLeft, left)
		}
		if time.Since(sent) < 900*time.Millisecond {
			t.Errorf("%s: the connection came up after %v, without the delay", model, time.Since(sent))
		}
		listener.Close()
	}
}
