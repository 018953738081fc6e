package server

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/internal/netconn"
	"terntray/internal/wire"
)

// panickingConn is a connection whose reads panic once it is told to.
type panickingConn struct {
	net.Conn
	armed chan struct{}
}

func (conn *panickingConn) Read(buffer []byte) (int, error) {
	select {
	case <-conn.armed:
		panic("as if")
	default:
	}
	return conn.Conn.Read(buffer)
}

// A client's driver panics while a query is open. That costs its own connection alone: the handler is told that
// the client has left, and the slot is given back.
func TestConnPanicCountsAsClientDisconnect(t *testing.T) {
	f := newFixture()
	near, far := connPair(t)
	conn := &panickingConn{near, make(chan struct{})}
	client := f.newConn(conn)
	go f.serve(client)
	io.WriteString(far, queryRequest("q"))
	f.runOne()
	close(conn.armed)
	client.wake()
	f.runOne()
	if count, err := far.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes come", count)
	}
	for end := time.Now().Add(20 * time.Second); len(f.server.slots.used) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("its slot is taken")
		}
	}
	if len(f.handler.arrivals) != 1 || len(f.handler.disconnected) != 1 || f.handler.disconnected[0] != client {
		t.Errorf("%d queries arrived, %d clients left", len(f.handler.arrivals), len(f.handler.disconnected))
	}
}

// A client sends a query and leaves while that lies unread in the kernel, behind a crowd or a standstill of this
// process. Nothing of it is taken in, however much stands before the client's end.
func TestUnreadRequestOfDisconnectedClientIsNotAccepted(t *testing.T) {
	for name, text := range map[string]string{
		"alone":             queryRequest("q"),
		"with half of more": queryRequest("q") + queryRequest("r")[:40],
		"with more ahead":   strings.Repeat(queryRequest("q"), 9),
		"with far more":     strings.Repeat(queryRequest("q"), 900),
		"with a body beyond": queryRequest("q") + "POST /look HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" +
			strings.Repeat("x", 200_000),
	} {
		for _, reset := range []bool{false, true} {
			f := newFixture()
			near, far := connPair(t)
			io.WriteString(far, text) // what the machines buffer
			if reset {
				far.SetLinger(0)
			}
			far.Close()
			f.serve(f.newConn(near))
			f.runPosted()
			if len(f.handler.arrivals) > 0 {
				t.Errorf("%s, reset %t: %d queries arrived", name, reset, len(f.handler.arrivals))
			}
		}
	}
}

// A client sends on and on while its request is open, and no large-request slot is free. What comes beyond is
// dropped; the open request gets its own response, and none that says that nothing ran.
func TestOpenRequestIsNotRejectedForPipelinedData(t *testing.T) {
	for _, ahead := range []int{largeRequestBytes + 2000, maxReadAhead + 5000, 600_000} {
		f := newFixture()
		f.server.largeSlots.tryAcquire() // the only one
		near, far := connPair(t)
		client := f.newConn(near)
		served := make(chan struct{})
		go func() {
			f.serve(client)
			close(served)
		}()
		io.WriteString(far, queryRequest("q"))
		f.runOne()
		if len(f.handler.arrivals) != 1 {
			t.Fatal("it is not taken in")
		}
		sent := make(chan struct{})
		go func() {
			io.WriteString(far, strings.Repeat("x", ahead))
			close(sent)
		}()
		<-sent
		for end := time.Now().Add(20 * time.Second); netconn.Peek(near) == netconn.Readable && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if len(client.responses) > 0 || len(f.handler.disconnected) > 0 {
			t.Fatalf("%d bytes behind it: it is answered", ahead)
		}
		client.Respond(func(last bool) []byte { return wire.CompleteResponse(true, nil, last) })
		if status, err := readStatus(far); err != nil || status != "HTTP/1.1 200" {
			t.Errorf("%d bytes behind it: %q, %v", ahead, status, err)
		}
		far.Close()
		<-served
	}
}

// The server evicts a client while what that sends is on its way. A request that comes during the final peek is
// served, also if this process stood still over the whole of it, and also if its rest comes a little later.
func TestRequestInFlightDuringEvictionIsServed(t *testing.T) {
	crosses := map[string]func(client *ClientConn, far net.Conn) (inTime bool){
		"a standstill": func(client *ClientConn, far net.Conn) bool {
			client.finalWaitEnds = time.Now().Add(-time.Second)
			io.WriteString(far, upRequest)
			awaitState(t, client.conn, netconn.Readable)
			go client.Serve()
			return true
		},
		"in two pieces": func(client *ClientConn, far net.Conn) bool {
			io.WriteString(far, upRequest[:9])
			awaitState(t, client.conn, netconn.Readable)
			began := time.Now()
			client.finalWaitEnds = began.Add(finalWaitTime)
			go client.Serve()
			awaitState(t, client.conn, netconn.Quiet)
			time.Sleep(2 * finalWaitTime) // it is over by then
			io.WriteString(far, upRequest[9:])
			return time.Since(began) < lateRequestTime // else it may have come too late
		},
	}
	for name := range crosses {
		for try := 0; ; try++ {
			f := newFixture()
			f.handler.ready.Store(true)
			near, far := connPair(t)
			client := f.server.NewConn(near)
			client.evicted.Store(true)
			inTime := crosses[name](client, far)
			status, err := readStatus(far)
			if err == nil && status == "HTTP/1.1 200" {
				break
			}
			if inTime || try == 50 {
				t.Errorf("%s: %q, %v, try %d", name, status, err, try)
				break
			}
		}
	}
}
