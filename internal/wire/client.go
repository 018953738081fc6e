package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	mostID     = 200    // bytes of a request's id
	mostBest   = 10_000 // answers that a question may want
	mostHint   = 86400  // seconds of work that a client may guess
	sharesOff  = 0.001  // what the shares of a whole may miss 1 by: many parts, rounded to six places
	fulfilled  = http.StatusOK
	turnedBack = http.StatusServiceUnavailable
)

// RequestReader cuts a client's requests out of the bytes of a connection.
type RequestReader struct {
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
func (m *RequestReader) Next() (r *Request, expected bool, err error) {
	if due, err := m.due(); err != nil || !due {
		return nil, false, err
	}
	if err := soundHead(m.Bytes()[:m.headEnd]); err != nil {
		return nil, false, err
	}
	head, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(m.Bytes()[:m.headEnd])))
	if err != nil {
		return nil, false, fault(http.StatusBadRequest, "no HTTP request: %v", err)
	}
	body, err := m.body(head.ContentLength, head.TransferEncoding)
	if err != nil {
		return nil, false, err
	}
	if body == nil {
		first := !m.told && strings.EqualFold(head.Header.Get("Expect"), "100-continue")
		m.told = true
		return nil, first, nil
	}
	m.told = false
	m.done()
	return &Request{head.Method, head.URL.Path, head.Header, body, head.Close}, false, nil
}

// Plain looks at a request that is in whole and whose end is beyond doubt, without reading it: it gives the path behind its
// first slash, good until the next call of Room, and the bytes that the request takes. Anything out of the ordinary gives
// none: Next then reads it.
func (m *RequestReader) Plain() (path []byte, size int) {
	b := m.Bytes()
	if m.looked > 0 || !bytes.HasPrefix(b, []byte("POST /")) {
		return nil, 0
	}
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 || end > mostHead {
		return nil, 0
	}
	line, rest, _ := bytes.Cut(b[:end+2], []byte("\r\n"))
	path, version, ok := bytes.Cut(line[len("POST /"):], []byte(" "))
	if !ok || string(version) != "HTTP/1.1" {
		return nil, 0
	}
	length := -1
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(line, "\r\n\x00") || name[0] <= ' ' || name[len(name)-1] <= ' ' {
			return nil, 0
		}
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 17)
			if err != nil || length >= 0 || n > mostBody {
				return nil, 0
			}
			length = int(n)
		case bytes.EqualFold(name, []byte("transfer-encoding")), bytes.EqualFold(name, []byte("connection")), bytes.EqualFold(name, []byte("expect")):
			return nil, 0
		}
	}
	if size = end + 4 + length; length < 0 || len(b) < size {
		return nil, 0
	}
	return path, size
}

// once are the fields of a head that may not stand twice, as then it would mean several things.
var once = []string{"content-length", "transfer-encoding", "host", "req-id", "req-deadline", "req-owner", "expect", "connection"}

// soundHead looks at a head's own bytes, as http.ReadRequest mends or hides what leaves its end in doubt. Guards
// against: requests hidden in the body of another. Should also cover: whatever a front before this reads
// otherwise. Could hurt: clients that fold lines or repeat fields.
func soundHead(head []byte) error {
	lines := strings.Split(strings.TrimRight(string(head), "\r\n"), "\n")
	seen := map[string]string{}
	for _, line := range lines[1:] {
		line = strings.TrimSuffix(line, "\r")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
			return fault(http.StatusBadRequest, "a line of the head is no field: %.40q", line)
		}
		if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			return fault(http.StatusBadRequest, "the field %.40q holds what no field may", name)
		}
		name = strings.ToLower(name)
		if _, twice := seen[name]; twice && slices.Contains(once, name) {
			return fault(http.StatusBadRequest, "the field %s stands twice", name)
		}
		seen[name] = strings.Trim(value, " \t")
	}
	length, measured := seen["content-length"]
	encoding, coded := seen["transfer-encoding"]
	switch {
	case measured && coded:
		return fault(http.StatusBadRequest, "both Content-Length and Transfer-Encoding")
	case coded && !strings.EqualFold(encoding, "chunked"):
		return fault(http.StatusBadRequest, "no other Transfer-Encoding than chunked")
	case measured && (length == "" || strings.Trim(length, "0123456789") != ""):
		return fault(http.StatusBadRequest, "Content-Length is no number")
	case measured && len(strings.TrimLeft(length, "0")) > len(strconv.Itoa(mostBody)):
		return fault(http.StatusRequestEntityTooLarge, "the body is over %d bytes", mostBody)
	}
	return nil
}

// Query is what a client asks for.
type Query struct {
	ID         string
	Class      string
	Tenant     string        // who asks; empty: nobody says
	Deadline   time.Duration // from when it was sent
	Text       []byte
	Subqueries []Subquery
	TwoPhase   *TwoPhaseQuery // nil: none, or its track takes none
}

