package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is an entry of the endpoint list, in the form of the protocol page.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// list is an endpoint list, whole or of changes.
type list struct {
	Revision int64    `json:"rev"`
	All      bool     `json:"all"`
	Targets  []target `json:"targets"`
}

// agent is a discovery agent: it answers at once with what it has, and holds a watch until something changes.
type agent struct {
	name     string
	record   *record
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	whole   list
	changed map[string]int64 // by uid: the revision of its last change
	wake    chan struct{}    // closed at the next change
	told    map[string]time.Time
	watches map[*http.Request]net.Conn // open ones
}

// startAgent starts an agent that has a whole list.
func startAgent(name string, whole list, record *record) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	whole.All = true
	started := &agent{
		name: name, record: record, listener: listener, whole: whole,
		changed: map[string]int64{}, wake: make(chan struct{}), told: map[string]time.Time{},
		watches: map[*http.Request]net.Conn{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", started.answer)
	started.server = &http.Server{Handler: mux, ConnContext: func(parent context.Context, conn net.Conn) context.Context {
		return context.WithValue(parent, connKey{}, conn)
	}}
	go func() { _ = started.server.Serve(listener) }()
	return started, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// endWatches closes the connections of all open watches, without an answer.
func (agent *agent) endWatches() {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for _, conn := range agent.watches {
		_ = conn.Close()
	}
	agent.record.add("agent %s ended %d open watches", agent.name, len(agent.watches))
}

func (agent *agent) address() string { return agent.listener.Addr().String() }

// stopListening lets the agent take no new connection, and closes the open ones after a time.
func (agent *agent) stopListening(closeAfter time.Duration) {
	_ = agent.listener.Close()
	time.AfterFunc(closeAfter, func() { _ = agent.server.Close() })
}

func (agent *agent) stop() { _ = agent.server.Close() }

// change gives the agent a new revision in which one target has another state.
func (agent *agent) change(revision int64, uid, state string) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.whole.Revision = revision
	for n := range agent.whole.Targets {
		if agent.whole.Targets[n].UID == uid {
			agent.whole.Targets[n].State = state
		}
	}
	agent.changed[uid] = revision
	close(agent.wake)
	agent.wake = make(chan struct{})
	agent.record.add("agent %s has rev=%d: %s is %s", agent.name, revision, uid, state)
}

// toldAt returns when the agent first wrote to the co-ordinator that a target is in a state; zero if it has not.
func (agent *agent) toldAt(uid, state string) time.Time {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.told[uid+" "+state]
}

// answer answers a call for the whole list or a watch.
func (agent *agent) answer(response http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseInt(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		agent.write(response, agent.current(-1))
		return
	}
	hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	agent.mu.Lock()
	agent.watches[request], _ = request.Context().Value(connKey{}).(net.Conn)
	agent.mu.Unlock()
	defer func() {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		delete(agent.watches, request)
	}()
	over := time.After(time.Duration(hold) * time.Millisecond)
	for {
		agent.mu.Lock()
		isNewer, wake := agent.whole.Revision > from, agent.wake
		agent.mu.Unlock()
		if isNewer {
			agent.write(response, agent.current(from))
			return
		}
		select {
		case <-wake:
		case <-over:
			agent.write(response, agent.current(from))
			return
		case <-request.Context().Done():
			return
		}
	}
}

// current returns the whole list if from is below 0, otherwise the changes since that revision.
func (agent *agent) current(from int64) list {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	answer := list{Revision: agent.whole.Revision, All: from < 0, Targets: []target{}}
	for _, entry := range agent.whole.Targets {
		if from < 0 || agent.changed[entry.UID] > from {
			answer.Targets = append(answer.Targets, entry)
		}
	}
	return answer
}

func (agent *agent) write(response http.ResponseWriter, answer list) {
	text, _ := json.Marshal(answer)
	response.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = response.Write(text)
	if flusher, ok := response.(http.Flusher); ok {
		flusher.Flush()
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	states := ""
	for _, entry := range answer.Targets {
		key := entry.UID + " " + entry.State
		if agent.told[key].IsZero() {
			agent.told[key] = time.Now()
		}
		states += fmt.Sprintf(" %s=%s", entry.UID, entry.State)
	}
	if len(answer.Targets) > 0 {
		agent.record.add("agent %s wrote rev=%d all=%t%s", agent.name, answer.Revision, answer.All, states)
	}
}
