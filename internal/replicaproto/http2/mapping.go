package http2

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
)

// The mapping of a call to a request and its response, as docs/http2.md states it. The names on the wire are given.
const (
	callPath       = "/part"
	headerSubquery = "part-id"
	headerShard    = "part-shard"
	headerWait     = "part-wait-ms" // how many milliseconds the reply is awaited
	headerEnd      = "part-end"     // of a response: one of the ends below
	headerLoad     = "part-load"    // the load report

	endOK       = "ok"
	endError    = "error"
	endRejected = "rejected"
)

// requestHeaders is the header list of a call.
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
		// An id is never sent again, so it would only push others out of the compression table.
		{Name: headerSubquery, Value: call.SubqueryID, Sensitive: true},
	}
}

// replyStatusOf reads how a response says that its subquery ended. Only status and header together say that it ran well, or
// never; anything else is an error after which it may have run.
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
