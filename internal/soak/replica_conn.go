package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// While a replica accepts no connections and its backlog is full, the kernel drops the final ACK of handshakes. The
// client side considers the connection established, writes, and retransmits with exponential backoff until a segment
// gets through. That may be long after the accept, which a retransmission of the server side's SYN-ACK can bring about.
// Therefore, for connections accepted within handshakeRetryTime after the replica resumed accepting, the arrival time of
// the first bytes does not show when they were written, for as long.
const (
	handshakeRetryTime = 3 * time.Second
	retransmitReadTime = 100 * time.Millisecond // for these bytes to be read after the first of them
)

// maxResetAfter is the maximum number of received bytes after which a connection is reset.
const maxResetAfter = 3000

// neverReset is the value of resetAfter for a connection that is not reset.
const neverReset = -1

// connFaults are the simulated network faults of a connection.
type connFaults struct {
	resetAfter  int  // received bytes after which it is reset, or neverReset
	slowReplies bool // replies are written a few bytes at a time
	retransmits bool // its first bytes may have been written much earlier; see handshakeRetryTime
}

// replicaConn is a connection from a co-ordinator.
type replicaConn struct {
	net.Conn
	input            *staleInput // reads from Conn
	replica          *replica
	replicaStartedAt time.Duration // start of the replica's process that accepted it
	faults           connFaults
	acceptedAt       time.Duration
	resumedFor       time.Duration // how long the replica accepted connections again at acceptedAt; 0: no interruption
	delayedUntil     time.Duration // bytes read before then may have been written much earlier
	writing          sync.Mutex    // guards silent as well
	silent           bool          // nothing more is written
	closedByPeerAt   time.Duration // when the co-ordinator's close was seen; 0: it was not; guarded by the ledger's mutex
}

// accept accepts connections until the listener is closed.
func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		accepted := r.register(conn) // blocks while the replica accepts no connections
		go accepted.serve()
	}
}

// register waits until the replica accepts connections, then registers the connection and draws its faults.
func (r *replica) register(conn net.Conn) *replicaConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.notAccepting {
		r.resumed.Wait()
	}
	faults := r.drawConnFaults()
	now := r.soak.now()
	input := &staleInput{Conn: conn}
	accepted := &replicaConn{
		Conn: conn, input: input, replica: r, replicaStartedAt: r.startedAt, acceptedAt: now,
	}
	r.conns[accepted] = true
	if r.acceptingSince > 0 {
		accepted.resumedFor = now - r.acceptingSince
	}
	faults.retransmits = r.acceptingSince > 0 && accepted.resumedFor < handshakeRetryTime
	accepted.faults = faults
	return accepted
}

// drawConnFaults draws the faults of a connection. The caller holds r.mu.
func (r *replica) drawConnFaults() connFaults {
	faults := connFaults{resetAfter: neverReset}
	switch r.random.IntN(12) {
	case 0:
		faults.resetAfter = 1 + r.random.IntN(maxResetAfter)
	case 1:
		faults.slowReplies = true
	}
	return faults
}

// serve reads frames until the connection ends, is idle for idleTimeout, or a frame is malformed.
func (c *replicaConn) serve() {
	defer c.close()
	reader := bufio.NewReader(&limitedConn{c.input, c.faults.resetAfter})
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if first, err := reader.Peek(1); err != nil || len(first) == 0 {
			c.noteEnd(err)
			return
		}
		c.noteFirstBytes()
		delayed := c.waitWhileHanging() || c.input.isStale(reader.Buffered())
		if delayed {
			c.replica.soak.delayedFrames.Add(1)
		}
		firstByteAt := c.replica.soak.now()
		c.SetReadDeadline(time.Time{})
		frame, err := readFrame(reader)
		if err != nil {
			c.noteEnd(err)
			c.reportMalformed(err)
			return
		}
		if !isCall(frame) {
			continue
		}
		delayed = c.replica.waitWhileHanging() || delayed
		calls, err := parseCall(frame)
		if err != nil {
			c.reportMalformed(err)
			return
		}
		c.startAttempts(calls, arrival{firstByteAt: firstByteAt, lastByteAt: c.replica.soak.now(), delayed: delayed})
	}
}

// noteFirstBytes is called when bytes have arrived. If they are the first ones and may be retransmitted, those that arrive
// with them count as delayed.
func (c *replicaConn) noteFirstBytes() {
	now := c.replica.soak.now()
	if c.faults.retransmits && now < c.acceptedAt+handshakeRetryTime {
		c.delayedUntil = now + retransmitReadTime
		time.AfterFunc(retransmitReadTime, c.input.markStale)
	}
	c.faults.retransmits = false
}

