package server

import (
	"fmt"
	"io"
	"log"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"terntray/eventloop"
	"terntray/internal/netconn"
	"terntray/invariant"
)

// recorder is a Handler that records its calls and never responds.
type recorder struct {
	ready        atomic.Bool
	shedding     atomic.Bool // rejects all requests
	arrivals     []Arrival
	disconnected []*ClientConn
	refused      int
	closed       []ConnClosed
}

func (handler *recorder) Ready() bool          { return handler.ready.Load() }
func (handler *recorder) IsSheddingLoad() bool { return handler.shedding.Load() }
func (handler *recorder) Admit() bool          { return !handler.shedding.Load() }
func (handler *recorder) QueryArrived(arrival Arrival) {
	handler.arrivals = append(handler.arrivals, arrival)
}
func (handler *recorder) ClientDisconnected(client *ClientConn) {
	handler.disconnected = append(handler.disconnected, client)
}
func (handler *recorder) RequestRefused() { handler.refused++ }
func (handler *recorder) ConnClosed(closed ConnClosed) {
	handler.closed = append(handler.closed, closed)
}
func (handler *recorder) CountersText() string  { return "counters" }
func (handler *recorder) EstimatesText() string { return "estimates" }

// fixture is a server whose event loop is run by the test.
type fixture struct {
	server  *Server
	handler *recorder
	loop    *eventloop.Loop
}

func newFixture() fixture {
	handler, loop := &recorder{}, eventloop.New()
	config := Config{LongestDeadline: 10 * time.Second, Classes: map[string]Class{
		"look":   {MaxTimeout: time.Minute},
		"keyed":  {MaxTimeout: time.Minute, Effect: invariant.Keyed},
		"staged": {MaxTimeout: time.Minute, TwoStep: true},
	}}
	server := New(config, handler, loop, log.New(io.Discard, "", 0))
	server.slots = newConnSlots(100)
	server.requestMemory.available.Store(largeReservation)
	return fixture{server: server, handler: handler, loop: loop}
}

// runOne runs the next function posted to the loop.
func (f fixture) runOne() { f.loop.Receive()() }

// runPosted runs all functions posted to the loop so far.
func (f fixture) runPosted() { f.loop.RunIteration(func() {}, func() {}) }

// run runs the loop until the test ends.
func (f fixture) run(t *testing.T) {
	finished := false
	ended := make(chan struct{})
	go func() {
		f.loop.Run(func() {}, func(cause string) { t.Error(cause) }, func() bool { return finished })
		close(ended)
	}()
	t.Cleanup(func() {
		f.loop.Post(func() { finished = true })
		<-ended
	})
}

// newConn returns a connection that holds a slot, like an accepted one.
func (f fixture) newConn(conn net.Conn) *ClientConn {
	client := f.server.NewConn(conn)
	f.server.slots.used <- struct{}{}
	f.server.conns.add(client)
	return client
}

// serve serves a connection until it ends and releases its slots.
func (f fixture) serve(client *ClientConn) {
	client.Serve()
	f.server.release(client)
}

// shutDown sets the state as if Shutdown had been called at a time, without closing the listener later.
func (f fixture) shutDown(at time.Time) {
	answerBy := at.Add(f.server.timeToAnswer())
	f.server.answerBy.Store(&answerBy)
	f.server.shutdownStart.Store(&at)
}

// upRequest is a request that is answered without using the event loop.
const upRequest = "GET /up HTTP/1.1\r\nHost: b\r\n\r\n"

// queryRequest returns a request with a query.
func queryRequest(id string) string {
	body := `{"segments":[{"segment":0,"boost":1}],"text":"x"}`
	head := "POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 2\r\nContent-Length: %d\r\n\r\n%s"
	return fmt.Sprintf(head, id, len(body), body)
}

// awaitState waits until a connection is in a state.
func awaitState(t *testing.T, conn net.Conn, state netconn.State) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); netconn.Peek(conn) != state; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection does not reach the state")
		}
	}
}

// readStatus reads the start of the status line, up to the status code.
func readStatus(conn net.Conn) (string, error) {
	status := make([]byte, len("HTTP/1.1 200"))
	_, err := io.ReadFull(conn, status)
	return string(status), err
}
