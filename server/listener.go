package server

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"terntray/internal/netconn"
)

// Listen opens the listener. One that has ended a moment ago may still hold the address, and the machine may be
// short of something for a moment: both are retried for bindTimeout.
func Listen(address string) (net.Listener, error) {
	end := time.Now().Add(bindTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if !isPassing(err) || time.Now().After(end) {
			return listener, err
		}
		time.Sleep(bindRetryInterval)
	}
}

func isPassing(err error) bool { return errors.Is(err, syscall.EADDRINUSE) || netconn.IsShortage(err) }

// acceptAll accepts connections until the listener's deadline, which Shutdown sets; then it accepts for
// finalAcceptTime what the kernel has queued by then, and closes the listener.
//
// The final accept guards against connections that the kernel has taken for this process before the deadline and
// that nobody would serve: their clients would see a reset. It holds also where this process stood still over the
// deadline, or found no slot free or an error in that time: the final accept then begins anew, for as long as
// finalAcceptMayRestart.
func (server *Server) acceptAll() {
	defer server.listener.Close()
	final := false
	for {
		waited := server.acquireSlot()
		if waited && final && server.finalAcceptMayRestart() {
			server.setAcceptDeadline(finalAcceptTime)
		}
		conn, err := server.listener.Accept()
		if err == nil {
			server.accepted.Add(1)
			server.startConn(conn)
			continue
		}
		server.slots.release()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && final:
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			final = true
			server.setAcceptDeadline(finalAcceptTime)
		default:
			server.acceptFailures.note(server, err)
			time.Sleep(acceptRetryWait)
			if final && server.finalAcceptMayRestart() {
				server.setAcceptDeadline(finalAcceptTime)
			}
		}
	}
}

// startConn serves a connection that holds a slot.
func (server *Server) startConn(conn net.Conn) {
	client := server.NewConn(conn)
	server.conns.add(client)
	server.running.Go(func() {
		defer server.release(client)
		client.Serve()
	})
}

// release closes a client's connection and gives back what it held.
func (server *Server) release(client *ClientConn) {
	client.conn.Close()
	if client.holdsLargeSlot {
		server.largeSlots.release()
	}
	server.conns.remove(client)
	server.slots.release()
}

// setAcceptDeadline has Accept fail once a time has passed.
func (server *Server) setAcceptDeadline(in time.Duration) {
	if listener, ok := server.listener.(*net.TCPListener); ok {
		listener.SetDeadline(time.Now().Add(in))
	}
}

// acceptFailures counts accepts that failed, and logs one now and then: a shortage may last.
type acceptFailures struct {
	count    atomic.Int64
	loggedAt time.Time // belongs to the goroutine that accepts
}

func (failures *acceptFailures) note(server *Server, err error) {
	failures.count.Add(1)
	if time.Since(failures.loggedAt) < acceptLogInterval {
		return
	}
	failures.loggedAt = time.Now()
	server.log.Printf("event=accept_failed cause=%q so_far=%d", err, failures.count.Load())
}
