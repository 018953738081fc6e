package soak

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// While a replica accepts no connections, its machine drops the last ACK of a handshake for which the backlog has no
// place: the other end believes that the connection is up and writes, and its machine retransmits, each time after
// twice as long, until a segment gets through. What arrives so soon after the replica accepts again says nothing of
// when it was written.
const (
	handshakeRetryTime = 3 * time.Second
	retransmitReadTime = 100 * time.Millisecond // for those bytes to be read once the connection is accepted
)

// maxResetAfter bounds the bytes after which a connection is reset.
const maxResetAfter = 3000

// neverReset is the number of bytes of a connection that is not cut.
const neverReset = -1

// connFaults is what the network does to a connection.
type connFaults struct {
	resetAfter   int           // bytes that come in before it is reset, or unlimited
	slowReplies  bool          // answers go out a few bytes at a time
	delayedUntil time.Duration // what is read until then may have been written long before; see handshakeRetries
}

// replicaConn is a connection from a coordinator.
type replicaConn struct {
	net.Conn
	replica          *replica
	replicaStartedAt time.Duration // of the replica's process that accepted it
	faults           connFaults
	writing          sync.Mutex
}

// accept takes connections until the listener closes.
func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		admitted := r.register(conn) // holds the next ones up while the replica accepts none
		go admitted.serve()
	}
}

// register notes a connection, once the replica accepts any, and draws its fate.
func (r *replica) register(conn net.Conn) *replicaConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.notAccepting {
		r.resumed.Wait()
	}
	r.conns[conn] = true
	fate := r.drawConnFaults()
	if now := r.soak.now(); r.acceptingSince > 0 && now-r.acceptingSince < handshakeRetryTime {
		fate.delayedUntil = now + retransmitReadTime
	}
	return &replicaConn{Conn: conn, replica: r, replicaStartedAt: r.startedAt, faults: fate}
}

// drawConnFaults draws one; r.mu is held.
func (r *replica) drawConnFaults() connFaults {
	fate := connFaults{resetAfter: neverReset}
	switch r.random.IntN(12) {
	case 0:
		fate.resetAfter = 1 + r.random.IntN(maxResetAfter)
	case 1:
		fate.slowReplies = true
	}
	return fate
}

// serve reads a connection's frames until it ends, is idle for too long, or cannot be read.
func (c *replicaConn) serve() {
	defer c.close()
	in := bufio.NewReader(&limitedConn{c.Conn, c.faults.resetAfter})
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if first, err := in.Peek(1); err != nil || len(first) == 0 {
			return
		}
		late := c.waitWhileHanging()
		if late {
			c.replica.soak.delayedFrames.Add(1)
		}
		begun := c.replica.soak.now()
		c.SetReadDeadline(time.Time{})
		frame, err := readFrame(in)
		if err != nil {
			c.reportMalformed(err)
			return
		}
		if !isCall(frame) {
			continue
		}
		late = c.replica.waitWhileHanging() || late
		calls, err := parseCall(frame)
		if err != nil {
			c.reportMalformed(err)
			return
		}
		c.startAttempts(calls, arrival{firstByteAt: begun, lastByteAt: c.replica.soak.now(), delayed: late})
	}
}

func (c *replicaConn) close() {
	c.Close()
	c.replica.mu.Lock()
	defer c.replica.mu.Unlock()
	delete(c.replica.conns, c.Conn)
}

// waitWhileHanging waits while the replica hangs; it tells whether the time of the bytes' writing is unknown.
func (c *replicaConn) waitWhileHanging() (late bool) {
	return c.replica.waitWhileHanging() || c.replica.soak.now() < c.faults.delayedUntil
}

// reportMalformed notes a frame that breaks the protocol; the end of a connection is no violation.
func (c *replicaConn) reportMalformed(err error) {
	var malformed *malformedFrameError
	if errors.As(err, &malformed) {
		c.replica.soak.violated(RuleFrame, "", "replica %s: %v", c.replica.uid, malformed)
	}
}

// startAttempts notes the subqueries of a frame, and has each run.
func (c *replicaConn) startAttempts(calls []subqueryCall, frame arrival) {
	replica := c.replica
	for _, call := range calls {
		query, shard, _ := strings.Cut(call.id, ".")
		attempt := frame
		attempt.query = query
		attempt.subquery = call.id
		attempt.replica = replica
		attempt.timeout = call.timeout
		attempt.replicaStartedAt = c.replicaStartedAt
		if c.replicaStartedAt >= 0 {
			attempt.warmUpAllowance = warmUpAllowance(attempt.lastByteAt - c.replicaStartedAt)
		}
		if n, err := strconv.Atoi(shard); err != nil || n%cells != replica.cell {
			replica.soak.violated(RulePlacement, query, "%s reached %s of cell %d", call.id, replica.uid, replica.cell)
		}
		replica.soak.ledger.addArrival(&attempt)
		go c.runAttempt(&attempt)
	}
}

// What becomes of an attempt, by a draw below 100: each takes the draws below its bound that are left by those before.
const (
	rejectedBelow   = 4 // it never runs
	failedBelow     = 6
	unansweredBelow = 8
	resetBelow      = 9
)

// runAttempt runs an attempt and answers it, or does something else.
func (c *replicaConn) runAttempt(attempt *arrival) {
	replica := c.replica
	fate := replica.draw(100)
	if fate < rejectedBelow {
		c.reply(attempt.subquery, "REJECTED", "")
		return
	}
	replica.coreSlots <- struct{}{}
	defer func() { <-replica.coreSlots }()
	replica.soak.ledger.update(func() { attempt.ran = true })
	time.Sleep(meanWork/2 + time.Duration(replica.draw(int(meanWork))))
	replica.waitWhileHanging()
	switch {
	case fate < failedBelow:
		c.reply(attempt.subquery, "ERROR", "")
	case fate < unansweredBelow: // nothing is answered
	case fate < resetBelow:
		reset(c.Conn)
	default:
		value := fmt.Sprintf("v<%s.%s.%d>", replica.uid, attempt.subquery, replica.draw(1000))
		replica.soak.ledger.addReplyValue(attempt.subquery, value)
		c.reply(attempt.subquery, "OK", value)
	}
}

const (
	replyWriteTimeout = 2 * time.Second
	slowReplyBytes    = 7
	slowReplyPause    = time.Millisecond
)

// reply writes a reply, one at a time on a connection.
func (c *replicaConn) reply(subquery, outcome, value string) {
	frame := replyFrame(subquery, outcome, value)
	c.writing.Lock()
	defer c.writing.Unlock()
	c.SetWriteDeadline(time.Now().Add(replyWriteTimeout))
	if !c.faults.slowReplies {
		c.Write(frame)
		return
	}
	for len(frame) > 0 {
		n := min(len(frame), slowReplyBytes)
		c.Write(frame[:n])
		frame = frame[n:]
		time.Sleep(slowReplyPause)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// limitedConn is a connection that is reset once so many bytes came in.
type limitedConn struct {
	net.Conn
	remaining int // or unlimited
}

func (c *limitedConn) Read(b []byte) (int, error) {
	if c.remaining < 0 {
		return c.Conn.Read(b)
	}
	if c.remaining == 0 {
		reset(c.Conn)
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}
