package main

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// fullBacklog listens on a port where the machine takes up two connections and leaves all others waiting until accept is
// called: their clients try again after a second.
func fullBacklog(t *testing.T) (l net.Listener, accept func()) {
	t.Helper()
	var relisten error
	config := net.ListenConfig{}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { relisten = syscall.Listen(int(fd), 0) }); err != nil || relisten != nil {
		t.Fatal(err, relisten)
	}
	var fillers []net.Conn
	for range 4 {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		fillers = append(fillers, conn)
	}
	if len(fillers) == 0 || len(fillers) == 4 {
		t.Fatalf("%d connections fill the backlog", len(fillers))
	}
	return l, func() {
		for _, conn := range fillers {
			taken, err := l.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			taken.Close()
			conn.Close()
		}
	}
}

// What a replica is told of the time left is what is left as the call is written, not as it was decided: a connection may
// take a second to come up.
func TestTimeToldIsWhatIsLeftWhenTheConnectionIsUp(t *testing.T) {
	const (
		deadline = 3 * time.Second
		slack    = 150 * time.Millisecond
	)
	for _, model := range []string{"m", "h2"} {
		l, accept := fullBacklog(t)
		a := newStandin(t, "s-a", 0, silent)
		a.Listener.Close()
		a.Listener, a.Model = l, model
		slow := strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":2500000`, 1)
		p, _ := installed(t, slow, allHTTP2, 1024, a)
		c := p.connect()
		sent := time.Now()
		c.send(query("look", "q1", deadline.Seconds(), 3))
		time.Sleep(500 * time.Millisecond)
		accept()
		go a.Accept(l)
		until(t, "the call arrives", func() bool { return a.HasReceived("q1") })
		left := deadline - time.Since(sent)
		told := time.Duration(a.Received()[0].TimeLeftMS) * time.Millisecond
		if told > left+slack {
			t.Errorf("%s: told %v with %v left", model, told, left)
		}
		if time.Since(sent) < 900*time.Millisecond {
			t.Errorf("%s: the connection came up after %v: nothing was delayed", model, time.Since(sent))
		}
		l.Close()
	}
}