// TwoPhaseQuery is what a query says that it wants, where its text is something that replicas can bound (docs/phases.md).
type TwoPhaseQuery struct {
	Best *int `json:"best"` // so many by score; nil: all that match
}

// Subquery is one shard's part of a query.
type Subquery struct {
	Shard  int
	Weight float64
	Hint   time.Duration // 0: none
}

// ReadQuery makes a query of a request; longest is what its client may say that it waits, by track, questions which tracks
// take questions. An error is
// a Fault.
func ReadQuery(r *Request, longest map[string]time.Duration, questions map[string]bool) (*Query, error) {
	q := &Query{ID: r.Header.Get("Req-Id"), Tenant: r.Header.Get("Req-Owner")}
	q.Class, _, _ = strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	if !usableID(q.ID) {
		return nil, fault(http.StatusBadRequest, "Req-Id is missing or not of 1 to %d plain characters", mostID)
	}
	waits := r.Header.Get("Req-Deadline")
	seconds, err := strconv.ParseFloat(waits, 64)
	if err != nil || strings.Trim(waits, "0123456789.") != "" || !(seconds > 0 && seconds <= longest[q.Class].Seconds()) {
		return nil, fault(http.StatusBadRequest, "Req-Deadline is missing, or no number of seconds that can be meant")
	}
	q.Deadline = time.Duration(seconds * float64(time.Second))
	var body struct {
		Segments []struct {
			Segment  *int     `json:"segment"`
			Boost    *float64 `json:"boost"`
			Work     float64  `json:"work"`
			Affinity *string  `json:"affinity"`
		} `json:"segments"`
		Text     *string         `json:"text"`
		Question json.RawMessage `json:"question"`
	}
	// What is no UTF-8 would reach the replicas as something else.
	if !utf8.Valid(r.Body) {
		return nil, fault(http.StatusBadRequest, "the body is no UTF-8")
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, fault(http.StatusBadRequest, "the body is not the JSON of a query: %v", err)
	}
	if len(body.Segments) == 0 || body.Text == nil || *body.Text == "" || strings.ContainsRune(*body.Text, utf8.RuneError) {
		return nil, fault(http.StatusBadRequest, "the query has no segments or no usable text")
	}
	q.Text = []byte(*body.Text)
	if questions[q.Class] && body.Question != nil {
		in := json.NewDecoder(bytes.NewReader(body.Question))
		in.DisallowUnknownFields()
		if err := in.Decode(&q.TwoPhase); err != nil || q.TwoPhase == nil || q.TwoPhase.Best != nil && (*q.TwoPhase.Best < 0 || *q.TwoPhase.Best > mostBest) {
			return nil, fault(http.StatusBadRequest, "the question is none, or wants less than 0 or more than %d", mostBest)
		}
	}
	seen, sum := make(map[int]bool, len(body.Segments)), 0.0
	for n, s := range body.Segments {
		if s.Segment == nil || s.Boost == nil || *s.Segment < 0 || !(*s.Boost > 0 && *s.Boost <= 1+sharesOff) {
			return nil, fault(http.StatusBadRequest, "segments[%d] has no usable segment and boost", n)
		}
		if !(s.Work >= 0 && s.Work <= mostHint*1e6) || s.Affinity != nil && !isAffinity(*s.Affinity) {
			return nil, fault(http.StatusBadRequest, "segments[%d] has no usable work or affinity", n)
		}
		if seen[*s.Segment] {
			return nil, fault(http.StatusBadRequest, "segment %d stands twice", *s.Segment)
		}
		seen[*s.Segment] = true
		sum += *s.Boost
		q.Subqueries = append(q.Subqueries, Subquery{*s.Segment, *s.Boost, time.Duration(s.Work) * time.Microsecond})
	}
	// Shares that add up to more would let an answer pass for whole while parts are missing.
	if math.Abs(sum-1) > sharesOff {
		return nil, fault(http.StatusBadRequest, "the boosts add up to %g, not to 1", sum)
	}
	return q, nil
}

func isAffinity(s string) bool {
	return len(s) == 16 && strings.Trim(s, "0123456789abcdefABCDEF") == ""
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

// SubqueryValue is the value that a part brought, as the replica gave it.
type SubqueryValue struct {
	Segment int    `json:"segment"`
	Payload string `json:"payload"`
}

// CompleteResponse makes the response to a fulfilled query.
func CompleteResponse(whole bool, matches []SubqueryValue, last bool) []byte {
	var body bytes.Buffer
	e := json.NewEncoder(&body)
	e.SetEscapeHTML(false)
	if matches == nil {
		matches = []SubqueryValue{}
	}
	// Strings, numbers and truth values always encode.
	_ = e.Encode(struct {
		AllIn   bool            `json:"all_in"`
		Matches []SubqueryValue `json:"matches"`
	}{whole, matches})
	return Respond(fulfilled, "application/json", body.Bytes(), 0, last)
}

// RejectResponse makes the response to a query that is turned back.
func RejectResponse(comeBack time.Duration, words string, last bool) []byte {
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
