package soak

import (
	"bufio"
	"net"
	"time"
)

const clientDialTimeout = time.Second

// clientConn is a client's connection to one process of a co-ordinator.
type clientConn struct {
	net.Conn
	reader       *bufio.Reader
	coordinator  *coordinator
	process      *process
	requestCount int // requests sent so far
}

// getConn returns an idle connection or a new one, or nil if no co-ordinator that it tried accepts connections.
func (c *client) getConn() *clientConn {
	if len(c.idleConns) > 0 && c.random.IntN(4) > 0 {
		n := c.random.IntN(len(c.idleConns))
		conn := c.idleConns[n]
		c.idleConns = append(c.idleConns[:n], c.idleConns[n+1:]...)
		return conn
	}
	return c.dial()
}

// dial opens a connection to a random co-ordinator, or returns nil if none that it tried accepts connections.
func (c *client) dial() *clientConn {
	for range 2 * coordinatorCount {
		coordinator := c.soak.coordinators[c.random.IntN(coordinatorCount)]
		if conn := c.dialTo(coordinator); conn != nil {
			return conn
		}
	}
	return nil
}

// dialTo opens a connection to a co-ordinator, or returns nil if it accepts none.
func (c *client) dialTo(coordinator *coordinator) *clientConn {
	process, addr := coordinator.acceptingProcess()
	if process == nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", addr, clientDialTimeout)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), coordinator: coordinator, process: process}
}
