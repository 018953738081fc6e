package server

import (
	"sync/atomic"
	"time"
)

// connSlots bounds the number of open client connections. A slot is acquired once a connection was accepted and released
// when the connection ends.
type connSlots struct {
	used    chan struct{} // one element per connection
	waiting atomic.Bool   // no slot is free, so connections close after their response; used by any goroutine
}

func newConnSlots(capacity int) connSlots { return connSlots{used: make(chan struct{}, capacity)} }

func (slots *connSlots) release() { <-slots.used }

func (slots *connSlots) tryAcquire() bool {
	select {
	case slots.used <- struct{}{}:
		return true
	default:
		return false
	}
}

// usable returns how many slots may be in use before idle clients are evicted.
func (slots *connSlots) usable() int {
	capacity := cap(slots.used)
	return capacity - capacity/freeSlotDivisor - 1
}

// acquireSlot acquires a slot for a connection that was accepted, and reports whether one became free before the given time
// and whether it had to wait. It evicts idle clients to free slots. While none is free, connections close after their next
// response: an accepted connection must not wait for one that has been answered and is idle.
func (server *Server) acquireSlot(until time.Time) (acquired, waited bool) {
	defer server.slots.waiting.Store(false)
	start := time.Now()
	for {
		for server.fewSlotsFree() && server.evictIdle(time.Since(start) >= silentGrace) {
		}
		if server.slots.tryAcquire() {
			return true, waited
		}
		left := time.Until(until)
		if left <= 0 {
			return false, waited
		}
		server.slots.waiting.Store(true)
		waited = true
		select {
		case server.slots.used <- struct{}{}:
			return true, waited
		case <-time.After(min(left, slotRetryInterval)):
		}
	}
}

// fewSlotsFree reports whether too few slots are free or about to be freed. An evicted client that is idle is about to
// free its slot; one with an open request frees it only after its response.
func (server *Server) fewSlotsFree() bool {
	excess := len(server.slots.used) - server.slots.usable()
	if excess < 0 {
		return false
	}
	return excess >= server.conns.evictedIdle()
}

// IsNearConnLimit reports whether the clients with open queries hold so many connection slots that too few remain
// for other clients. The requests of those would stay unread until they expire, for example when replicas hang and
// sockets or memory are scarce; the caller should reject new queries instead.
func (server *Server) IsNearConnLimit(openQueries int) bool {
	return openQueries >= max(1, server.slots.usable())
}

// maxConns returns the number of client connections that the memory and descriptor limits allow.
func (config *Config) maxConns() int {
	limit := defaultMaxConns
	if config.MemoryMB > 0 {
		limit = max(1, config.MemoryMB<<20/connMemoryDivisor/connBytes)
	}
	if config.Sockets > 0 {
		limit = min(limit, max(minConns, config.Sockets-config.ReservedSockets))
	}
	return limit
}

// maxActive returns how many connections that have sent a request may be open before the longest idle of them is
// evicted.
func (config *Config) maxActive(maxConns int) int {
	if config.Sockets == 0 {
		return maxConns
	}
	return max(1, int(maxActiveShare*float64(config.Sockets/activeSocketDivisor)))
}
