package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// requestsOf feeds bytes in pieces of a size and lists what comes out.
func requestsOf(text string, piece int) (got []string) {
	var m RequestReader
	for len(text) > 0 {
		n := min(piece, len(text))
		m.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			r, _, err := m.Next()
			if err != nil {
				var f *Fault
				if !errors.As(err, &f) {
					return append(got, "no fault: "+err.Error())
				}
				return append(got, fmt.Sprint("fault ", f.Status))
			}
			if r == nil {
				break
			}
			got = append(got, fmt.Sprintf("%s %s %q close=%t id=%s", r.Method, r.Path, r.Body, r.Close, r.Header.Get("Req-Id")))
		}
	}
	return got
}

// hidden is a request with some fields and another one in what could be its body.
func hidden(fields string) string {
	return "POST /a HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n0\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\n\r\n"
}

func TestRequestsWholeAndSplit(t *testing.T) {
	const get, post = `GET /up "" close=false id=`, `POST /a "hello" close=false id=7`
	for name, c := range map[string]struct {
		in   string
		want []string
	}{
		"no body":         {"GET /up HTTP/1.1\r\nHost: x\r\n\r\n", []string{get}},
		"a length":        {"POST /a HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nContent-Length: 5\r\n\r\nhello", []string{post}},
		"both lengths":    {hidden("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), []string{"fault 400"}},
		"lengths twice":   {hidden("Content-Length: 5\r\nContent-Length: 5\r\n"), []string{"fault 400"}},
		"two lengths":     {hidden("Content-Length: 5, 5\r\n"), []string{"fault 400"}},
		"a signed length": {hidden("Content-Length: +5\r\n"), []string{"fault 400"}},
		"a huge length":   {hidden("Content-Length: 99999999999999999999\r\n"), []string{"fault 413"}},
		"another coding":  {hidden("Transfer-Encoding: chunked, identity\r\n"), []string{"fault 400"}},
		"a folded line":   {hidden("Transfer-Encoding:\r\n chunked\r\n"), []string{"fault 400"}},
		"a space before":  {hidden("Content-Length : 5\r\n"), []string{"fault 400"}},
		"a bare return":   {hidden("X: y\rContent-Length: 5\r\n"), []string{"fault 400"}},
		"ids twice":       {hidden("Req-Id: 7\r\nreq-id: 8\r\nContent-Length: 5\r\n"), []string{"fault 400"}},
		"no field":        {hidden("what\r\n"), []string{"fault 400"}},
		"bare line ends":  {"POST /a HTTP/1.1\nHost: x\nreq-id: 7\ncontent-length: 5\n\nhello", []string{post}},
		"blank lines":     {"\r\n\r\nGET /up HTTP/1.1\r\nHost: x\r\n\r\n", []string{get}},
		"a cut one":       {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhell", nil},
		"an early end":    {"GET /up HTTP/1.1\r\nHost: x\r\n", nil},
		"HTTP/1.0":        {"GET /up HTTP/1.0\r\n\r\n", []string{`GET /up "" close=true id=`}},
		"asked to close":  {"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", []string{`GET /up "" close=true id=`}},
		"no HTTP":         {"hello\r\n\r\n", []string{"fault 400"}},
		"a bad length":    {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", []string{"fault 400"}},
		"a bad chunk":     {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", []string{"fault 400"}},
		"too long a body": {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 65537\r\n\r\n", []string{"fault 413"}},
		"too long a head": {"GET /up HTTP/1.1\r\nX: " + strings.Repeat("y", mostHead) + "\r\n\r\n", []string{"fault 431"}},
		"pipelined chunks": {strings.Repeat("POST /a HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nTrailer: t\r\n\r\n", 2) + "GET /up HTTP/1.1\r\nHost: x\r\n\r\n", []string{post, post, get}},
	} {
		for _, piece := range []int{1, 2, 3, 7, 64, 1 << 20} {
			if got := requestsOf(c.in, piece); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("%s in pieces of %d: %q, want %q", name, piece, got, c.want)
			}
		}
	}
}

func TestBodiesBeyondTheLimitInChunksAreRefused(t *testing.T) {
	head := "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"whole":              head + "10001\r\n" + strings.Repeat("y", 0x10001) + "\r\n0\r\n\r\n",
		"without an end":     head + strings.Repeat("1000\r\n"+strings.Repeat("y", 0x1000)+"\r\n", 40),
		"in smallest chunks": head + strings.Repeat("1\r\ny\r\n", 0x8000),
	} {
		if got := requestsOf(text, 4096); fmt.Sprint(got) != "[fault 413]" {
			t.Errorf("%s: %.100q", name, got)
		}
	}
}

func TestExpectingClientIsToldOnce(t *testing.T) {
	var m RequestReader
	m.Feed([]byte("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	if _, expected, err := m.Next(); !expected || err != nil {
		t.Fatalf("expected %t, error %v", expected, err)
	}
	m.Feed([]byte("o"))
	if _, expected, _ := m.Next(); expected {
		t.Error("told twice")
	}
	m.Feed([]byte("k"))
	if r, _, _ := m.Next(); r == nil || string(r.Body) != "ok" {
		t.Errorf("request %v", r)
	}
}

func FuzzRequestsSplitAnywhere(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET /up HTTP/1.1\r\n\r\n", 3)
	f.Add("POST /a HTTP/1.1\nTransfer-Encoding: chunked\n\n1\na\n0\n\nGET / HTTP/1.1\n\n", 1)
	f.Add("\r\n\n\r\nGET", 2)
	f.Add(hidden("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), 9)
	f.Add(hidden("Transfer-Encoding: chunked\r\n"), 5)
	f.Add("0 /0 HTTP/1.1\nTrAnsfer-EnCoding: Chunked \n\r\n0\r\n\r\n", 5)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if len(text) > 4096 {
			t.Skip()
		}
		split, whole := requestsOf(text, 1+piece&0xff), requestsOf(text, len(text)+1)
		if fmt.Sprint(split) != fmt.Sprint(whole) {
			t.Errorf("%q: in pieces of %d %q, whole %q", text, 1+piece&0xff, split, whole)
		}
	})
}

func TestQueries(t *testing.T) {
	const good = `{"segments":[{"segment":3,"boost":0.5,"work":9000,"affinity":"00aa00aa00aa00aa"},{"segment":9,"boost":0.5}],"text":"c4\n\u00e9"}`
	ask := func(id, deadline, body string) (*Query, error) {
		h := http.Header{}
		h.Set("Req-Id", id)
		h.Set("Req-Deadline", deadline)
		h.Set("Req-Owner", "a, b")
		return ReadQuery(&Request{Method: "POST", Path: "/checkout/x", Header: h, Body: []byte(body)},
			map[string]time.Duration{"checkout": 10 * time.Second}, nil)
	}
	q, err := ask("9b1f", "0.480", good)
	if err != nil || q.Class != "checkout" || q.Tenant != "a, b" || q.Deadline != 480*time.Millisecond || string(q.Text) != "c4\né" ||
		len(q.Subqueries) != 2 || q.Subqueries[0] != (Subquery{3, 0.5, 9 * time.Millisecond}) || q.Subqueries[1].Hint != 0 {
		t.Errorf("%+v, %v", q, err)
	}
	for name, c := range map[string][3]string{
		"no id":               {"", "1", good},
		"an id with a space":  {"a b", "1", good},
		"an id with an end":   {"a\nb", "1", good},
		"an id beyond ASCII":  {"é", "1", good},
		"a long id":           {strings.Repeat("a", mostID+1), "1", good},
		"no deadline":         {"a", "", good},
		"a deadline of 0":     {"a", "0", good},
		"no number":           {"a", "soon", good},
		"NaN":                 {"a", "NaN", good},
		"an endless deadline": {"a", "Inf", good},
		"hexadecimal":         {"a", "0x1p0", good},
		"a power":             {"a", "1e0", good},
		"a sign":              {"a", "+1", good},
		"longer than meant":   {"a", "10.001", good},
		"work below 0":        {"a", "1", `{"segments":[{"segment":1,"boost":1,"work":-1}],"text":"x"}`},
		"no affinity":         {"a", "1", `{"segments":[{"segment":1,"boost":1,"affinity":"00\n"}],"text":"x"}`},
		"a share of 0":        {"a", "1", `{"segments":[{"segment":1,"boost":1},{"segment":2,"boost":0}],"text":"x"}`},
		"an empty text":       {"a", "1", `{"segments":[{"segment":1,"boost":1}],"text":""}`},
		"half a character":    {"a", "1", `{"segments":[{"segment":1,"boost":1}],"text":"\ud800"}`},
		"no UTF-8":            {"a", "1", `{"segments":[{"segment":1,"boost":1}],"text":"` + "\xff" + `"}`},
		"no body":             {"a", "1", ""},
		"no JSON":             {"a", "1", "{"},
		"no segments":         {"a", "1", `{"segments":[],"text":"x"}`},
		"no text":             {"a", "1", `{"segments":[{"segment":1,"boost":1}]}`},
		"one twice":           {"a", "1", `{"segments":[{"segment":1,"boost":1},{"segment":1,"boost":1}],"text":"x"}`},
		"no number of one":    {"a", "1", `{"segments":[{"boost":1}],"text":"x"}`},
		"below 0":             {"a", "1", `{"segments":[{"segment":-1,"boost":1}],"text":"x"}`},
		"shares over 1":       {"a", "1", `{"segments":[{"segment":1,"boost":1},{"segment":2,"boost":1}],"text":"x"}`},
		"shares under 1":      {"a", "1", `{"segments":[{"segment":1,"boost":0.5}],"text":"x"}`},
		"endless shares":      {"a", "1", `{"segments":[{"segment":1,"boost":1e308},{"segment":2,"boost":1e308}],"text":"x"}`},
		"no boost":            {"a", "1", `{"segments":[{"segment":1}],"text":"x"}`},
		"not a whole number":  {"a", "1", `{"segments":[{"segment":1.5,"boost":1}],"text":"x"}`},
	} {
		var f *Fault
		if q, err := ask(c[0], c[1], c[2]); !errors.As(err, &f) || f.Status != http.StatusBadRequest || f.Words == "" {
			t.Errorf("%s: %v, %v", name, q, err)
		}
	}
}

func TestAnswers(t *testing.T) {
	got := string(CompleteResponse(false, []SubqueryValue{{3, "5be<&"}}, true))
	for _, want := range []string{"HTTP/1.1 200 OK\r\n", "Connection: close\r\n",
		`{"all_in":false,"matches":[{"segment":3,"payload":"5be<&"}]}`} {
		if !strings.Contains(got, want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
	if got := string(RejectResponse(250*time.Millisecond, "x", false)); !strings.HasPrefix(got, "HTTP/1.1 503 ") ||
		!strings.Contains(got, "Retry-After: 0.250\r\n") {
		t.Errorf("%q", got)
	}
}

func listingsOf(text string, piece int) (got []string) {
	var m EndpointListReader
	for len(text) > 0 {
		n := min(piece, len(text))
		m.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			l, last, err := m.Next()
			if err != nil {
				return append(got, "error")
			}
			if l == nil {
				break
			}
			got = append(got, fmt.Sprint(l.Rev, l.All, len(l.Targets), last))
		}
	}
	return got
}

func TestListingsWholeAndSplit(t *testing.T) {
	const one = `{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"1:2","az":"a","pod_group":3,"state":"ready","boot_ms":0}]}`
	respond := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	for name, c := range map[string]struct{ in, want string }{
		"two": {respond("200 OK", one) + respond("200 OK", `{"rev":42,"all":false,"targets":[]}`),
			"[41 true 1 false 42 false 0 false]"},
		"in chunks": {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			len(one), one), "[41 true 1 true]"},
		"an error":  {respond("500 no", one), "[error]"},
		"no length": {"HTTP/1.1 200 OK\r\n\r\n" + one, "[]"}, // it is not known to be whole
		"endless":   {"HTTP/1.1 200 OK\r\n\r\n" + one + strings.Repeat(" ", mostBody), "[error]"},
		"no JSON":   {respond("200 OK", "{"), "[error]"},
		"gone":      {respond("200 OK", `{"rev":43,"all":false,"targets":[{"uid":"s-1","state":"gone"}]}`), "[43 false 1 false]"},
	} {
		for _, piece := range []int{1, 5, 1 << 20} {
			if got := fmt.Sprint(listingsOf(c.in, piece)); got != c.want {
				t.Errorf("%s in pieces of %d: %s, want %s", name, piece, got, c.want)
			}
		}
	}
}

// An answer that states no length is whole once its connection has ended in order, and not before.
func TestListingWithoutALengthEndsWithItsConnection(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\n\r\n{\"rev\":4,\n \"all\":true,\"targets\":[]}\n": "4 true true",
		"HTTP/1.0 200 OK\r\n\r\n{\"rev\":4,\"all\":true,\"targets\":[]}":      "4 true true",
		"HTTP/1.1 200 OK\r\n\r\n{\"rev\":4,\"all\":true,\"targets\":[":        "error",
		"HTTP/1.1 200 OK\r\n\r\n": "error",
		"HTTP/1.1 200 OK\r\n":     "none",
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\":4,\"all\":true,\"targets\":[]}": "none",
	} {
		var m EndpointListReader
		m.Feed([]byte(text))
		if l, _, err := m.Next(); l != nil || err != nil {
			t.Errorf("%q before its end: %v, %v", text, l, err)
		}
		m.ConnClosed()
		got := "none"
		if l, last, err := m.Next(); err != nil {
			got = "error"
		} else if l != nil {
			got = fmt.Sprint(l.Rev, l.All, last)
		}
		if got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}

func TestOddTargetsCostOnlyThemselves(t *testing.T) {
	var l EndpointList
	if err := json.Unmarshal([]byte(`{"targets":[{"uid":"a","endpoint":"1:2","pod_group":3,"state":"ready"},
		{"uid":"b","endpoint":"1:2","pod_group":3,"state":"odd"},{"uid":"","state":"gone"},
		{"uid":"c","pod_group":3,"state":"ready"},{"uid":"d","endpoint":"1:2","state":"ready"},{"uid":"e","state":"gone"}]}`), &l); err != nil {
		t.Fatal(err)
	}
	odd, got := l.DropUnusable(), ""
	for _, target := range l.Targets {
		got += target.UID + ":" + target.State + " "
	}
	if got != "a:ready b:draining e:gone " || len(odd) != 4 {
		t.Errorf("%s, odd %q", got, odd)
	}
}

func FuzzListings(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n{\"rev\":1,\"all\":true,\"targets\":[]}", 4)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if len(text) > 4096 {
			t.Skip()
		}
		if a, b := listingsOf(text, 1+piece&0xff), listingsOf(text, len(text)+1); fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("%q: %q split, %q whole", text, a, b)
		}
	})
}

// repliesOf feeds frames in pieces and lists what comes out.
func repliesOf(b []byte, piece int) (got []string) {
	var m ReplyReader
	for len(b) > 0 {
		n := min(piece, len(b))
		m.Feed(b[:n])
		b = b[n:]
		for {
			r, err := m.Next()
			if err != nil {
				return append(got, "error")
			}
			if r == nil {
				break
			}
			got = append(got, fmt.Sprintf("%s %s %q", r.ID, r.End, r.Value))
		}
	}
	return got
}

func frameOf(letter byte, rest string) []byte {
	b, at := begin(nil, letter)
	return finish(append(b, rest...), at)
}

func TestRepliesWholeAndSplit(t *testing.T) {
	ok := frameOf('Y', "9b1f.3 OK 1840277719 inflight=7,util=0.61\n5b\ne2")
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"two":            {append(ok, frameOf('Y', "a.1 REJECTED 0 -\n")...), `[9b1f.3 OK "5b\ne2" a.1 REJECTED ""]`},
		"an error":       {frameOf('Y', "a.1 ERROR 0 -\n"), `[a.1 ERROR ""]`},
		"a cut one":      {ok[:len(ok)-1], "[]"},
		"no line end":    {frameOf('Y', "a.1 OK 0 -"), "[error]"},
		"a wordy report": {frameOf('Y', "a.1 OK 0 busy, very\nx"), `[a.1 OK "x"]`},
		"three words":    {frameOf('Y', "a.1 OK 0\nx"), "[error]"},
		"no id":          {frameOf('Y', " OK 0 -\nx"), "[error]"},
		"unknown end":    {frameOf('Y', "a.1 FINE 0 -\nx"), "[error]"},
		"refused":        {frameOf('N', "what is this"), "[error]"},
		"unknown":        {frameOf('Q', ""), "[error]"},
		"length 0":       {make([]byte, 4), "[error]"},
		"length beyond":  {[]byte{0xff, 0xff, 0xff, 0xff}, "[error]"},
	} {
		for _, piece := range []int{1, 3, 1 << 20} {
			if got := fmt.Sprint(repliesOf(c.in, piece)); got != c.want {
				t.Errorf("%s in pieces of %d: %s, want %s", name, piece, got, c.want)
			}
		}
	}
}

func FuzzReplies(f *testing.F) {
	f.Add(frameOf('Y', "a.1 OK 0 -\nx"), 2)
	f.Add([]byte{0, 0, 0, 1, 'N'}, 1)
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		if a, w := repliesOf(b, 1+piece&0xff), repliesOf(b, len(b)+1); fmt.Sprint(a) != fmt.Sprint(w) {
			t.Errorf("%q: %q split, %q whole", b, a, w)
		}
	})
}

