package coordinator

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	frontShare = 2                      // of the memory one part in so many may be clients' buffers
	freeShare  = 10                     // of the slots one in so many is kept free, where clients are idle
	goingOn    = 700 * time.Millisecond // after the word to end: how long clients may still come
	sweepUp    = 50 * time.Millisecond  // for what the machine has accepted when that is over
	acceptWait = 10 * time.Millisecond  // after an accept that failed
)

// front owns the listener and the clients' connections.
type front struct {
	listener net.Listener
	slots    chan struct{} // one for each connection
	running  sync.WaitGroup

	mu      sync.Mutex
	clients map[*client]struct{}
}

func (f *front) start(c *Coordinator, listener net.Listener) {
	most, limits := 1<<16, c.deployment.Limits
	if limits.MemoryMB > 0 {
		most = max(1, limits.MemoryMB<<20/frontShare/(2*mostAhead))
	}
	if limits.Sockets > 0 {
		most = min(most, max(2, limits.Sockets-spare-c.fleet.mostLinks))
	}
	f.listener, f.slots, f.clients = listener, make(chan struct{}, most), map[*client]struct{}{}
	f.running.Go(func() { f.accept(c) })
}

// accept takes connections until the listener's deadline has passed, then closes it at once: what the machine
// takes for it later would wait in vain. With few slots left it asks the client that has been idle for
// longest to go. Guards against: crowds of clients that keep connections and send nothing, or half a request.
// Should also cover: descriptors that run out. Could hurt: clients that come back to a closed connection.
func (f *front) accept(c *Coordinator) {
	defer f.listener.Close()
	for {
		if len(f.slots) >= cap(f.slots)-cap(f.slots)/freeShare-1 {
			f.evict()
		}
		f.slots <- struct{}{}
		conn, err := f.listener.Accept()
		switch {
		case err == nil:
			k := newClient(c, conn)
			f.mu.Lock()
			f.clients[k] = struct{}{}
			f.mu.Unlock()
			f.running.Go(func() {
				defer f.release(k)
				k.serveSafely()
			})
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed):
			<-f.slots
			return
		}
		<-f.slots
		c.log.Printf("event=accept_failed cause=%q", err)
		time.Sleep(acceptWait)
	}
}

// release gives a client's connection and slot back.
func (f *front) release(k *client) {
	k.conn.Close()
	f.mu.Lock()
	delete(f.clients, k)
	f.mu.Unlock()
	<-f.slots
}

func (f *front) evict() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest *client
	for k := range f.clients {
		since := k.idleSince.Load()
		if idle := since > 0 && !k.evicted.Load(); idle && (longest == nil || since < longest.idleSince.Load()) {
			longest = k
		}
	}
	if longest != nil {
		longest.evicted.Store(true)
		longest.wake()
	}
}

// leave ends the front: idle connections at once, the rest with their answers, and the listener once no
// client comes any more. Then it calls done.
func (f *front) leave(done func()) {
	f.mu.Lock()
	for k := range f.clients {
		k.wake()
	}
	f.mu.Unlock()
	time.AfterFunc(goingOn, func() {
		if l, ok := f.listener.(*net.TCPListener); ok {
			l.SetDeadline(time.Now().Add(sweepUp))
		}
		f.running.Wait()
		done()
	})
}

// stopWith closes a connection when a context ends; what it returns calls that off.
func stopWith(ctx context.Context, conn net.Conn) func() bool {
	return context.AfterFunc(ctx, func() { conn.Close() })
}
