package coordinator

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	frontShare  = 2                      // of the memory one part in so many may be clients' connections
	plainCosts  = 16 << 10               // bytes that the connection of a usual client takes
	largeShare  = 8                      // of the memory one part in so many may be large requests
	usualShare  = 3                      // clients hold one in so many of the descriptors at the most for requests
	usualKept   = 0.7                    // of those, so many may be open before the one idle longest has to go
	newIdles    = 20                     // times as long as others a connection counts as idle that never asked
	freeShare   = 10                     // of the slots one in so many is kept free, where clients are idle
	goingOn     = 700 * time.Millisecond // after the word to end: how long clients may still come
	sweepUp     = 50 * time.Millisecond  // for what the machine has accepted when that is over
	acceptWait  = 10 * time.Millisecond  // after an accept that failed
	failedEvery = time.Second            // between lines about accepts that failed
	slotWait    = 5 * time.Millisecond   // between looks for who may leave while no slot is free
)

// front owns the listener and the clients' connections.
type front struct {
	listener net.Listener
	slots    chan struct{} // one for each connection
	large    chan struct{} // one place for each request that is larger than most
	running  sync.WaitGroup

	waits atomic.Bool // for a slot: clients that have their answers are to leave; read by all

	mu      sync.Mutex
	clients map[*client]struct{}
	known   int // of those, have asked and were not told to go
	usual   int // so many of them may be open

	accepted, evicted, failed atomic.Int64 // so far; read by all
	failedLogged              time.Time    // of accepts that failed; belongs to the goroutine that accepts
}

func (f *front) start(c *Coordinator, listener net.Listener) {
	most, limits := 1<<16, c.deployment.Limits
	if limits.MemoryMB > 0 {
		most = max(1, limits.MemoryMB<<20/frontShare/plainCosts)
	}
	if limits.Sockets > 0 {
		most = min(most, max(2, limits.Sockets-spare-c.fleet.mostLinks))
	}
	f.listener, f.slots, f.clients = listener, make(chan struct{}, most), map[*client]struct{}{}
	places := most
	if limits.MemoryMB > 0 {
		places = max(1, min(most, limits.MemoryMB<<20/largeShare/mostWhole))
	}
	f.large = make(chan struct{}, places)
	f.usual = most
	if limits.Sockets > 0 {
		f.usual = max(1, int(usualKept*float64(limits.Sockets/usualShare)))
	}
	f.running.Go(func() { f.accept(c) })
}

// accept takes connections until the listener's deadline has passed, then closes it at once: what the machine
// takes for it later would wait in vain. With few slots left it asks as many clients to go as keeps some free.
// Guards against: crowds of clients that keep connections and send nothing, or half a request. Should also
// cover: descriptors that run out. Could hurt: clients that come back to a closed connection.
func (f *front) accept(c *Coordinator) {
	defer f.listener.Close()
	for swept := false; ; {
		if f.slot() && swept && f.maySweep(c) {
			f.closeSoon(sweepUp) // the look for those that wait was held up
		}
		conn, err := f.listener.Accept()
		switch {
		case err == nil:
			f.accepted.Add(1)
			k := newClient(c, conn)
			f.mu.Lock()
			f.clients[k] = struct{}{}
			f.mu.Unlock()
			f.running.Go(func() {
				defer f.release(k)
				k.serveSafely()
			})
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && !swept: // without a look, if this process stood still until then
			swept = true
			f.closeSoon(sweepUp)
			<-f.slots
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed):
			<-f.slots
			return
		}
		<-f.slots
		f.noteFailed(c, err)
		time.Sleep(acceptWait)
		if swept && f.maySweep(c) {
			f.closeSoon(sweepUp) // nothing was looked at
		}
	}
}

// maySweep tells whether the last look for connections that the machine has accepted may go on.
func (f *front) maySweep(c *Coordinator) bool {
	return c.loop.Since(time.Now())-time.Duration(c.shutdownAt.Load()) < goingOn+writeLimit
}

// noteFailed counts an accept that failed, and logs it now and then: a shortage may last.
func (f *front) noteFailed(c *Coordinator, err error) {
	f.failed.Add(1)
	if time.Since(f.failedLogged) >= failedEvery {
		f.failedLogged = time.Now()
		c.log.Printf("event=accept_failed cause=%q so_far=%d", err, f.failed.Load())
	}
}

// slot waits for a slot. Idle clients leave for it, and while none is free also those that get their answers.
// It tells whether it had to wait. Guards against: connections that wait in the machine's queue behind one that has its
// answer and rests.
func (f *front) slot() (waited bool) {
	defer f.waits.Store(false)
	for ; ; waited = true {
		for f.tight() && f.evict() {
		}
		select {
		case f.slots <- struct{}{}:
			return waited
		case <-time.After(slotWait):
			f.waits.Store(true)
		}
	}
}

// tight tells whether few slots are free or about to be. Who was told to go and has something open goes only with that.
func (f *front) tight() bool {
	most := cap(f.slots)
	taken := len(f.slots) - (most - most/freeShare - 1)
	if taken < 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.clients {
		if k.evicted.Load() && k.idleSince.Load() > 0 {
			taken--
		}
	}
	return taken >= 0
}

// crowded tells whether so many queries are open that their clients leave too few slots for others to be heard.
// Guards against: requests that lie unread behind waiting ones until their time is over. Could hurt: by a turn-back,
// which is harmless, where replicas hang and descriptors or memory are few.
func (f *front) crowded(open int) bool {
	most := cap(f.slots)
	return most > 0 && open >= max(1, most-most/freeShare-1)
}

// enlarge takes a place for a large request, if there is one; lessen gives it back.
func (f *front) enlarge() bool {
	select {
	case f.large <- struct{}{}:
		return true
	default:
		return false
	}
}

func (f *front) lessen() { <-f.large }

// release gives a client's connection and slot back.
func (f *front) release(k *client) {
	k.conn.Close()
	if k.large {
		f.lessen()
	}
	f.mu.Lock()
	delete(f.clients, k)
	if !k.evicted.Load() && k.known.Load() {
		f.known--
	}
	f.mu.Unlock()
	<-f.slots
}

// meet notes that a client has asked for the first time. Guards against: clients that ask once and keep their
// connections until none is left to them for other requests. Could hurt: who comes back soon finds a closed one.
func (f *front) meet(k *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k.known.Store(true)
	if !k.evicted.Load() {
		f.known++
	}
	if f.known > f.usual {
		f.evictOne(true)
	}
}

// evict asks the client to go that has been idle for longest, first of all those that never asked.
func (f *front) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evictOne(false)
}

func (f *front) evictOne(known bool) bool {
	var longest *client
	most := int64(-1)
	for k := range f.clients {
		since := k.idleSince.Load()
		if since == 0 || k.evicted.Load() || known && !k.known.Load() {
			continue
		}
		idle := max(0, int64(k.c.loop.Since(time.Now()))-since)
		if !k.known.Load() {
			idle *= newIdles
		}
		if idle > most {
			longest, most = k, idle
		}
	}
	if longest != nil {
		longest.evicted.Store(true)
		f.evicted.Add(1)
		if longest.known.Load() {
			f.known--
		}
		longest.wake()
	}
	return longest != nil
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
		f.closeSoon(0)
		f.running.Wait()
		done()
	})
}

// closeSoon has the listener end after a time.
func (f *front) closeSoon(in time.Duration) {
	if l, ok := f.listener.(*net.TCPListener); ok {
		l.SetDeadline(time.Now().Add(in))
	}
}
