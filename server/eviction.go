package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// connTable holds the open connections and selects which one to evict when room is needed: of those that have never sent a
// request for silentGrace, the one that has been idle longest, and only without these one that has. A connection with an open
// request is never selected.
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
		table.evict(table.longestIdle(server.now(), (*ClientConn).isActive))
	}
}

// evictIdle evicts a connection, and reports whether there was one to evict; see selectIdle.
func (server *Server) evictIdle(hasWaited bool) bool {
	server.conns.mu.Lock()
	defer server.conns.mu.Unlock()
	return server.conns.evict(server.conns.selectIdle(server.now(), hasWaited))
}

// selectIdle selects a connection to evict, or returns nil if there is none. While some have sent no request but have not been
// silent for long enough, it selects no client with earlier requests unless the caller has waited for them: many silent
// connections at once would otherwise close those of usual clients that rest. The table must be locked.
func (table *connTable) selectIdle(now time.Duration, hasWaited bool) *ClientConn {
	silent := table.longestIdle(now, func(client *ClientConn) bool { return client.isSilent(now) })
	if silent != nil || table.hasNew() && !hasWaited {
		return silent
	}
	return table.longestIdle(now, func(*ClientConn) bool { return true })
}

// longestIdle returns the longest idle of the eligible connections that are not evicted, or nil if there is none. The table
// must be locked.
func (table *connTable) longestIdle(now time.Duration, eligible func(*ClientConn) bool) (selected *ClientConn) {
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
	return selected
}

// hasNew reports whether a connection that is not evicted has sent no request yet. The table must be locked.
func (table *connTable) hasNew() bool {
	for client := range table.conns {
		if client.idleSince.Load() > 0 && !client.sentRequest.Load() && !client.evicted.Load() {
			return true
		}
	}
	return false
}

// evict evicts a connection, and reports whether there was one. The table must be locked.
func (table *connTable) evict(selected *ClientConn) bool {
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

// isSilent reports whether the connection has been open for silentGrace without a request.
func (client *ClientConn) isSilent(now time.Duration) bool {
	idle, isIdle := client.idleFor(now)
	return isIdle && !client.sentRequest.Load() && idle >= silentGrace
}

// idleFor returns how long the connection has been idle. isIdle is false while a request is open.
func (client *ClientConn) idleFor(now time.Duration) (idle time.Duration, isIdle bool) {
	since := time.Duration(client.idleSince.Load())
	if since == 0 {
		return 0, false
	}
	return max(0, now-since), true
}
