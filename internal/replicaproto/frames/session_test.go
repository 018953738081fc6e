package frames

import (
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

// Of several calls in one write, those whose last byte went may have run; the others never did.
func TestCallsCutOffNeverRan(t *testing.T) {
	one := len(wire.AppendCall(nil, wire.SubqueryCall{ID: "q.0", WaitMS: 1000, Text: []byte("text")}))
	for room, want := range map[int]int{0: 0, one - 1: 0, one: 1, 2*one + 3: 2, 3 * one: 3} {
		s := New(1, nil)
		var calls []*replicaproto.Call
		for n := range 3 {
			c := &replicaproto.Call{SubqueryID: wire.SubqueryID("q", n), Shard: n, Text: []byte("text"), Deadline: time.Second}
			calls = append(calls, c)
			s.Queue(c)
		}
		if out := s.Output(nil, 0, 0); len(out) != 3*one {
			t.Fatalf("%d bytes", len(out))
		}
		s.Wrote(room)
		got := 0
		for _, c := range calls {
			if c.Stage == replicaproto.Written {
				got++
			}
			if back := s.Withdraw(c); back != (room == 0) {
				t.Errorf("room for %d bytes: taken back %t", room, back)
			}
		}
		if got != want {
			t.Errorf("room for %d bytes: %d calls went, want %d", room, got, want)
		}
	}
}

func TestCallThatWasNotBegunIsTakenBack(t *testing.T) {
	s := New(4, nil)
	a, b := &replicaproto.Call{Group: 1, SubqueryID: "q.1", Deadline: time.Second}, &replicaproto.Call{Group: 1, SubqueryID: "q.2", Deadline: time.Second}
	s.Queue(a)
	s.Queue(b)
	if !s.Withdraw(a) {
		t.Error("it is not")
	}
	alone := wire.AppendCall(nil, wire.SubqueryCall{ID: "q.2", WaitMS: 1000})
	if out := s.Output(nil, 0, 0); string(out) != string(alone) {
		t.Errorf("%q", out)
	}
	s.Wrote(len(alone))
	if s.Abandon(b); string(s.Output(nil, 0, 0)) != string(wire.AppendAbandon(nil, "q.2")) {
		t.Error("the word that a part is given up is not written")
	}
}

// What does not go into one write can still be taken back. Guards against: parts that leave from behind a connection that
// takes nothing, long after their client has.
func TestCallsBeyondOneWriteCanBeTakenBack(t *testing.T) {
	s := New(1, nil)
	var calls []*replicaproto.Call
	for n := range 3 {
		calls = append(calls, &replicaproto.Call{SubqueryID: wire.SubqueryID("q", n), Shard: n, Text: make([]byte, 100), Deadline: time.Second})
		s.Queue(calls[n])
	}
	one := len(s.Output(nil, 90, 0))
	if s.Wrote(one); s.Withdraw(calls[0]) || !s.Withdraw(calls[1]) {
		t.Errorf("of a write of %d bytes: stages %v, %v", one, calls[0].Stage, calls[1].Stage)
	}
	if rest := s.Output(nil, 90, 0); len(rest) != one {
		t.Errorf("then %d bytes", len(rest))
	}
}
