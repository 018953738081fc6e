package http2

import (
	"terntray/internal/replicaproto"
)

// stream carries one call and its response.
type stream struct {
	id            uint32
	call          *replicaproto.Call
	body          []byte // the part that is not in an output yet
	sent          bool   // the call's last byte is in an output
	sendWindow    int64  // bytes that the replica accepts; negative after it has shrunk its windows
	receiveWindow receiveWindow

	headersReceived bool // the response's header list has been received
	replyStatus     replicaproto.ReplyStatus
	contentLength   int64 // as the header list states it; below 0: not stated
	value           []byte
	cpuUsage        float64 // the load report in the header list or the trailers; below 0: none
}

// receiveWindow is the flow-control window for what the replica sends, on a connection or a stream (RFC 9113, 5.2).
type receiveWindow struct {
	available int64 // bytes that the replica may still send
	consumed  int64 // bytes received and not yet added to the window again with a WINDOW_UPDATE
}

// receive subtracts received bytes from the window and reports whether they were within it.
func (window *receiveWindow) receive(size int64) bool {
	window.available -= size
	return window.available >= 0
}

// replenish records consumed bytes. Once their number reaches the threshold, it adds them to the window again and
// returns their number, the increment for a WINDOW_UPDATE. Otherwise it returns 0.
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
