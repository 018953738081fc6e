package coordinator

import (
	"context"
	"io"
	"log"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/internal/fake"
	"terntray/internal/wire"
)

// The next call of discovery goes out while what the last one told waits for its turn. Guards against: a full inbox that
// lets a watch lapse.
func TestWatchGoesOnWhileItsListWaitsForItsTurn(t *testing.T) {
	a, err := fake.NewDiscoveryAgent()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Listener.Close()
	c := fronted(t)
	ctx, stop := context.WithCancel(context.Background())
	waits, ended := make(chan struct{}), make(chan struct{})
	go func() {
		c.list.calls(ctx, a.Listener.Addr().String(), func(*wire.EndpointList) { <-waits })
		close(ended)
	}()
	(<-a.Calls).Respond(`{"rev":5,"all":true,"targets":[]}`)
	select {
	case next := <-a.Calls:
		if !strings.Contains(next.Path, "from=5") {
			t.Errorf("the next call is %s", next.Path)
		}
	case <-time.After(5 * time.Second):
		t.Error("no next call comes before the list has had its turn")
	}
	close(waits)
	stop()
	<-ended
}

// An agent that swallows a call, as while discovery is down, is asked again before what it tells at its return is late.
// Guards against: a drain that counts as told while a call hangs. 0.6 s is some more than an agent is waited for.
func TestCallThatHangsIsMadeAgainSoon(t *testing.T) {
	a, err := fake.NewDiscoveryAgent()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Listener.Close()
	c := fronted(t)
	for _, wait := range []time.Duration{0, 100 * time.Millisecond} { // the whole list; a watch
		c.list.hold = wait
		ended := make(chan error)
		go func() {
			ended <- c.list.calls(context.Background(), a.Listener.Addr().String(), func(*wire.EndpointList) {})
		}()
		call := <-a.Calls
		if wait > 0 {
			call.Respond(`{"rev":5,"all":true,"targets":[]}`)
			<-a.Calls
		}
		began := time.Now()
		if <-ended; time.Since(began) > wait+1200*time.Millisecond {
			t.Errorf("a call that may wait %v is given up after %v", wait, time.Since(began))
		}
	}
}

// A list that states no length ends with its connection; one that is reset on the way has no end, whatever of it came.
func TestListWithoutALengthEndsWithItsConnectionAlone(t *testing.T) {
	for _, reset := range []bool{false, true} {
		a, err := fake.NewDiscoveryAgent()
		if err != nil {
			t.Fatal(err)
		}
		c := fronted(t)
		c.list.hold = time.Minute
		ctx, stop := context.WithCancel(context.Background())
		told, ended := make(chan *wire.EndpointList, 9), make(chan error, 1)
		go func() {
			ended <- c.list.calls(ctx, a.Listener.Addr().String(), func(l *wire.EndpointList) { told <- l })
		}()
		call := <-a.Calls
		io.WriteString(call.Conn, "HTTP/1.1 200 OK\r\n\r\n{\"rev\":5,\"all\":true,\"targets\":[]}")
		if reset {
			call.Conn.(*net.TCPConn).SetLinger(0)
		}
		call.Conn.Close()
		select {
		case l := <-told:
			if reset || l.Rev != 5 {
				t.Errorf("reset %t: told %+v", reset, l)
			}
			if next := <-a.Calls; !strings.Contains(next.Path, "from=5") { // on a connection of its own
				t.Errorf("the next call is %s", next.Path)
			}
		case err := <-ended:
			if !reset {
				t.Errorf("it is taken for a failure: %v", err)
			}
			ended <- err
		}
		stop()
		<-ended
		a.Listener.Close()
	}
}

// A new process serves nobody by its old list as long as a newer one may be had at once.
func TestReadyOnlyOnceTheListIsKnownAnew(t *testing.T) {
	for _, told := range []bool{true, false} {
		a, err := fake.NewDiscoveryAgent()
		if err != nil {
			t.Fatal(err)
		}
		cell := 0
		d := deployment(t, wire.Target{UID: "s-a", Endpoint: "127.0.0.1:1", State: wire.Ready, Cell: &cell})
		d.Discovery = a.Listener.Addr().String()
		c, err := New(d, log.New(io.Discard, "", 0))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- c.Serve(ctx) }()
		call := <-a.Calls
		if c.ready.Load() {
			t.Error("it is ready with the list of its last life")
		}
		if told {
			call.Respond(`{"rev":5,"all":true,"targets":[{"uid":"s-a","endpoint":"127.0.0.1:1","az":"west","pod_group":0,"state":"draining"}]}`)
		} else { // discovery is down: the old one is all there is
			call.Conn.Close()
		}
		for end := time.Now().Add(20 * time.Second); !c.ready.Load(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("told %t: it is never ready", told)
			}
		}
		stop()
		<-ended
		a.Listener.Close()
	}
}
