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

// cutConn is a connection that is reset after a given number of received bytes, possibly in the middle of a message.
type cutConn struct {
	net.Conn
	remaining int // bytes until the reset; below 0: never reset
}

func (conn *cutConn) Read(buffer []byte) (int, error) {
	if conn.remaining < 0 {
		return conn.Conn.Read(buffer)
	}
	if conn.remaining == 0 {
		resetOnClose(conn.Conn)
		conn.Conn.Close()
		return 0, net.ErrClosed
	}
	n, err := conn.Conn.Read(buffer[:min(len(buffer), conn.remaining)])
	conn.remaining -= n
	return n, err
}

// countingConn counts the bytes read and blocks reads while its replica has paused reading.
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

// awaitReading blocks while reading is paused.
func (replica *Replica) awaitReading() {
	replica.reading.RLock()
	defer replica.reading.RUnlock()
}

// PauseReading stops the replica from reading until resume is called; reads that are already blocked on a connection
// still return data. Connections that were accepted after ShrinkBuffers buffer little in the meantime.
func (replica *Replica) PauseReading() (resume func()) {
	replica.reading.Lock()
	return replica.reading.Unlock
}

// CloseConnections closes all connections, with a TCP reset if reset is set.
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

// ShrinkBuffers makes the kernel buffer few bytes on connections that are accepted from now on.
func (replica *Replica) ShrinkBuffers() error {
	raw, err := replica.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	return ShrinkBuffers(raw)
}

// ShrinkBuffers makes the kernel buffer few bytes on a socket that is not yet connected. It sets a small receive
// buffer, and a small maximum segment size, from which the other end derives the size of its send buffer.
func ShrinkBuffers(raw syscall.RawConn) error {
	var windowErr, segmentErr error
	err := raw.Control(func(fd uintptr) {
		windowErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes)
		segmentErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegmentBytes)
	})
	return errors.Join(err, windowErr, segmentErr)
}
