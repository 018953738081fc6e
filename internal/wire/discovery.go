package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
)

// EndpointList is what discovery tells: all replicas, or those that changed.
type EndpointList struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is a replica as discovery lists it.
type Target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Model    string `json:"model"`
	Cell     *int   `json:"pod_group"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

// The states of a target.
const (
	Ready    = "ready"
	Draining = "draining"
	Removed  = "gone"
)

// DropUnusable drops the targets that cannot be used and says which; one in a state that has no meaning here wants
// nothing new. Guards against: one odd entry that makes the whole list useless, and drains with it. Should
// also cover: states of a later version. Could hurt: a replica that is sound but listed badly gets nothing.
func (l *EndpointList) DropUnusable() (odd []string) {
	l.Targets = slices.DeleteFunc(l.Targets, func(t Target) bool {
		bad := t.UID == "" || t.State != Removed && (t.Endpoint == "" || t.Cell == nil || *t.Cell < 0)
		if bad {
			odd = append(odd, fmt.Sprintf("%s %q", t.State, t.UID))
		}
		return bad
	})
	for n, t := range l.Targets {
		if !slices.Contains([]string{Ready, Draining, Removed}, t.State) {
			odd = append(odd, fmt.Sprintf("%s %q", t.State, t.UID))
			l.Targets[n].State = Draining
		}
	}
	return odd
}

// ListRequest and Watch make the calls of discovery.
func ListRequest(host string) []byte {
	return fmt.Appendf(nil, "GET /discovery/hosts HTTP/1.1\r\nHost: %s\r\n\r\n", host)
}

// WatchRequest asks for what is newer than a revision; the answer may take so many milliseconds.
func WatchRequest(host string, from, holdMS int64) []byte {
	return fmt.Appendf(nil, "GET /discovery/hosts?from=%d&hold_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		from, holdMS, host)
}

// EndpointListReader cuts discovery's answers out of the bytes of a connection.
type EndpointListReader struct {
	messages
	ended bool
}

// ConnClosed tells that the far side has ended the connection in order: an answer that states no length is whole then (RFC 9112,
// section 6.3). A connection that is reset ends nothing.
func (m *EndpointListReader) ConnClosed() { m.ended = true }

// Complete tells whether it has.
func (m *EndpointListReader) Complete() bool { return m.ended }

// Next gives the next listing; nil without an error means that more bytes must come in first. Last tells
// that the connection ends with it.
func (m *EndpointListReader) Next() (l *EndpointList, last bool, err error) {
	if due, err := m.due(); err != nil || !due {
		return nil, false, err
	}
	head, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(m.Bytes()[:m.headEnd])), nil)
	if err != nil {
		return nil, false, fmt.Errorf("no HTTP response: %w", err)
	}
	if head.ContentLength < 0 && !slices.Contains(head.TransferEncoding, "chunked") {
		if head.ContentLength = int64(m.Buffered() - m.headEnd); !m.ended && head.ContentLength <= mostBody {
			return nil, false, nil
		}
	}
	body, err := m.body(head.ContentLength, head.TransferEncoding)
	if err != nil || body == nil {
		return nil, false, err
	}
	m.done()
	if head.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("status %d", head.StatusCode)
	}
	l = &EndpointList{}
	if err := json.Unmarshal(body, l); err != nil {
		return nil, false, fmt.Errorf("no list: %w", err)
	}
	return l, head.Close, nil
}
