package fake

import (
	"errors"
	"net"
	"syscall"
)

const (
	smallBufferBytes  = 4 << 10
	smallSegmentBytes = 536
)

// cutConn is a connection that is reset once so many bytes have been received, wherever in a message that is.
type cutConn struct {
	net.Conn
	left int // bytes; below 0: any number
}

func (conn *cutConn) Read(buffer []byte) (int, error) {
	if conn.left < 0 {
		return conn.Conn.Read(buffer)
	}
	if conn.left == 0 {
		resetOnClose(conn.Conn)
		conn.Conn.Close()
		return 0, net.ErrClosed
	}
	n, err := conn.Conn.Read(buffer[:min(len(buffer), conn.left)])
	conn.left -= n
	return n, err
}

// countingConn counts the bytes that are read, and reads none while its replica pauses reading.
type countingConn struct {
	net.Conn
	replica *Replica
}

func (conn countingConn) Read(buffer []byte) (int, error) {
	conn.replica.awaitReading()
	n, err := conn.Conn.Read(buffer)
	conn.replica.bytesReceived.Add(int64(n))
	return n, err
}

// awaitReading waits while the replica pauses reading.
func (replica *Replica) awaitReading() {
	replica.reading.RLock()
	defer replica.reading.RUnlock()
}

// PauseReading has the replica read nothing until resume is called, but for what reads that wait already bring.
// What its connections buffer meanwhile is little if they were made after ShrinkBuffers.
func (replica *Replica) PauseReading() (resume func()) {
	replica.reading.Lock()
	return replica.reading.Unlock
}

// CloseConnections closes all connections, with a reset or without.
func (replica *Replica) CloseConnections(reset bool) {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	for _, conn := range replica.Conns {
		if reset {
			resetOnClose(conn)
		}
		conn.Close()
	}
	replica.Conns = nil
}

// ShrinkBuffers has the kernel buffer few bytes for connections that are made from now on.
func (replica *Replica) ShrinkBuffers() error {
	raw, err := replica.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	return ShrinkBuffers(raw)
}

// ShrinkBuffers has the kernel buffer few bytes on a socket that is to be connected: a small window, and small
// segments, by which the other end sizes its buffer.
func ShrinkBuffers(raw syscall.RawConn) error {
	var windowErr, segmentErr error
	err := raw.Control(func(fd uintptr) {
		windowErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes)
		segmentErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegmentBytes)
	})
	return errors.Join(err, windowErr, segmentErr)
}
