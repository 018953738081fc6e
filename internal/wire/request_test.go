package wire

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// requestsOf feeds bytes in pieces of a size and returns the requests read, with "fault" and the status last after an
// error.
func requestsOf(text string, piece int) (got []string) {
	var reader RequestReader
	for len(text) > 0 {
		size := min(piece, len(text))
		reader.Feed([]byte(text[:size]))
		text = text[size:]
		for {
			request, _, err := reader.Next()
			if err != nil {
				var rejection *ProtocolError
				if !errors.As(err, &rejection) {
					return append(got, "not a ProtocolError: "+err.Error())
				}
				return append(got, fmt.Sprint("fault ", rejection.Status))
			}
			if request == nil {
				break
			}
			id := request.Header.Get("Req-Id")
			line := fmt.Sprintf("%s %s %q close=%t id=%s", request.Method, request.Path, request.Body, request.Close, id)
			got = append(got, line)
		}
	}
	return got
}

// smuggled returns a request with the given fields, followed by a second request in what may be its body.
func smuggled(fields string) string {
	return "POST /a HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n0\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\n\r\n"
}

// Requests are read in pieces of several sizes, and some hide a second one in what may be their body. The result must
// not depend on the pieces; a request whose end is ambiguous is rejected.
func TestRequestsWholeAndSplit(t *testing.T) {
	const get, post = `GET /up "" close=false id=`, `POST /a "hello" close=false id=7`
	for name, test := range map[string]struct {
		input string
		want  []string
	}{
		"no body":         {"GET /up HTTP/1.1\r\nHost: x\r\n\r\n", []string{get}},
		"a length":        {"POST /a HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nContent-Length: 5\r\n\r\nhello", []string{post}},
		"both lengths":    {smuggled("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), []string{"fault 400"}},
		"equal lengths":   {smuggled("Content-Length: 5\r\nContent-Length: 5\r\n"), []string{"fault 400"}},
		"two lengths":     {smuggled("Content-Length: 5, 5\r\n"), []string{"fault 400"}},
		"a signed length": {smuggled("Content-Length: +5\r\n"), []string{"fault 400"}},
		"a huge length":   {smuggled("Content-Length: 99999999999999999999\r\n"), []string{"fault 413"}},
		"another coding":  {smuggled("Transfer-Encoding: chunked, identity\r\n"), []string{"fault 400"}},
		"a folded line":   {smuggled("Transfer-Encoding:\r\n chunked\r\n"), []string{"fault 400"}},
		"space in a name": {smuggled("Content-Length : 5\r\n"), []string{"fault 400"}},
		"a bare CR":       {smuggled("X: y\rContent-Length: 5\r\n"), []string{"fault 400"}},
		"duplicate ids":   {smuggled("Req-Id: 7\r\nreq-id: 8\r\nContent-Length: 5\r\n"), []string{"fault 400"}},
		"a bad field":     {smuggled("what\r\n"), []string{"fault 400"}},
		"bare line feeds": {"POST /a HTTP/1.1\nHost: x\nreq-id: 7\ncontent-length: 5\n\nhello", []string{post}},
		"blank lines":     {"\r\n\r\nGET /up HTTP/1.1\r\nHost: x\r\n\r\n", []string{get}},
		"a partial body":  {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhell", nil},
		"a partial head":  {"GET /up HTTP/1.1\r\nHost: x\r\n", nil},
		"HTTP/1.0":        {"GET /up HTTP/1.0\r\n\r\n", []string{`GET /up "" close=true id=`}},
		"asked to close": {"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
			[]string{`GET /up "" close=true id=`}},
		"not HTTP":     {"hello\r\n\r\n", []string{"fault 400"}},
		"a bad length": {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", []string{"fault 400"}},
		"a bad chunk": {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
			[]string{"fault 400"}},
		"a large body": {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 65537\r\n\r\n",
			[]string{"fault 413"}},
		"a large head": {"GET /up HTTP/1.1\r\nX: " + strings.Repeat("y", MaxHead) + "\r\n\r\n",
			[]string{"fault 431"}},
		"pipelined chunks": {strings.Repeat("POST /a HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nTrailer: t\r\n\r\n", 2) + "GET /up HTTP/1.1\r\nHost: x\r\n\r\n",
			[]string{post, post, get}},
	} {
		for _, piece := range []int{1, 2, 3, 7, 64, 1 << 20} {
			if got := requestsOf(test.input, piece); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("%s in pieces of %d: %q, want %q", name, piece, got, test.want)
			}
		}
	}
}

// Chunked bodies over the limit are rejected: with large chunks, with the smallest, and without an end.
func TestOversizedChunkedBodiesAreRejected(t *testing.T) {
	head := "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"complete":           head + "10001\r\n" + strings.Repeat("y", 0x10001) + "\r\n0\r\n\r\n",
		"without an end":     head + strings.Repeat("1000\r\n"+strings.Repeat("y", 0x1000)+"\r\n", 40),
		"in smallest chunks": head + strings.Repeat("1\r\ny\r\n", 0x8000),
	} {
		if got := requestsOf(text, 4096); fmt.Sprint(got) != "[fault 413]" {
			t.Errorf("%s: %.100q", name, got)
		}
	}
}

// Next reports only once that a client waits for "100 Continue" before it sends the body.
func TestExpectationIsReportedOnce(t *testing.T) {
	var reader RequestReader
	reader.Feed([]byte("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	if _, expected, err := reader.Next(); !expected || err != nil {
		t.Fatalf("expected %t, error %v", expected, err)
	}
	reader.Feed([]byte("o"))
	if _, expected, _ := reader.Next(); expected {
		t.Error("reported twice")
	}
	reader.Feed([]byte("k"))
	if request, _, _ := reader.Next(); request == nil || string(request.Body) != "ok" {
		t.Errorf("request %v", request)
	}
}

// Requests do not depend on how their bytes are split.
func FuzzRequestsSplitAnywhere(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET /up HTTP/1.1\r\n\r\n", 3)
	f.Add("POST /a HTTP/1.1\nTransfer-Encoding: chunked\n\n1\na\n0\n\nGET / HTTP/1.1\n\n", 1)
	f.Add("\r\n\n\r\nGET", 2)
	f.Add(smuggled("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), 9)
	f.Add(smuggled("Transfer-Encoding: chunked\r\n"), 5)
	f.Add("0 /0 HTTP/1.1\nTrAnsfer-EnCoding: Chunked \n\r\n0\r\n\r\n", 5)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if len(text) > 4096 {
			t.Skip()
		}
		got, want := requestsOf(text, 1+piece&0xff), requestsOf(text, len(text)+1)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%q: in pieces of %d %q, in one piece %q", text, 1+piece&0xff, got, want)
		}
	})
}

// For a request that PeekSimple accepts, Next either finds the same end or returns an error. The server rejects
// requests by PeekSimple alone, and a wrong end would make it parse a part of a body as the next request.
func FuzzPeekSimple(f *testing.F) {
	f.Add("POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\n\r\nbodyPOST")
	f.Add("POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody")
	f.Add("POST /look HTTP/1.1\r\nContent-Length: 4\r\ncontent-length: 5\r\n\r\nbodyx")
	f.Add("POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: +4\r\n\r\nbody")
	f.Add("POST /look HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody")
	f.Add("POST /look HTTP/1.1\r\nX: a\r\n Content-Length: 9\r\nContent-Length: 4\r\n\r\nbody")
	f.Fuzz(func(t *testing.T, text string) {
		var peeking, parsing RequestReader
		peeking.Feed([]byte(text))
		_, size := peeking.PeekSimple()
		if size == 0 {
			return
		}
		parsing.Feed([]byte(text))
		request, _, err := parsing.Next()
		if err != nil {
			return
		}
		if request == nil || len(text)-parsing.Buffered() != size {
			t.Errorf("%q: PeekSimple takes %d bytes, Next leaves %d of %d", text, size, parsing.Buffered(), len(text))
		}
	})
}
