package server

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/internal/wire"
)

// finalAcceptAfterShutdown runs the listener as it is once clients may not connect any more.
func (f fixture) finalAcceptAfterShutdown(listener *net.TCPListener) {
	f.shutDown(time.Now().Add(-shutdownAcceptTime))
	listener.SetDeadline(time.Now().Add(-time.Second))
	f.server.listener = listener
	go f.server.acceptAll()
}

// A response is made just before the shutdown and written after it; it keeps its connection. The request that the
// client sends next is served all the same, and told that it was the last.
func TestRequestAfterResponseBuiltBeforeShutdownIsServed(t *testing.T) {
	f := newFixture()
	near, far := connPair(t)
	client := f.server.NewConn(near)
	io.WriteString(far, queryRequest("q"))
	go client.Serve()
	f.runOne()
	client.Respond(func(last bool) []byte { return wire.CompleteResponse(true, nil, last) })
	f.shutDown(time.Now())
	io.WriteString(far, upRequest)
	text, err := io.ReadAll(far)
	responses := strings.Split(string(text), "HTTP/1.1 ")
	if err != nil || len(responses) != 3 {
		t.Fatalf("%q, %v", responses, err)
	}
	first, second := responses[1], responses[2]
	if !strings.HasPrefix(first, "200") || strings.Contains(first, "close") {
		t.Errorf("the first is %q", first)
	}
	if !strings.HasPrefix(second, "503") || !strings.Contains(second, "Connection: close") {
		t.Errorf("the second is %q", second)
	}
}

// After the start of the shutdown a client sends its request in pieces. It has until clients may not connect any
// more, and a moment where it connected late: what comes later may not be answered before the process is killed.
func TestPartialRequestDeadlineDuringShutdown(t *testing.T) {
	f := newFixture()
	near, _ := connPair(t)
	client := f.server.NewConn(near)
	f.shutDown(time.Now().Add(-shutdownAcceptTime))
	if left := time.Until(client.readDeadline()); left > lateRequestTime {
		t.Errorf("a new connection may bring a request for %v", left)
	}
	f.shutDown(time.Now())
	if left := time.Until(client.readDeadline()); left < shutdownAcceptTime/2 {
		t.Errorf("right after the start of the shutdown it has only %v", left)
	}
}
