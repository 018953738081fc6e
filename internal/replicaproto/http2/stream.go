package http2

import (
	"terntray/internal/replicaproto"
)

// stream carries one call and its response.
type stream struct {
	id            uint32
	call          *replicaproto.Call
	body          []byte // not yet sent
	sent          bool   // its last byte is in an output
	sendWindow    int64  // bytes that the replica takes; below 0 after it has made its windows smaller
	receiveWindow receiveWindow

	headersReceived bool // the header list of its response has come
	replyStatus     replicaproto.ReplyStatus
	contentLength   int64 // as that says; below 0: it does not
	value           []byte
	cpuUsage        float64 // the load report of the header list or the trailers; below 0: none
}

// receiveWindow is how much the replica may send ahead, on a connection or a stream (RFC 9113, 5.2).
type receiveWindow struct {
	available int64 // bytes that it may send
	consumed  int64 // bytes that have come and are not given back yet
}

// receive notes bytes that came, and tells whether they were within the window.
func (window *receiveWindow) receive(size int64) bool {
	window.available -= size
	return window.available >= 0
}

// replenish notes bytes that were consumed. It returns how many bytes to give back to the replica: all, once there are
// as many as the threshold, else 0.
func (window *receiveWindow) replenish(size, threshold int64) int64 {
	window.consumed += size
	if window.consumed < threshold {
		return 0
	}
	increment := window.consumed
	window.available += increment
	window.consumed = 0
	return increment
}

func replyEvent(stream *stream) replicaproto.Event {
	return replicaproto.Event{
		Kind: replicaproto.Reply, Attempt: stream.call.Attempt, SubqueryID: stream.call.SubqueryID,
		Status: stream.replyStatus, Value: stream.value, CPUUsage: stream.cpuUsage,
	}
}

func neverRanEvent(stream *stream, evidence replicaproto.Evidence) replicaproto.Event {
	return replicaproto.Event{Kind: replicaproto.NeverRan, Attempt: stream.call.Attempt, Evidence: evidence}
}

func mayHaveRunEvent(stream *stream, detail string) replicaproto.Event {
	return replicaproto.Event{Kind: replicaproto.MayHaveRun, Attempt: stream.call.Attempt, Detail: detail}
}
