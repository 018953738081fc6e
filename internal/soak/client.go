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
	maxIdleConns = 3 // connections that a client keeps for later requests

	maxPause     = 110 * time.Millisecond  // longest pause between requests
	maxLongPause = 2500 * time.Millisecond // longest, when the client rests
	burstSpeedup = 6                       // times as fast as usual

	requestWriteTimeout     = 2 * time.Second
	answerWait              = 1500 * time.Millisecond // beyond the deadline, for an answer that is later than any may be
	partialRequestWait      = 3 * time.Second         // for half a request to get its error or close
	partialRequestExtraWait = 500 * time.Millisecond  // to see what comes after halfRequestWait
)

// client sends requests, one at a time, until the soak has no more time for another. Its source of chance decides all
// that it does; the order of its draws is part of a seed's plan.
type client struct {
	soak         *Soak
	name         string
	random       *rand.Rand
	idleConns    []*clientConn
	requestCount int // requests so far
}

// exchangeResult is what became of a request's connection.
type exchangeResult int

const (
	connClosed     exchangeResult = iota
	connReusable                  // it can carry another request
	requestNotRead                // it was closed before the request can have been read
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

// sendOnce sends a request or half of one. A request that crossed the connection's close is sent once more, on a new
// connection.
func (c *client) sendOnce() {
	conn := c.getConn()
	if conn == nil {
		return
	}
	if c.random.IntN(60) == 0 {
		c.sendPartial(conn)
		return
	}
	outcome := c.exchange(conn, c.newRequest(conn))
	if outcome == requestNotRead {
		conn = c.dial()
		if conn == nil {
			return
		}
		outcome = c.exchange(conn, c.newRequest(conn))
	}
	if outcome == connReusable && len(c.idleConns) < maxIdleConns && c.random.IntN(5) > 0 {
		c.idleConns = append(c.idleConns, conn)
		return
	}
	conn.Close()
}

// exchange sends a request and takes what comes.
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
	response, answer, err := readResponse(conn.in)
	answer.receivedAt = c.soak.now()
	if err != nil {
		conn.Close()
		return c.recordClose(request, answer.receivedAt)
	}
	trailing := conn.in.Buffered()
	c.soak.ledger.update(func() {
		request.answers = append(request.answers, answer)
		request.trailingBytes = trailing
	})
	if response.Close {
		return connClosed
	}
	return connReusable
}

// recordClose notes that a connection ended without an answer. A request on a connection that had carried others, and of
// which no replica has seen anything, may have crossed the close: it counts as not sent here.
func (c *client) recordClose(request *request, at time.Duration) exchangeResult {
	unread := request.reused && !c.soak.ledger.reachedReplica(request.id)
	c.soak.ledger.update(func() {
		request.closedAt = at
		if unread {
			request.disconnectedAt = request.sentAt
		}
	})
	if unread {
		return requestNotRead
	}
	return connClosed
}

// drawDisconnect tells whether the client leaves before its answer.
func (c *client) drawDisconnect() bool {
	oneOf := 12
	if c.soak.clientsDisconnecting.Load() {
		oneOf = 2
	}
	return c.random.IntN(oneOf) == 0
}

// write writes in one go, or in pieces.
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

// disconnect closes the connection some time after the request, with or without a reset.
func (c *client) disconnect(conn *clientConn, request *request) {
	after := time.Duration(0)
	if c.random.IntN(3) > 0 {
		after = time.Duration(c.random.IntN(150)) * time.Millisecond
	}
	time.Sleep(after)
	if c.random.IntN(3) == 0 {
		reset(conn) // which sees no TCP connection in a clientConn, and closes it as usual
	} else {
		conn.Close()
	}
	at := c.soak.now()
	c.soak.ledger.update(func() { request.disconnectedAt = at })
}

// sendPartial sends half a request and stays: an error or the connection's end is owed.
func (c *client) sendPartial(conn *clientConn) {
	defer conn.Close()
	text := c.newRequest(conn).wireText()
	if _, err := io.WriteString(conn, text[:len(text)/2]); err != nil {
		return
	}
	sent := c.soak.now()
	conn.SetReadDeadline(time.Now().Add(partialRequestWait + partialRequestExtraWait))
	_, err := conn.in.ReadByte()
	var netError net.Error
	timedOut := errors.As(err, &netError) && netError.Timeout()
	if !timedOut || conn.coordinator.wasKilled(conn.process) {
		return
	}
	now := c.soak.now()
	stopped := c.soak.stoppedTime(conn.coordinator.name, sent, now)
	if now-sent > partialRequestWait+stopped+measurementSlack {
		c.soak.violated(RulePartialRequest, "", "half a request to %s has neither error nor end after %v",
			conn.coordinator.name, now-sent)
	}
}

// readResponse reads a response with its answer.
func readResponse(in *bufio.Reader) (*http.Response, answer, error) {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, answer{}, err
	}
	read, err := readAnswer(response)
	return response, read, err
}
