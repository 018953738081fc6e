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

// A client is evicted while its response is built. The connection closes only if the response says so: otherwise it
// would close after a response that promised to keep it open, and the client's next request would be read and
// dropped.
func TestResponseHeaderMatchesConnectionClose(t *testing.T) {
	f := newFixture()
	serverEnd, clientEnd := net.Pipe()
	defer clientEnd.Close()
	client := f.server.NewConn(serverEnd)
	client.Respond(func(last bool) []byte {
		text := wire.CompleteResponse(true, nil, last)
		client.evicted.Store(true)
		return text
	})
	response := <-client.responses
	if response.last != strings.Contains(string(response.bytes), "Connection: close") {
		t.Errorf("connection closes: %t, response %q", response.last, response.bytes)
	}
}

// After its last response a connection reads remaining input, and a late wake for that response interrupts the read.
// Reading continues: unread input would make the kernel reset the connection and cut off the response.
func TestLastResponseIsNotCutOffByLateWakeup(t *testing.T) {
	for attempt := 0; ; attempt++ {
		f := newFixture()
		serverEnd, clientEnd := conntest.Pair(t)
		client := f.server.NewConn(serverEnd)
		started, ended := time.Now(), make(chan struct{})
		go func() {
			client.linger()
			close(ended)
		}()
		clientEnd.Read(make([]byte, 1)) // until the FIN
		for range 3 {
			client.wake()
			time.Sleep(time.Millisecond)
		}
		io.WriteString(clientEnd, "more")
		read := false
		for end := time.Now().Add(lingerTimeout); !read && time.Now().Before(end); time.Sleep(time.Millisecond) {
			select {
			case <-ended:
				end = started
			default:
				read = netconn.Peek(serverEnd) == netconn.Quiet
			}
		}
		inTime := time.Since(started) < lingerTimeout
		clientEnd.Close()
		<-ended
		if read {
			return
		}
		if inTime || attempt == 50 {
			t.Fatalf("remaining input was not read, attempt %d", attempt)
		}
	}
}
