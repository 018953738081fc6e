package wire

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

const (
	mostHead = 16 << 10 // bytes of a message's head
	mostBody = 64 << 10 // bytes of a body, as the protocol says
	mostLine = 1 << 10  // bytes of the line before a chunk
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
	wanted  int  // bytes that must be in before a look is worth it
	looked  int  // bytes at the last look
	chunked bool // the body's length is not known before its end
	end     int  // of the chunks read so far
	last    bool // the empty chunk is in
	chunks  []byte
}

// due tells whether a whole message may be in.
func (m *messages) due() (bool, error) {
	b := m.Bytes()
	if m.headEnd == 0 {
		for m.looked == 0 && len(b) > 0 && (b[0] == '\r' || b[0] == '\n') { // blank lines before a message
			m.Consume(1)
			b = m.Bytes()
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
		return m.readChunks()
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

// body gives what follows a head; nil without an error means that more must come in first.
func (m *messages) body(length int64, encoding []string) ([]byte, error) {
	if length > mostBody {
		return nil, fault(http.StatusRequestEntityTooLarge, "the body is over %d bytes", mostBody)
	}
	if !slices.Contains(encoding, "chunked") {
		m.wanted = m.headEnd + int(max(0, length))
		if len(m.Bytes()) < m.wanted {
			return nil, nil
		}
		return append([]byte{}, m.Bytes()[m.headEnd:m.wanted]...), nil
	}
	if !m.chunked {
		m.chunked, m.end, m.chunks = true, m.headEnd, []byte{}
		if whole, err := m.readChunks(); err != nil || !whole {
			return nil, err
		}
	}
	m.wanted = m.end
	return m.chunks, nil
}

// readChunks reads on where the last look ended and tells whether the body is whole. What stands behind the last
// chunk, and behind a chunk's length, is skipped.
func (m *messages) readChunks() (whole bool, err error) {
	for {
		b := m.Bytes()[m.end:]
		if m.end-m.headEnd > 2*mostBody {
			return false, fault(http.StatusRequestEntityTooLarge, "the body's chunks are over %d bytes", 2*mostBody)
		}
		n := bytes.IndexByte(b, '\n') + 1
		if n == 0 {
			if len(b) > mostLine {
				return false, fault(http.StatusBadRequest, "the line of a chunk is over %d bytes", mostLine)
			}
			return false, nil
		}
		line := bytes.TrimSuffix(b[:n-1], []byte("\r"))
		if m.last {
			if m.end += n; len(line) == 0 {
				return true, nil
			}
			continue
		}
		digits, _, _ := strings.Cut(string(line), ";")
		size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
		switch {
		case err != nil:
			return false, fault(http.StatusBadRequest, "a chunk's length %.20q", digits)
		case int(size) > mostBody-len(m.chunks):
			return false, fault(http.StatusRequestEntityTooLarge, "the body is over %d bytes", mostBody)
		case size == 0:
			m.last = true
			m.end += n
			continue
		}
		rest := b[min(len(b), n+int(size)):]
		ends := 0
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			ends = 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			ends = 2
		case len(rest) == 0 || len(rest) == 1 && rest[0] == '\r':
			return false, nil
		default:
			return false, fault(http.StatusBadRequest, "a chunk that is longer than its length")
		}
		m.chunks = append(m.chunks, b[n:n+int(size)]...)
		m.end += n + int(size) + ends
	}
}

// done uses up a message that is whole.
func (m *messages) done() {
	m.Consume(m.wanted)
	m.headEnd, m.wanted, m.looked, m.end = 0, 0, 0, 0
	m.chunked, m.last, m.chunks = false, false, nil
}
