package coordinator

import (
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"terntray/internal/conntest"
)

// fakeClient is a client that stores its response. A second response would block.
type fakeClient struct {
	gone      atomic.Bool
	closes    bool
	responses chan []byte
}

func newFakeClient() *fakeClient { return &fakeClient{responses: make(chan []byte, 1)} }

func (client *fakeClient) HasDisconnected(time.Duration) bool { return client.gone.Load() }
func (client *fakeClient) Respond(build func(last bool) []byte) {
	client.responses <- build(client.closes)
}
func (client *fakeClient) CloseAfterResponse() { client.closes = true }

// The goroutine of a client connection panics while a query is open. The query must be closed as if the client had
// disconnected.
func TestPanicInClientConnectionClosesItsQuery(t *testing.T) {
	c := newWithUnreachableReplica(t)
	serverEnd, clientEnd := conntest.Pair(t)
	conn := &conntest.PanickingConn{Conn: serverEnd, Armed: make(chan struct{})}
	connection := c.server.NewConn(conn)
	served := make(chan struct{})
	go func() {
		connection.Serve()
		close(served)
	}()
	io.WriteString(clientEnd, queryRequest("q"))
	c.loop.Receive()()
	if c.queriesByRequestID["q"] == nil {
		t.Fatal("the query was not accepted")
	}
	close(conn.Armed)
	serverEnd.SetReadDeadline(time.Unix(1, 0)) // makes the connection call Read again
	<-served
	if c.runPosted(); len(c.queries) > 0 || c.counts.Disconnected != 1 {
		t.Errorf("%d queries are open, counts %+v", len(c.queries), c.counts)
	}
}

// queryRequest returns the text of an HTTP request for a query.
func queryRequest(id string) string {
	body := `{"segments":[{"segment":0,"boost":1}],"text":"x"}`
	head := "POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 2\r\nContent-Length: %d\r\n\r\n%s"
	return fmt.Sprintf(head, id, len(body), body)
}
