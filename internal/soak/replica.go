package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// longRunning is the start time of a replica that was warm before the soak began.
const longRunning time.Duration = -1

const (
	// resumeWindow is the time after a replica resumes reading in which it may still read frames that were sent much
	// earlier.
	resumeWindow = 50 * time.Millisecond

	defaultBacklog = 128

	listenTries = 50 // to listen on the old address again, with a listenPause after each
	listenPause = 20 * time.Millisecond
)

// replica is a fake replica that speaks the frame protocol and records the attempts that reach it in the ledger.
type replica struct {
	soak      *Soak
	uid       string
	cell      int
	coreSlots chan struct{} // holds an element for each running attempt

	mu             sync.Mutex
	listener       net.Listener
	conns          map[*replicaConn]bool
	startedAt      time.Duration // of its process, on the soak's clock, or longRunning
	startUnixMS    int64         // the same in Unix milliseconds, for discovery; 0 for longRunning
	state          endpointState // in discovery
	claimed        bool          // by a fault
	hanging        bool          // it neither reads nor replies
	notAccepting   bool          // it accepts no connections
	readingSince   time.Duration // when it last resumed reading; 0: never interrupted
	acceptingSince time.Duration // when it last resumed accepting connections; 0: never interrupted
	resumed        *sync.Cond    // uses mu; signalled when hanging or notAccepting changes
	random         *rand.Rand
}

// newReplica starts a replica. It is not published to discovery yet.
func newReplica(soak *Soak, uid string, cell int, startedAt time.Duration) (*replica, error) {
	replica := &replica{
		soak:      soak,
		uid:       uid,
		cell:      cell,
		coreSlots: make(chan struct{}, replicaCores),
		conns:     map[*replicaConn]bool{},
		startedAt: startedAt,
		state:     stateReady,
		random:    soak.randomFor(uid),
	}
	if startedAt >= 0 {
		replica.startUnixMS = time.Now().UnixMilli()
	}
	replica.resumed = sync.NewCond(&replica.mu)
	return replica, replica.listen(anyPort())
}

func (r *replica) listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go r.accept(listener)
	return nil
}

func (r *replica) addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listener.Addr().String()
}

// endpoint returns the replica as discovery publishes it.
func (r *replica) endpoint() endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return endpoint{
		UID:      r.uid,
		Address:  r.listener.Addr().String(),
		Zone:     "west",
		Model:    "m",
		Cell:     r.cell,
		State:    r.state,
		Capacity: 1,
		BootMS:   r.startUnixMS,
	}
}

// publishState changes the state of the replica in discovery; its process keeps running.
func (r *replica) publishState(state endpointState) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.soak.endpoints.publish(r.endpoint())
}

// claim reserves a ready replica for a fault of the caller until release. It returns false if the replica is not ready
// or is claimed already.
func (r *replica) claim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != stateReady || r.claimed {
		return false
	}
	r.claimed = true
	return true
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimed = false
}

// draw returns a random number from 0 to n-1.
func (r *replica) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// waitWhileHanging waits while the replica hangs. It reports whether the replica was hanging, now or within the last
// resumeWindow.
func (r *replica) waitWhileHanging() (delayed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.hanging {
		delayed = true
		r.resumed.Wait()
	}
	return delayed || r.readingSince > 0 && r.soak.now()-r.readingSince < resumeWindow
}

func (r *replica) setHanging(hanging bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hanging && !hanging {
		r.resumeReading()
	}
	r.hanging = hanging
	r.resumed.Broadcast()
}

// resumeReading notes that the replica reads again: what has arrived on its connections by now, or within resumeWindow, may
// have been sent much earlier. The caller holds r.mu.
func (r *replica) resumeReading() {
	r.readingSince = r.soak.now()
	for conn := range r.conns {
		conn.input.markStale()
		time.AfterFunc(resumeWindow, conn.input.markStale)
	}
}

// setAccepting sets whether the replica accepts connections. While it does not, its listen backlog is set to 0, the
// shortest that the kernel offers.
func (r *replica) setAccepting(accepting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notAccepting && accepting {
		r.resumeReading()
		r.acceptingSince = r.soak.now()
	}
	r.notAccepting = !accepting
	backlog := defaultBacklog
	if !accepting {
		backlog = 0
	}
	if raw, err := r.listener.(*net.TCPListener).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) })
	}
	r.resumed.Broadcast()
}

// resetAll resets all open connections.
func (r *replica) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn.Conn)
	}
}

// stop simulates the end of the replica's process: connections are reset and new ones are refused.
func (r *replica) stop() {
	r.mu.Lock()
	listener := r.listener
	r.hanging = false
	r.notAccepting = false
	r.resumed.Broadcast()
	r.mu.Unlock()
	listener.Close()
	r.resetAll()
}

// restart starts a stopped replica cold at the same address.
func (r *replica) restart() error {
	addr := r.addr()
	var err error
	for range listenTries {
		r.mu.Lock()
		r.startedAt = r.soak.now()
		r.startUnixMS = time.Now().UnixMilli()
		r.mu.Unlock()
		if err = r.listen(addr); err == nil {
			return nil
		}
		time.Sleep(listenPause)
	}
	return err
}
