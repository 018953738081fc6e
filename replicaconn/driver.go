// Package replicaconn drives the connections to replicas. Each connection has a goroutine that reads and one that
// writes. What a connection is for and when it opens or closes is decided by package connpool, whose Host stands in
// host.go; what the bytes mean is known to a replicaproto.Session. Nothing is decided here.
//
// Where to look: driver.go is what the coordinator calls, host.go what the pool asks for, endpoint.go the replicas as
// listed, conn.go the life of one connection, reader.go and writer.go its two goroutines, tls.go the certificates.
package replicaconn

import (
	"context"
	"fmt"
	"log"
	"sync"
	"time"

	"terntray/config"
	"terntray/connpool"
	"terntray/eventloop"
	"terntray/internal/replicaproto"
	"terntray/internal/replicaproto/frames"
	"terntray/internal/replicaproto/http2"
	"terntray/internal/wire"
	"terntray/scheduler"
)

// Handler is notified of what comes of attempts and connections, and is asked whether a call may still be written.
type Handler interface {
	// AttemptEnded reports the end of an attempt without a reply: its outcome, and the time since it was sent. It is
	// called on the loop, as the methods that follow.
	AttemptEnded(attempt connpool.AttemptID, outcome scheduler.Outcome, took time.Duration)
	// ReplyReceived reports the reply that ends an attempt, and when it was read.
	ReplyReceived(attempt connpool.AttemptID, reply *replicaproto.Event, at time.Duration)
	// LateReply counts a reply to an attempt that nobody waited for any more.
	LateReply()
	// ConnUp counts a connection that has come up.
	ConnUp()
	// ConnEvent counts and logs what happened to a connection.
	ConnEvent(event ConnEvent)
	// CertificatesExpiring tells how many certificates expire soon.
	CertificatesExpiring(count int)

	// HasRefusedCalls tells whether there are calls that their Permit has refused and of which the loop is yet to be
	// notified. Writers call it while they hold their connection's mutex.
	HasRefusedCalls() bool
	// NotifyRefusedCalls has the loop notified of these calls. Writers call it while they hold no mutex.
	NotifyRefusedCalls()
}

// ConnEvent is an event of a connection, with what the driver knows of it.
type ConnEvent struct {
	connpool.Event
	ReplicaUID string
	Addr       string
	TLSFailed  bool // TLS could not be set up
}

// Config sets a Driver up.
type Config struct {
	Replicas         *config.Config  // which protocol and TLS each replica needs
	Limits           connpool.Limits // for all connections
	MaxCallsPerFrame int             // calls of one query that share a frame, where the protocol has frames; at least 1
}

// Driver drives the connections to all replicas. Its fields belong to the event loop, except where they say otherwise,
// and so do its methods.
type Driver struct {
	loop    *eventloop.Loop
	handler Handler
	log     *log.Logger
	config  Config // not changed; read by all
	pool    *connpool.Pool

	endpoints   map[scheduler.ReplicaID]*Endpoint
	conns       map[connpool.ConnID]*conn
	lastAttempt connpool.AttemptID
	unflushed   []*conn                      // with output that their writers have not been woken up for
	valueSizes  *wire.ValueSizes             // of replies' values; has its own lock
	tls         map[string]*config.ClientTLS // by the name in the configuration; replaced as a whole

	context context.Context // ends with Stop; read by all
	stop    context.CancelFunc
	running sync.WaitGroup // goroutines of connections
}

// New makes a driver without connections. It reads the files that TLS needs.
func New(config Config, loop *eventloop.Loop, handler Handler, logger *log.Logger) (*Driver, error) {
	clientTLS, err := config.Replicas.LoadTLS()
	if err != nil {
		return nil, err
	}
	config.MaxCallsPerFrame = max(1, config.MaxCallsPerFrame)
	driver := &Driver{
		loop:       loop,
		handler:    handler,
		log:        logger,
		config:     config,
		endpoints:  map[scheduler.ReplicaID]*Endpoint{},
		conns:      map[connpool.ConnID]*conn{},
		valueSizes: &wire.ValueSizes{},
		tls:        clientTLS,
	}
	driver.pool = connpool.New(poolHost{driver}, config.Limits)
	driver.context, driver.stop = context.WithCancel(context.Background())
	return driver, nil
}

// Stop closes all connections. Any goroutine may call it, more than once.
func (driver *Driver) Stop() { driver.stop() }

// Wait waits until all goroutines of connections have ended. It is called after Stop and from any goroutine.
func (driver *Driver) Wait() { driver.running.Wait() }

// ConnCount is how many connections have not ended.
func (driver *Driver) ConnCount() int { return len(driver.conns) }

// NextAttemptID gives an id to an attempt that is about to be sent.
func (driver *Driver) NextAttemptID() connpool.AttemptID {
	driver.lastAttempt++
	return driver.lastAttempt
}

