package replicaconn

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"terntray/connpool"
	"terntray/eventloop"
	"terntray/internal/netconn"
	"terntray/internal/replicaproto"
)

// closeNotifyTimeout limits the writing of the last messages on a connection: notices of abandoned calls, and the one
// that the connection is about to be closed, where the protocol has one (GOAWAY).
const closeNotifyTimeout = 50 * time.Millisecond

// conn is one connection to a replica. It has two goroutines: run, which dials, reads and reports the connection's
// end, and the writer.
type conn struct {
	driver   *Driver
	id       connpool.ConnID
	addr     string
	protocol replicaproto.Protocol
	traits   replicaproto.Traits
	tls      *tls.Config // nil for cleartext

	mu          sync.Mutex // guards the session, the stages of its calls, and the fields below
	outputReady *sync.Cond // signalled when the session may have output, or closing is set
	session     replicaproto.Session
	socket      net.Conn // nil until connected; the TCP connection below TLS
	closing     bool
	lastWrites  bool // the writer still has last messages to write before it closes the socket; valid if closing
	writerEnded bool
	readLimit   time.Time // by which reading ends, as nothing more can be written; zero: not limited
}

func newConn(driver *Driver, id connpool.ConnID, to *Endpoint, addr string, protocol replicaproto.Protocol) *conn {
	created := &conn{
		driver:   driver,
		id:       id,
		addr:     addr,
		protocol: protocol,
		traits:   replicaproto.TraitsOf(protocol),
		session:  driver.newSession(protocol, to),
	}
	clientTLS := driver.tls[to.tlsName]
	if clientTLS != nil && protocol == replicaproto.HTTP2 {
		created.tls = clientTLS.Config
	}
	created.outputReady = sync.NewCond(&created.mu)
	return created
}

// close closes the connection; run reports its end. If there are last messages for the replica, the writer still writes
// them, with a short deadline for that and for any write in progress. It is safe for concurrent use.
func (conn *conn) close() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.closing {
		conn.closing = true
		conn.lastWrites = conn.session.AnnounceClose()
	}
	conn.outputReady.Signal()
	switch {
	case conn.socket == nil:
	case conn.lastWrites && !conn.writerEnded:
		conn.socket.SetWriteDeadline(time.Now().Add(closeNotifyTimeout))
	default:
		conn.socket.Close()
	}
}

// peerOpen reports whether, as far as the operating system knows, the replica has not closed the connection.
func (conn *conn) peerOpen() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.socket != nil && !netconn.HasEnded(conn.socket)
}

// run drives the connection from dialing to its end, which it posts to the event loop.
func (conn *conn) run() {
	cause := conn.serve()
	endedAt := conn.now()
	conn.driver.loop.Post(func() { conn.driver.ConnEnded(conn.id, cause, endedAt) })
}

// serve connects, runs the reader and the writer until both have ended, and returns the cause of the end.
func (conn *conn) serve() error {
	driver := conn.driver
	connectDeadline := time.Now().Add(driver.config.Limits.ConnectTimeout)
	socket, err := netconn.Dial(driver.context, conn.addr, connectDeadline)
	if errors.Is(err, netconn.ErrOSResourceShortage) {
		return &shortageError{err}
	}
	if err != nil {
		return err
	}
	defer socket.Close()
	defer netconn.CloseOnDone(driver.context, socket)()
	if !conn.setSocket(socket) {
		return net.ErrClosed
	}
	stream := socket // above TLS
	if conn.tls != nil {
		stream, err = handshake(driver.context, socket, conn.tls, conn.addr, connectDeadline)
		if err != nil {
			return err
		}
	}
	readyDeadline := time.Time{}
	if conn.traits.AnnouncesReady {
		readyDeadline = connectDeadline
	} else {
		driver.loop.Post(func() { driver.ConnUp(conn.id) })
	}
	writerDone := conn.startWriter(stream, socket)
	reader := &reader{conn: conn, stream: stream, readyDeadline: readyDeadline}
	var cause error
	if panicked := eventloop.Recover(func() { cause = reader.run() }); panicked != "" {
		cause = panicError(panicked)
	}
	conn.close()
	<-writerDone
	return cause
}

// shortageError reports a connect that failed for a shortage of operating system resources. It wraps the error that
// package connpool recognises.
type shortageError struct{ cause error }

// Error returns the text of the failed connect, which already names the shortage.
func (err *shortageError) Error() string { return err.cause.Error() }

func (err *shortageError) Unwrap() []error { return []error{connpool.ErrOSResourceShortage, err.cause} }

// panicError is a panic of the reader, with its stack.
type panicError string

// Error returns the panic's value and its stack.
func (err panicError) Error() string { return string(err) }

// setSocket sets the socket of a connection that was dialed, and reports whether the connection is still needed.
func (conn *conn) setSocket(socket net.Conn) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.socket = socket
	return !conn.closing
}

// limitReading makes reading end after a while, whatever the reader sets as its next deadline.
func (conn *conn) limitReading(stream net.Conn, limit time.Duration) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.readLimit = time.Now().Add(limit)
	stream.SetReadDeadline(conn.readLimit)
}

// now returns the time since process start.
func (conn *conn) now() time.Duration { return conn.driver.loop.Since(time.Now()) }
