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

// The event loop's queue is full, which blocks the delivery of a list. The next poll is sent anyway, since the watch
// would expire otherwise.
func TestWatchPollsWhileDeliveryIsBlocked(t *testing.T) {
	agent, address := newAgent(t)
	ctx, stop := context.WithCancel(context.Background())
	unblock, ended := make(chan struct{}), make(chan struct{})
	watch := newWatch(address, defaultHold, agentTimeout, func(*wire.EndpointList) { <-unblock })
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
		t.Error("no further poll is sent before the list is delivered")
	}
	close(unblock)
	stop()
	<-ended
}

// A watch has caught up while it waits for the agent. It has not while a list that arrived is unread, or read but not
// delivered: after a stall, the event loop would otherwise decide by the list before.
func TestWatchHasCaughtUpOnceAllListsAreDelivered(t *testing.T) {
	agent, address := newAgent(t)
	ctx, stop := context.WithCancel(context.Background())
	delivering, unblock, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	watch := newWatch(address, defaultHold, agentTimeout, func(*wire.EndpointList) {
		delivering <- struct{}{}
		<-unblock
	})
	go func() {
		watch.run(ctx)
		close(ended)
	}()
	first := <-agent.Calls
	awaitCaughtUp(t, watch)
	for revision, call := 5, first; revision < 8; revision++ {
		call.Respond(fmt.Sprintf(`{"rev":%d,"all":true,"targets":[]}`, revision))
		<-delivering
		if watch.hasCaughtUp() {
			t.Error("the watch has caught up, but its list is not delivered")
		}
		unblock <- struct{}{}
		call = <-agent.Calls
		awaitCaughtUp(t, watch)
	}
	stop()
	<-ended
	if !watch.hasCaughtUp() {
		t.Error("a watch that has ended has not caught up")
	}
}

func awaitCaughtUp(t *testing.T, watch *watch) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !watch.hasCaughtUp(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the watch does not catch up")
		}
	}
}

// An agent does not answer a poll, for example during an outage of discovery. The poll times out quickly, so that
// changes are received soon after the agent recovers: a drain counts as announced even while the poll hangs. The
// limit of 1.2 s beyond the hold is well above agentTimeout.
func TestHungPollTimesOut(t *testing.T) {
	agent, address := newAgent(t)
	for _, hold := range []time.Duration{0, 100 * time.Millisecond} { // poll of the full list; poll for changes
		watch := newWatch(address, hold, agentTimeout, func(*wire.EndpointList) {})
		ended := make(chan error)
		go func() { ended <- watch.run(context.Background()) }()
		call := <-agent.Calls
		if hold > 0 {
			call.Respond(`{"rev":5,"all":true,"targets":[]}`)
			<-agent.Calls
		}
		started := time.Now()
		if <-ended; time.Since(started) > hold+1200*time.Millisecond {
			t.Errorf("a poll with a hold of %v timed out after %v", hold, time.Since(started))
		}
	}
}

// A list without Content-Length ends when its connection is closed. If the connection is reset, the list is incomplete
// and not delivered, even if all of its bytes were received.
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
			if next := <-agent.Calls; !strings.Contains(next.Path, "from=5") { // on a new connection
				t.Errorf("the next poll is %s", next.Path)
			}
		case err := <-ended:
			if !reset {
				t.Errorf("the poll failed: %v", err)
			}
			ended <- err
		}
		stop()
		<-ended
		agent.Listener.Close()
	}
}
