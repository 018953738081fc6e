package server

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/internal/conntest"
	"terntray/internal/netconn"
	"terntray/internal/wire"
)

// The goroutine of a connection panics while a query is open. Only this connection ends: the handler is notified of a
// disconnect and the slot is released.
func TestConnPanicCountsAsClientDisconnect(t *testing.T) {
	f := newFixture()
	serverEnd, clientEnd := conntest.Pair(t)
	conn := &conntest.PanickingConn{Conn: serverEnd, Armed: make(chan struct{})}
	client := f.newConn(conn)
	go f.serve(client)
	io.WriteString(clientEnd, queryRequest("q"))
	f.runOne()
	close(conn.Armed)
	client.wake()
	f.runOne()
	if count, err := clientEnd.Read(make([]byte, 1)); err == nil {
		t.Errorf("received %d bytes, want none", count)
	}
	for end := time.Now().Add(20 * time.Second); len(f.server.slots.used) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the slot was not released")
		}
	}
	if len(f.handler.arrivals) != 1 || len(f.handler.disconnected) != 1 || f.handler.disconnected[0] != client {
		t.Errorf("%d queries arrived, %d clients disconnected", len(f.handler.arrivals), len(f.handler.disconnected))
	}
}

// A client sends a query and disconnects while the query is unread in the kernel, because this process is busy or
// stalled. The query is not accepted, no matter how much data precedes the FIN or reset.
func TestUnreadRequestOfDisconnectedClientIsNotAccepted(t *testing.T) {
	for name, text := range map[string]string{
		"alone":                               queryRequest("q"),
		"followed by a partial request":       queryRequest("q") + queryRequest("r")[:40],
		"pipelined":                           strings.Repeat(queryRequest("q"), 9),
		"pipelined, more than the read-ahead": strings.Repeat(queryRequest("q"), 900),
		"with a body longer than declared": queryRequest("q") + "POST /look HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" +
			strings.Repeat("x", 200_000),
	} {
		for _, reset := range []bool{false, true} {
			f := newFixture()
			serverEnd, clientEnd := conntest.Pair(t)
			io.WriteString(clientEnd, text) // the part that fits in the socket buffers
			if reset {
				clientEnd.SetLinger(0)
			}
			clientEnd.Close()
			f.serve(f.newConn(serverEnd))
			f.runPosted()
			if len(f.handler.arrivals) > 0 {
				t.Errorf("%s, reset %t: %d queries arrived", name, reset, len(f.handler.arrivals))
			}
		}
	}
}

// A client keeps sending data while its request is open, and no large-request slot is free. The excess data is dropped.
// The open request gets its own response and not a rejection, which would say that it was not executed.
func TestOpenRequestIsNotRejectedForPipelinedData(t *testing.T) {
	for _, ahead := range []int{largeRequestBytes + 2000, maxReadAhead + 5000, 600_000} {
		f := newFixture()
		f.server.requestMemory.tryReserve(largeReservation) // takes all
		serverEnd, clientEnd := conntest.Pair(t)
		client := f.newConn(serverEnd)
		served := make(chan struct{})
		go func() {
			f.serve(client)
			close(served)
		}()
		io.WriteString(clientEnd, queryRequest("q"))
		f.runOne()
		if len(f.handler.arrivals) != 1 {
			t.Fatal("the query did not arrive")
		}
		sent := make(chan struct{})
		go func() {
			io.WriteString(clientEnd, strings.Repeat("x", ahead))
			close(sent)
		}()
		<-sent
		for end := time.Now().Add(20 * time.Second); netconn.Peek(serverEnd) == netconn.Readable &&
			time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if len(client.responses) > 0 || len(f.handler.disconnected) > 0 {
			t.Fatalf("%d bytes sent ahead: the open request was answered early", ahead)
		}
		client.Respond(func(last bool) []byte { return wire.CompleteResponse(true, nil, last) })
		if status, err := readStatus(clientEnd); err != nil || status != "HTTP/1.1 200" {
			t.Errorf("%d bytes sent ahead: %q, %v", ahead, status, err)
		}
		clientEnd.Close()
		<-served
	}
}

// The server evicts a client whose next request is already on its way. A request that arrives during the final wait is
// served, even if this process was stalled for all of that time or if the rest of the request arrives a little later.
func TestRequestInFlightDuringEvictionIsServed(t *testing.T) {
	arrivals := map[string]func(client *ClientConn, clientEnd net.Conn) (inTime bool){
		"stalled process": func(client *ClientConn, clientEnd net.Conn) bool {
			client.finalWaitEnds = time.Now().Add(-time.Second)
			io.WriteString(clientEnd, upRequest)
			awaitState(t, client.conn, netconn.Readable)
			go client.Serve()
			return true
		},
		"two parts": func(client *ClientConn, clientEnd net.Conn) bool {
			io.WriteString(clientEnd, upRequest[:9])
			awaitState(t, client.conn, netconn.Readable)
			started := time.Now()
			client.finalWaitEnds = started.Add(finalWaitTime)
			go client.Serve()
			awaitState(t, client.conn, netconn.Quiet)
			time.Sleep(2 * finalWaitTime) // the first final wait has ended by then
			io.WriteString(clientEnd, upRequest[9:])
			return time.Since(started) < lateRequestTime // otherwise the rest may have arrived too late
		},
	}
	for name := range arrivals {
		for attempt := 0; ; attempt++ {
			f := newFixture()
			f.handler.ready.Store(true)
			serverEnd, clientEnd := conntest.Pair(t)
			client := f.server.NewConn(serverEnd)
			client.evicted.Store(true)
			inTime := arrivals[name](client, clientEnd)
			status, err := readStatus(clientEnd)
			if err == nil && status == "HTTP/1.1 200" {
				break
			}
			if inTime || attempt == 50 {
				t.Errorf("%s: %q, %v, attempt %d", name, status, err, attempt)
				break
			}
		}
	}
}
