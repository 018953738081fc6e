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

// A client is evicted while its response is made. What the response says of the connection is what becomes of it:
// else the connection would end by a response that keeps it, and the client's next request would be read and
// dropped.
func TestResponseHeaderMatchesConnectionClose(t *testing.T) {
	f := newFixture()
	near, far := net.Pipe()
	defer far.Close()
	client := f.server.NewConn(near)
	client.Respond(func(last bool) []byte {
		text := wire.CompleteResponse(true, nil, last)
		client.evicted.Store(true)
		return text
	})
	response := <-client.responses
	if response.last != strings.Contains(string(response.bytes), "Connection: close") {
		t.Errorf("its connection ends %t with %q", response.last, response.bytes)
	}
}

// A connection has sent its last response and reads what the client still sends; then the notification of that
// response comes late and interrupts the reading. It goes on all the same: unread bytes would reset the
// connection and cut the response off.
func TestLastResponseIsNotCutOffByLateWakeup(t *testing.T) {
	for try := 0; ; try++ {
		f := newFixture()
		near, far := connPair(t)
		client := f.server.NewConn(near)
		began, ended := time.Now(), make(chan struct{})
		go func() {
			client.linger()
			close(ended)
		}()
		far.Read(make([]byte, 1)) // its end
		for range 3 {
			client.wake()
			time.Sleep(time.Millisecond)
		}
		io.WriteString(far, "more")
		read := false
		for end := time.Now().Add(lingerTimeout); !read && time.Now().Before(end); time.Sleep(time.Millisecond) {
			select {
			case <-ended:
				end = began
			default:
				read = netconn.Peek(near) == netconn.Quiet
			}
		}
		inTime := time.Since(began) < lingerTimeout
		far.Close()
		<-ended
		if read {
			return
		}
		if inTime || try == 50 {
			t.Fatalf("what still came was left unread, try %d", try)
		}
	}
}
