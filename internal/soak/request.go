package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxSubqueries bounds the shards that a request asks for.
const maxSubqueries = 5

// newRequest draws a request for a connection.
func (c *client) newRequest(conn *clientConn) *request {
	c.requestCount++
	class := classes[c.random.IntN(len(classes))]
	request := &request{
		id:          fmt.Sprintf("%s-%d", c.name, c.requestCount),
		class:       class,
		coordinator: conn.coordinator,
		process:     conn.process,
		reused:      conn.requestCount > 0,
		deadline:    c.drawDeadline(class),
	}
	shards := c.random.Perm(shardCount)
	request.shards = shards[:1+c.random.IntN(maxSubqueries)]
	return request
}

// drawDeadline is that of the class for most requests; some have a shorter one of their own.
func (c *client) drawDeadline(class *class) time.Duration {
	switch c.random.IntN(10) {
	case 0:
		return time.Duration(20+c.random.IntN(150)) * time.Millisecond
	case 1:
		return time.Duration(200+c.random.IntN(500)) * time.Millisecond
	}
	return class.deadline
}

// wireText is the request as it goes over the wire.
func (r *request) wireText() string {
	boost := 1 / float64(len(r.shards))
	var segments []string
	for _, shard := range r.shards {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%v}`, shard, boost))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"t%s"}`, strings.Join(segments, ","), r.id)
	head := fmt.Sprintf(
		"POST /%s HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n",
		r.class.name, r.id, r.deadline.Seconds(), len(body))
	return head + body
}

// readAnswer reads a response's body.
func readAnswer(response *http.Response) (answer, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	read := answer{status: response.StatusCode, matches: map[int]string{}}
	if read.status != http.StatusOK {
		return read, nil
	}
	var content struct {
		Complete bool `json:"all_in"`
		Matches  []struct {
			Shard int    `json:"segment"`
			Value string `json:"payload"`
		}
	}
	if err := json.Unmarshal(body, &content); err != nil {
		return read, err
	}
	read.complete = content.Complete
	for _, match := range content.Matches {
		read.matches[match.Shard] = match.Value
	}
	return read, nil
}
