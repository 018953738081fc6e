package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	class    string
	id       string
	deadline time.Duration
	shards   []int
	text     string
}

// head and body as the protocol page shows them.
func (sent *request) bytes() []byte {
	var segments []string
	for _, shard := range sent.shards {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%.6f}`, shard, 1/float64(len(sent.shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":%q}`, strings.Join(segments, ","), sent.text)
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\n"+
		"Content-Length: %d\r\n\r\n%s", sent.class, sent.id, sent.deadline.Seconds(), len(body), body)
}

// answer is a co-ordinator's answer.
type answer struct {
	status int
	close  bool
	body   string
	at     time.Time // of its last byte
	AllIn  bool      `json:"all_in"`
	Hits   []hit     `json:"matches"`
}

type hit struct {
	Shard   int    `json:"segment"`
	Payload string `json:"payload"`
}

// readAnswer reads one answer.
func readAnswer(from *bufio.Reader) (*answer, error) {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	got := &answer{status: response.StatusCode, close: response.Close, body: string(body), at: time.Now()}
	if got.status == http.StatusOK {
		err = json.Unmarshal(body, got)
	}
	return got, err
}

// client is a connection of a client, opened when it is first needed and again after it has ended.
type client struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

func (from *client) connect() error {
	if from.conn != nil {
		return nil
	}
	conn, err := net.Dial("tcp", from.addr)
	if err != nil {
		return err
	}
	from.conn, from.reader = conn, bufio.NewReader(conn)
	return nil
}

func (from *client) close() {
	if from.conn != nil {
		from.conn.Close()
		from.conn = nil
	}
}

// ask sends a request and reads its answer, for patience at the most.
func (from *client) ask(sent *request, patience time.Duration) (*answer, error) {
	if err := from.connect(); err != nil {
		return nil, err
	}
	from.conn.SetDeadline(time.Now().Add(patience))
	if _, err := from.conn.Write(sent.bytes()); err != nil {
		from.close()
		return nil, err
	}
	got, err := readAnswer(from.reader)
	if err != nil || got.close {
		from.close()
	}
	return got, err
}

// isRight reports whether a served answer has, for each part that it holds, the value that was made for the request.
func (got *answer) isRight(sent *request) bool {
	asked := map[int]bool{}
	for _, shard := range sent.shards {
		asked[shard] = true
	}
	for _, value := range got.Hits {
		if !asked[value.Shard] || value.Payload != valueOf(sent.text, value.Shard) {
			return false
		}
		delete(asked, value.Shard)
	}
	return len(asked) == 0 || !got.AllIn
}

// askAgain is ask, but sends the request once more on a new connection if the co-ordinator closed an old one.
func (from *client) askAgain(sent *request, patience time.Duration) (*answer, error) {
	reused := from.conn != nil
	got, err := from.ask(sent, patience)
	if err != nil && reused {
		return from.ask(sent, patience)
	}
	return got, err
}
