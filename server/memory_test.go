package server

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"terntray/internal/conntest"
)

// Guards against clients that use up the process's memory by stopping half way through large requests: what is buffered
// beyond smallRequestBytes for each connection stays within the memory for requests, and clients for which there is none
// are rejected. Once they have gone, all of it is available again.
func TestHalfRequestsStayWithinTheMemoryForRequests(t *testing.T) {
	const clients = 40
	for name, size := range map[string]int{"medium": smallRequestBytes + 1000, "large": largeRequestBytes + 1000} {
		f := newFixture()
		f.run(t)
		total := int64(4 * largeReservation)
		f.server.requestMemory.available.Store(total)
		var ends []net.Conn
		done := make(chan struct{}, clients)
		for range clients {
			serverEnd, clientEnd := conntest.Pair(t)
			client := f.newConn(serverEnd)
			ends = append(ends, clientEnd)
			go func() {
				f.serve(client)
				done <- struct{}{}
			}()
			io.WriteString(clientEnd, "POST /look HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", size))
		}
		var rejected atomic.Int64
		for _, end := range ends {
			go func() {
				if status, err := readStatus(end); err == nil && status == "HTTP/1.1 503" {
					rejected.Add(1)
				}
				end.Close()
			}()
		}
		for range clients {
			<-done
		}
		most := total / int64(reservationFor(size))
		if got := rejected.Load(); got < clients-most {
			t.Errorf("%s: %d of %d clients were rejected, there is memory for %d", name, got, clients, most)
		}
		if left := f.server.requestMemory.available.Load(); left != total {
			t.Errorf("%s: %d of %d bytes are available at the end", name, left, total)
		}
	}
}

// Guards against the buffers of large requests that were answered being held while their connections linger.
func TestLingeringConnectionHoldsNoBuffer(t *testing.T) {
	f := newFixture()
	serverEnd, clientEnd := conntest.Pair(t)
	client := f.server.NewConn(serverEnd)
	client.requests.Feed(make([]byte, largeRequestBytes))
	if !client.reserve() {
		t.Fatal("no memory for a request")
	}
	ended := make(chan struct{})
	go func() {
		client.linger()
		close(ended)
	}()
	clientEnd.Read(make([]byte, 1)) // until the FIN
	time.Sleep(lingerTimeout / 10)
	if left := f.server.requestMemory.available.Load(); left != largeReservation {
		t.Errorf("%d bytes are available while the connection lingers", left)
	}
	clientEnd.Close()
	<-ended
	if client.requests.Buffered() != 0 || client.reserved != 0 {
		t.Errorf("%d bytes buffered, %d reserved", client.requests.Buffered(), client.reserved)
	}
}
