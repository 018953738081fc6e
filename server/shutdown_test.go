package server

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/internal/conntest"
	"terntray/internal/wire"
)

// finalAcceptAfterShutdown runs the listener in the state after shutdownAcceptTime.
func (f fixture) finalAcceptAfterShutdown(listener *net.TCPListener) {
	f.shutDown(time.Now().Add(-shutdownAcceptTime))
	listener.SetDeadline(time.Now().Add(-time.Second))
	f.server.listener = listener
	go f.server.acceptAll()
}

// A response that keeps its connection open is built just before the shutdown and written after it. The client's next
// request is still served, and its response closes the connection.
func TestRequestAfterResponseBuiltBeforeShutdownIsServed(t *testing.T) {
	f := newFixture()
	serverEnd, clientEnd := conntest.Pair(t)
	client := f.server.NewConn(serverEnd)
	io.WriteString(clientEnd, queryRequest("q"))
	go client.Serve()
	f.runOne()
	client.Respond(func(last bool) []byte { return wire.CompleteResponse(true, nil, last) })
	f.shutDown(time.Now())
	io.WriteString(clientEnd, upRequest)
	text, err := io.ReadAll(clientEnd)
	responses := strings.Split(string(text), "HTTP/1.1 ")
	if err != nil || len(responses) != 3 {
		t.Fatalf("%q, %v", responses, err)
	}
	first, second := responses[1], responses[2]
	if !strings.HasPrefix(first, "200") || strings.Contains(first, "close") {
		t.Errorf("the first response is %q", first)
	}
	if !strings.HasPrefix(second, "503") || !strings.Contains(second, "Connection: close") {
		t.Errorf("the second response is %q", second)
	}
}

// During shutdown an incomplete request may be completed until shutdownAcceptTime has passed, or for
// lateRequestTime on a connection accepted late: a later request might not be answered before the process is
// killed.
func TestPartialRequestDeadlineDuringShutdown(t *testing.T) {
	f := newFixture()
	serverEnd, _ := conntest.Pair(t)
	client := f.server.NewConn(serverEnd)
	f.shutDown(time.Now().Add(-shutdownAcceptTime))
	if left := time.Until(client.readDeadline()); left > lateRequestTime {
		t.Errorf("a new connection may send its request for %v", left)
	}
	f.shutDown(time.Now())
	if left := time.Until(client.readDeadline()); left < shutdownAcceptTime/2 {
		t.Errorf("right after the start of shutdown only %v remain", left)
	}
}

// The platform may kill the process from 0.7 s and the longest deadline after the signal, of which no more than 3 s count. What
// arrives is answered before that, also if the process was stalled when the signal was sent.
func TestAnswersPrecedeTheEarliestKill(t *testing.T) {
	for _, test := range []struct{ longest, delayed, kill time.Duration }{
		{420 * time.Millisecond, 0, 1120 * time.Millisecond},
		{420 * time.Millisecond, 150 * time.Millisecond, 970 * time.Millisecond},
		{30 * time.Second, 0, 3700 * time.Millisecond},
	} {
		f := newFixture()
		f.server.longestDeadline = test.longest
		f.server.listener = newListener(t)
		if _, limited := f.server.AnswerBy(); limited {
			t.Error("limited before the shutdown")
		}
		now := f.server.now()
		f.server.Shutdown(test.delayed, func() {})
		answerBy, limited := f.server.AnswerBy()
		if left := answerBy - now; !limited || left >= test.kill || left < test.kill/2 {
			t.Errorf("%+v: answered within %v", test, left)
		}
	}
}
