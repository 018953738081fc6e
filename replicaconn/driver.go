// Package replicaconn drives the connections to replicas. Each connection has a goroutine that reads and one that
// writes. Package connpool decides when a connection is opened and closed and what it is used for, and a
// replicaproto.Session parses its input and formats its output. This package only carries out their decisions;
// host.go implements connpool.Host.
//
// Files: driver.go has the methods that the coordinator calls, host.go those that the pool calls, endpoint.go the
// listed replicas, conn.go the lifecycle of a connection, reader.go and writer.go its two goroutines, and tls.go the
// certificates.
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
	"terntray/scheduler"
	"terntray/valuecheck"
)

// Handler is notified of the results of attempts and of connection events, and is asked for refused calls.
type Handler interface {
	// AttemptEnded reports the end of an attempt without a reply: its outcome, and the time since it was sent. This
	// method and those up to CertificatesExpiring are called on the event loop.
	AttemptEnded(attempt connpool.AttemptID, outcome scheduler.Outcome, took time.Duration)
	// ReplyReceived reports the reply that ends an attempt, and when it was read.
	ReplyReceived(attempt connpool.AttemptID, reply *replicaproto.Event, readAt time.Duration)
	// ReplyUnconfirmed reports that a reply to an attempt was read, but is withheld until its length is confirmed. The
	// attempt's end follows.
	ReplyUnconfirmed(attempt connpool.AttemptID, reply *replicaproto.Event, readAt time.Duration)
	// LateReply counts a reply to an attempt that was abandoned.
	LateReply()
	// ConnUp counts an established connection.
	ConnUp()
	// ConnEvent counts and logs an event of a connection.
	ConnEvent(event ConnEvent)
	// CertificatesExpiring reports the number of certificates that expire soon.
	CertificatesExpiring(count int)

	// HasRefusedCalls reports whether there are calls that their Permit has refused and that were not yet reported to
	// the loop. Writers call it while they hold their connection's mutex.
	HasRefusedCalls() bool
	// NotifyRefusedCalls reports these calls to the loop. Writers call it while they hold no mutex.
	NotifyRefusedCalls()
}

// ConnEvent is an event of a connection, with details from the driver.
type ConnEvent struct {
	connpool.Event
	ReplicaUID string
	Addr       string
	TLSFailed  bool // the TLS handshake failed
}

// Config is the configuration of a Driver.
type Config struct {
	Replicas         *config.Config  // the protocol and TLS settings of each replica
	Limits           connpool.Limits // for all connections
	MaxCallsPerFrame int             // calls of one query per frame, where the protocol has frames; at least 1
}

// Driver drives the connections to all replicas. Unless stated otherwise, its fields and methods must only be used on
// the event loop.
type Driver struct {
	loop    *eventloop.Loop
	handler Handler
	log     *log.Logger
	config  Config // immutable; read by any goroutine
	pool    *connpool.Pool

	endpoints   map[scheduler.ReplicaID]*Endpoint
	conns       map[connpool.ConnID]*conn
	lastAttempt connpool.AttemptID
	unflushed   []*conn                      // with output, but their writers have not been woken up yet
	values      *valuecheck.History          // values in replies; has its own lock
	tls         map[string]*config.ClientTLS // by their name in the configuration; replaced as a whole

	context context.Context // cancelled by Stop; read by any goroutine
	stop    context.CancelFunc
	running sync.WaitGroup // goroutines of connections
}

// New returns a driver without connections. It loads the TLS files.
func New(config Config, loop *eventloop.Loop, handler Handler, logger *log.Logger) (*Driver, error) {
	clientTLS, err := config.Replicas.LoadTLS()
	if err != nil {
		return nil, err
	}
	config.MaxCallsPerFrame = max(1, config.MaxCallsPerFrame)
	driver := &Driver{
		loop:      loop,
		handler:   handler,
		log:       logger,
		config:    config,
		endpoints: map[scheduler.ReplicaID]*Endpoint{},
		conns:     map[connpool.ConnID]*conn{},
		values:    &valuecheck.History{},
		tls:       clientTLS,
	}
	driver.pool = connpool.New(poolHost{driver}, config.Limits)
	driver.context, driver.stop = context.WithCancel(context.Background())
	return driver, nil
}

// Stop closes all connections. It is safe for concurrent use and may be called more than once.
func (driver *Driver) Stop() { driver.stop() }

// Wait waits until all goroutines of connections have ended. It must be called after Stop, from any goroutine.
func (driver *Driver) Wait() { driver.running.Wait() }

// ConnCount returns the number of connections that have not ended.
func (driver *Driver) ConnCount() int { return len(driver.conns) }

// NextAttemptID returns the id for an attempt that is about to be sent.
func (driver *Driver) NextAttemptID() connpool.AttemptID {
	driver.lastAttempt++
	return driver.lastAttempt
}

// Send sends an attempt. It returns false if no connection can carry it and none can be opened: the attempt never
// ran.
func (driver *Driver) Send(attempt *connpool.Attempt, to scheduler.ReplicaID) bool {
	return driver.pool.Send(driver.loop.Now(), attempt, to)
}

