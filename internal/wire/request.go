package wire

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// RequestReader parses a client's requests from the bytes of a connection.
type RequestReader struct {
	messageReader
	continueReported bool // Next has reported that the client expects "100 Continue"
}

// Request is one complete request.
type Request struct {
	Method string
	Path   string
	Header http.Header // only the fields that have a meaning here
	Body   []byte
	Close  bool // the connection is to be closed after the response
}

// Class returns the class of a query, which is the first element of the path.
func (request *Request) Class() string {
	class, _, _ := strings.Cut(strings.TrimPrefix(request.Path, "/"), "/")
	return class
}

// Next returns the next request, or nil without an error if more bytes are needed. expectsContinue reports, once for
// each request, that the client waits for "100 Continue" before it sends the body. An error is a ProtocolError, after
// which the connection cannot be used any further.
func (reader *RequestReader) Next() (request *Request, expectsContinue bool, err error) {
	if ready, err := reader.mayBeComplete(); err != nil || !ready {
		return nil, false, err
	}
	relevant, err := checkHead(reader.head())
	if err != nil {
		return nil, false, err
	}
	head, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(relevant)))
	if err != nil {
		return nil, false, badRequest("no HTTP request: %v", err)
	}
	body, err := reader.body(head.ContentLength, head.TransferEncoding)
	if err != nil {
		return nil, false, err
	}
	if body == nil {
		expectsContinue = !reader.continueReported && strings.EqualFold(head.Header.Get("Expect"), "100-continue")
		reader.continueReported = true
		return nil, expectsContinue, nil
	}
	reader.continueReported = false
	reader.finish()
	request = &Request{Method: head.Method, Path: head.URL.Path, Header: head.Header, Body: body, Close: head.Close}
	return request, false, nil
}

// PeekSimple inspects the next request without parsing or consuming it. If the request is complete and its end is
// unambiguous, PeekSimple returns its path without the leading slash, valid until the next call of FreeSpace, and its
// size in bytes. Otherwise the size is 0, and the caller has to use Next.
func (reader *RequestReader) PeekSimple() (path []byte, size int) {
	buffered := reader.Bytes()
	if reader.scanned > 0 || !bytes.HasPrefix(buffered, []byte("POST /")) {
		return nil, 0
	}
	end := bytes.Index(buffered, []byte("\r\n\r\n"))
	if end < 0 || end > MaxHead {
		return nil, 0
	}
	requestLine, fields, _ := bytes.Cut(buffered[:end+2], []byte("\r\n"))
	path, version, ok := bytes.Cut(requestLine[len("POST /"):], []byte(" "))
	if !ok || string(version) != "HTTP/1.1" {
		return nil, 0
	}
	length, ok := simpleLength(fields)
	if !ok {
		return nil, 0
	}
	size = end + len("\r\n\r\n") + length
	if len(buffered) < size {
		return nil, 0
	}
	return path, size
}

// simpleLength returns the length of the body that the fields of a head state, if they state it exactly once and no
// other field affects where the request ends.
func simpleLength(fields []byte) (length int, ok bool) {
	length = -1
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isSimpleName(name) || bytes.ContainsAny(line, "\r\n\x00") {
			return 0, false
		}
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			stated, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 17)
			if err != nil || length >= 0 || stated > MaxBody {
				return 0, false
			}
			length = int(stated)
		case bytes.EqualFold(name, []byte("transfer-encoding")),
			bytes.EqualFold(name, []byte("connection")),
			bytes.EqualFold(name, []byte("expect")):
			return 0, false
		}
	}
	return length, length >= 0
}

// isSimpleName reports whether a field's name has no white space at its ends. Some servers treat such white space as
// part of the name.
func isSimpleName(name []byte) bool {
	return len(name) > 0 && name[0] > ' ' && name[len(name)-1] > ' '
}
