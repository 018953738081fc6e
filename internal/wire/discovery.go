package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
)

// DropUnusable drops the targets that cannot be used and names them. One in an unknown state, as of a later
// version, counts as draining: it gets nothing new. One odd entry must not make the whole list useless, and the
// drains in it with it.
func (list *EndpointList) DropUnusable() (unusable []string) {
	list.Targets = slices.DeleteFunc(list.Targets, func(target Target) bool {
		if !target.isUsable() {
			unusable = append(unusable, target.describe())
			return true
		}
		return false
	})
	for n, target := range list.Targets {
		if !slices.Contains([]string{Ready, Draining, Removed}, target.State) {
			unusable = append(unusable, target.describe())
			list.Targets[n].State = Draining
		}
	}
	return unusable
}

// isUsable tells whether a target says which replica it is and, unless that is removed, how it is reached.
func (target *Target) isUsable() bool {
	if target.UID == "" {
		return false
	}
	isPlaced := target.Endpoint != "" && target.Cell != nil && *target.Cell >= 0
	return target.State == Removed || isPlaced
}

func (target *Target) describe() string { return fmt.Sprintf("%s %q", target.State, target.UID) }

// ListRequest asks a discovery agent for the whole list.
func ListRequest(host string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", pathEndpoints, host)
}

// WatchRequest asks for what is newer than a revision; the agent may hold the response back for so many milliseconds.
func WatchRequest(host string, revision, holdMS int64) []byte {
	return fmt.Appendf(nil, "GET %s?from=%d&hold_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		pathEndpoints, revision, holdMS, host)
}

// StatusError is a response of a discovery agent that brings no list.
type StatusError struct{ Status int }

// Error names the status.
func (err *StatusError) Error() string { return fmt.Sprintf("status %d", err.Status) }

// EndpointListReader cuts a discovery agent's responses out of the bytes of a connection.
type EndpointListReader struct {
	messageReader
	closed bool
}

// ConnClosed tells that the far side has closed the connection in order: a response that states no length is
// whole then (RFC 9112, section 6.3). It is not to be called after a reset, which ends no response.
func (reader *EndpointListReader) ConnClosed() { reader.closed = true }

// Complete tells whether ConnClosed was called.
func (reader *EndpointListReader) Complete() bool { return reader.closed }

// Next gives the next list; nil without an error means that more bytes must come in first. Last tells that the
// connection ends with it. After an error the connection is of no more use.
func (reader *EndpointListReader) Next() (list *EndpointList, last bool, err error) {
	if due, err := reader.mayBeComplete(); err != nil || !due {
		return nil, false, err
	}
	head, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(reader.head())), nil)
	if err != nil {
		return nil, false, fmt.Errorf("no HTTP response: %w", err)
	}
	body, err := reader.responseBody(head)
	if err != nil || body == nil {
		return nil, false, err
	}
	reader.finish()
	if head.StatusCode != http.StatusOK {
		return nil, false, &StatusError{Status: head.StatusCode}
	}
	list = &EndpointList{}
	if err := json.Unmarshal(body, list); err != nil {
		return nil, false, fmt.Errorf("no list: %w", err)
	}
	return list, head.Close, nil
}

// responseBody is the body behind a head; nil without an error means that more bytes must come in first.
func (reader *EndpointListReader) responseBody(head *http.Response) ([]byte, error) {
	length := head.ContentLength
	endsWithConn := length < 0 && !slices.Contains(head.TransferEncoding, "chunked")
	if endsWithConn {
		length = int64(reader.Buffered() - reader.headEnd)
		if !reader.closed && length <= maxBody {
			return nil, nil
		}
	}
	return reader.body(length, head.TransferEncoding)
}
