package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
)

const (
	mostHead = 16 << 10 // bytes of a message's head
	mostBody = 64 << 10 // bytes of a body, as the protocol says
)

// Fault is a message that cannot be used, with the status that says so.
type Fault struct {
	Status int
	Words  string
}

func (f *Fault) Error() string { return f.Words }

func fault(status int, format string, args ...any) *Fault {
	return &Fault{status, fmt.Sprintf(format, args...)}
}

// messages cuts HTTP messages out of a buffer.
type messages struct {
	Buffer
	headEnd int  // once it is in
	chunked bool // the body's length is not known before its end
	wanted  int  // bytes that must be in before a look is worth it
	looked  int  // bytes at the last look
}

// due tells whether a whole message may be in.
func (m *messages) due() (bool, error) {
	b := m.bytes()
	if m.headEnd == 0 {
		for m.looked == 0 && len(b) > 0 && (b[0] == '\r' || b[0] == '\n') { // blank lines before a message
			m.use(1)
			b = m.bytes()
		}
		from := max(0, m.looked-3)
		end := headEnd(b[from:])
		if m.looked = len(b); end == 0 {
			if len(b) > mostHead {
				return false, fault(http.StatusRequestHeaderFieldsTooLarge, "the head is over %d bytes", mostHead)
			}
			return false, nil
		}
		if m.headEnd = from + end; m.headEnd > mostHead {
			return false, fault(http.StatusRequestHeaderFieldsTooLarge, "the head is over %d bytes", mostHead)
		}
		return true, nil
	}
	if m.chunked {
		from := max(0, m.looked-3)
		m.looked = len(b)
		return headEnd(b[from:]) > 0 || len(b) > m.headEnd+2*mostBody, nil
	}
	return len(b) >= m.wanted, nil
}

// headEnd is where the first empty line after a line ends, 0 if there is none.
func headEnd(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
		switch rest := b[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
}

// body reads what follows a head; nil without an error means that more must come in first.
func (m *messages) body(from io.Reader, length int64, encoding []string) ([]byte, error) {
	if length > mostBody {
		return nil, fault(http.StatusRequestEntityTooLarge, "the body is over %d bytes", mostBody)
	}
	m.chunked = slices.Contains(encoding, "chunked")
	m.wanted = m.headEnd + int(max(0, length))
	if !m.chunked && len(m.bytes()) < m.wanted {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(from, mostBody+1))
	switch {
	case len(body) > mostBody || err == nil && m.Waiting() > m.headEnd+2*mostBody && m.chunked:
		return nil, fault(http.StatusRequestEntityTooLarge, "the body is over %d bytes", mostBody)
	case errors.Is(err, io.ErrUnexpectedEOF) && m.Waiting() > m.headEnd+2*mostBody:
		return nil, fault(http.StatusRequestEntityTooLarge, "the body's chunks are over %d bytes", 2*mostBody)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, nil
	case err != nil:
		return nil, fault(http.StatusBadRequest, "the body cannot be read: %v", err)
	case body == nil:
		body = []byte{}
	}
	return body, nil
}

// done uses up a message of which so much is left unread.
func (m *messages) done(in *bytes.Reader, ahead *bufio.Reader) {
	m.use(m.Waiting() - in.Len() - ahead.Buffered())
	m.headEnd, m.chunked, m.wanted, m.looked = 0, false, 0, 0
}
