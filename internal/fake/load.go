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

// LoadResult is what became of one query, as its client saw it. Status 0: no answer came.
type LoadResult struct {
	Due    time.Duration // when it was to be sent, since the load's start
	Took   time.Duration // from then to its answer
	Status int
}

// WithinObjective tells whether it was fulfilled within an agreed time.
func (a LoadResult) WithinObjective(agreed time.Duration) bool {
	return a.Status == http.StatusOK && a.Took <= agreed
}

// Load asks one track on an open-loop schedule: evenly spaced, never slowed by answers.
type Load struct {
	Addr, Class string
	Name        string        // begins each id; loads of one co-ordinator have names of their own
	Rate        float64       // queries per second
	Subqueries  int           // of each, of the shards from a random one on
	Shards      int           // there are
	Deadline    time.Duration // told with each
	Seed        uint64
	MaxConns    int // connections; who finds none free waits, which counts as the query's time

	ExtraResponses atomic.Int64 // connections on which something stood behind an answer: it had two
	TextBytes      int          // bytes of each query's; 0: one

	idle chan *clientConn
	left chan struct{} // places for further connections
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// Run runs the load for a while and returns all answers in order of sending, once they are in; clients wait for two
// seconds beyond the cut-off at the most.
func (l *Load) Run(while time.Duration) []LoadResult {
	rnd := rand.New(rand.NewPCG(l.Seed, 1))
	l.idle, l.left = make(chan *clientConn, l.MaxConns), make(chan struct{}, l.MaxConns)
	all := make([]LoadResult, int(while.Seconds()*l.Rate))
	var open sync.WaitGroup
	start := time.Now()
	for n := range all {
		due := time.Duration(float64(n) / l.Rate * float64(time.Second))
		all[n].Due = due
		if wait := due - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		first := rnd.IntN(l.Shards - l.Subqueries + 1)
		open.Go(func() {
			all[n].Status = l.ask(n, first, start.Add(due))
			all[n].Took = time.Since(start) - due
		})
	}
	open.Wait()
	for {
		select {
		case c := <-l.idle:
			c.Close()
			continue
		default:
		}
		return all
	}
}

func (l *Load) ask(n, first int, due time.Time) int {
	var segments strings.Builder
	for i := range l.Subqueries {
		if i > 0 {
			segments.WriteByte(',')
		}
		fmt.Fprintf(&segments, `{"segment":%d,"boost":%.6f}`, first+i, 1/float64(l.Subqueries))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":%q}`, segments.String(), strings.Repeat("t", max(1, l.TextBytes)))
	request := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: b\r\nReq-Id: %s-%d\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		l.Class, l.Name, n, l.Deadline.Seconds(), len(body), body)
	for { // rested connections may have been closed, any number of them
		c, rested := l.connection(due.Add(l.Deadline + time.Second))
		if c == nil {
			return 0
		}
		c.SetDeadline(due.Add(l.Deadline + 2*time.Second))
		_, err := io.WriteString(c, request)
		var r *http.Response
		if err == nil {
			r, err = http.ReadResponse(c.in, nil)
		}
		if err != nil {
			l.end(c)
			if rested {
				continue
			}
			return 0
		}
		_, err = io.Copy(io.Discard, r.Body)
		if c.in.Buffered() > 0 {
			l.ExtraResponses.Add(1)
		}
		if err != nil || r.Close {
			l.end(c)
		} else {
			l.idle <- c
		}
		return r.StatusCode
	}
}

func (l *Load) end(c *clientConn) {
	c.Close()
	<-l.left
}

// connection takes an idle one or opens another; nil if there is none until a time.
func (l *Load) connection(until time.Time) (c *clientConn, rested bool) {
	select {
	case c := <-l.idle:
		return c, true
	default:
	}
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case c := <-l.idle:
		return c, true
	case l.left <- struct{}{}:
		conn, err := net.DialTimeout("tcp", l.Addr, time.Second)
		if err != nil {
			<-l.left
			return nil, false
		}
		return &clientConn{conn, bufio.NewReader(conn)}, false
	case <-late.C:
		return nil, false
	}
}
