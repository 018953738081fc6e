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

// closeNotifyTimeout is for writing the last message on a connection, where its protocol has one (GOAWAY).
const closeNotifyTimeout = 50 * time.Millisecond

// conn is one connection to a replica. Its goroutines are run, which dials, reads and gives it back, and the writer.
type conn struct {
	driver   *Driver
	id       connpool.ConnID
	addr     string
	protocol replicaproto.Protocol
	traits   replicaproto.Traits
	tls      *tls.Config // nil: cleartext

	mu          sync.Mutex // guards the session, the stages of its calls, and what follows
	outputReady *sync.Cond // signalled when the session may have output, or closing is set
	session     replicaproto.Session
	socket      net.Conn // nil until it is connected; below TLS
	closing     bool
	writerEnded bool
}

func newConn(driver *Driver, id connpool.ConnID, to *Endpoint, addr string, protocol replicaproto.Protocol) *conn {
	made := &conn{
		driver:   driver,
		id:       id,
		addr:     addr,
		protocol: protocol,
		traits:   replicaproto.TraitsOf(protocol),
		session:  driver.newSession(protocol, to),
	}
	clientTLS := driver.tls[to.tlsName]
	if clientTLS != nil && protocol == replicaproto.HTTP2 {
		made.tls = clientTLS.Config
	}
	made.outputReady = sync.NewCond(&made.mu)
	return made
}

// close ends the connection; run gives it back. Where the protocol has a last message the writer still writes it, with
// little time for that and for whatever is being written. Any goroutine may call it.
func (conn *conn) close() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.closing = true
	conn.session.AnnounceClose()
	conn.outputReady.Signal()
	switch {
	case conn.socket == nil:
	case conn.traits.AnnouncesClose && !conn.writerEnded:
		conn.socket.SetWriteDeadline(time.Now().Add(closeNotifyTimeout))
	default:
		conn.socket.Close()
	}
}

// peerOpen tells whether the replica has not closed the connection, as far as the operating system knows.
func (conn *conn) peerOpen() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.socket != nil && !netconn.HasEnded(conn.socket)
}

// run drives the connection from dialing to its end, and gives it back.
func (conn *conn) run() {
	cause := conn.serve()
	endedAt := conn.now()
	conn.driver.loop.Post(func() { conn.driver.ConnEnded(conn.id, cause, endedAt) })
}

// serve connects and runs the reader and the writer until both have ended. It returns why.
func (conn *conn) serve() error {
	driver := conn.driver
	connectBy := time.Now().Add(driver.config.Limits.ConnectTimeout)
	socket, err := netconn.Dial(driver.context, conn.addr, connectBy)
	if errors.Is(err, netconn.ErrShortage) {
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
		stream, err = handshake(driver.context, socket, conn.tls, conn.addr, connectBy)
		if err != nil {
			return err
		}
	}
	readyBy := time.Time{}
	if conn.traits.AnnouncesReady {
		readyBy = connectBy
	} else {
		driver.loop.Post(func() { driver.ConnUp(conn.id) })
	}
	writerDone := conn.startWriter(stream, socket)
	reader := &reader{conn: conn, stream: stream, readyBy: readyBy}
	var cause error
	if panicked := eventloop.Recover(func() { cause = reader.run() }); panicked != "" {
		cause = panicError(panicked)
	}
	conn.close()
	<-writerDone
	return cause
}

// shortageError is a connect that failed for want of something on this machine, as package connpool recognises it.
type shortageError struct{ cause error }

func (err *shortageError) Error() string { return err.cause.Error() }

func (err *shortageError) Unwrap() []error { return []error{connpool.ErrShortage, err.cause} }

// panicError is a panic of the reader, with its stack.
type panicError string

func (err panicError) Error() string { return string(err) }

// setSocket notes that the connection is connected, and tells whether it is still wanted.
func (conn *conn) setSocket(socket net.Conn) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.socket = socket
	return !conn.closing
}

// now is the time since the process' start.
func (conn *conn) now() time.Duration { return conn.driver.loop.Since(time.Now()) }
