package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"terntray/twophase"
)

// response is an HTTP response to a client.
type response struct {
	status      int
	contentType string
	body        []byte
	retryAfter  time.Duration // 0: no Retry-After field
	last        bool          // the connection is closed after it
}

func (response *response) bytes() []byte {
	text := make([]byte, 0, 160+len(response.body))
	text = fmt.Appendf(text, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n",
		response.status, http.StatusText(response.status), response.contentType, len(response.body))
	if response.retryAfter > 0 {
		text = fmt.Appendf(text, "Retry-After: %.3f\r\n", response.retryAfter.Seconds())
	}
	if response.last {
		text = append(text, "Connection: close\r\n"...)
	}
	text = append(text, "\r\n"...)
	return append(text, response.body...)
}

// TextResponse returns a response with a line of text. last states that the connection is closed after it.
func TextResponse(status int, text string, last bool) []byte {
	response := response{status: status, contentType: "text/plain", body: []byte(text + "\n"), last: last}
	return response.bytes()
}

// RejectResponse returns the response to a rejected query, which the client may send again after retryAfter; 0 leaves
// the time to the client.
func RejectResponse(retryAfter time.Duration, text string, last bool) []byte {
	response := response{
		status:      http.StatusServiceUnavailable,
		contentType: "text/plain",
		body:        []byte(text + "\n"),
		retryAfter:  retryAfter,
		last:        last,
	}
	return response.bytes()
}

// CompleteResponse returns the response to a query that succeeded. complete states that no subquery's value is missing.
func CompleteResponse(complete bool, values []SubqueryValue, last bool) []byte {
	if values == nil {
		values = []SubqueryValue{}
	}
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(completeBody{complete, values}) // cannot fail for strings, numbers and booleans
	return okResponse(body.Bytes(), last)
}

// HitsResponse returns the response to a two-phase query whose answer is complete.
func HitsResponse(hits []twophase.Hit, last bool) []byte {
	body := hitsBody{Complete: true, Hits: make([]hitBody, 0, len(hits))}
	for _, hit := range hits {
		score := hit.Score + 0 // converts negative zero to zero
		body.Hits = append(body.Hits, hitBody{Shard: int(hit.Shard), ID: hit.ID, Score: score})
	}
	text, _ := json.Marshal(body) // cannot fail for strings and finite numbers
	return okResponse(append(text, '\n'), last)
}

func okResponse(body []byte, last bool) []byte {
	response := response{status: http.StatusOK, contentType: "application/json", body: body, last: last}
	return response.bytes()
}
