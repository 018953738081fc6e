package fake

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	loadRandomStream = 1               // PCG stream; keeps a Load's draws independent of others with the same seed
	responseGrace    = 2 * time.Second // how long past its deadline a query waits for its response
	connGrace        = time.Second     // how long past its deadline a query waits for a free connection
	connectTimeout   = time.Second
)

// LoadResult is the outcome of one query, as its client saw it.
type LoadResult struct {
	Due     time.Duration // scheduled send time, relative to the start of the load
	Latency time.Duration // from Due to the response
	Status  int           // HTTP status; 0: no response
	Err     error         // why there was no response
}

// WithinObjective reports whether the query succeeded within a latency objective.
func (result LoadResult) WithinObjective(objective time.Duration) bool {
	return result.Status == http.StatusOK && result.Latency <= objective
}

// Load sends queries of one class on an open-loop schedule: evenly spaced, regardless of when responses arrive.
type Load struct {
	Addr       string // of the co-ordinator
	Class      string
	Name       string        // prefix of each query's id; unique among the loads on one co-ordinator
	Rate       float64       // queries per second
	Subqueries int           // per query, for consecutive shards starting at a random one
	Shards     int           // total number of shards
	Deadline   time.Duration // of each query
	Seed       uint64
	MaxConns   int    // connection limit; the time a query waits for a free connection counts towards its latency
	TextBytes  int    // length of each query's text; 0: one byte
	Text       string // of each query, in place of TextBytes bytes
	Question   string // of two-phase queries, as JSON; empty: none

	// OnAnswer is called with the body of each response with status 200. Nil: bodies are discarded.
	OnAnswer func(number, firstShard int, body []byte)

	// ExtraResponses counts responses that were followed by unexpected bytes, as when a query is answered twice.
	ExtraResponses atomic.Int64

	idle  chan *clientConn
	slots chan struct{} // holds one element per open connection
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// Run sends queries for the given duration, waits until each has a result, and returns the results in the order in
// which the queries were scheduled. Clients wait for at most responseGrace past the deadline.
func (load *Load) Run(duration time.Duration) []LoadResult {
	random := rand.New(rand.NewPCG(load.Seed, loadRandomStream))
	load.idle = make(chan *clientConn, load.MaxConns)
	load.slots = make(chan struct{}, load.MaxConns)
	results := make([]LoadResult, int(duration.Seconds()*load.Rate))
	var pending sync.WaitGroup
	start := time.Now()
	for number := range results {
		due := time.Duration(float64(number) / load.Rate * float64(time.Second))
		results[number].Due = due
		if wait := due - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		firstShard := random.IntN(load.Shards - load.Subqueries + 1)
		pending.Go(func() {
			results[number].Status, results[number].Err = load.send(number, firstShard, start.Add(due))
			results[number].Latency = time.Since(start) - due
		})
	}
	pending.Wait()
	load.closeIdle()
	return results
}

func (load *Load) closeIdle() {
	for {
		select {
		case conn := <-load.idle:
			conn.Close()
		default:
			return
		}
	}
}

// ErrNoConnection means that a query found no connection in time, so that nothing of it was sent.
var ErrNoConnection = errors.New("no connection")

// send sends a query and returns its status, or 0 and an error if there was no response. If an idle connection turns out
// to have been closed, send retries on the next one.
func (load *Load) send(n, firstShard int, due time.Time) (status int, err error) {
	request := load.request(n, firstShard)
	for {
		conn, wasIdle := load.connection(due.Add(load.Deadline + connGrace))
		if conn == nil {
			return 0, ErrNoConnection
		}
		_ = conn.SetDeadline(due.Add(load.Deadline + responseGrace))
		response, err := exchange(conn, request)
		if err != nil {
			load.close(conn)
			if wasIdle {
				continue
			}
			return 0, err
		}
		body := load.readBody(conn, response)
		if response.StatusCode == http.StatusOK && load.OnAnswer != nil {
			load.OnAnswer(n, firstShard, body)
		}
		return response.StatusCode, nil
	}
}

func exchange(conn *clientConn, request string) (*http.Response, error) {
	if _, err := io.WriteString(conn, request); err != nil {
		return nil, err
	}
	return http.ReadResponse(conn.reader, nil)
}

// readBody reads the body of a response and returns the connection to the idle ones if it can be reused.
func (load *Load) readBody(conn *clientConn, response *http.Response) []byte {
	body, err := io.ReadAll(response.Body)
	if conn.reader.Buffered() > 0 {
		load.ExtraResponses.Add(1)
	}
	if err != nil || response.Close {
		load.close(conn)
		return body
	}
	load.idle <- conn
	return body
}

func (load *Load) request(number, firstShard int) string {
	segments := make([]string, load.Subqueries)
	for i := range segments {
		segments[i] = fmt.Sprintf(`{"segment":%d,"boost":%.6f}`, firstShard+i, 1/float64(load.Subqueries))
	}
	text := cmp.Or(load.Text, strings.Repeat("t", max(1, load.TextBytes)))
	question := ""
	if load.Question != "" {
		question = `,"question":` + load.Question
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":%q%s}`, strings.Join(segments, ","), text, question)
	return fmt.Sprintf(
		"POST /%s HTTP/1.1\r\nHost: b\r\nReq-Id: %s-%d\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		load.Class, load.Name, number, load.Deadline.Seconds(), len(body), body)
}

func (load *Load) close(conn *clientConn) {
	conn.Close()
	<-load.slots
}

// connection takes an idle connection or opens a new one. It returns nil if none becomes available before the
// deadline or if connecting fails.
func (load *Load) connection(deadline time.Time) (conn *clientConn, wasIdle bool) {
	select {
	case conn := <-load.idle:
		return conn, true
	default:
	}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case conn := <-load.idle:
		return conn, true
	case load.slots <- struct{}{}:
		return load.connect(), false
	case <-timeout.C:
		return nil, false
	}
}

// connect opens a connection, for which the caller holds a slot. On failure it releases the slot and returns nil.
func (load *Load) connect() *clientConn {
	conn, err := net.DialTimeout("tcp", load.Addr, connectTimeout)
	if err != nil {
		<-load.slots
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}
