// Package server takes clients' requests: it owns the listener, the client connections and their life from accept
// to close. Each connection has one goroutine. What is to become of a request is decided elsewhere: queries go to
// a Handler on the event loop, which responds through the ClientConn that the query came on.
//
// Where to look: listener.go accepts, slots.go and eviction.go bound how many connections are open, connection.go
// drives one, routes.go dispatches its requests, response.go writes, and shutdown.go tells what happens at
// SIGTERM.
package server

import (
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"terntray/internal/wire"
	"terntray/invariant"
)

// Loop is what the server needs of the event loop.
type Loop interface {
	// Post runs a function on the loop; false says that the loop has ended and never will run it.
	Post(do func()) bool
	// Since is the loop's time at a moment: the time since the process' start.
	Since(at time.Time) time.Duration
}

// Handler decides what becomes of requests.
type Handler interface {
	// Ready is what /up says; queries are taken at any time. Any goroutine may call it, as the two that follow.
	Ready() bool
	// IsSheddingLoad tells whether some arrivals are rejected at once.
	IsSheddingLoad() bool
	// Admit counts one arrival and tells whether it is admitted.
	Admit() bool

	// QueryArrived takes a query over, which has to get one response. It is called on the loop, as all that follow.
	QueryArrived(arrival Arrival)
	// ClientDisconnected tells that a client has closed its connection, or that its driver has failed.
	ClientDisconnected(client *ClientConn)
	// RequestRefused counts a request that was answered with an error of the client.
	RequestRefused()
	// ConnClosed counts a connection that has ended.
	ConnClosed(closed ConnClosed)
	// CountersText is the page of the counters.
	CountersText() string
	// EstimatesText is the page of what the scheduler has learned.
	EstimatesText() string
}

// Arrival is a query that a client sent.
type Arrival struct {
	Client     *ClientConn
	Query      *wire.Query
	ReceivedAt time.Duration // when its last byte came, as far as that can be told; loop time
	ParsedAt   time.Duration // when it was handed to the loop; loop time
}

// Class is what the server has to know of a class of queries.
type Class struct {
	MaxTimeout time.Duration    // the longest time that a client may say it waits
	TwoPhase   bool             // its queries may ask for two phases
	TwoStep    bool             // needs a second step, which the clients' protocol lacks: its queries are answered 501
	Effect     invariant.Effect // of running a subquery twice
}

// Config sets a Server up.
type Config struct {
	Classes         map[string]Class // by the first element of a request's path
	MemoryMB        int              // the process' limit; 0: none
	Sockets         int              // the process' limit on descriptors; 0: none
	ReservedSockets int              // descriptors for all that is no client connection
}

// Server accepts client connections and reads requests from them.
type Server struct {
	handler Handler
	loop    Loop
	log     *log.Logger
	classes map[string]Class

	listener   net.Listener
	slots      connSlots
	largeSlots largeRequestSlots
	conns      connTable
	running    sync.WaitGroup // the listener and all connections

	shutdownStart atomic.Pointer[time.Time] // nil: not told to shut down

	accepted       atomic.Int64
	acceptFailures acceptFailures
}

// New makes a server that accepts nothing yet.
func New(config Config, handler Handler, loop Loop, logger *log.Logger) *Server {
	server := &Server{
		handler: handler,
		loop:    loop,
		log:     logger,
		classes: config.Classes,
	}
	maxConns := config.maxConns()
	server.slots = newConnSlots(maxConns)
	server.largeSlots = newLargeRequestSlots(config.maxLargeRequests(maxConns))
	server.conns = newConnTable(config.maxActive(maxConns))
	return server
}

// Start accepts connections until Shutdown is called. It takes the listener over.
func (server *Server) Start(listener net.Listener) {
	server.listener = listener
	server.running.Go(server.acceptAll)
}

// Counts is what the server has done so far.
type Counts struct {
	Accepted       int64 // connections
	Evicted        int64 // of them, closed while idle to make room
	AcceptFailures int64
}

// Counts may be called from any goroutine.
func (server *Server) Counts() Counts {
	return Counts{
		Accepted:       server.accepted.Load(),
		Evicted:        server.conns.evicted.Load(),
		AcceptFailures: server.acceptFailures.count.Load(),
	}
}

// now is the loop's time.
func (server *Server) now() time.Duration { return server.loop.Since(time.Now()) }

// Text gives a maker of responses with a status and a line of text, for ClientConn.Respond.
func Text(status int, text string) func(last bool) []byte {
	return func(last bool) []byte { return wire.TextResponse(status, text, last) }
}

// Rejection gives a maker of responses that say that the request was not run and may be sent again.
func Rejection(text string) func(last bool) []byte {
	return func(last bool) []byte { return wire.RejectResponse(0, text, last) }
}
