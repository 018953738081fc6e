package frames

import (
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

// newCall makes a call that has a second left.
func newCall(subquery string, text []byte) *replicaproto.Call {
	return &replicaproto.Call{Group: 1, SubqueryID: subquery, Text: text, Deadline: time.Second}
}

// A write of several calls is taken only in part. Those whose last byte was taken may have run; the others never did.
// If no byte was taken all can be withdrawn.
func TestCallsThatWereNotWrittenWholeNeverRan(t *testing.T) {
	text := []byte("text")
	size := len(wire.AppendCall(nil, wire.SubqueryCall{ID: "q.0", WaitMS: 1000, Text: text}))
	for taken, want := range map[int]int{0: 0, size - 1: 0, size: 1, 2*size + 3: 2, 3 * size: 3} {
		session := New(1, nil)
		var calls []*replicaproto.Call
		for shard := range 3 {
			call := newCall(wire.SubqueryID("q", shard), text)
			call.Shard = shard
			calls = append(calls, call)
			session.Queue(call)
		}
		if output := session.Output(nil, 0, 0); len(output) != 3*size {
			t.Fatalf("%d bytes", len(output))
		}
		session.Wrote(taken)
		written := 0
		for _, call := range calls {
			if call.Stage == replicaproto.Written {
				written++
			}
			if withdrawn := session.Withdraw(call); withdrawn != (taken == 0) {
				t.Errorf("%d bytes taken: withdrawn %t", taken, withdrawn)
			}
		}
		if written != want {
			t.Errorf("%d bytes taken: %d calls are written, want %d", taken, written, want)
		}
	}
}

// A call that is withdrawn before its write leaves the frame that it would have shared. One that is abandoned after its
// write has a frame of its own that says so.
func TestCallThatWasNotBegunIsWithdrawn(t *testing.T) {
	session := New(4, nil)
	withdrawn, written := newCall("q.1", nil), newCall("q.2", nil)
	session.Queue(withdrawn)
	session.Queue(written)
	if !session.Withdraw(withdrawn) {
		t.Error("it is not withdrawn")
	}
	want := wire.AppendCall(nil, wire.SubqueryCall{ID: "q.2", WaitMS: 1000})
	if output := session.Output(nil, 0, 0); string(output) != string(want) {
		t.Errorf("%q", output)
	}
	session.Wrote(len(want))
	session.Abandon(written)
	if output := session.Output(nil, 0, 0); string(output) != string(wire.AppendAbandon(nil, "q.2")) {
		t.Errorf("the replica is not told that it is abandoned: %q", output)
	}
}

// A replica reads nothing, so that calls wait behind a write that is not taken. What is not part of that write can
// still be withdrawn, or it would go out long after its client has left.
func TestCallsBeyondOneWriteCanBeWithdrawn(t *testing.T) {
	session := New(1, nil)
	var calls []*replicaproto.Call
	for shard := range 3 {
		call := newCall(wire.SubqueryID("q", shard), make([]byte, 100))
		call.Shard = shard
		calls = append(calls, call)
		session.Queue(call)
	}
	size := len(session.Output(nil, 90, 0))
	session.Wrote(size)
	if session.Withdraw(calls[0]) || !session.Withdraw(calls[1]) {
		t.Errorf("of a write of %d bytes: stages %v, %v", size, calls[0].Stage, calls[1].Stage)
	}
	if rest := session.Output(nil, 90, 0); len(rest) != size {
		t.Errorf("then %d bytes", len(rest))
	}
}
