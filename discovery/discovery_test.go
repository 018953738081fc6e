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

// event is what a handler was told.
type event struct {
	list   *wire.EndpointList // nil: a poll failed
	isOld  bool               // the list as it was last known
	isNews bool               // of the failure
}

// recorder is a Handler that passes on what it is told.
type recorder struct{ events chan event }

func (handler recorder) EndpointsReceived(list *wire.EndpointList) {
	handler.events <- event{list: list}
}
func (handler recorder) EndpointsKnown(list *wire.EndpointList) {
	handler.events <- event{list: list, isOld: true}
}
func (handler recorder) PollFailed(isNews bool) { handler.events <- event{isNews: isNews} }

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

// next is the next thing that the handler is told.
func (f fixture) next(t *testing.T) event {
	t.Helper()
	select {
	case next := <-f.handler.events:
		return next
	case <-time.After(20 * time.Second):
		t.Fatal("the handler is told nothing")
		return event{}
	}
}

func (f fixture) expectList(t *testing.T, revision int64, isOld bool) {
	t.Helper()
	if got := f.next(t); got.list == nil || got.list.Revision != revision || got.isOld != isOld {
		t.Errorf("told %+v, want the list of revision %d, old %t", got, revision, isOld)
	}
}

func (f fixture) expectFailure(t *testing.T, isNews bool) {
	t.Helper()
	if got := f.next(t); got.list != nil || got.isNews != isNews {
		t.Errorf("told %+v, want a failure that is news %t", got, isNews)
	}
}

// nextCall is the next poll that reaches an agent.
func nextCall(t *testing.T, agent *fake.DiscoveryAgent) fake.DiscoveryCall {
	t.Helper()
	select {
	case call := <-agent.Calls:
		return call
	case <-time.After(20 * time.Second):
		t.Fatal("no poll comes")
		return fake.DiscoveryCall{}
	}
}

const emptyList = `{"rev":5,"all":true,"targets":[]}`

func knownList(revision int64) wire.EndpointList {
	cell := 0
	endpoint := wire.Endpoint{UID: "s-a", Address: "127.0.0.1:1", State: wire.Ready, Cell: &cell}
	return wire.EndpointList{Revision: revision, Endpoints: []wire.Endpoint{endpoint}}
}

// Discovery breaks off two polls in a row and comes back. Only the first failure is news; each poll is made
// again, and after a list the next failure is news once more.
func TestFailedPollIsRetriedAndNewsOnce(t *testing.T) {
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
		t.Errorf("the watch is %s", watch.Path)
	}
	watch.Conn.Close()
	f.expectFailure(t, true)
	if whole := nextCall(t, agent); strings.Contains(whole.Path, "from=") {
		t.Errorf("after a failure the poll is %s, not of the whole list", whole.Path)
	}
}

// The scheduler decides when to poll. Nothing is polled before, no failure is retried, and each is news.
func TestOnDemandNothingIsPolledUnasked(t *testing.T) {
	agent, address := newAgent(t)
	f := newFixture(t, Config{Address: address, Known: knownList(3), OnDemand: true})
	f.expectList(t, 3, true)
	for range 2 {
		time.Sleep(2 * retryInterval)
		if len(agent.Calls) > 0 {
			t.Fatal("it polls unasked")
		}
		f.loop.Post(f.watcher.Poll)
		nextCall(t, agent).Conn.Close()
		f.expectFailure(t, true)
	}
}

// SIGHUP names another agent, which does not answer at first. The old one is heard meanwhile, the failures of the
// new one are no news; once the new one has told the whole list, the old one's watch ends.
func TestOldAddressIsHeardUntilTheNewOneHasToldTheList(t *testing.T) {
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
		t.Error("the old address is still asked")
	}
	if next := nextCall(t, nextAgent); !strings.Contains(next.Path, "from=1") {
		t.Errorf("the new address is asked %s", next.Path)
	}
}

// A scheduler that panicked knows no endpoints. Repeat hands it the whole list: what was known, with the changes
// since.
func TestRepeatHandsOverTheWholeList(t *testing.T) {
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
	if !got.isOld || !got.list.All || got.list.Revision != 6 || len(got.list.Endpoints) != 2 {
		t.Errorf("told %+v", got)
	}
}
