package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// longRunning is the boot of a replica that has run since long before the soak: it is warm.
const longRunning time.Duration = -1

const (
	// resumeWindow is how long after a replica reads again what it reads may have been written long before.
	resumeWindow = 50 * time.Millisecond

	defaultBacklog = 128

	restartAttempts = 50 // to listen at the old address again
	restartPause    = 20 * time.Millisecond
)

// replica speaks the frames of the protocol page and notes in the ledger what reached it.
type replica struct {
	soak      *Soak
	uid       string
	cell      int
	coreSlots chan struct{} // a place for each attempt that runs

	mu             sync.Mutex
	listener       net.Listener
	conns          map[net.Conn]bool
	startedAt      time.Duration // of its process, on the soak's clock; below 0: longRunning
	startUnixMS    int64         // the same as discovery tells it, in Unix milliseconds; 0: long ago
	state          endpointState // as discovery has it
	claimed        bool          // a fault has it
	hanging        bool          // it reads nothing and answers nothing
	notAccepting   bool          // it accepts no connections
	readingSince   time.Duration // when it last read again; 0: it always did
	acceptingSince time.Duration // when it last accepted connections again; 0: it always did
	resumed        *sync.Cond    // on mu: it no longer hangs, or accepts again
	random         *rand.Rand
}

// newReplica starts a replica that discovery does not know yet.
func newReplica(soak *Soak, uid string, cell int, boot time.Duration) (*replica, error) {
	replica := &replica{
		soak:      soak,
		uid:       uid,
		cell:      cell,
		coreSlots: make(chan struct{}, replicaCores),
		conns:     map[net.Conn]bool{},
		startedAt: boot,
		state:     stateReady,
		random:    soak.randomFor(uid),
	}
	if boot >= 0 {
		replica.startUnixMS = time.Now().UnixMilli()
	}
	replica.resumed = sync.NewCond(&replica.mu)
	return replica, replica.listen("127.0.0.1:0")
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

// endpoint is the replica as discovery tells it.
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

// publishState changes the state that discovery tells of the replica; its process goes on.
func (r *replica) publishState(state endpointState) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.soak.endpoints.publish(r.endpoint())
}

// claim has one fault at a time strike a replica that is ready; it tells whether the caller has it now.
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

// draw draws below n.
func (r *replica) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// waitWhileHanging waits while the replica hangs; it tells whether it had to, now or a moment ago.
func (r *replica) waitWhileHanging() (late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.hanging {
		late = true
		r.resumed.Wait()
	}
	return late || r.readingSince > 0 && r.soak.now()-r.readingSince < resumeWindow
}

func (r *replica) setHanging(hanging bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hanging && !hanging {
		r.readingSince = r.soak.now()
	}
	r.hanging = hanging
	r.resumed.Broadcast()
}

// setAccepting has the replica accept connections or not. While it does not, its backlog is as short as the kernel
// makes it.
func (r *replica) setAccepting(accepting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notAccepting && accepting {
		r.readingSince = r.soak.now()
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

// resetAll resets all connections that stand.
func (r *replica) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

// stop ends the replica's process: its connections are reset and new ones refused.
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

// restart starts a stopped replica again at the same address: cold.
func (r *replica) restart() error {
	addr := r.addr()
	var err error
	for range restartAttempts {
		r.mu.Lock()
		r.startedAt = r.soak.now()
		r.startUnixMS = time.Now().UnixMilli()
		r.mu.Unlock()
		if err = r.listen(addr); err == nil {
			return nil
		}
		time.Sleep(restartPause)
	}
	return err
}
