package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/internal/fake"
	"terntray/internal/wire"
)

func newAgent(t *testing.T) (agent *fake.DiscoveryAgent, address string) {
	t.Helper()
	agent, err := fake.NewDiscoveryAgent()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { agent.Listener.Close() })
	return agent, agent.Listener.Addr().String()
}

// The inbox of the loop is full, so that a list cannot be delivered. The next poll goes out all the same: else
// the watch would lapse.
func TestWatchPollsWhileDeliveryIsBlocked(t *testing.T) {
	agent, address := newAgent(t)
	ctx, stop := context.WithCancel(context.Background())
	waits, ended := make(chan struct{}), make(chan struct{})
	watch := newWatch(address, defaultHold, agentTimeout, func(*wire.EndpointList) { <-waits })
	go func() {
		watch.run(ctx)
		close(ended)
	}()
	(<-agent.Calls).Respond(`{"rev":5,"all":true,"targets":[]}`)
	select {
	case next := <-agent.Calls:
		if !strings.Contains(next.Path, "from=5") {
			t.Errorf("the next poll is %s", next.Path)
		}
	case <-time.After(5 * time.Second):
		t.Error("no next poll comes before the list is delivered")
	}
	close(waits)
	stop()
	<-ended
}

// An agent swallows a poll, as while discovery is down. The poll is given up soon, so that what the agent tells
// at its return is not late: a drain would count as told while the poll hangs. 0.6 s is some more than an agent
// is waited for.
func TestHungPollTimesOut(t *testing.T) {
	agent, address := newAgent(t)
	for _, hold := range []time.Duration{0, 100 * time.Millisecond} { // the whole list; a watch
		watch := newWatch(address, hold, agentTimeout, func(*wire.EndpointList) {})
		ended := make(chan error)
		go func() { ended <- watch.run(context.Background()) }()
		call := <-agent.Calls
		if hold > 0 {
			call.Respond(`{"rev":5,"all":true,"targets":[]}`)
			<-agent.Calls
		}
		began := time.Now()
		if <-ended; time.Since(began) > hold+1200*time.Millisecond {
			t.Errorf("a poll that may be held %v is given up after %v", hold, time.Since(began))
		}
	}
}

// A list that states no length ends with its connection. One whose connection is reset on the way has no end,
// whatever of it came.
func TestListWithoutLengthEndsOnlyAtCleanClose(t *testing.T) {
	for _, reset := range []bool{false, true} {
		agent, address := newAgent(t)
		ctx, stop := context.WithCancel(context.Background())
		delivered, ended := make(chan *wire.EndpointList, 9), make(chan error, 1)
		watch := newWatch(address, time.Minute, agentTimeout, func(list *wire.EndpointList) { delivered <- list })
		go func() { ended <- watch.run(ctx) }()
		call := <-agent.Calls
		io.WriteString(call.Conn, "HTTP/1.1 200 OK\r\n\r\n{\"rev\":5,\"all\":true,\"targets\":[]}")
		if reset {
			call.Conn.(*net.TCPConn).SetLinger(0)
		}
		call.Conn.Close()
		select {
		case list := <-delivered:
			if reset || list.Revision != 5 {
				t.Errorf("reset %t: delivered %+v", reset, list)
			}
			if next := <-agent.Calls; !strings.Contains(next.Path, "from=5") { // on a connection of its own
				t.Errorf("the next poll is %s", next.Path)
			}
		case err := <-ended:
			if !reset {
				t.Errorf("it is taken for a failure: %v", err)
			}
			ended <- err
		}
		stop()
		<-ended
		agent.Listener.Close()
	}
}

// Replicas are replaced again and again. The list that is known does not grow with those that have gone.
func TestRemovedEndpointsLeaveTheKnownList(t *testing.T) {
	table := endpointTable{}
	for n := range 3000 {
		gone := wire.Endpoint{UID: fmt.Sprint("s-", n-1), State: wire.Removed}
		next := wire.Endpoint{UID: fmt.Sprint("s-", n), Address: "127.0.0.1:1", State: wire.Ready}
		table.update(&wire.EndpointList{Revision: int64(n), Endpoints: []wire.Endpoint{gone, next}})
		if len(table.known.Endpoints) != 1 || table.known.Endpoints[0].UID != next.UID || table.known.Revision != int64(n) {
			t.Fatalf("after %d: %+v", n, table.known)
		}
	}
}