func TestFramesSent(t *testing.T) {
	b := AppendCall(nil, SubqueryCall{"9b1f.3", 3, 240, []byte("c41e77d0")}, SubqueryCall{"9b1f.4", 4, 240, []byte("x")})
	b = AppendAbandon(b, "9b1f.3")
	want := "\x00\x00\x00\x36R9b1f.3 3 d=240 8\nc41e77d09b1f.4 4 d=240 1\nx" + "\x00\x00\x00\x07A9b1f.3"
	want = strings.Replace(want, "\x36", string(rune(len("R9b1f.3 3 d=240 8\nc41e77d09b1f.4 4 d=240 1\nx"))), 1)
	if string(b) != want {
		t.Errorf("%q, want %q", b, want)
	}
}

func TestBufferLetsGoOfWhatItGrewFor(t *testing.T) {
	var b Buffer
	b.Feed(make([]byte, 4*keptRoom))
	b.Consume(4 * keptRoom)
	if b.Free(); cap(b.data) > keptRoom {
		t.Errorf("an empty buffer keeps %d bytes", cap(b.data))
	}
}

// What is turned back by its head alone ends where the reader of whole requests has it end, or is left to that.
func FuzzPlain(f *testing.F) {
	f.Add("POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\n\r\nbodyPOST")
	f.Add("POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody")
	f.Add("POST /look HTTP/1.1\r\nContent-Length: 4\r\ncontent-length: 5\r\n\r\nbodyx")
	f.Add("POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: +4\r\n\r\nbody")
	f.Add("POST /look HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody")
	f.Add("POST /look HTTP/1.1\r\nX: a\r\n Content-Length: 9\r\nContent-Length: 4\r\n\r\nbody")
	f.Fuzz(func(t *testing.T, text string) {
		var quick, whole RequestReader
		quick.Feed([]byte(text))
		_, size := quick.Plain()
		if size == 0 {
			return
		}
		whole.Feed([]byte(text))
		if r, _, err := whole.Next(); err == nil && r == nil || err == nil && len(text)-whole.Buffered() != size {
			t.Errorf("%q: plain takes %d bytes, whole leaves %d of %d", text, size, whole.Buffered(), len(text))
		}
	})
}

func TestBusyOfReports(t *testing.T) {
	for report, want := range map[string]float64{
		"inflight=7,util=0.61": 0.61, "active=1,rps=2.5,cpu=0.430": 0.43, "cpu=1.04": 1, "util=-0.01": 0,
		"-": -1, "": -1, "inflight=7": -1, "cpu=": -1, "cpu=NaN": -1, "cpu=1e9": -1, "cpu=-50": -1, "busy, very": -1, "cpu": -1,
	} {
		if got := LoadReported(report, "="); got != want {
			t.Errorf("%q: %v, want %v", report, got, want)
		}
	}
}
