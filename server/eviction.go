package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// connTable holds the open connections and selects which one to evict when room is needed: the one that has been idle
// longest, where the idle time of one that has never sent a request counts silentIdleWeight times. A connection with an
// open request is never selected.
//
// Without eviction, many clients that keep idle connections open, having sent one request or none, could use up all
// slots or descriptors, and requests of other clients would stay unread. Only connections that have sent a request
// count as active. If too many are active, the one of them that has been idle longest is evicted as well.
type connTable struct {
	mu        sync.Mutex
	conns     map[*ClientConn]struct{}
	active    int // connections that have sent a request and are not evicted
	maxActive int

	evicted atomic.Int64 // evictions so far
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

// evictedIdle returns the number of evicted connections that are idle and therefore about to close.
func (table *connTable) evictedIdle() (count int) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for client := range table.conns {
		if client.evicted.Load() && client.idleSince.Load() > 0 {
			count++
		}
	}
	return count
}

// wakeAll wakes the goroutines of all connections.
func (table *connTable) wakeAll() {
	table.mu.Lock()
	defer table.mu.Unlock()
	for client := range table.conns {
		client.wake()
	}
}

// noteFirstRequest records that a client has sent its first request and, if that makes too many connections active,
// evicts an active one that is idle, if there is one.
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

// evictIdle evicts the connection that has been idle longest. It reports whether there was one.
func (server *Server) evictIdle() bool {
	server.conns.mu.Lock()
	defer server.conns.mu.Unlock()
	return server.conns.evictLongestIdle(server.now(), func(*ClientConn) bool { return true })
}

// evictLongestIdle evicts the longest idle of the eligible connections. The table must be locked.
func (table *connTable) evictLongestIdle(now time.Duration, eligible func(*ClientConn) bool) bool {
	var selected *ClientConn
	longest := time.Duration(-1)
	for client := range table.conns {
		idle, isIdle := client.idleFor(now)
		if !isIdle || client.evicted.Load() || !eligible(client) {
			continue
		}
		if idle > longest {
			selected, longest = client, idle
		}
	}
	if selected == nil {
		return false
	}
	if selected.isActive() {
		table.active--
	}
	selected.evicted.Store(true)
	table.evicted.Add(1)
	selected.wake()
	return true
}

// isActive reports whether the connection has sent a request and is not evicted. The table must be locked.
func (client *ClientConn) isActive() bool { return client.sentRequest.Load() && !client.evicted.Load() }

// idleFor returns how long the connection has been idle, multiplied by silentIdleWeight if it has never sent a
// request. isIdle is false while a request is open.
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
