package discovery

import (
	"io"
	"log"
	"strings"
	"testing"
	"time"

	"terntray/eventloop"
	"terntray/internal/fake"
	"terntray/internal/wire"
)

// event is a call of a Handler method.
type event struct {
	list            *wire.EndpointList // nil if a poll failed
	isLastKnown     bool               // the last known list, passed to EndpointsKnown
	notifyScheduler bool               // argument of PollFailed
}

// recorder is a Handler that sends its calls to a channel.
type recorder struct{ events chan event }

func (handler recorder) EndpointsReceived(list *wire.EndpointList) {
	handler.events <- event{list: list}
}
func (handler recorder) EndpointsKnown(list *wire.EndpointList) {
	handler.events <- event{list: list, isLastKnown: true}
}
func (handler recorder) PollFailed(notifyScheduler bool) {
	handler.events <- event{notifyScheduler: notifyScheduler}
}

// fixture is a watcher on a loop that runs until the test ends.
type fixture struct {
	watcher *Watcher
	loop    *eventloop.Loop
	handler recorder
}

func newFixture(t *testing.T, config Config) fixture {
	t.Helper()
	handler := recorder{make(chan event, 100)}
	loop := eventloop.New()
	watcher := New(config, handler, loop, log.New(io.Discard, "", 0))
	finished := false
	ended := make(chan struct{})
	loop.NextIteration(watcher.Start)
	go func() {
		loop.Run(func() {}, func(cause string) { t.Error(cause) }, func() bool { return finished })
		watcher.Stop()
		close(ended)
	}()
	t.Cleanup(func() {
		loop.Post(func() { finished = true })
		<-ended
	})
	return fixture{watcher: watcher, loop: loop, handler: handler}
}

// next returns the next call of the handler.
func (f fixture) next(t *testing.T) event {
	t.Helper()
	select {
	case next := <-f.handler.events:
		return next
	case <-time.After(20 * time.Second):
		t.Fatal("the handler is not called")
		return event{}
	}
}

func (f fixture) expectList(t *testing.T, revision int64, isLastKnown bool) {
	t.Helper()
	if got := f.next(t); got.list == nil || got.list.Revision != revision || got.isLastKnown != isLastKnown {
		t.Errorf("got %+v, want the list of revision %d, last known: %t", got, revision, isLastKnown)
	}
}

func (f fixture) expectFailure(t *testing.T, notifyScheduler bool) {
	t.Helper()
	if got := f.next(t); got.list != nil || got.notifyScheduler != notifyScheduler {
		t.Errorf("got %+v, want a failed poll, notify scheduler: %t", got, notifyScheduler)
	}
}

// nextCall returns the next poll that an agent receives.
func nextCall(t *testing.T, agent *fake.DiscoveryAgent) fake.DiscoveryCall {
	t.Helper()
	select {
	case call := <-agent.Calls:
		return call
	case <-time.After(20 * time.Second):
		t.Fatal("the agent receives no poll")
		return fake.DiscoveryCall{}
	}
}

const emptyList = `{"rev":5,"all":true,"targets":[]}`

func knownList(revision int64) wire.EndpointList {
	cell := 0
	endpoint := wire.Endpoint{UID: "s-a", Address: "127.0.0.1:1", State: wire.Ready, Cell: &cell}
	return wire.EndpointList{Revision: revision, Endpoints: []wire.Endpoint{endpoint}}
}

// The agent drops the connection during two consecutive polls and recovers. Each poll is retried, but only the first
// failure is reported to the scheduler. After a list was received, the next failure is reported again.
func TestFailedPollIsRetriedAndReportedOnce(t *testing.T) {
	agent, address := newAgent(t)
	f := newFixture(t, Config{Address: address, Known: knownList(3)})
	f.expectList(t, 3, true)
	nextCall(t, agent).Conn.Close()
	f.expectFailure(t, true)
	nextCall(t, agent).Conn.Close()
	f.expectFailure(t, false)
	nextCall(t, agent).Respond(emptyList)
	f.expectList(t, 5, false)
	watch := nextCall(t, agent)
	if !strings.Contains(watch.Path, "from=5") {
		t.Errorf("the watch polls %s", watch.Path)
	}
	watch.Conn.Close()
	f.expectFailure(t, true)
	if next := nextCall(t, agent); strings.Contains(next.Path, "from=") {
		t.Errorf("after a failure the poll is %s, want the full list", next.Path)
	}
}

