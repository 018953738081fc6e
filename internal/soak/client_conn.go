package soak

import (
	"bufio"
	"net"
	"time"
)

const clientDialTime = time.Second

// clientConn is a client's connection to one process of a coordinator.
type clientConn struct {
	net.Conn
	in          *bufio.Reader
	coordinator *coordinator
	process     *process
	carried     int // requests so far
}

// connection is one that the client kept, or a new one; nil: no coordinator takes any.
func (c *client) connection() *clientConn {
	if len(c.kept) > 0 && c.random.IntN(4) > 0 {
		n := c.random.IntN(len(c.kept))
		conn := c.kept[n]
		c.kept = append(c.kept[:n], c.kept[n+1:]...)
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
	process, addr := coordinator.takesClients()
	if process == nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", addr, clientDialTime)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn), coordinator: coordinator, process: process}
}
