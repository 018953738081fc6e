package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
)

// DropUnusable removes the endpoints that cannot be used and returns a description of each. An endpoint in an unknown
// state, for example one that a later version introduces, is kept as draining, so that it gets no new attempts, and is
// returned as well. An invalid entry does not invalidate the list, because the drains in it would be missed.
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

// isUsable reports whether an endpoint identifies its replica and, unless it is removed, has an address and a cell.
func (endpoint *Endpoint) isUsable() bool {
	if endpoint.UID == "" {
		return false
	}
	hasAddressAndCell := endpoint.Address != "" && endpoint.Cell != nil && *endpoint.Cell >= 0
	return endpoint.State == Removed || hasAddressAndCell
}

func (endpoint *Endpoint) describe() string {
	return fmt.Sprintf("%s %q", endpoint.State, endpoint.UID)
}

// ListRequest returns the request to a discovery agent for the full list.
func ListRequest(host string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", pathEndpoints, host)
}

// WatchRequest returns the request for changes after a revision. The agent may delay its response by up to holdMS
// milliseconds.
func WatchRequest(host string, revision, holdMS int64) []byte {
	return fmt.Appendf(nil, "GET %s?from=%d&hold_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		pathEndpoints, revision, holdMS, host)
}

// StatusError reports a response of a discovery agent with a status other than 200.
type StatusError struct{ Status int }

// Error returns a message with the HTTP status.
func (err *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", err.Status) }

// EndpointListReader parses the responses of a discovery agent from the bytes of a connection.
type EndpointListReader struct {
	messageReader
	closed bool
}

// ConnClosed records that the agent has closed the connection in an orderly way, which completes a response without a
// length (RFC 9112, section 6.3). It must not be called after a reset, which completes no response.
func (reader *EndpointListReader) ConnClosed() { reader.closed = true }

// IsClosed reports whether ConnClosed was called.
func (reader *EndpointListReader) IsClosed() bool { return reader.closed }

// Next returns the next list, or nil without an error if more bytes are needed. last reports that the agent closes the
// connection after this list. After an error the connection cannot be used any further.
func (reader *EndpointListReader) Next() (list *EndpointList, last bool, err error) {
	if ready, err := reader.mayBeComplete(); err != nil || !ready {
		return nil, false, err
	}
	head, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(reader.head())), nil)
	if err != nil {
		return nil, false, fmt.Errorf("malformed HTTP response: %w", err)
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
		return nil, false, fmt.Errorf("malformed endpoint list: %w", err)
	}
	return list, head.Close, nil
}

// responseBody returns the body that follows a head, or nil without an error if more bytes are needed.
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
