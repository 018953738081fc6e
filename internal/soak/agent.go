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
	// hungWatchTime is from when on, after a watch fell silent, what it misses counts as notified: by then the
	// coordinator has to have given the watch up and polled.
	hungWatchTime = 6 * time.Second

	// reloadTime is from when on, after SIGHUP, what the new agent has counts as notified.
	reloadTime = 4 * time.Second
)

// agent is the discovery agent on one coordinator's machine.
type agent struct {
	soak     *Soak
	listener net.Listener
	server   *http.Server

	mu              sync.Mutex
	revision        int           // that it has
	down            bool          // it answers nothing and learns nothing
	pendingRevision int           // the revision that it learns of at its return
	hangOpenCalls   chan struct{} // closed when the calls that are open are to stay without an answer
	hungAt          time.Duration // when that was last
	sendsFullLists  bool          // watches are answered with full lists
	changed         chan struct{} // closed at a new revision, and at its return
	conns           map[net.Conn]bool
	notifications   []notification
	effectiveFrom   time.Duration // notifications count from here on: a reload takes its time
}

func newAgent(soak *Soak) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	agent := &agent{
		soak:          soak,
		listener:      listener,
		changed:       make(chan struct{}),
		hangOpenCalls: make(chan struct{}),
		conns:         map[net.Conn]bool{},
		hungAt:        -time.Hour,
	}
	agent.server = &http.Server{Handler: http.HandlerFunc(agent.serve), ConnState: agent.trackConn}
	soak.endpoints.subscribe(agent)
	go agent.server.Serve(listener)
	return agent, nil
}

func (a *agent) addr() string { return a.listener.Addr().String() }

func (a *agent) close() { a.server.Close() }

// trackConn keeps the open connections, to reset them.
func (a *agent) trackConn(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(a.conns, conn)
		return
	}
	a.conns[conn] = true
}

// publish has the agent learn of a revision, at once or when it is back.
func (a *agent) publish(revision int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		a.pendingRevision = max(a.pendingRevision, revision)
		return
	}
	a.applyRevision(revision)
}

// applyRevision takes a revision up; a.mu is held.
func (a *agent) applyRevision(revision int) {
	if revision <= a.revision {
		return
	}
	_, changed := a.soak.endpoints.listAt(revision, a.revision)
	now := a.soak.now()
	countsAt := max(now, a.effectiveFrom)
	if now < a.hungAt+hungWatchTime {
		countsAt = max(countsAt, a.hungAt+hungWatchTime)
	}
	for _, endpoint := range changed {
		a.notifications = append(a.notifications, notification{endpoint.UID, endpoint.State, countsAt})
	}
	a.revision = revision
	a.wakeCalls()
}

// wakeCalls has the calls that are open look again; a.mu is held.
func (a *agent) wakeCalls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// setDown has the agent answer nothing and learn nothing, or return.
func (a *agent) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	if !down {
		a.applyRevision(a.pendingRevision)
		a.wakeCalls()
	}
}

// hangWatches leaves all calls that are open without an answer for ever.
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

// setSendsFullLists has watches be answered with full lists.
func (a *agent) setSendsFullLists(full bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sendsFullLists = full
}

// setEffectiveFrom has no notification, so far or to come, count before a time.
func (a *agent) setEffectiveFrom(from time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.effectiveFrom = from
	for n := range a.notifications {
		a.notifications[n].effectiveAt = max(a.notifications[n].effectiveAt, from)
	}
}

// endpointCall is a coordinator's call: a watch from a revision on, or a poll of the list as it is.
type endpointCall struct {
	watch bool
	from  int           // of a watch: the revision that the coordinator has
	hold  time.Duration // how long a watch waits for another
}

func parseCallParameters(query url.Values) endpointCall {
	from, err := strconv.Atoi(query.Get("from"))
	holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
	return endpointCall{watch: err == nil, from: from, hold: time.Duration(holdMS) * time.Millisecond}
}

// serve answers a call.
func (a *agent) serve(writer http.ResponseWriter, httpRequest *http.Request) {
	call := parseCallParameters(httpRequest.URL.Query())
	if a.waitToAnswer(call, httpRequest.Context().Done()) {
		json.NewEncoder(writer).Encode(a.answer(call))
	}
}

// waitToAnswer waits until a call is to be answered: a poll at once, a watch at a newer revision or when its time is over, and
// neither while the agent is down. It tells whether to answer; false: the caller has left, or the call was silenced.
func (a *agent) waitToAnswer(call endpointCall, callerLeft <-chan struct{}) (answers bool) {
	end := time.After(call.hold)
	a.mu.Lock()
	silence := a.hangOpenCalls
	a.mu.Unlock()
	for {
		a.mu.Lock()
		changed := a.changed
		down := a.down
		waits := down || call.watch && a.revision <= call.from
		a.mu.Unlock()
		if !waits {
			return true
		}
		select {
		case <-changed:
		case <-end:
			if !down {
				return true
			}
			<-changed
		case <-silence:
			<-callerLeft
			return false
		case <-callerLeft:
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
