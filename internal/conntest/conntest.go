// Package conntest provides connections for tests.
package conntest

import (
	"net"
	"testing"
	"time"
)

// timeout is the deadline of the dialed end of a pair; a busy machine may be slow.
const timeout = 20 * time.Second

// Pair returns the two ends of a TCP connection over loopback. They are closed when the test ends. Reads and writes of the
// dialed end fail after a while, so that a test that waits for them ends.
func Pair(t *testing.T) (accepted, dialed *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialedConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	acceptedConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialedConn.Close()
		acceptedConn.Close()
	})
	dialedConn.SetDeadline(time.Now().Add(timeout))
	return acceptedConn.(*net.TCPConn), dialedConn.(*net.TCPConn)
}

// PanickingConn is a connection whose Read panics once Armed is closed.
type PanickingConn struct {
	net.Conn
	Armed chan struct{}
}

// Read reads from the connection, or panics.
func (conn *PanickingConn) Read(buffer []byte) (int, error) {
	select {
	case <-conn.Armed:
		panic("injected panic in Read")
	default:
	}
	return conn.Conn.Read(buffer)
}
