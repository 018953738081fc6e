package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	dialTimeout   = time.Second
	answerTimeout = 2 * deadline

	// maxRetries limits the retries of a query whose reused connection turns out to be closed.
	maxRetries = 100
)

// client sends queries over pooled connections.
type client struct {
	addr string
	idle chan *clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func newClient(addr string, maxIdle int) *client {
	return &client{addr: addr, idle: make(chan *clientConn, maxIdle)}
}

// send sends a query and returns its answer. It retries on another connection only if the failed one was reused.
func (c *client) send(query query) (status int, body string, err error) {
	request := query.request()
	for retries := 0; ; retries++ {
		conn, reused, err := c.acquire()
		if err != nil {
			return 0, "", err
		}
		response, err := conn.exchange(request)
		if err != nil {
			conn.Close()
			if reused && retries < maxRetries {
				continue
			}
			return 0, "", err
		}
		responseBody, err := io.ReadAll(response.Body)
		if err != nil || response.Close {
			conn.Close()
		} else {
			c.release(conn)
		}
		return response.StatusCode, strings.TrimSpace(string(responseBody)), err
	}
}

// acquire returns an idle connection, or a new one if none is idle.
func (c *client) acquire() (conn *clientConn, reused bool, err error) {
	select {
	case conn = <-c.idle:
		return conn, true, nil
	default:
	}
	raw, err := net.DialTimeout("tcp", c.addr, dialTimeout)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{raw, bufio.NewReader(raw)}, false, nil
}

// release returns a connection to the pool, or closes it if the pool is full.
func (c *client) release(conn *clientConn) {
	select {
	case c.idle <- conn:
	default:
		conn.Close()
	}
}

// exchange writes a request and reads the response up to its body.
func (c *clientConn) exchange(request string) (*http.Response, error) {
	c.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, nil)
}

// request returns the HTTP request of the query.
func (query query) request() string {
	var segments []string
	for _, shard := range query.shards {
		boost := 1 / float64(len(query.shards))
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%.6f}`, shard, boost))
	}
	question := "{}"
	if query.limit != nil {
		question = fmt.Sprintf(`{"best":%d}`, *query.limit)
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"score>=%g","question":%s}`,
		strings.Join(segments, ","), query.minScore, question)
	header := fmt.Sprintf(
		"POST /report HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n",
		query.id, deadline.Seconds(), len(body))
	return header + body
}
