package soak

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	maxIdleConns = 3 // connections that a client keeps open for later requests

	maxPause     = 110 * time.Millisecond  // longest pause between requests
	maxLongPause = 2500 * time.Millisecond // longest of the occasional long pauses
	burstSpeedup = 6                       // divisor of maxPause during a burst

	requestWriteTimeout     = 2 * time.Second
	answerWait              = 1500 * time.Millisecond // beyond the deadline; longer than the latest answer allowed
	partialRequestWait      = 3 * time.Second         // limit for an error or a close after half a request
	partialRequestExtraWait = 500 * time.Millisecond  // further wait, to measure a response past the limit
)

// client sends requests, one at a time, until the end of the soak. All its choices are drawn from its random source;
// the order of the draws is part of a seed's plan.
type client struct {
	soak         *Soak
	name         string
	random       *rand.Rand
	idleConns    []*clientConn
	requestCount int // requests drawn so far
}

// exchangeResult is the state of a connection after a request.
type exchangeResult int

const (
	connClosed     exchangeResult = iota
	connReusable                  // it can be reused for another request
	requestNotRead                // it was closed before the request was read; another can be sent instead
)

func (c *client) run() {
	for c.soak.now() < c.soak.end {
		c.sendOnce()
		c.pause()
	}
	for _, conn := range c.idleConns {
		conn.Close()
	}
}

func (c *client) pause() {
	longest := maxPause
	if c.soak.burst.Load() {
		longest /= burstSpeedup
	}
	if c.random.IntN(40) == 0 {
		longest = maxLongPause
	}
	time.Sleep(drawDuration(c.random, 0, longest))
}

// sendOnce sends a request or half of one. If the co-ordinator closed a reused connection before it read the request, a
// new request is sent once on a new connection.
func (c *client) sendOnce() {
	conn := c.getConn()
	if conn == nil {
		return
	}
	if c.random.IntN(60) == 0 {
		c.sendPartial(conn)
		return
	}
	result := c.exchange(conn, c.newRequest(conn))
	if result == requestNotRead {
		conn = c.dial()
		if conn == nil {
			return
		}
		result = c.exchange(conn, c.newRequest(conn))
	}
	if result == connReusable && len(c.idleConns) < maxIdleConns && c.random.IntN(5) > 0 {
		c.idleConns = append(c.idleConns, conn)
		return
	}
	conn.Close()
}

// exchange sends a request, reads the response and records both in the ledger.
func (c *client) exchange(conn *clientConn, request *request) exchangeResult {
	conn.requestCount++
	if !c.write(conn, request.wireText()) {
		conn.Close()
		if request.reused {
			return requestNotRead
		}
		return connClosed
	}
	request.sentAt = c.soak.now()
	c.soak.ledger.addRequest(request)
	if c.drawDisconnect() {
		c.disconnect(conn, request)
		return connClosed
	}
	conn.SetReadDeadline(time.Now().Add(request.deadline + answerWait))
	response, answer, err := readResponse(conn.reader)
	answer.receivedAt = c.soak.now()
	if err != nil {
		conn.Close()
		return c.recordClose(request, answer.receivedAt)
	}
	trailing := conn.reader.Buffered()
	c.soak.ledger.update(func() {
		request.answers = append(request.answers, answer)
		request.trailingBytes = trailing
	})
	if response.Close {
		return connClosed
	}
	return connReusable
}

// recordClose records that a connection was closed without an answer. On a reused connection the co-ordinator may have
// closed it before the request arrived: if no attempt of the request has reached a replica, it counts as not sent. A
// connection that was open until SIGKILL followed SIGTERM was not closed by the co-ordinator.
func (c *client) recordClose(request *request, closedAt time.Duration) exchangeResult {
	diedOpen := request.coordinator.diedOpen(request.process)
	notRead := request.reused && !diedOpen && !c.soak.ledger.reachedReplica(request.id)
	c.soak.ledger.update(func() {
		request.closedAt = closedAt
		if notRead {
			request.disconnectedAt = request.sentAt
		}
	})
	if notRead {
		return requestNotRead
	}
	return connClosed
}

// drawDisconnect reports whether the client disconnects without waiting for its answer.
func (c *client) drawDisconnect() bool {
	oneOf := 12
	if c.soak.clientsDisconnecting.Load() {
		oneOf = 2
	}
	return c.random.IntN(oneOf) == 0
}

// write writes a text at once or in pieces with pauses, and reports whether it succeeded.
func (c *client) write(conn *clientConn, text string) bool {
	conn.SetWriteDeadline(time.Now().Add(requestWriteTimeout))
	if c.random.IntN(8) > 0 {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	for len(text) > 0 {
		n := min(len(text), 1+c.random.IntN(120))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return false
		}
		text = text[n:]
		if text != "" {
			time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
		}
	}
	return true
}

// disconnect closes the connection after a random delay, which may be zero.
func (c *client) disconnect(conn *clientConn, request *request) {
	delay := time.Duration(0)
	if c.random.IntN(3) > 0 {
		delay = time.Duration(c.random.IntN(150)) * time.Millisecond
	}
	time.Sleep(delay)
	if c.random.IntN(3) == 0 {
		reset(conn) // clientConn is not a *net.TCPConn, so this closes it without a TCP reset
	} else {
		conn.Close()
	}
	now := c.soak.now()
	c.soak.ledger.update(func() { request.disconnectedAt = now })
}

// sendPartial sends half a request and keeps the connection open: the co-ordinator must answer with an error or close
// it in time.
func (c *client) sendPartial(conn *clientConn) {
	defer conn.Close()
	text := c.newRequest(conn).wireText()
	if _, err := io.WriteString(conn, text[:len(text)/2]); err != nil {
		return
	}
	sentAt := c.soak.now()
	conn.SetReadDeadline(time.Now().Add(partialRequestWait + partialRequestExtraWait))
	_, err := conn.reader.ReadByte()
	var netError net.Error
	timedOut := errors.As(err, &netError) && netError.Timeout()
	if !timedOut || conn.coordinator.wasKilled(conn.process) {
		return
	}
	now := c.soak.now()
	stopped := c.soak.stoppedTime(conn.coordinator.name, sentAt, now)
	if now-sentAt > partialRequestWait+stopped+measurementSlack {
		c.soak.violated(RulePartialRequest, "", "half a request to %s got neither an error nor a close after %v",
			conn.coordinator.name, now-sentAt)
	}
}

func readResponse(reader *bufio.Reader) (*http.Response, answer, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, answer{}, err
	}
	read, err := readAnswer(response)
	return response, read, err
}
