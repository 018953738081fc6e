package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxSubqueries is the maximum number of shards that a request queries.
const maxSubqueries = 5

// newRequest creates a random request to be sent on a connection.
func (c *client) newRequest(conn *clientConn) *request {
	c.requestCount++
	class := c.soak.classes[c.random.IntN(len(c.soak.classes))]
	request := &request{
		id:          fmt.Sprintf("%s-%d", c.name, c.requestCount),
		class:       class,
		coordinator: conn.coordinator,
		process:     conn.process,
		reused:      conn.requestCount > 0,
		deadline:    min(c.drawDeadline(class), class.deadline),
	}
	shards := c.random.Perm(shardCount)
	request.shards = shards[:1+c.random.IntN(maxSubqueries)]
	return request
}

// drawDeadline returns the deadline of the class for most requests, and a shorter random one for the others.
func (c *client) drawDeadline(class *class) time.Duration {
	switch c.random.IntN(10) {
	case 0:
		return time.Duration(20+c.random.IntN(150)) * time.Millisecond
	case 1:
		return time.Duration(200+c.random.IntN(500)) * time.Millisecond
	}
	return class.deadline
}

// wireText returns the request as it is sent over HTTP.
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

// readAnswer reads the body of a response. It parses the body only if the status is 200.
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
