package http2

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
)

// The mapping of a call to a request and its response (docs/http2.md). The names on the wire are fixed.
const (
	callPath       = "/part"
	headerSubquery = "part-id"
	headerShard    = "part-shard"
	headerWait     = "part-wait-ms" // milliseconds for which the reply is awaited
	headerEnd      = "part-end"     // of a response: one of the values below
	headerLoad     = "part-load"    // the load report

	endOK       = "ok"
	endError    = "error"
	endRejected = "rejected"
)

// requestHeaders returns the header list of a call.
func requestHeaders(scheme, authority string, call *replicaproto.Call, waitMS int64) []hpack.HeaderField {
	return []hpack.HeaderField{
		{Name: ":method", Value: http.MethodPost},
		{Name: ":scheme", Value: scheme},
		{Name: ":authority", Value: authority},
		{Name: ":path", Value: callPath},
		{Name: "content-type", Value: "application/octet-stream"},
		{Name: "content-length", Value: strconv.Itoa(len(call.Text))},
		{Name: headerShard, Value: strconv.Itoa(call.Shard)},
		{Name: headerWait, Value: strconv.FormatInt(waitMS, 10)},
		// An ID is never sent again; in the compression table it would only evict other entries.
		{Name: headerSubquery, Value: call.SubqueryID, Sensitive: true},
	}
}

// replyStatusOf returns the reply status of a response. OK and Rejected require a matching pair of HTTP status and end
// header; anything else is an error, after which the subquery may have run.
func replyStatusOf(status int, end string) replicaproto.ReplyStatus {
	isRejectedStatus := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case status == http.StatusOK && end == endOK:
		return replicaproto.OK
	case isRejectedStatus && end == endRejected:
		return replicaproto.Rejected
	}
	return replicaproto.Error
}
