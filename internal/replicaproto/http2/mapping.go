package http2

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"
	"terntray/internal/wire"

	"terntray/internal/replicaproto"
)

// The mapping of a call, as docs/http2.md states it.
const (
	Path       = "/part"
	PartID     = "part-id"
	PartShard  = "part-shard"
	PartWait   = "part-wait-ms" // how long the answer is waited for
	PartEnd    = "part-end"     // of a response: ok, error, rejected
	PartLoad   = "part-load"    // the load report
	EndOK      = "ok"
	EndError   = "error"
	EndTurned  = "rejected"
	fieldCosts = 32 // bytes that a field counts beside its own (RFC 7541, 4.1)
)

// requestHead is the head of a call.
func requestHead(scheme, authority string, c *replicaproto.Call, waitMS int64) []hpack.HeaderField {
	return []hpack.HeaderField{
		{Name: ":method", Value: http.MethodPost}, {Name: ":scheme", Value: scheme},
		{Name: ":authority", Value: authority}, {Name: ":path", Value: Path},
		{Name: "content-type", Value: "application/octet-stream"},
		{Name: "content-length", Value: strconv.Itoa(len(c.Text))},
		{Name: PartShard, Value: strconv.Itoa(c.Shard)},
		{Name: PartWait, Value: strconv.FormatInt(waitMS, 10)},
		{Name: PartID, Value: c.SubqueryID, Sensitive: true}, // never the same again: the table need not hold it
	}
}

// endOf reads a response's end: only what says so in so many words ran well, or never.
func endOf(status int, end string) replicaproto.End {
	switch {
	case status == http.StatusOK && end == EndOK:
		return replicaproto.OK
	case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && end == EndTurned:
		return replicaproto.Rejected
	}
	return replicaproto.Error
}

// head gathers the fields of a head that is coming.
type head struct {
	stream uint32
	open   bool
	ends   bool // the stream ends with it
	bytes  int  // compressed
	list   int  // bytes of the fields, as the limit counts them
	bad    bool // malformed (RFC 9113, 8.2 and 8.3), or too large
	fields bool // a field that is no pseudo-field has come

	status, end string
	busy        float64
	length      int64
}

func (h *head) begins(stream uint32, ends bool) {
	*h = head{stream: stream, open: true, ends: ends, length: -1, busy: -1}
}

// field takes one.
func (h *head) field(f hpack.HeaderField) {
	if h.list += len(f.Name) + len(f.Value) + fieldCosts; h.list > mostHeaders {
		h.bad = true
		return
	}
	if strings.HasPrefix(f.Name, ":") {
		h.bad = h.bad || h.fields || f.Name != ":status" || h.status != ""
		h.status = f.Value
		return
	}
	h.fields = true
	h.bad = h.bad || !sound(f.Name, f.Value)
	switch f.Name {
	case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
		h.bad = true // 8.2.2
	case "content-length":
		n, err := strconv.ParseUint(f.Value, 10, 62)
		h.bad = h.bad || err != nil || h.length >= 0 && h.length != int64(n)
		h.length = int64(n)
	case PartEnd:
		h.bad = h.bad || h.end != ""
		h.end = f.Value
	case PartLoad:
		h.busy = wire.LoadReported(f.Value, "=")
	}
}

// sound tells whether a field's name and value hold what they may (8.2.1).
func sound(name, value string) bool {
	if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r >= 'A' && r <= 'Z' || r == ':' }) {
		return false
	}
	if strings.ContainsAny(value, "\x00\r\n") {
		return false
	}
	return value == strings.Trim(value, " \t")
}
