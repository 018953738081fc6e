// Package fake provides scripted counterparts of a co-ordinator on loopback, for tests and proofs: replicas (Replica)
// that speak frames and HTTP/2, discovery that lists them (Discovery, and DiscoveryAgent where a test decides on each
// answer), clients on an open-loop schedule (Load), data for two-phase queries (Shards), and the program itself as
// a process (Program). They record what they observe, so that tests can check it. The service does not use this
// package. Some types, such as DiscoveryAgent, are used only by tests, but of several packages, and therefore cannot be
// in a test file.
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

// Call is a subquery as a replica received it.
type Call struct {
	ID         string
	Shard      int
	TimeLeftMS int // time until the answer is no longer needed, as sent with the call
	Text       string
	Conn       net.Conn

	http2  *http2Conn // nil if the call arrived in a frame
	stream uint32
}

// Replica is a fake replica that handles each call as its Behavior says.
type Replica struct {
	UID         string
	Cell        int
	State       string
	BootMS      int64 // Unix time of its start in milliseconds
	Listener    net.Listener
	TLS         *tls.Config                      // nil: no TLS; set before discovery lists the replica
	OnMalformed func(format string, args ...any) // called for each malformed message

	Mu        sync.Mutex // guards the fields up to maxStreams
	Behavior  Behavior
	Calls     []Call   // all calls received; empty if NoLedger
	Abandoned []string // ids of subqueries that the co-ordinator has abandoned; empty if NoLedger
	Conns     []net.Conn
	NoLedger  bool // do not record calls, to save memory when there are many
	// CutAfter returns the number of received bytes after which a new connection is reset; below 0: never. Nil: no
	// connection is reset.
	CutAfter func() int
	// QueueTime returns how long an HTTP/2 call is queued before it is executed. Nil: calls are not queued.
	QueueTime func() time.Duration
	Model     string
	// ValueOf returns the value of a sound reply. Nil: a short one that names the replica and the shard.
	ValueOf func(Call) string
	// OmitsContentLength leaves the content-length out of HTTP/2 replies.
	OmitsContentLength bool
	http2              []*http2Conn
	streamLimit        int // concurrent streams per connection; below 0: unlimited
	maxStreams         int // largest number of streams open on one connection at the same time

	reading         sync.RWMutex // write-locked while reading is paused
	bytesReceived   atomic.Int64
	connsAccepted   atomic.Int64
	ignoresPings    atomic.Bool
	withholdsCredit atomic.Bool

	changedAt int // revision of the endpoint list in which it last changed; guarded by Discovery.Mu
	writing   sync.Mutex
}

// NewReplica starts a replica on a free port. The caller stops it with Close.
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

// Accept serves connections from a listener until the listener is closed.
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

// serve serves a connection, detecting its protocol from the first bytes.
func (replica *Replica) serve(conn net.Conn) {
	defer conn.Close()
	replica.Mu.Lock()
	cutAfter := replica.CutAfter
	replica.Mu.Unlock()
	if cutAfter != nil {
		conn = &cutConn{Conn: conn, remaining: cutAfter()}
	}
	if replica.TLS != nil {
		conn = tls.Server(conn, replica.TLS)
	}
	reader := bufio.NewReader(countingConn{conn, replica})
	if beginsHTTP2(reader) {
		if discardPreface(reader) {
			replica.serveHTTP2(conn, reader)
		}
		return
	}
	replica.serveFrames(conn, reader)
}

// execute records a call and runs the replica's behavior on it.
func (replica *Replica) execute(call Call) {
	replica.Mu.Lock()
	if !replica.NoLedger {
		replica.Calls = append(replica.Calls, call)
	}
	behavior := replica.Behavior
	replica.Mu.Unlock()
	behavior(replica, call)
}

// recordAbandoned records that the co-ordinator has abandoned a subquery.
func (replica *Replica) recordAbandoned(id string) {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	if !replica.NoLedger {
		replica.Abandoned = append(replica.Abandoned, id)
	}
}

// Reply answers a call. The status is OK, ERROR or REJECTED, in both protocols.
func (replica *Replica) Reply(call Call, status, value string) {
	if call.http2 != nil {
		call.http2.reply(call.stream, status, value)
		return
	}
	replica.replyInFrame(call, status, value)
}

// SetBehavior sets the behavior for calls that arrive from now on.
func (replica *Replica) SetBehavior(behavior Behavior) {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	replica.Behavior = behavior
}

// Received returns the calls recorded so far.
func (replica *Replica) Received() []Call {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	return slices.Clone(replica.Calls)
}

// HasReceived reports whether a call was recorded whose id has the given prefix.
func (replica *Replica) HasReceived(idPrefix string) bool {
	return slices.ContainsFunc(replica.Received(), func(call Call) bool { return strings.HasPrefix(call.ID, idPrefix) })
}

// Traffic returns the number of bytes received and connections accepted so far.
func (replica *Replica) Traffic() (bytes, conns int) {
	return int(replica.bytesReceived.Load()), int(replica.connsAccepted.Load())
}
