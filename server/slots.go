package server

import (
	"sync/atomic"
	"time"
)

// connSlots bounds how many client connections are open. The listener takes a slot before it accepts; the
// connection's end gives it back.
type connSlots struct {
	used    chan struct{} // one element for each connection
	waiting atomic.Bool   // the listener finds none free: clients that have their response have to go; any goroutine
}

func newConnSlots(capacity int) connSlots { return connSlots{used: make(chan struct{}, capacity)} }

func (slots *connSlots) release() { <-slots.used }

// usable is how many slots may be taken before idle clients have to go.
func (slots *connSlots) usable() int {
	capacity := cap(slots.used)
	return capacity - capacity/freeSlotDivisor - 1
}

// acquireSlot waits for a slot. Idle clients leave for it, and while none is free also those that get their
// responses: a connection in the kernel's queue must not wait behind one that has its response and rests. It
// tells whether it had to wait.
func (server *Server) acquireSlot() (waited bool) {
	defer server.slots.waiting.Store(false)
	for {
		for server.fewSlotsFree() && server.evictIdle() {
		}
		select {
		case server.slots.used <- struct{}{}:
			return waited
		case <-time.After(slotRetryInterval):
			server.slots.waiting.Store(true)
			waited = true
		}
	}
}

// fewSlotsFree tells whether few slots are free or about to be. An evicted client that is idle is about to free
// its slot; one with an open request does so only after its response.
func (server *Server) fewSlotsFree() bool {
	excess := len(server.slots.used) - server.slots.usable()
	if excess < 0 {
		return false
	}
	return excess >= server.conns.leaving()
}

// IsNearConnLimit reports whether the clients with open queries hold so many connection slots that too few remain
// for others.
// Requests would lie unread behind waiting ones until their time is over; so the caller rejects, which is
// harmless, where replicas hang and sockets or memory are few.
func (server *Server) IsNearConnLimit(openQueries int) bool {
	return openQueries >= max(1, server.slots.usable())
}

// largeRequestSlots bounds how many requests of largeRequestBytes or more are read at a time.
type largeRequestSlots chan struct{}

func newLargeRequestSlots(capacity int) largeRequestSlots { return make(chan struct{}, capacity) }

func (slots largeRequestSlots) tryAcquire() bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (slots largeRequestSlots) release() { <-slots }

// maxConns is how many client connections the machine's limits allow.
func (config *Config) maxConns() int {
	most := defaultMaxConns
	if config.MemoryMB > 0 {
		most = max(1, config.MemoryMB<<20/connMemoryDivisor/connBytes)
	}
	if config.Sockets > 0 {
		most = min(most, max(leastConnsBySocket, config.Sockets-config.ReservedSockets))
	}
	return most
}

// maxLargeRequests is how many large requests the memory allows at a time.
func (config *Config) maxLargeRequests(maxConns int) int {
	if config.MemoryMB == 0 {
		return maxConns
	}
	return max(1, min(maxConns, config.MemoryMB<<20/largeMemoryDivisor/maxRequestBytes))
}

// maxActive is how many connections that have sent a request may be open.
func (config *Config) maxActive(maxConns int) int {
	if config.Sockets == 0 {
		return maxConns
	}
	return max(1, int(activeKeptShare*float64(config.Sockets/activeSocketDivisor)))
}
