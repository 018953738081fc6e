package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// segment is a part of a query.
type segment struct {
	Segment int     `json:"segment"`
	Boost   float64 `json:"boost"`
}

// query is a client's request.
type query struct {
	id       string
	class    string
	deadline time.Duration
	segments []segment
	text     string
}

// answer is what a client received for a query.
type answer struct {
	status  int           // 0: none
	after   time.Duration // from the request's last byte to the answer's last byte, or to the end of the wait
	err     error         // why there is no whole answer
	refused bool          // the connection was refused or was closed before anything was answered
	allIn   bool
	values  map[int]string
}

// queryBody is the body of a request.
type queryBody struct {
	Segments []segment `json:"segments"`
	Text     string    `json:"text"`
}

// answerBody is the body of an answer.
type answerBody struct {
	AllIn   bool `json:"all_in"`
	Matches []struct {
		Segment int    `json:"segment"`
		Payload string `json:"payload"`
	} `json:"matches"`
}

func (query *query) bytes() []byte {
	body, _ := json.Marshal(queryBody{query.segments, query.text})
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\n"+
		"Content-Length: %d\r\n\r\n%s", query.class, query.id, query.deadline.Seconds(), len(body), body)
}

// ask sends a query on a new connection and waits for the answer until grace after its deadline.
func ask(address string, query *query, grace time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, query.deadline+grace)
	if err != nil {
		return answer{err: err, refused: true}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(query.deadline + grace))
	if _, err := conn.Write(query.bytes()); err != nil {
		return answer{err: err, refused: true}
	}
	sent := time.Now()
	received := readAnswer(bufio.NewReader(conn))
	received.after = time.Since(sent)
	return received
}

// readAnswer reads an answer.
func readAnswer(reader *bufio.Reader) (received answer) {
	if _, err := reader.Peek(1); err != nil {
		timeout, isNet := err.(net.Error)
		return answer{err: err, refused: !isNet || !timeout.Timeout()}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	received.status = response.StatusCode
	if received.status != http.StatusOK {
		return received
	}
	var body answerBody
	received.err = json.Unmarshal(text, &body)
	received.allIn = body.AllIn
	received.values = map[int]string{}
	for _, match := range body.Matches {
		received.values[match.Segment] = match.Payload
	}
	return received
}
