// Package server accepts client connections, reads requests from them and writes responses; it owns the listener and
// the connections. Each connection has one goroutine. Queries are passed to a Handler on the event loop, which
// responds through the ClientConn of the query.
//
// listener.go accepts connections, slots.go and eviction.go bound their number, connection.go serves one, routes.go
// dispatches its requests, response.go writes responses, and shutdown.go describes graceful shutdown.
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

// Loop is the part of the event loop that the server uses.
type Loop interface {
	// Post queues a function to run on the loop. It returns false if the loop has ended and will not run it.
	Post(fn func()) bool
	// Since returns the loop time, the time since the start of the process, that corresponds to at.
	Since(at time.Time) time.Duration
}

// Handler processes requests.
type Handler interface {
	// Ready reports whether /up answers that the process is ready; queries are accepted regardless. Ready,
	// IsSheddingLoad and Admit may be called from any goroutine.
	Ready() bool
	// IsSheddingLoad reports whether load shedding is active, so that a share of the requests is rejected.
	IsSheddingLoad() bool
	// Admit counts a request and reports whether it is admitted.
	Admit() bool

	// QueryArrived processes a query and has to respond to it exactly once. It and the methods below are called on the
	// event loop.
	QueryArrived(arrival Arrival)
	// ClientDisconnected is called when a client has closed its connection or the connection's goroutine has panicked.
	ClientDisconnected(client *ClientConn)
	// RequestRefused counts a request that was refused before it became a query: it is invalid or unsupported, or too
	// many large requests are being read. Requests rejected by Admit are not counted.
	RequestRefused()
	// ConnClosed counts a closed connection.
	ConnClosed(closed ConnClosed)
	// CountersText returns the text of the counters page.
	CountersText() string
	// EstimatesText returns the text of the page with the scheduler's estimates.
	EstimatesText() string
}

// Arrival is a query received from a client.
type Arrival struct {
	Client          *ClientConn
	Query           *wire.Query
	ReceivedAt      time.Duration // loop time at which the operating system received its last byte
	ReceivedAtKnown bool          // false: ReceivedAt is when it was read, as the operating system reports nothing
	ParsedAt        time.Duration // loop time at which it was parsed and posted to the loop
}

// Class configures the requests of one class of queries.
type Class struct {
	MaxTimeout time.Duration    // the longest timeout that a client may request
	TwoPhase   bool             // queries may request two-phase execution
	TwoStep    bool             // needs a second round of subqueries, which the protocol lacks: answered with 501
	Effect     invariant.Effect // effect of executing a subquery twice
}

// Config configures a Server.
type Config struct {
	Classes         map[string]Class // by the first element of the request path
	LongestDeadline time.Duration    // of all classes; after a shutdown the process may be killed depending on it
	MemoryMB        int              // memory limit of the process; 0 for none
	Sockets         int              // descriptor limit of the process; 0 for none
	ReservedSockets int              // descriptors reserved for uses other than client connections
}

// Server accepts client connections and reads requests from them.
type Server struct {
	handler Handler
	loop    Loop
	log     *log.Logger
	classes map[string]Class

	longestDeadline time.Duration

	listener      net.Listener
	slots         connSlots
	requestMemory requestMemory
	conns         connTable
	running       sync.WaitGroup // goroutines of the listener and the connections

	shutdownStart atomic.Pointer[time.Time] // nil until Shutdown is called
	answerBy      atomic.Pointer[time.Time] // see AnswerBy; nil until then

	accepted       atomic.Int64
	shed           atomic.Int64
	acceptFailures acceptFailures
}

// New returns a server. Call Start to accept connections.
func New(config Config, handler Handler, loop Loop, logger *log.Logger) *Server {
	server := &Server{
		handler: handler,
		loop:    loop,
		log:     logger,
		classes: config.Classes,

		longestDeadline: config.LongestDeadline,
	}
	maxConns := config.maxConns()
	server.slots = newConnSlots(maxConns)
	server.requestMemory.available.Store(config.requestMemoryBytes())
	server.conns = newConnTable(config.maxActive(maxConns))
	return server
}

// Start starts accepting connections, until Shutdown is called. The server takes ownership of the listener.
func (server *Server) Start(listener net.Listener) {
	server.listener = listener
	server.running.Go(server.acceptAll)
}

// Counts holds totals since the start of the process.
type Counts struct {
	Accepted       int64 // connections accepted
	Evicted        int64 // connections evicted while idle to make room
	Shed           int64 // connections rejected unread, as no slot became free
	AcceptFailures int64
}

// Counts returns the current totals. It may be called from any goroutine.
func (server *Server) Counts() Counts {
	return Counts{
		Accepted:       server.accepted.Load(),
		Evicted:        server.conns.evicted.Load(),
		Shed:           server.shed.Load(),
		AcceptFailures: server.acceptFailures.count.Load(),
	}
}

// now returns the current loop time.
func (server *Server) now() time.Duration { return server.loop.Since(time.Now()) }

// Text returns a function for ClientConn.Respond that builds a response with a status and a line of text.
func Text(status int, text string) func(last bool) []byte {
	return func(last bool) []byte { return wire.TextResponse(status, text, last) }
}

// Rejection returns a function for ClientConn.Respond that builds a response which says that the request was not
// executed and may be retried.
func Rejection(text string) func(last bool) []byte {
	return func(last bool) []byte { return wire.RejectResponse(0, text, last) }
}
