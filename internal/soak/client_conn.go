package soak

import (
	"bufio"
	"net"
	"time"
)

const clientDialTimeout = time.Second

// clientConn is a client's connection to one process of a coordinator.
type clientConn struct {
	net.Conn
	in           *bufio.Reader
	coordinator  *coordinator
	process      *process
	requestCount int // requests so far
}

// getConn is one that the client kept, or a new one; nil: no coordinator takes any.
func (c *client) getConn() *clientConn {
	if len(c.idleConns) > 0 && c.random.IntN(4) > 0 {
		n := c.random.IntN(len(c.idleConns))
		conn := c.idleConns[n]
		c.idleConns = append(c.idleConns[:n], c.idleConns[n+1:]...)
		return conn
	}
	return c.dial()
}

// dial opens a connection to a coordinator that takes clients; nil if it meets none.
func (c *client) dial() *clientConn {
	for range 2 * coordinatorCount {
		coordinator := c.soak.coordinators[c.random.IntN(coordinatorCount)]
		if conn := c.dialTo(coordinator); conn != nil {
			return conn
		}
	}
	return nil
}

// dialTo opens a connection to a coordinator; nil if it takes none.
func (c *client) dialTo(coordinator *coordinator) *clientConn {
	process, addr := coordinator.acceptingProcess()
	if process == nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", addr, clientDialTimeout)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn), coordinator: coordinator, process: process}
}
