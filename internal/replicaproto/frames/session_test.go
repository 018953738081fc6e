package frames

import (
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

// newCall returns a call with a deadline one second after process start.
func newCall(subquery string, text []byte) *replicaproto.Call {
	return &replicaproto.Call{Group: 1, SubqueryID: subquery, Text: text, Deadline: time.Second}
}

// A write of several calls is accepted only in part. Only calls whose last byte was accepted may have run. If no byte
// was accepted, all calls can be withdrawn.
func TestOnlyFullyWrittenCallsMayHaveRun(t *testing.T) {
	text := []byte("text")
	size := len(wire.AppendCall(nil, wire.SubqueryCall{ID: "q.0", WaitMS: 1000, Text: text}))
	for accepted, want := range map[int]int{0: 0, size - 1: 0, size: 1, 2*size + 3: 2, 3 * size: 3} {
		session := New(1, nil)
		var calls []*replicaproto.Call
		for shard := range 3 {
			call := newCall(wire.SubqueryID("q", shard), text)
			call.Shard = shard
			calls = append(calls, call)
			session.Queue(call)
		}
		if output := session.Output(nil, 0, 0); len(output) != 3*size {
			t.Fatalf("the output has %d bytes", len(output))
		}
		session.Wrote(accepted)
		written := 0
		for _, call := range calls {
			if call.Stage == replicaproto.Written {
				written++
			}
			if withdrawn := session.Withdraw(call); withdrawn != (accepted == 0) {
				t.Errorf("%d bytes accepted: withdrawn %t", accepted, withdrawn)
			}
		}
		if written != want {
			t.Errorf("%d bytes accepted: %d calls written, want %d", accepted, written, want)
		}
	}
}

// A call that is withdrawn before it is written is left out of the frame that it would have shared. Abandoning a call
// after it was written sends an abandon frame.
func TestUnwrittenCallCanBeWithdrawn(t *testing.T) {
	session := New(4, nil)
	withdrawn, written := newCall("q.1", nil), newCall("q.2", nil)
	session.Queue(withdrawn)
	session.Queue(written)
	if !session.Withdraw(withdrawn) {
		t.Error("the unwritten call was not withdrawn")
	}
	want := wire.AppendCall(nil, wire.SubqueryCall{ID: "q.2", WaitMS: 1000})
	if output := session.Output(nil, 0, 0); string(output) != string(want) {
		t.Errorf("unexpected output %q", output)
	}
	session.Wrote(len(want))
	session.Abandon(written)
	if output := session.Output(nil, 0, 0); string(output) != string(wire.AppendAbandon(nil, "q.2")) {
		t.Errorf("output after Abandon: %q", output)
	}
}

// The replica does not read, so calls wait behind a blocked write. Calls that are not part of that write must remain
// withdrawable, or they would be sent long after their client has disconnected.
func TestCallsBeyondTheCurrentWriteCanBeWithdrawn(t *testing.T) {
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
		t.Errorf("after a write of %d bytes: stages %v, %v", size, calls[0].Stage, calls[1].Stage)
	}
	if rest := session.Output(nil, 90, 0); len(rest) != size {
		t.Errorf("the next output has %d bytes", len(rest))
	}
}
