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

// Listen opens a TCP listener. For up to bindTimeout it retries if the address is in use, since a process that has just
// exited may still hold it, or if the host is temporarily out of resources.
func Listen(address string) (net.Listener, error) {
	end := time.Now().Add(bindTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if !isTransient(err) || time.Now().After(end) {
			return listener, err
		}
		time.Sleep(bindRetryInterval)
	}
}

func isTransient(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || netconn.IsOSResourceShortage(err)
}

// acceptAll accepts connections until the listener's deadline, which Shutdown sets. After that, the final accept takes
// the connections already queued by the kernel, for finalAcceptTime; then the listener is closed.
//
// Without the final accept, connections that the kernel has established before the deadline would be reset, in
// particular if this process was stalled at the deadline. If the final accept runs into an error or finds no free slot,
// it starts over, for as long as finalAcceptMayRestart allows.
func (server *Server) acceptAll() {
	defer server.listener.Close()
	final := false
	for {
		conn, err := server.listener.Accept()
		if err == nil {
			server.accepted.Add(1)
			waited := server.admitConn(conn)
			if waited && final && server.finalAcceptMayRestart() {
				server.setAcceptDeadline(finalAcceptTime)
			}
			continue
		}
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

// admitConn starts serving an accepted connection, or sheds it if no slot becomes free within slotPatience of the arrival of
// what its client has sent. It reports whether it had to wait for a slot. Connections behind it in the kernel's queue wait as
// well: without the limit, a request there could wait until long after its deadline, and nothing would answer it.
func (server *Server) admitConn(conn net.Conn) (waited bool) {
	queued, _ := netconn.SinceLastData(conn)
	acquired, waited := server.acquireSlot(time.Now().Add(slotPatience - queued))
	if acquired {
		server.startConn(conn)
	} else {
		server.shedConn(conn)
	}
	return waited
}

// shedConn rejects whatever request a connection carries, without reading it, and closes it.
func (server *Server) shedConn(conn net.Conn) {
	server.shed.Add(1)
	_ = conn.SetWriteDeadline(time.Now().Add(shedWriteTimeout))
	_, _ = conn.Write(Rejection("too many connections")(lastResponse))
	_ = conn.Close()
}

// startConn starts serving an accepted connection. The caller has acquired its slot.
func (server *Server) startConn(conn net.Conn) {
	client := server.NewConn(conn)
	server.conns.add(client)
	server.running.Go(func() {
		defer server.release(client)
		client.Serve()
	})
}

// release closes a client connection and releases its slots.
func (server *Server) release(client *ClientConn) {
	client.conn.Close()
	client.releaseReserved(true)
	server.conns.remove(client)
	server.slots.release()
}

// setAcceptDeadline makes Accept fail after the given wait.
func (server *Server) setAcceptDeadline(wait time.Duration) {
	if listener, ok := server.listener.(*net.TCPListener); ok {
		listener.SetDeadline(time.Now().Add(wait))
	}
}

// acceptFailures counts failed accepts and logs them at most once per acceptLogInterval, as a resource shortage may
// persist.
type acceptFailures struct {
	count    atomic.Int64
	loggedAt time.Time // accessed only by the accepting goroutine
}

func (failures *acceptFailures) note(server *Server, err error) {
	failures.count.Add(1)
	if time.Since(failures.loggedAt) < acceptLogInterval {
		return
	}
	failures.loggedAt = time.Now()
	server.log.Printf("event=accept_failed cause=%q so_far=%d", err, failures.count.Load())
}
