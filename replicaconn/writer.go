package replicaconn

import (
	"net"
	"time"

	"terntray/internal/netconn"
)

const (
	// writeTimeout is the limit for one write to be accepted by the operating system; a shorter connect timeout
	// replaces it. An attempt may begin at most 0.1 s after its client has disconnected. The client's presence was
	// checked up to 40 ms before the write (maxPresenceAge in package server); these 40 ms and 60 ms together stay
	// within that limit.
	writeTimeout = 60 * time.Millisecond
	// writeSize is the approximate number of bytes per write. Calls behind them can still be withdrawn.
	writeSize = 16 << 10
	// maxRetainedOutput is the size up to which the buffer of a write is used again. Large calls would otherwise keep a
	// buffer of their size on each connection.
	maxRetainedOutput = 32 << 10
	// lastReplyTimeout is how long replies are still read on a connection that can no longer be written to.
	lastReplyTimeout = time.Second
)

// startWriter starts the writer goroutine. The channel is closed when that ends. If the connection is to be closed by
// then, the writer closes its socket.
func (conn *conn) startWriter(stream, socket net.Conn) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn.write(stream, socket)
		conn.mu.Lock()
		defer conn.mu.Unlock()
		conn.writerEnded = true
		if conn.closing {
			socket.Close()
		}
	}()
	return done
}

// write writes the session's output until the connection ends.
//
// It also returns when a write times out. Otherwise, calls would wait in buffers for a replica that reads nothing, and
// be sent long after their query was answered or after the replica began to drain. The number of bytes that were
// accepted shows which calls may have run. Large calls on a slow network with small buffers can end a connection in
// the same way.
func (conn *conn) write(stream, socket net.Conn) {
	var output []byte
	for {
		var last bool
		if cap(output) > maxRetainedOutput {
			output = nil
		}
		output, last = conn.nextOutput(output[:0])
		conn.driver.handler.NotifyRefusedCalls()
		if last {
			conn.writeFinal(stream, output)
			return
		}
		if len(output) > 0 && !conn.writeOutput(stream, socket, output) {
			conn.limitReading(stream, lastReplyTimeout)
			return
		}
	}
}

// nextOutput waits until there is output to write or a refused call to report, or the connection is to be closed. It
// appends the output to buffer, and reports whether that is the last.
func (conn *conn) nextOutput(buffer []byte) (output []byte, last bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for !conn.closing {
		if conn.driver.loop.IsBehind(conn.now()) {
			conn.awaitLoop()
			continue
		}
		output = conn.session.Output(buffer, writeSize, conn.now())
		if len(output) > 0 || conn.driver.handler.HasRefusedCalls() {
			return output, false
		}
		conn.outputReady.Wait()
	}
	return conn.session.Output(buffer, writeSize, conn.now()), true
}

// awaitLoop waits for the event loop after a stall, without the connection's mutex: what the loop has decided may be
// outdated, for instance because a replica began to drain meanwhile, and its next iteration may withdraw it.
func (conn *conn) awaitLoop() {
	conn.mu.Unlock()
	defer conn.mu.Lock()
	conn.driver.loop.AwaitIteration()
}

// writeFinal writes the last messages on a connection, if there are any.
func (conn *conn) writeFinal(stream net.Conn, output []byte) {
	if len(output) > 0 {
		stream.SetWriteDeadline(time.Now().Add(closeNotifyTimeout))
		stream.Write(output)
	}
}

// writeOutput writes output and reports whether the connection can still be written to. It passes the number of bytes
// that were accepted to the session, as evidence of which calls cannot have run.
func (conn *conn) writeOutput(stream, socket net.Conn, output []byte) bool {
	var accepted int
	var err error
	hasEnded := netconn.HasEnded(socket)
	if !hasEnded {
		timeout := min(conn.driver.config.Limits.ConnectTimeout, writeTimeout)
		stream.SetWriteDeadline(time.Now().Add(timeout))
		accepted, err = stream.Write(output)
	}
	conn.mu.Lock()
	conn.session.Wrote(accepted)
	conn.mu.Unlock()
	if hasEnded {
		return false
	}
	if err != nil {
		driver := conn.driver
		driver.loop.Post(func() { driver.pool.WriteFailed(driver.loop.Now(), conn.id) })
		return false
	}
	return true
}