// Send sends an attempt. It returns false where no connection carries it and none can be opened: it never ran.
func (driver *Driver) Send(attempt *connpool.Attempt, to scheduler.ReplicaID) bool {
	return driver.pool.Send(driver.loop.Now(), attempt, to)
}

// Flush wakes up the writers of connections that have got output in this iteration of the loop. All that an iteration
// sends is queued by then, so that calls of one query can share a frame.
func (driver *Driver) Flush() {
	for _, conn := range driver.unflushed {
		conn.outputReady.Signal()
	}
	driver.unflushed = driver.unflushed[:0]
}

// Withdraw takes back an attempt of which nothing has been written, and tells whether it could.
func (driver *Driver) Withdraw(attempt *connpool.Attempt) bool {
	return driver.pool.Withdraw(driver.loop.Now(), attempt)
}

// Abandon tells that nobody waits for an attempt any more.
func (driver *Driver) Abandon(attempt *connpool.Attempt) {
	driver.pool.Abandon(driver.loop.Now(), attempt)
}

// Forget tells that nothing is awaited any more of an attempt that is over.
func (driver *Driver) Forget(attempt *connpool.Attempt) {
	driver.pool.Forget(driver.loop.Now(), attempt)
}

// NoRetransmit tells that no other connection may carry an attempt if its own ends before it is written.
func (driver *Driver) NoRetransmit(attempt *connpool.Attempt) { driver.pool.NoRetransmit(attempt) }

// WriteRefused tells that an attempt's Permit refused it as it was about to be written.
func (driver *Driver) WriteRefused(attempt *connpool.Attempt) {
	driver.pool.WriteRefused(driver.loop.Now(), attempt)
}

// FullyWritten tells whether an attempt was written whole, as far as that is known.
func (driver *Driver) FullyWritten(attempt *connpool.Attempt) bool {
	return driver.pool.FullyWritten(attempt)
}

// newSession makes the state machine of a new connection.
func (driver *Driver) newSession(protocol replicaproto.Protocol, to *Endpoint) replicaproto.Session {
	if protocol != replicaproto.HTTP2 {
		return frames.New(driver.config.MaxCallsPerFrame, driver.valueSizes)
	}
	if to.tlsName != "" {
		return http2.New("https", to.addr)
	}
	return http2.New("http", to.addr)
}

// ConnUp notes that calls may be written on a connection. Its goroutines post this and the two that follow.
func (driver *Driver) ConnUp(id connpool.ConnID) {
	driver.handler.ConnUp()
	driver.pool.ConnUp(driver.loop.Now(), id)
}

// ConnEnded takes a connection back whose goroutines have ended: why, and when.
func (driver *Driver) ConnEnded(id connpool.ConnID, cause error, at time.Duration) {
	driver.pool.ConnEnded(driver.loop.Now(), id, cause, at)
	delete(driver.conns, id)
}

// Received takes what was read on a connection.
func (driver *Driver) Received(id connpool.ConnID, input Input) {
	now := driver.loop.Now()
	conn := driver.conns[id]
	if conn != nil && conn.traits.Pings {
		driver.pool.BytesReceived(now, id, input.At)
	}
	for n := range input.Events {
		driver.receivedEvent(id, &input.Events[n], input.At)
	}
	if input.Malformed != nil {
		driver.pool.MalformedReceived(now, id, input.Malformed)
	}
}

func (driver *Driver) receivedEvent(id connpool.ConnID, event *replicaproto.Event, at time.Duration) {
	now := driver.loop.Now()
	attempt := connpool.AttemptID(event.Attempt)
	switch event.Kind {
	case replicaproto.Reply:
		driver.replied(id, event, at)
	case replicaproto.NeverRan, replicaproto.MayHaveRun:
		neverRan := event.Kind == replicaproto.NeverRan
		driver.pool.AttemptSettled(now, id, attempt, neverRan, at)
	case replicaproto.CallLimit:
		driver.pool.StreamLimitChanged(now, id, event.MaxCalls)
	case replicaproto.GoingAway:
		driver.pool.GoingAway(now, id, event.Detail)
	case replicaproto.Ready:
		driver.ConnUp(id)
	}
}

func (driver *Driver) replied(id connpool.ConnID, reply *replicaproto.Event, at time.Duration) {
	attempt := connpool.AttemptID(reply.Attempt)
	ended, late := driver.pool.ReplyReceived(driver.loop.Now(), id, attempt, reply.SubqueryID, at)
	if late {
		driver.handler.LateReply()
	}
	if ended != nil {
		driver.handler.ReplyReceived(ended.ID, reply, at)
	}
}

// protocolError says that what listens at a replica's address does not speak the protocol that is configured.
type protocolError struct{ protocol replicaproto.Protocol }

func (err *protocolError) Error() string {
	return fmt.Sprintf("nothing there speaks %s", err.protocol)
}
