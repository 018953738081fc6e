package replicaconn

import (
	"net"
	"time"

	"terntray/internal/netconn"
)

const (
	// writeTimeout is how long the operating system may take for one write, the connect timeout if that is shorter.
	// An attempt may begin 0.1 s after its client has left at the latest. Whether the client is there was known up to
	// 40 ms before the write (server's seenRecently); 40 ms and these 60 ms stay within that.
	writeTimeout = 60 * time.Millisecond
	// writeSize is about how many bytes are written at a time. What waits behind them can still be withdrawn.
	writeSize = 16 << 10
	// lastReplyTimeout is how long replies are still read on a connection that cannot be written to any more.
	lastReplyTimeout = time.Second
)

// startWriter starts the goroutine that writes; the channel is closed at its end.
func (conn *conn) startWriter(stream, socket net.Conn) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn.write(stream, socket)
		conn.mu.Lock()
		defer conn.mu.Unlock()
		conn.writerEnded = true
	}()
	return done
}

// write writes the session's output until the connection ends.
//
// It ends when the operating system does not take a write in time. A replica that reads nothing would otherwise hold
// calls in its buffers that go out long after their query was answered, or after the replica began to drain. How many
// bytes were taken tells which calls may have run. Large calls on a slow network, where buffers are small, can end a
// connection by that as well.
func (conn *conn) write(stream, socket net.Conn) {
	var output []byte
	for {
		var last bool
		output, last = conn.nextOutput(output[:0])
		conn.driver.handler.NotifyRefusedCalls()
		if last {
			conn.writeLast(stream, output)
			socket.Close()
			return
		}
		if len(output) > 0 && !conn.writeSome(stream, socket, output) {
			stream.SetReadDeadline(time.Now().Add(lastReplyTimeout))
			return
		}
	}
}

// nextOutput waits until there is something to be written, or a refused call to be reported. It appends the output to a
// buffer, and tells whether that is the last.
func (conn *conn) nextOutput(buffer []byte) (output []byte, last bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for !conn.closing {
		output = conn.session.Output(buffer, writeSize, conn.now())
		if len(output) > 0 || conn.driver.handler.HasRefusedCalls() {
			return output, false
		}
		conn.outputReady.Wait()
	}
	if conn.traits.AnnouncesClose {
		buffer = conn.session.Output(buffer, writeSize, conn.now())
	}
	return buffer, true
}

// writeLast writes the last message on a connection, where the protocol has one.
func (conn *conn) writeLast(stream net.Conn, output []byte) {
	if len(output) > 0 {
		stream.SetWriteDeadline(time.Now().Add(closeNotifyTimeout))
		stream.Write(output)
	}
}

// writeSome writes and tells whether the connection can still be written to. What was taken is noted in the session: it
// is the evidence of which calls cannot have run.
func (conn *conn) writeSome(stream, socket net.Conn, output []byte) bool {
	var taken int
	var err error
	hasEnded := netconn.HasEnded(socket)
	if !hasEnded {
		timeout := min(conn.driver.config.Limits.ConnectTimeout, writeTimeout)
		stream.SetWriteDeadline(time.Now().Add(timeout))
		taken, err = stream.Write(output)
	}
	conn.mu.Lock()
	conn.session.Wrote(taken)
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
