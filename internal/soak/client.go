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
	maxKeptConns = 3 // connections that a client keeps for later requests

	usualPause = 110 * time.Millisecond  // longest pause between requests
	restPause  = 2500 * time.Millisecond // longest, when the client rests
	burstSpeed = 6                       // times as fast as usual

	requestWriteTime = 2 * time.Second
	answerWait       = 1500 * time.Millisecond // beyond the deadline, for an answer that is later than any may be
	halfRequestWait  = 3 * time.Second         // for half a request to get its error or close
	halfRequestSpare = 500 * time.Millisecond  // to see what comes after halfRequestWait
)

// client sends requests, one at a time, until the soak has no more time for another. Its source of chance decides all
// that it does; the order of its draws is part of a seed's plan.
type client struct {
	soak   *Soak
	name   string
	random *rand.Rand
	kept   []*clientConn
	made   int // requests so far
}

// exchange is what became of a request's connection.
type exchange int

const (
	connectionOver  exchange = iota
	connectionLasts          // it can carry another request
	requestUnread            // it was closed before the request can have been read
)

func (c *client) run() {
	for c.soak.now() < c.soak.end {
		c.sendOnce()
		c.pause()
	}
	for _, conn := range c.kept {
		conn.Close()
	}
}

func (c *client) pause() {
	longest := usualPause
	if c.soak.burst.Load() {
		longest /= burstSpeed
	}
	if c.random.IntN(40) == 0 {
		longest = restPause
	}
	time.Sleep(between(c.random, 0, longest))
}

// sendOnce sends a request or half of one. A request that crossed the connection's close is sent once more, on a new
// connection.
func (c *client) sendOnce() {
	conn := c.connection()
	if conn == nil {
		return
	}
	if c.random.IntN(60) == 0 {
		c.sendHalf(conn)
		return
	}
	outcome := c.exchange(conn, c.newRequest(conn))
	if outcome == requestUnread {
		conn = c.dial()
		if conn == nil {
			return
		}
		outcome = c.exchange(conn, c.newRequest(conn))
	}
	if outcome == connectionLasts && len(c.kept) < maxKeptConns && c.random.IntN(5) > 0 {
		c.kept = append(c.kept, conn)
		return
	}
	conn.Close()
}

// exchange sends a request and takes what comes.
func (c *client) exchange(conn *clientConn, request *request) exchange {
	conn.carried++
	if !c.write(conn, request.text()) {
		conn.Close()
		if request.reused {
			return requestUnread
		}
		return connectionOver
	}
	request.sent = c.soak.now()
	c.soak.ledger.addRequest(request)
	if c.drawLeaving() {
		c.leave(conn, request)
		return connectionOver
	}
	conn.SetReadDeadline(time.Now().Add(request.deadline + answerWait))
	response, answer, err := readResponse(conn.in)
	answer.at = c.soak.now()
	if err != nil {
		conn.Close()
		return c.noteClose(request, answer.at)
	}
	trailing := conn.in.Buffered()
	c.soak.ledger.update(func() {
		request.answers = append(request.answers, answer)
		request.trailingBytes = trailing
	})
	if response.Close {
		return connectionOver
	}
	return connectionLasts
}

// noteClose notes that a connection ended without an answer. A request on a connection that had carried others, and of
// which no replica has seen anything, may have crossed the close: it counts as not sent here.
func (c *client) noteClose(request *request, at time.Duration) exchange {
	unread := request.reused && !c.soak.ledger.attempted(request.id)
	c.soak.ledger.update(func() {
		request.closed = at
		if unread {
			request.left = request.sent
		}
	})
	if unread {
		return requestUnread
	}
	return connectionOver
}

// drawLeaving tells whether the client leaves before its answer.
func (c *client) drawLeaving() bool {
	oneOf := 12
	if c.soak.clientsLeaving.Load() {
		oneOf = 2
	}
	return c.random.IntN(oneOf) == 0
}

// write writes in one go, or in pieces.
func (c *client) write(conn *clientConn, text string) bool {
	conn.SetWriteDeadline(time.Now().Add(requestWriteTime))
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

// leave closes the connection some time after the request, with or without a reset.
func (c *client) leave(conn *clientConn, request *request) {
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
	c.soak.ledger.update(func() { request.left = at })
}

// sendHalf sends half a request and stays: an error or the connection's end is owed.
func (c *client) sendHalf(conn *clientConn) {
	defer conn.Close()
	text := c.newRequest(conn).text()
	if _, err := io.WriteString(conn, text[:len(text)/2]); err != nil {
		return
	}
	sent := c.soak.now()
	conn.SetReadDeadline(time.Now().Add(halfRequestWait + halfRequestSpare))
	_, err := conn.in.ReadByte()
	var netError net.Error
	timedOut := errors.As(err, &netError) && netError.Timeout()
	if !timedOut || conn.coordinator.wasKilled(conn.process) {
		return
	}
	now := c.soak.now()
	stopped := c.soak.stoppedTime(conn.coordinator.name, sent, now)
	if now-sent > halfRequestWait+stopped+measurementSlack {
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
