package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
)

// DropUnusable drops the endpoints that cannot be used, and returns their names. An endpoint in an unknown state, as of
// a later version, is kept as draining, so that it gets nothing new; it is named as well. One odd entry must not make
// the whole list useless, or the drains that it tells of would be missed.
func (list *EndpointList) DropUnusable() (unusable []string) {
	list.Endpoints = slices.DeleteFunc(list.Endpoints, func(endpoint Endpoint) bool {
		if !endpoint.isUsable() {
			unusable = append(unusable, endpoint.describe())
			return true
		}
		return false
	})
	for n, endpoint := range list.Endpoints {
		if !slices.Contains([]string{Ready, Draining, Removed}, endpoint.State) {
			unusable = append(unusable, endpoint.describe())
			list.Endpoints[n].State = Draining
		}
	}
	return unusable
}

// isUsable tells whether an endpoint says which replica it is and, unless that is removed, how it is reached.
func (endpoint *Endpoint) isUsable() bool {
	if endpoint.UID == "" {
		return false
	}
	isPlaced := endpoint.Address != "" && endpoint.Cell != nil && *endpoint.Cell >= 0
	return endpoint.State == Removed || isPlaced
}

func (endpoint *Endpoint) describe() string {
	return fmt.Sprintf("%s %q", endpoint.State, endpoint.UID)
}

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

// IsClosed tells whether ConnClosed was called.
func (reader *EndpointListReader) IsClosed() bool { return reader.closed }

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
		if !reader.closed && length <= MaxBody {
			return nil, nil
		}
	}
	return reader.body(length, head.TransferEncoding)
}