// noteEnd records an end of the connection that the co-ordinator has caused.
func (c *replicaConn) noteEnd(err error) {
	isClose := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	if isClose {
		now := c.replica.soak.now()
		c.replica.soak.ledger.update(func() { c.closedByPeerAt = now })
	}
}

// noteAnswered records that an OK was written in full.
func (c *replicaConn) noteAnswered(attempt *arrival) {
	now := c.replica.soak.now()
	c.replica.soak.ledger.update(func() { attempt.answeredAt = now })
}

func (c *replicaConn) close() {
	c.Close()
	c.replica.mu.Lock()
	defer c.replica.mu.Unlock()
	delete(c.replica.conns, c)
}

// waitWhileHanging waits while the replica hangs. It reports whether the next bytes may have been sent much earlier.
func (c *replicaConn) waitWhileHanging() (delayed bool) {
	return c.replica.waitWhileHanging() || c.replica.soak.now() < c.delayedUntil
}

// reportMalformed records a malformed frame as a violation. It ignores all other errors, such as the end of the
// connection.
func (c *replicaConn) reportMalformed(err error) {
	var malformed *malformedFrameError
	if errors.As(err, &malformed) {
		c.replica.soak.violated(RuleFrame, "", "replica %s: %v", c.replica.uid, malformed)
	}
}

// startAttempts records an arrival for each subquery of a frame, and runs each in its own goroutine.
func (c *replicaConn) startAttempts(calls []subqueryCall, frame arrival) {
	replica := c.replica
	for _, call := range calls {
		query, shard, _ := strings.Cut(call.id, ".")
		attempt := frame
		attempt.query = query
		attempt.subquery = call.id
		attempt.replica = replica
		attempt.conn = c
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

// Exclusive upper bounds of a random number from 0 to 99 that selects the outcome of an attempt. Each range begins at
// the bound before it; from resetBelow on, the attempt succeeds.
const (
	rejectedBelow   = 4 // rejected without running
	failedBelow     = 6 // replies ERROR
	unansweredBelow = 8 // runs without a reply
	resetBelow      = 9 // runs, then the connection is reset
)

// runAttempt rejects an attempt, or runs it and then replies, leaves it unanswered or resets the connection.
func (c *replicaConn) runAttempt(attempt *arrival) {
	replica := c.replica
	choice := replica.draw(100)
	if choice < rejectedBelow {
		c.reply(attempt.subquery, "REJECTED", "")
		return
	}
	replica.coreSlots <- struct{}{}
	defer func() { <-replica.coreSlots }()
	replica.soak.ledger.update(func() { attempt.ran = true })
	time.Sleep(meanWork/2 + time.Duration(replica.draw(int(meanWork))))
	replica.waitWhileHanging()
	switch {
	case choice < failedBelow:
		c.reply(attempt.subquery, "ERROR", "")
	case choice < unansweredBelow: // no reply
	case choice < resetBelow:
		reset(c.Conn)
	default:
		value := fmt.Sprintf("v<%s.%s.%d>", replica.uid, attempt.subquery, replica.draw(1000))
		value = replica.soak.padded(value, attempt.subquery)
		replica.soak.ledger.addReplyValue(attempt.subquery, value)
		if c.reply(attempt.subquery, "OK", value) {
			c.noteAnswered(attempt)
		}
		c.disruptBehindReply()
	}
}

const (
	replyWriteTimeout = 2 * time.Second
	slowReplyBytes    = 7
	slowReplyPause    = time.Millisecond
)

// reply writes a reply and reports whether the operating system accepted all of it. Replies on one connection are written
// one at a time.
func (c *replicaConn) reply(subquery, outcome, value string) (written bool) {
	frame := replyFrame(subquery, outcome, value)
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.silent {
		return false
	}
	c.SetWriteDeadline(time.Now().Add(replyWriteTimeout))
	if !c.faults.slowReplies {
		_, err := c.Write(frame)
		return err == nil
	}
	for len(frame) > 0 {
		n := min(len(frame), slowReplyBytes)
		if _, err := c.Write(frame[:n]); err != nil {
			return false
		}
		frame = frame[n:]
		time.Sleep(slowReplyPause)
	}
	return true
}

// reset closes a connection, with a TCP reset if it is a *net.TCPConn.
func reset(conn net.Conn) {
	if input, ok := conn.(*staleInput); ok {
		conn = input.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// limitedConn is a connection that is reset after a given number of received bytes.
type limitedConn struct {
	net.Conn
	remaining int // bytes until the reset, or neverReset
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
