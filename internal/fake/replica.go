// Package fake has scripted peers of a co-ordinator on loopback, for tests and proofs: replicas (Replica) that
// speak frames and HTTP/2, discovery that lists them (Discovery, and DiscoveryAgent where a test chooses each
// answer), clients on an open-loop schedule (Load), data for two-phase queries (Shards), and the program itself as
// a process (Program). Each keeps a ledger of what it saw, by which tests judge. Nothing here is part of the
// service. Some of it, such as DiscoveryAgent, is reached only by tests of several packages, and so cannot stand in
// a test file of one.
package fake

import (
	"bufio"
	"crypto/tls"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Call is one subquery as it reached a replica.
type Call struct {
	ID         string
	Shard      int
	TimeLeftMS int // until its answer is no longer awaited, as the replica was told
	Text       string
	Conn       net.Conn

	http2  *http2Conn // nil: it came in a frame
	stream uint32
}

// Replica is a replica whose Behavior decides what becomes of each call.
type Replica struct {
	UID         string
	Cell        int
	State       string
	BootMS      int64 // Unix time of its start in milliseconds
	Listener    net.Listener
	TLS         *tls.Config                      // to be set before it is listed
	OnMalformed func(format string, args ...any) // is called for messages that cannot be used

	Mu        sync.Mutex // guards what follows
	Behavior  Behavior
	Calls     []Call   // the ledger; empty where NoLedger
	Abandoned []string // ids of subqueries for which nobody waits any more; empty where NoLedger
	Conns     []net.Conn
	NoLedger  bool // keep no ledger: for many calls
	// CutAfter draws after how many bytes received a new connection is reset; below 0: never. Nil: none is.
	CutAfter func() int
	// QueueTime draws how long a call in HTTP/2 waits before it is executed; nil: it does not wait.
	QueueTime   func() time.Duration
	Model       string
	http2       []*http2Conn
	streamLimit int // concurrent streams on a connection; below 0: any number
	maxStreams  int // that were open on a connection at a time

	reading         sync.RWMutex // is locked while the replica reads nothing
	bytesReceived   atomic.Int64
	connsAccepted   atomic.Int64
	ignoresPings    atomic.Bool
	withholdsCredit atomic.Bool

	changedAt int // the revision of the list in which it last changed; belongs to Discovery
	writing   sync.Mutex
}

// NewReplica starts a replica on a port of its own; Close ends it.
func NewReplica(uid string, cell int, behavior Behavior) (*Replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	replica := &Replica{
		UID:         uid,
		Cell:        cell,
		State:       "ready",
		Model:       "m",
		Listener:    listener,
		Behavior:    behavior,
		OnMalformed: func(string, ...any) {},
		streamLimit: -1,
	}
	go replica.Accept(listener)
	return replica, nil
}

// Accept serves the connections of a listener until that is closed.
func (replica *Replica) Accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		replica.Mu.Lock()
		replica.Conns = append(replica.Conns, conn)
		replica.Mu.Unlock()
		replica.connsAccepted.Add(1)
		go replica.serve(conn)
	}
}

// Close closes the listener and all connections.
func (replica *Replica) Close() {
	replica.Listener.Close()
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	for _, conn := range replica.Conns {
		conn.Close()
	}
}

// serve serves a connection in the protocol in which it begins.
func (replica *Replica) serve(conn net.Conn) {
	defer conn.Close()
	replica.Mu.Lock()
	cutAfter := replica.CutAfter
	replica.Mu.Unlock()
	if cutAfter != nil {
		conn = &cutConn{Conn: conn, left: cutAfter()}
	}
	if replica.TLS != nil {
		conn = tls.Server(conn, replica.TLS)
	}
	in := bufio.NewReader(countingConn{conn, replica})
	if beginsHTTP2(in) {
		if discardPreface(in) {
			replica.serveHTTP2(conn, in)
		}
		return
	}
	replica.serveFrames(conn, in)
}

// execute records a call and has it executed.
func (replica *Replica) execute(call Call) {
	replica.Mu.Lock()
	if !replica.NoLedger {
		replica.Calls = append(replica.Calls, call)
	}
	behavior := replica.Behavior
	replica.Mu.Unlock()
	behavior(replica, call)
}

// noteAbandoned records that nobody waits for a subquery any more.
func (replica *Replica) noteAbandoned(id string) {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	if !replica.NoLedger {
		replica.Abandoned = append(replica.Abandoned, id)
	}
}

// Reply answers a call; end is OK, ERROR or REJECTED.
func (replica *Replica) Reply(call Call, end, value string) {
	if call.http2 != nil {
		call.http2.reply(call.stream, end, value)
		return
	}
	replica.replyInFrame(call, end, value)
}

// SetBehavior changes what the replica does with calls from now on.
func (replica *Replica) SetBehavior(behavior Behavior) {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	replica.Behavior = behavior
}

// Received returns the ledger of calls so far.
func (replica *Replica) Received() []Call {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	return slices.Clone(replica.Calls)
}

// HasReceived reports whether a call came whose id begins so.
func (replica *Replica) HasReceived(idPrefix string) bool {
	return slices.ContainsFunc(replica.Received(), func(call Call) bool { return strings.HasPrefix(call.ID, idPrefix) })
}

// Traffic returns how many bytes and connections have come so far.
func (replica *Replica) Traffic() (bytes, conns int) {
	return int(replica.bytesReceived.Load()), int(replica.connsAccepted.Load())
}
