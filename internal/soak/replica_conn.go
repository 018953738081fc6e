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
	handshakeRetries = 3 * time.Second
	retransmitTime   = 100 * time.Millisecond // for those bytes to be read once the connection is accepted
)

// maxCutAfter bounds the bytes after which a connection is reset.
const maxCutAfter = 3000

// unlimited is the number of bytes of a connection that is not cut.
const unlimited = -1

// connFate is what the network does to a connection.
type connFate struct {
	cutAfter    int           // bytes that come in before it is reset, or unlimited
	slowReplies bool          // answers go out a few bytes at a time
	lateUntil   time.Duration // what is read until then may have been written long before; see handshakeRetries
}

// replicaConn is a connection from a coordinator.
type replicaConn struct {
	net.Conn
	replica *replica
	boot    time.Duration // of the replica's process that accepted it
	fate    connFate
	writing sync.Mutex
}

// accept takes connections until the listener closes.
func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		admitted := r.admit(conn) // holds the next ones up while the replica accepts none
		go admitted.serve()
	}
}

// admit notes a connection, once the replica accepts any, and draws its fate.
func (r *replica) admit(conn net.Conn) *replicaConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.notAccepting {
		r.resumed.Wait()
	}
	r.conns[conn] = true
	fate := r.drawFate()
	if now := r.soak.now(); r.acceptsAgain > 0 && now-r.acceptsAgain < handshakeRetries {
		fate.lateUntil = now + retransmitTime
	}
	return &replicaConn{Conn: conn, replica: r, boot: r.boot, fate: fate}
}

// drawFate draws one; r.mu is held.
func (r *replica) drawFate() connFate {
	fate := connFate{cutAfter: unlimited}
	switch r.random.IntN(12) {
	case 0:
		fate.cutAfter = 1 + r.random.IntN(maxCutAfter)
	case 1:
		fate.slowReplies = true
	}
	return fate
}

// serve reads a connection's frames until it ends, is idle for too long, or cannot be read.
func (c *replicaConn) serve() {
	defer c.close()
	in := bufio.NewReader(&cutConn{c.Conn, c.fate.cutAfter})
	for {
		c.SetReadDeadline(time.Now().Add(idleClose))
		if first, err := in.Peek(1); err != nil || len(first) == 0 {
			return
		}
		late := c.awaitReading()
		if late {
			c.replica.soak.lateFrames.Add(1)
		}
		begun := c.replica.soak.now()
		c.SetReadDeadline(time.Time{})
		frame, err := readFrame(in)
		if err != nil {
			c.reportFrame(err)
			return
		}
		if !isCall(frame) {
			continue
		}
		late = c.replica.awaitReading() || late
		calls, err := parseCall(frame)
		if err != nil {
			c.reportFrame(err)
			return
		}
		c.take(calls, arrival{begun: begun, complete: c.replica.soak.now(), late: late})
	}
}

func (c *replicaConn) close() {
	c.Close()
	c.replica.mu.Lock()
	defer c.replica.mu.Unlock()
	delete(c.replica.conns, c.Conn)
}

// awaitReading waits while the replica hangs; it tells whether the time of the bytes' writing is unknown.
func (c *replicaConn) awaitReading() (late bool) {
	return c.replica.awaitReading() || c.replica.soak.now() < c.fate.lateUntil
}

// reportFrame notes a frame that breaks the protocol; the end of a connection is no violation.
func (c *replicaConn) reportFrame(err error) {
	var malformed *malformedFrameError
	if errors.As(err, &malformed) {
		c.replica.soak.violated(RuleFrame, "", "replica %s: %v", c.replica.uid, malformed)
	}
}

// take notes the subqueries of a frame, and has each run.
func (c *replicaConn) take(calls []subqueryCall, frame arrival) {
	replica := c.replica
	for _, call := range calls {
		query, shard, _ := strings.Cut(call.id, ".")
		attempt := frame
		attempt.query = query
		attempt.subquery = call.id
		attempt.replica = replica
		attempt.timeout = call.timeout
		attempt.boot = c.boot
		if c.boot >= 0 {
			attempt.warmUpAllowance = warmUpAllowance(attempt.complete - c.boot)
		}
		if n, err := strconv.Atoi(shard); err != nil || n%cells != replica.cell {
			replica.soak.violated(RulePlacement, query, "%s reached %s of cell %d", call.id, replica.uid, replica.cell)
		}
		replica.soak.ledger.addArrival(&attempt)
		go c.run(&attempt)
	}
}

// What becomes of an attempt, by a draw below 100: each takes the draws below its bound that are left by those before.
const (
	rejectedBelow = 4 // it never runs
	failedBelow   = 6
	silentBelow   = 8
	resetBelow    = 9
)

// run runs an attempt and answers it, or does something else.
func (c *replicaConn) run(attempt *arrival) {
	replica := c.replica
	fate := replica.draw(100)
	if fate < rejectedBelow {
		c.reply(attempt.subquery, "REJECTED", "")
		return
	}
	replica.cores <- struct{}{}
	defer func() { <-replica.cores }()
	replica.soak.ledger.update(func() { attempt.ran = true })
	time.Sleep(meanWork/2 + time.Duration(replica.draw(int(meanWork))))
	replica.awaitReading()
	switch {
	case fate < failedBelow:
		c.reply(attempt.subquery, "ERROR", "")
	case fate < silentBelow: // nothing is answered
	case fate < resetBelow:
		reset(c.Conn)
	default:
		value := fmt.Sprintf("v<%s.%s.%d>", replica.uid, attempt.subquery, replica.draw(1000))
		replica.soak.ledger.addValue(attempt.subquery, value)
		c.reply(attempt.subquery, "OK", value)
	}
}

const (
	replyWriteTime = 2 * time.Second
	slowReplyBytes = 7
	slowReplyPause = time.Millisecond
)

// reply writes a reply, one at a time on a connection.
func (c *replicaConn) reply(subquery, outcome, value string) {
	frame := replyFrame(subquery, outcome, value)
	c.writing.Lock()
	defer c.writing.Unlock()
	c.SetWriteDeadline(time.Now().Add(replyWriteTime))
	if !c.fate.slowReplies {
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

// cutConn is a connection that is reset once so many bytes came in.
type cutConn struct {
	net.Conn
	remaining int // or unlimited
}

func (c *cutConn) Read(b []byte) (int, error) {
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
