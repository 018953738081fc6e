package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// connTable knows the open connections and chooses which of them has to go to make room for others: the one that
// has been idle for longest, first of all those that never sent a request. A connection with an open request is
// never chosen.
//
// Eviction guards against crowds of clients that keep their connections and send nothing, or once and never
// again, until no slot or descriptor is left: it would show as requests that nobody reads. It holds because only
// a connection that has sent a request counts as active, and active ones are bounded as well.
type connTable struct {
	mu        sync.Mutex
	conns     map[*ClientConn]struct{}
	active    int // connections that have sent a request and are not evicted
	maxActive int

	evicted atomic.Int64 // so far
}

func newConnTable(maxActive int) connTable {
	return connTable{conns: map[*ClientConn]struct{}{}, maxActive: maxActive}
}

func (table *connTable) add(client *ClientConn) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.conns[client] = struct{}{}
}

func (table *connTable) remove(client *ClientConn) {
	table.mu.Lock()
	defer table.mu.Unlock()
	delete(table.conns, client)
	if client.isActive() {
		table.active--
	}
}

// leaving counts the evicted connections that are idle and so about to end.
func (table *connTable) leaving() (count int) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for client := range table.conns {
		if client.evicted.Load() && client.idleSince.Load() > 0 {
			count++
		}
	}
	return count
}

// wakeAll has all connections look up from their reading.
func (table *connTable) wakeAll() {
	table.mu.Lock()
	defer table.mu.Unlock()
	for client := range table.conns {
		client.wake()
	}
}

// noteFirstRequest tells that a client has sent its first request. With too many active ones, one of them has to go.
func (server *Server) noteFirstRequest(client *ClientConn) {
	table := &server.conns
	table.mu.Lock()
	defer table.mu.Unlock()
	client.sentRequest.Store(true)
	if !client.evicted.Load() {
		table.active++
	}
	if table.active > table.maxActive {
		table.evictLongestIdle(server.now(), (*ClientConn).isActive)
	}
}

// evictIdle evicts the connection that has been idle for longest; it tells whether there was one.
func (server *Server) evictIdle() bool {
	server.conns.mu.Lock()
	defer server.conns.mu.Unlock()
	return server.conns.evictLongestIdle(server.now(), func(*ClientConn) bool { return true })
}

// evictLongestIdle evicts one of the connections that may be chosen. The table is locked.
func (table *connTable) evictLongestIdle(now time.Duration, mayChoose func(*ClientConn) bool) bool {
	var chosen *ClientConn
	longest := time.Duration(-1)
	for client := range table.conns {
		idle, isIdle := client.idleFor(now)
		if !isIdle || client.evicted.Load() || !mayChoose(client) {
			continue
		}
		if idle > longest {
			chosen, longest = client, idle
		}
	}
	if chosen == nil {
		return false
	}
	if chosen.isActive() {
		table.active--
	}
	chosen.evicted.Store(true)
	table.evicted.Add(1)
	chosen.wake()
	return true
}

// isActive tells whether a connection has sent a request and is not evicted. The table is locked.
func (client *ClientConn) isActive() bool { return client.sentRequest.Load() && !client.evicted.Load() }

// idleFor is for how long no request has been open, weighted for clients that never sent one; false: one is open.
func (client *ClientConn) idleFor(now time.Duration) (idle time.Duration, isIdle bool) {
	since := time.Duration(client.idleSince.Load())
	if since == 0 {
		return 0, false
	}
	idle = max(0, now-since)
	if !client.sentRequest.Load() {
		idle *= silentIdleWeight
	}
	return idle, true
}
