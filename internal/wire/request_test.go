package wire

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// requestsOf feeds bytes in pieces of a size and lists what comes out.
func requestsOf(text string, piece int) (got []string) {
	var reader RequestReader
	for len(text) > 0 {
		size := min(piece, len(text))
		reader.Feed([]byte(text[:size]))
		text = text[size:]
		for {
			request, _, err := reader.Next()
			if err != nil {
				var refused *ProtocolError
				if !errors.As(err, &refused) {
					return append(got, "no ProtocolError: "+err.Error())
				}
				return append(got, fmt.Sprint("fault ", refused.Status))
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

// hidden is a request with some fields and another one in what could be its body.
func hidden(fields string) string {
	return "POST /a HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n0\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\n\r\n"
}

// Requests come in pieces of any size, and some are made to hide a second one in what could be their body. The
// same comes out whatever the pieces; what leaves a request's end in doubt is refused.
func TestRequestsWholeAndSplit(t *testing.T) {
	const get, post = `GET /up "" close=false id=`, `POST /a "hello" close=false id=7`
	for name, test := range map[string]struct {
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
		"too long a head": {"GET /up HTTP/1.1\r\nX: " + strings.Repeat("y", MaxHead) + "\r\n\r\n", []string{"fault 431"}},
		"pipelined chunks": {strings.Repeat("POST /a HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nTrailer: t\r\n\r\n", 2) + "GET /up HTTP/1.1\r\nHost: x\r\n\r\n", []string{post, post, get}},
	} {
		for _, piece := range []int{1, 2, 3, 7, 64, 1 << 20} {
			if got := requestsOf(test.in, piece); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("%s in pieces of %d: %q, want %q", name, piece, got, test.want)
			}
		}
	}
}

// Bodies in chunks grow beyond the limit, in large chunks, in small ones or without an end. They are refused.
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

// A client waits for "100 Continue" before it sends the body. That is reported once.
func TestExpectationIsReportedOnce(t *testing.T) {
	var reader RequestReader
	reader.Feed([]byte("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	if _, expected, err := reader.Next(); !expected || err != nil {
		t.Fatalf("expected %t, error %v", expected, err)
	}
	reader.Feed([]byte("o"))
	if _, expected, _ := reader.Next(); expected {
		t.Error("told twice")
	}
	reader.Feed([]byte("k"))
	if request, _, _ := reader.Next(); request == nil || string(request.Body) != "ok" {
		t.Errorf("request %v", request)
	}
}

// Requests in pieces give the same as in one.
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

// What is rejected by its head alone ends where the reader of whole requests has it end, or is left to that.
func FuzzPeekSimple(f *testing.F) {
	f.Add("POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\n\r\nbodyPOST")
	f.Add("POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody")
	f.Add("POST /look HTTP/1.1\r\nContent-Length: 4\r\ncontent-length: 5\r\n\r\nbodyx")
	f.Add("POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: +4\r\n\r\nbody")
	f.Add("POST /look HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody")
	f.Add("POST /look HTTP/1.1\r\nX: a\r\n Content-Length: 9\r\nContent-Length: 4\r\n\r\nbody")
	f.Fuzz(func(t *testing.T, text string) {
		var quick, whole RequestReader
		quick.Feed([]byte(text))
		_, size := quick.PeekSimple()
		if size == 0 {
			return
		}
		whole.Feed([]byte(text))
		request, _, err := whole.Next()
		if err != nil {
			return
		}
		if request == nil || len(text)-whole.Buffered() != size {
			t.Errorf("%q: PeekSimple takes %d bytes, whole leaves %d of %d", text, size, whole.Buffered(), len(text))
		}
	})
}
