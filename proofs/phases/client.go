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
	dialTime   = time.Second
	answerTime = 2 * deadline

	// maxRetries bounds how often a query is sent again because a kept connection had been closed meanwhile.
	maxRetries = 100
)

// client sends queries on connections that it keeps.
type client struct {
	addr string
	idle chan *clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func newClient(addr string, maxIdle int) *client {
	return &client{addr: addr, idle: make(chan *clientConn, maxIdle)}
}

// send sends a query and returns its answer. It retries on another connection only if one that was kept ends.
func (c *client) send(query query) (status int, body string, err error) {
	request := query.request()
	for retries := 0; ; retries++ {
		conn, kept, err := c.connection()
		if err != nil {
			return 0, "", err
		}
		response, err := conn.exchange(request)
		if err != nil {
			conn.Close()
			if kept && retries < maxRetries {
				continue
			}
			return 0, "", err
		}
		content, err := io.ReadAll(response.Body)
		if err != nil || response.Close {
			conn.Close()
		} else {
			c.keep(conn)
		}
		return response.StatusCode, strings.TrimSpace(string(content)), err
	}
}

// connection is one that was kept, or a new one.
func (c *client) connection() (conn *clientConn, kept bool, err error) {
	select {
	case conn = <-c.idle:
		return conn, true, nil
	default:
	}
	raw, err := net.DialTimeout("tcp", c.addr, dialTime)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{raw, bufio.NewReader(raw)}, false, nil
}

// keep keeps a connection for a later query, if there is a place for it.
func (c *client) keep(conn *clientConn) {
	select {
	case c.idle <- conn:
	default:
		conn.Close()
	}
}

// exchange writes a request and reads its response up to the body.
func (c *clientConn) exchange(request string) (*http.Response, error) {
	c.SetDeadline(time.Now().Add(answerTime))
	if _, err := io.WriteString(c, request); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.in, nil)
}

// request is the query as it goes over the wire.
func (q query) request() string {
	var segments []string
	for _, shard := range q.shards {
		boost := 1 / float64(len(q.shards))
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%.6f}`, shard, boost))
	}
	question := "{}"
	if q.best != nil {
		question = fmt.Sprintf(`{"best":%d}`, *q.best)
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"score>=%g","question":%s}`,
		strings.Join(segments, ","), q.least, question)
	head := fmt.Sprintf(
		"POST /report HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n",
		q.id, deadline.Seconds(), len(body))
	return head + body
}
