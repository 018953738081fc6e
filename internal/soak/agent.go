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
	// silentWatchTime is from when on, after a watch fell silent, what it misses counts as notified: by then the
	// coordinator has to have given the watch up and polled.
	silentWatchTime = 6 * time.Second

	// reloadTime is from when on, after SIGHUP, what the new agent has counts as notified.
	reloadTime = 4 * time.Second
)

// agent is the discovery agent on one coordinator's machine.
type agent struct {
	soak     *Soak
	listener net.Listener
	server   *http.Server

	mu            sync.Mutex
	revision      int           // that it has
	down          bool          // it answers nothing and learns nothing
	pending       int           // the revision that it learns of at its return
	silence       chan struct{} // closed when the calls that are open are to stay without an answer
	silentAt      time.Duration // when that was last
	fullLists     bool          // watches are answered with full lists
	changed       chan struct{} // closed at a new revision, and at its return
	conns         map[net.Conn]bool
	notifications []notification
	countsFrom    time.Duration // notifications count from here on: a reload takes its time
}

func newAgent(soak *Soak) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	agent := &agent{
		soak:     soak,
		listener: listener,
		changed:  make(chan struct{}),
		silence:  make(chan struct{}),
		conns:    map[net.Conn]bool{},
		silentAt: -time.Hour,
	}
	agent.server = &http.Server{Handler: http.HandlerFunc(agent.serve), ConnState: agent.noteConn}
	soak.endpoints.subscribe(agent)
	go agent.server.Serve(listener)
	return agent, nil
}

func (a *agent) addr() string { return a.listener.Addr().String() }

func (a *agent) close() { a.server.Close() }

// noteConn keeps the open connections, to reset them.
func (a *agent) noteConn(conn net.Conn, state http.ConnState) {
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
		a.pending = max(a.pending, revision)
		return
	}
	a.learn(revision)
}

// learn takes a revision up; a.mu is held.
func (a *agent) learn(revision int) {
	if revision <= a.revision {
		return
	}
	_, changed := a.soak.endpoints.at(revision, a.revision)
	now := a.soak.now()
	countsAt := max(now, a.countsFrom)
	if now < a.silentAt+silentWatchTime {
		countsAt = max(countsAt, a.silentAt+silentWatchTime)
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
		a.learn(a.pending)
		a.wakeCalls()
	}
}

// silenceWatches leaves all calls that are open without an answer for ever.
func (a *agent) silenceWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silentAt = a.soak.now()
	close(a.silence)
	a.silence = make(chan struct{})
}

// resetWatches resets all connections.
func (a *agent) resetWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		reset(conn)
	}
}

// setFullLists has watches be answered with full lists.
func (a *agent) setFullLists(full bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fullLists = full
}

// startCountingAt has no notification, so far or to come, count before a time.
func (a *agent) startCountingAt(from time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.countsFrom = from
	for n := range a.notifications {
		a.notifications[n].at = max(a.notifications[n].at, from)
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
	if a.await(call, httpRequest.Context().Done()) {
		json.NewEncoder(writer).Encode(a.answer(call))
	}
}

// await waits until a call is to be answered: a poll at once, a watch at a newer revision or when its time is over, and
// neither while the agent is down. It tells whether to answer; false: the caller has left, or the call was silenced.
func (a *agent) await(call endpointCall, callerLeft <-chan struct{}) (answers bool) {
	end := time.After(call.hold)
	a.mu.Lock()
	silence := a.silence
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
	list := endpointList{Revision: a.revision, Full: !call.watch || a.fullLists}
	a.mu.Unlock()
	since := max(0, min(call.from, list.Revision))
	all, changed := a.soak.endpoints.at(list.Revision, since)
	list.Endpoints = changed
	if list.Full {
		list.Endpoints = all
	}
	if list.Endpoints == nil {
		list.Endpoints = []endpoint{}
	}
	return list
}
