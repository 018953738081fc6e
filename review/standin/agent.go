package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// agent is a stand-in of the discovery agent. It answers at once, and holds a watch until the list changes.
type agent struct {
	listener net.Listener
	record   *recorder

	mu       sync.Mutex
	rev      int
	replicas []*replica
	changes  map[string]int       // revision of a replica's last change, by uid
	told     map[string]time.Time // when a replica's last change was written to a co-ordinator, by uid
	changed  chan struct{}        // closed and replaced at each change
}

func newAgent(record *recorder, replicas []*replica) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &agent{
		listener: listener, record: record, rev: 41, replicas: replicas,
		changes: map[string]int{}, told: map[string]time.Time{}, changed: make(chan struct{}),
	}
	go http.Serve(listener, http.HandlerFunc(started.serve))
	return started, nil
}

func (lists *agent) serve(response http.ResponseWriter, request *http.Request) {
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	if err != nil {
		lists.mu.Lock()
		defer lists.mu.Unlock()
		lists.record.note("agent tells the whole list, rev %d", lists.rev)
		fmt.Fprint(response, lists.list(0))
		return
	}
	hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	lists.mu.Lock()
	changed, news := lists.changed, lists.rev > from
	lists.mu.Unlock()
	if !news {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	lists.mu.Lock()
	defer lists.mu.Unlock()
	body := lists.list(from)
	response.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(response, body)
	http.NewResponseController(response).Flush()
	for uid, rev := range lists.changes {
		if rev > from {
			lists.told[uid] = time.Now()
			lists.record.note("agent has written the change of %s to the co-ordinator", uid)
		}
	}
}

// toldOf returns when a replica's last change was written to the co-ordinator; zero if that has not been or there is none.
func (lists *agent) toldOf(server *replica) time.Time {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return lists.told[server.uid]
}

// list is the whole list, or with from above 0 the changes after that revision. The caller holds the lock.
func (lists *agent) list(from int) string {
	var targets []string
	for _, server := range lists.replicas {
		if from > 0 && lists.changes[server.uid] <= from {
			continue
		}
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"kolonnawa","model":"std-2core",`+
			`"pod_group":%d,"state":%q,"capacity_hint":1.0,"boot_ms":0}`,
			server.uid, server.listener.Addr(), server.cell, server.state))
	}
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, lists.rev, from == 0, strings.Join(targets, ","))
}

// known is the list as a co-ordinator finds it in its configuration.
func (lists *agent) known() string {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	return lists.list(0)
}

// set changes the state of a replica and tells it to all watches.
func (lists *agent) set(server *replica, state string) {
	lists.mu.Lock()
	defer lists.mu.Unlock()
	lists.rev++
	server.state = state
	delete(lists.told, server.uid)
	lists.changes[server.uid] = lists.rev
	lists.record.note("agent tells that %s is %s, rev %d", server.uid, state, lists.rev)
	close(lists.changed)
	lists.changed = make(chan struct{})
}
