package fake

import (
	"bufio"
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
	loadRandomStream = 1               // sets the draws of a Load apart from others with the same seed
	responseGrace    = 2 * time.Second // after a query's deadline, for its response
	connGrace        = time.Second     // after a query's deadline, for a connection to be free
	connectTimeout   = time.Second
)

// LoadResult is what became of one query, as its client saw it.
type LoadResult struct {
	Due     time.Duration // when it was to be sent, since the load's start
	Latency time.Duration // from then to its response
	Status  int           // HTTP status; 0: no response came
}

// WithinObjective reports whether the query succeeded within a latency objective.
func (result LoadResult) WithinObjective(objective time.Duration) bool {
	return result.Status == http.StatusOK && result.Latency <= objective
}

// Load sends queries of one class on an open-loop schedule: evenly spaced, and never slowed down by responses.
type Load struct {
	Addr       string // of the co-ordinator
	Class      string
	Name       string        // begins each query's id; loads of one co-ordinator have different names
	Rate       float64       // queries per second
	Subqueries int           // of each query, of successive shards from a random one on
	Shards     int           // that there are
	Deadline   time.Duration // of each query
	Seed       uint64
	MaxConns   int // connections; a query that finds none free waits, which counts as its time
	TextBytes  int // of each query's text; 0: one

	ExtraResponses atomic.Int64 // connections on which bytes stood behind a response: a query had two

	idle  chan *clientConn
	slots chan struct{} // one for each open connection
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// Run sends queries for a while and returns all results in order of sending, once they are in. Clients wait for
// responseGrace beyond the deadline at the most.
func (load *Load) Run(duration time.Duration) []LoadResult {
	random := rand.New(rand.NewPCG(load.Seed, loadRandomStream))
	load.idle = make(chan *clientConn, load.MaxConns)
	load.slots = make(chan struct{}, load.MaxConns)
	results := make([]LoadResult, int(duration.Seconds()*load.Rate))
	var open sync.WaitGroup
	start := time.Now()
	for n := range results {
		due := time.Duration(float64(n) / load.Rate * float64(time.Second))
		results[n].Due = due
		if wait := due - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		firstShard := random.IntN(load.Shards - load.Subqueries + 1)
		open.Go(func() {
			results[n].Status = load.send(n, firstShard, start.Add(due))
			results[n].Latency = time.Since(start) - due
		})
	}
	open.Wait()
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

// send sends a query and returns its status, 0 if no response came. An idle connection may have been closed
// meanwhile; the query goes on the next one then.
func (load *Load) send(n, firstShard int, due time.Time) int {
	request := load.request(n, firstShard)
	for {
		conn, wasIdle := load.connection(due.Add(load.Deadline + connGrace))
		if conn == nil {
			return 0
		}
		_ = conn.SetDeadline(due.Add(load.Deadline + responseGrace))
		response, err := exchange(conn, request)
		if err != nil {
			load.close(conn)
			if wasIdle {
				continue
			}
			return 0
		}
		load.readBody(conn, response)
		return response.StatusCode
	}
}

func exchange(conn *clientConn, request string) (*http.Response, error) {
	if _, err := io.WriteString(conn, request); err != nil {
		return nil, err
	}
	return http.ReadResponse(conn.in, nil)
}

// readBody reads the rest of a response and keeps the connection, if it stands.
func (load *Load) readBody(conn *clientConn, response *http.Response) {
	_, err := io.Copy(io.Discard, response.Body)
	if conn.in.Buffered() > 0 {
		load.ExtraResponses.Add(1)
	}
	if err != nil || response.Close {
		load.close(conn)
		return
	}
	load.idle <- conn
}

func (load *Load) request(n, firstShard int) string {
	segments := make([]string, load.Subqueries)
	for i := range segments {
		segments[i] = fmt.Sprintf(`{"segment":%d,"boost":%.6f}`, firstShard+i, 1/float64(load.Subqueries))
	}
	text := strings.Repeat("t", max(1, load.TextBytes))
	body := fmt.Sprintf(`{"segments":[%s],"text":%q}`, strings.Join(segments, ","), text)
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: b\r\nReq-Id: %s-%d\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		load.Class, load.Name, n, load.Deadline.Seconds(), len(body), body)
}

func (load *Load) close(conn *clientConn) {
	conn.Close()
	<-load.slots
}

// connection takes an idle connection or opens one; nil if there is none until a time.
func (load *Load) connection(until time.Time) (conn *clientConn, wasIdle bool) {
	select {
	case conn := <-load.idle:
		return conn, true
	default:
	}
	timeout := time.NewTimer(time.Until(until))
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

// connect opens a connection, for which a slot is taken; nil if it fails.
func (load *Load) connect() *clientConn {
	conn, err := net.DialTimeout("tcp", load.Addr, connectTimeout)
	if err != nil {
		<-load.slots
		return nil
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}
}
