package protocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	mostID       = 200          // bytes of a request's id
	mostDeadline = 24 * 60 * 60 // seconds that a client may say it waits
	sharesOff    = 0.001        // what the shares of a whole may miss 1 by: many parts, rounded to six places
	fulfilled    = http.StatusOK
	turnedBack   = http.StatusServiceUnavailable
)

// Requests cuts a client's requests out of the bytes of a connection.
type Requests struct {
	messages
	told bool // Expect: 100-continue has been shown
}

// Request is one request, whole.
type Request struct {
	Method, Path string
	Header       http.Header
	Body         []byte
	Close        bool // no further one comes on its connection
}

// Next gives the next request; nil without an error means that more bytes must come in first. Expected
// tells that the client waits for a word before it sends the body.
func (m *Requests) Next() (r *Request, expected bool, err error) {
	if due, err := m.due(); err != nil || !due {
		return nil, false, err
	}
	in := bytes.NewReader(m.bytes())
	ahead := bufio.NewReader(in)
	head, err := http.ReadRequest(ahead)
	if err != nil {
		return nil, false, fault(http.StatusBadRequest, "no HTTP request: %v", err)
	}
	body, err := m.body(head.Body, head.ContentLength, head.TransferEncoding)
	if err != nil {
		return nil, false, err
	}
	if body == nil {
		first := !m.told && strings.EqualFold(head.Header.Get("Expect"), "100-continue")
		m.told = true
		return nil, first, nil
	}
	m.told = false
	m.done(in, ahead)
	return &Request{head.Method, head.URL.Path, head.Header, body, head.Close}, false, nil
}

// Query is what a client asks for.
type Query struct {
	ID       string
	Track    string
	Deadline time.Duration // from when it was sent
	Text     []byte
	Parts    []QueryPart
}

// QueryPart is one shard's part of a query.
type QueryPart struct {
	Shard  int
	Weight float64
	Hint   time.Duration // 0: none
}

// ReadQuery makes a query of a request; an error is a Fault.
func ReadQuery(r *Request) (*Query, error) {
	q := &Query{ID: r.Header.Get("Req-Id")}
	q.Track, _, _ = strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	if !usableID(q.ID) {
		return nil, fault(http.StatusBadRequest, "Req-Id is missing or not of 1 to %d plain characters", mostID)
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Req-Deadline")), 64)
	if err != nil || !(seconds > 0 && seconds <= mostDeadline) {
		return nil, fault(http.StatusBadRequest, "Req-Deadline is missing or no number of seconds above 0")
	}
	q.Deadline = time.Duration(seconds * float64(time.Second))
	var body struct {
		Segments []struct {
			Segment *int     `json:"segment"`
			Boost   *float64 `json:"boost"`
			Work    float64  `json:"work"`
		} `json:"segments"`
		Text *string `json:"text"`
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, fault(http.StatusBadRequest, "the body is not the JSON of a query: %v", err)
	}
	if len(body.Segments) == 0 || body.Text == nil {
		return nil, fault(http.StatusBadRequest, "the query has no segments or no text")
	}
	q.Text = []byte(*body.Text)
	seen, sum := make(map[int]bool, len(body.Segments)), 0.0
	for n, s := range body.Segments {
		if s.Segment == nil || s.Boost == nil || *s.Segment < 0 || *s.Boost < 0 {
			return nil, fault(http.StatusBadRequest, "segments[%d] has no usable segment and boost", n)
		}
		if seen[*s.Segment] {
			return nil, fault(http.StatusBadRequest, "segment %d stands twice", *s.Segment)
		}
		seen[*s.Segment] = true
		sum += *s.Boost
		hint := math.Max(0, math.Min(s.Work, mostDeadline*1e6))
		q.Parts = append(q.Parts, QueryPart{*s.Segment, *s.Boost, time.Duration(hint) * time.Microsecond})
	}
	// Shares that add up to more would let an answer pass for whole while parts are missing.
	if math.Abs(sum-1) > sharesOff {
		return nil, fault(http.StatusBadRequest, "the boosts add up to %g, not to 1", sum)
	}
	return q, nil
}

// usableID tells whether an id can stand in a line of a frame without ending it or a field of it.
func usableID(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return id != "" && len(id) <= mostID
}

// Match is the value that a part brought, as the replica gave it.
type Match struct {
	Segment int    `json:"segment"`
	Payload string `json:"payload"`
}

// AnswerWith makes the response to a fulfilled retrieval.
func AnswerWith(whole bool, matches []Match, last bool) []byte {
	var body bytes.Buffer
	e := json.NewEncoder(&body)
	e.SetEscapeHTML(false)
	if matches == nil {
		matches = []Match{}
	}
	// Strings, numbers and truth values always encode.
	_ = e.Encode(struct {
		AllIn   bool    `json:"all_in"`
		Matches []Match `json:"matches"`
	}{whole, matches})
	return Respond(fulfilled, "application/json", body.Bytes(), 0, last)
}

// TurnBackWith makes the response to a retrieval that is turned back.
func TurnBackWith(comeBack time.Duration, words string, last bool) []byte {
	return Respond(turnedBack, "text/plain", []byte(words+"\n"), comeBack, last)
}

// Respond makes a whole response; last tells that the connection ends with it.
func Respond(status int, kind string, body []byte, comeBack time.Duration, last bool) []byte {
	b := make([]byte, 0, 160+len(body))
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), kind, len(body))
	if comeBack > 0 {
		b = fmt.Appendf(b, "Retry-After: %.3f\r\n", comeBack.Seconds())
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}
