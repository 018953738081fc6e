package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

const (
	// hungWatchTime is the time after hangWatches by which the co-ordinator must have abandoned the watch and polled.
	// Changes in the meantime count as notified only then.
	hungWatchTime = 6 * time.Second

	// reloadTime is the time after SIGHUP by which the co-ordinator must use its new agent. What that agent publishes
	// in the meantime counts as notified only then.
	reloadTime = 4 * time.Second
)

// agent is a discovery agent on the machine of one co-ordinator.
type agent struct {
	soak     *Soak
	listener net.Listener
	server   *http.Server

	mu              sync.Mutex
	revision        int           // latest revision applied
	down            bool          // it neither answers calls nor applies revisions
	pendingRevision int           // revision to apply once it is up again
	hangOpenCalls   chan struct{} // closed to leave all open calls unanswered
	hungAt          time.Duration // time of the last hangWatches
	sendsFullLists  bool          // it answers watches with full lists
	changed         chan struct{} // closed at a new revision and when the agent is up again
	conns           map[net.Conn]bool
	notifications   []notification
	effectiveFrom   time.Duration // earliest effective time of notifications, to allow for a reload
}

func newAgent(soak *Soak) (*agent, error) {
	listener, err := net.Listen("tcp", anyPort())
	if err != nil {
		return nil, err
	}
	agent := &agent{
		soak:          soak,
		listener:      listener,
		changed:       make(chan struct{}),
		hangOpenCalls: make(chan struct{}),
		conns:         map[net.Conn]bool{},
		hungAt:        -time.Hour, // never
	}
	agent.server = &http.Server{Handler: http.HandlerFunc(agent.serve), ConnState: agent.trackConn}
	soak.endpoints.subscribe(agent)
	go agent.server.Serve(listener)
	return agent, nil
}

func (a *agent) addr() string { return a.listener.Addr().String() }

func (a *agent) close() { a.server.Close() }

// trackConn maintains the set of open connections, for resetWatches.
func (a *agent) trackConn(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(a.conns, conn)
		return
	}
	a.conns[conn] = true
}

// publish applies a revision, or defers it until the agent is up again.
func (a *agent) publish(revision int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		a.pendingRevision = max(a.pendingRevision, revision)
		return
	}
	a.applyRevision(revision)
}

// applyRevision records the notifications of a newer revision and wakes the open calls. The caller holds a.mu.
func (a *agent) applyRevision(revision int) {
	if revision <= a.revision {
		return
	}
	_, changed := a.soak.endpoints.listAt(revision, a.revision)
	now := a.soak.now()
	effectiveAt := max(now, a.effectiveFrom)
	if now < a.hungAt+hungWatchTime {
		effectiveAt = max(effectiveAt, a.hungAt+hungWatchTime)
	}
	for _, endpoint := range changed {
		a.notifications = append(a.notifications, notification{endpoint.UID, endpoint.State, effectiveAt})
	}
	a.revision = revision
	a.wakeCalls()
}

// wakeCalls wakes the open calls to check whether they can be answered. The caller holds a.mu.
func (a *agent) wakeCalls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// setDown takes the agent down, so that it neither answers calls nor applies revisions, or brings it up again.
func (a *agent) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	if !down {
		a.applyRevision(a.pendingRevision)
		a.wakeCalls()
	}
}

// hangWatches leaves all open calls unanswered until the callers close them.
func (a *agent) hangWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hungAt = a.soak.now()
	close(a.hangOpenCalls)
	a.hangOpenCalls = make(chan struct{})
}

// resetWatches resets all connections.
func (a *agent) resetWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		reset(conn)
	}
}

// setSendsFullLists sets whether watches are answered with full lists.
func (a *agent) setSendsFullLists(full bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sendsFullLists = full
}

// setEffectiveFrom sets the earliest effective time of all notifications, past and future.
func (a *agent) setEffectiveFrom(from time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.effectiveFrom = from
	for n := range a.notifications {
		a.notifications[n].effectiveAt = max(a.notifications[n].effectiveAt, from)
	}
}

// endpointCall is a request from a co-ordinator: a watch for changes after a revision, or a poll of the current list.
type endpointCall struct {
	watch bool
	from  int           // of a watch: the co-ordinator's revision
	hold  time.Duration // how long a watch waits for a newer revision
}

func parseCallParameters(query url.Values) endpointCall {
	from, err := strconv.Atoi(query.Get("from"))
	holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
	return endpointCall{watch: err == nil, from: from, hold: time.Duration(holdMS) * time.Millisecond}
}

func (a *agent) serve(writer http.ResponseWriter, httpRequest *http.Request) {
	call := parseCallParameters(httpRequest.URL.Query())
	if a.waitToAnswer(call, httpRequest.Context().Done()) {
		json.NewEncoder(writer).Encode(a.answer(call))
	}
}

// waitToAnswer blocks until a call can be answered: a poll at once, a watch at a newer revision or when its hold time
// has passed, and neither while the agent is down. It returns false if the caller disconnected or the call was hung.
func (a *agent) waitToAnswer(call endpointCall, callerGone <-chan struct{}) (shouldAnswer bool) {
	holdExpired := time.After(call.hold)
	a.mu.Lock()
	hang := a.hangOpenCalls
	a.mu.Unlock()
	for {
		a.mu.Lock()
		changed := a.changed
		down := a.down
		mustWait := down || call.watch && a.revision <= call.from
		a.mu.Unlock()
		if !mustWait {
			return true
		}
		select {
		case <-changed:
		case <-holdExpired:
			if !down {
				return true
			}
			<-changed
		case <-hang:
			<-callerGone
			return false
		case <-callerGone:
			return false
		}
	}
}

func (a *agent) answer(call endpointCall) endpointList {
	a.mu.Lock()
	list := endpointList{Revision: a.revision, Full: !call.watch || a.sendsFullLists}
	a.mu.Unlock()
	since := max(0, min(call.from, list.Revision))
	all, changed := a.soak.endpoints.listAt(list.Revision, since)
	list.Endpoints = changed
	if list.Full {
		list.Endpoints = all
	}
	if list.Endpoints == nil {
		list.Endpoints = []endpoint{}
	}
	return list
}