// Flush wakes up the writers of connections that have new output from this iteration of the loop. As everything that
// the iteration sends is queued by then, calls of one query can share a frame.
func (driver *Driver) Flush() {
	for _, conn := range driver.unflushed {
		conn.outputReady.Signal()
	}
	driver.unflushed = driver.unflushed[:0]
}

// Withdraw takes back an attempt of which nothing has been written, and reports whether it succeeded.
func (driver *Driver) Withdraw(attempt *connpool.Attempt) bool {
	return driver.pool.Withdraw(driver.loop.Now(), attempt)
}

// Abandon notifies the pool that the result of an attempt is no longer needed.
func (driver *Driver) Abandon(attempt *connpool.Attempt) {
	driver.pool.Abandon(driver.loop.Now(), attempt)
}

// Forget releases an attempt that is over and of which nothing more is expected.
func (driver *Driver) Forget(attempt *connpool.Attempt) {
	driver.pool.Forget(driver.loop.Now(), attempt)
}

// NoRetransmit forbids sending an attempt on another connection if its own ends before the attempt is written.
func (driver *Driver) NoRetransmit(attempt *connpool.Attempt) { driver.pool.NoRetransmit(attempt) }

// WriteRefused notifies the pool that an attempt's Permit refused it just before it would have been written.
func (driver *Driver) WriteRefused(attempt *connpool.Attempt) {
	driver.pool.WriteRefused(driver.loop.Now(), attempt)
}

// FullyWritten reports whether an attempt is known to have been fully written.
func (driver *Driver) FullyWritten(attempt *connpool.Attempt) bool {
	return driver.pool.FullyWritten(attempt)
}

// newSession returns the protocol state machine for a new connection.
func (driver *Driver) newSession(protocol replicaproto.Protocol, to *Endpoint) replicaproto.Session {
	if protocol != replicaproto.HTTP2 {
		return frames.New(driver.config.MaxCallsPerFrame, driver.values)
	}
	if to.tlsName != "" {
		return http2.New("https", to.addr, driver.values)
	}
	return http2.New("http", to.addr, driver.values)
}

// ConnUp notifies the pool that calls may be written on a connection. The connection's goroutines post it to the
// loop, like ConnEnded and Received.
func (driver *Driver) ConnUp(id connpool.ConnID) {
	driver.handler.ConnUp()
	driver.pool.ConnUp(driver.loop.Now(), id)
}

// ConnEnded removes a connection whose goroutines have ended, with the cause and the time of its end.
func (driver *Driver) ConnEnded(id connpool.ConnID, cause error, endedAt time.Duration) {
	driver.pool.ConnEnded(driver.loop.Now(), id, cause, endedAt)
	delete(driver.conns, id)
}

// Received handles the input of one read from a connection.
func (driver *Driver) Received(id connpool.ConnID, input Input) {
	now := driver.loop.Now()
	conn := driver.conns[id]
	if conn != nil && conn.traits.Pings {
		driver.pool.BytesReceived(now, id, input.At)
	}
	for n := range input.Events {
		driver.handleEvent(id, &input.Events[n], input.At)
	}
	if input.Stalled {
		driver.pool.MessageStalled(id)
	}
	if input.Malformed != nil {
		driver.pool.MalformedReceived(now, id, input.Malformed)
	}
}

func (driver *Driver) handleEvent(id connpool.ConnID, event *replicaproto.Event, readAt time.Duration) {
	now := driver.loop.Now()
	attempt := connpool.AttemptID(event.Attempt)
	switch event.Kind {
	case replicaproto.Reply:
		driver.handleReply(id, event, readAt)
	case replicaproto.Unconfirmed:
		unconfirmed := driver.pool.ReplyUnconfirmed(now, id, attempt, event.SubqueryID, readAt)
		if unconfirmed != nil {
			driver.handler.ReplyUnconfirmed(unconfirmed.ID, event, readAt)
		}
	case replicaproto.NeverRan, replicaproto.MayHaveRun:
		neverRan := event.Kind == replicaproto.NeverRan
		driver.pool.AttemptSettled(now, id, attempt, neverRan, readAt)
	case replicaproto.CallLimit:
		driver.pool.StreamLimitChanged(now, id, event.MaxCalls)
	case replicaproto.GoingAway:
		driver.pool.GoingAway(now, id, event.Detail)
	case replicaproto.Ready:
		driver.ConnUp(id)
	}
}

func (driver *Driver) handleReply(id connpool.ConnID, reply *replicaproto.Event, readAt time.Duration) {
	attempt := connpool.AttemptID(reply.Attempt)
	ended, late := driver.pool.ReplyReceived(driver.loop.Now(), id, attempt, reply.SubqueryID, readAt)
	if late {
		driver.handler.LateReply()
	}
	if ended != nil {
		driver.handler.ReplyReceived(ended.ID, reply, readAt)
	}
}

// protocolError means that the server at a replica's address does not speak the configured protocol.
type protocolError struct{ protocol replicaproto.Protocol }

// Error returns the name of the configured protocol.
func (err *protocolError) Error() string {
	return fmt.Sprintf("the server at this address does not speak %s", err.protocol)
}
