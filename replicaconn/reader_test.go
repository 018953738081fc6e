package replicaconn

import (
	"testing"
	"time"

	"terntray/connpool"
	"terntray/internal/conntest"
	"terntray/internal/replicaproto"
)

// Guards against connections that can no longer be written to and are read for good: the reader clears the limit that the
// writer has set, once it has released a reply that was withheld.
func TestReadingEndsAfterAFailedWrite(t *testing.T) {
	const (
		limit = 50 * time.Millisecond
		frame = "\x00\x00\x00\x11Yq.1 OK 7 -\nvalue"
	)
	driver := newTestDriver(t, connpool.Limits{ConnectTimeout: time.Second})
	near, far := conntest.Pair(t)
	conn := newConn(driver, 1, &Endpoint{}, "", replicaproto.Frames)
	conn.setSocket(near)
	reader := &reader{conn: conn, stream: near}
	ended := make(chan error)
	go func() { ended <- reader.run() }()
	conn.limitReading(near, limit)
	if _, err := far.Write([]byte(frame)); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("reading ended without a cause")
		}
	case <-time.After(2 * time.Second):
		t.Error("the connection is still read")
	}
}