// On demand, polls are sent only when the scheduler requests them. No failure is retried, and each is reported.
func TestOnDemandPollsOnlyWhenRequested(t *testing.T) {
	agent, address := newAgent(t)
	f := newFixture(t, Config{Address: address, Known: knownList(3), OnDemand: true})
	f.expectList(t, 3, true)
	for range 2 {
		time.Sleep(2 * retryInterval)
		if len(agent.Calls) > 0 {
			t.Fatal("a poll was sent without a request")
		}
		f.loop.Post(f.watcher.Poll)
		nextCall(t, agent).Conn.Close()
		f.expectFailure(t, true)
	}
}

// After a reload with a new agent address, the new agent does not answer at first. The old agent is still watched
// meanwhile, and failures of the new one are not reported. Once the new one has sent the full list, the watch of
// the old one ends.
func TestOldAddressIsWatchedUntilNewOneSendsFullList(t *testing.T) {
	oldAgent, oldAddress := newAgent(t)
	nextAgent, nextAddress := newAgent(t)
	f := newFixture(t, Config{Address: oldAddress, Known: knownList(3)})
	f.expectList(t, 3, true)
	nextCall(t, oldAgent).Respond(emptyList)
	f.expectList(t, 5, false)
	oldWatch := nextCall(t, oldAgent)
	f.loop.Post(func() { f.watcher.MoveTo(nextAddress) })
	nextCall(t, nextAgent).Conn.Close()
	f.expectFailure(t, false)
	oldWatch.Respond(`{"rev":6,"all":false,"targets":[]}`)
	f.expectList(t, 6, false)
	oldWatch = nextCall(t, oldAgent)
	nextCall(t, nextAgent).Respond(`{"rev":1,"all":true,"targets":[]}`)
	f.expectList(t, 1, false)
	if _, err := oldWatch.Conn.Read(make([]byte, 1)); err == nil {
		t.Error("the old address is still polled")
	}
	if next := nextCall(t, nextAgent); !strings.Contains(next.Path, "from=1") {
		t.Errorf("the poll of the new address is %s", next.Path)
	}
}

// After a panic the scheduler knows no endpoints. Redeliver sends it the full list: the last full list with all changes
// since.
func TestRedeliverSendsFullList(t *testing.T) {
	agent, address := newAgent(t)
	f := newFixture(t, Config{Address: address, Known: knownList(3)})
	f.expectList(t, 3, true)
	const change = `{"rev":6,"all":false,"targets":[{"uid":"s-b","endpoint":"127.0.0.1:2","pod_group":0,"state":"ready"}]}`
	nextCall(t, agent).Respond(`{"rev":5,"all":true,"targets":[` +
		`{"uid":"s-a","endpoint":"127.0.0.1:1","pod_group":0,"state":"ready"}]}`)
	f.expectList(t, 5, false)
	nextCall(t, agent).Respond(change)
	f.expectList(t, 6, false)
	f.loop.Post(f.watcher.Redeliver)
	got := f.next(t)
	if !got.isLastKnown || !got.list.All || got.list.Revision != 6 || len(got.list.Endpoints) != 2 {
		t.Errorf("got %+v", got)
	}
}

// Guards against decisions by an old list after a stall: the watch ended during the stall, and what the agent has learned since
// can only be known from a new one. While the loop waits for lists, the watch is restarted, and it has caught up only
// once the new list was delivered.
func TestWatchThatEndsDuringAStallIsRestartedBeforeItCountsAsCaughtUp(t *testing.T) {
	agent, address := newAgent(t)
	f := newFixture(t, Config{Address: address})
	f.expectList(t, 0, true)
	(<-agent.Calls).Respond(`{"rev":5,"all":true,"targets":[]}`)
	f.expectList(t, 5, false)
	held := <-agent.Calls
	time.Sleep(retryInterval)
	done := make(chan struct{})
	f.loop.Post(func() { // the loop does nothing else meanwhile, as after a stall
		defer close(done)
		held.Conn.Close()
		time.Sleep(answerTime / 4)
		if f.watcher.HasCaughtUp() {
			t.Error("the watch has caught up, but it has ended")
		}
		select {
		case call := <-agent.Calls:
			call.Respond(`{"rev":7,"all":true,"targets":[]}`)
		case <-time.After(5 * time.Second):
			t.Error("the watch is not restarted while the loop waits")
		}
		for end := time.Now().Add(5 * time.Second); !f.watcher.HasCaughtUp() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	})
	<-done
	for range 10 { // failures may come before the list
		if next := f.next(t); next.list != nil {
			if next.list.Revision != 7 {
				t.Errorf("revision %d", next.list.Revision)
			}
			return
		}
	}
	t.Error("no list came after the watch had ended")
}
