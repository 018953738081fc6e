package coordinator

import (
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

func TestReplicaIDsDependOnTheUIDAlone(t *testing.T) {
	a, b := newCoordinator(t), newCoordinator(t)
	a.fleet.named("s-x")
	first, again := a.fleet.named("s-a"), a.fleet.named("s-a")
	if first.id != b.fleet.named("s-a").id || first != again {
		t.Error("ids differ")
	}
	taken := &replica{id: b.fleet.named("s-a").id + 1, uid: "s-other"}
	b.fleet.all[taken.id-1].uid, b.fleet.all[taken.id] = "s-first", taken
	if got := b.fleet.named("s-a"); got.id != taken.id+1 || got.uid != "s-a" {
		t.Errorf("with two ids taken: %+v", got)
	}
}

// A write that the far side does not take ends with its connection before a client of it can be gone for 0.3 s, however
// long connections may take to come up. What was not begun by then can be taken back.
func TestWriteThatIsNotTakenEndsSoon(t *testing.T) {
	c := newServing(t)
	c.fleet.connectWithin = 10 * time.Second
	near, far := connPair(t)
	near.SetWriteBuffer(4 << 10)
	far.SetReadBuffer(4 << 10)
	k := newLink(c, 1, c.fleet.named("s-a"), "127.0.0.1:1", replicaproto.Frames)
	var calls []*replicaproto.Call
	for n := range 60 {
		calls = append(calls, &replicaproto.Call{Attempt: uint64(n + 1), Group: uint64(n + 1), SubqueryID: wire.SubqueryID("q", n), Text: make([]byte, 60_000), Deadline: time.Hour})
		k.session.Queue(calls[n])
	}
	began := time.Now()
	k.write(near, near)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("it is written to for %v", took)
	}
	last := calls[len(calls)-1]
	if last.Stage != replicaproto.Waiting || !k.session.Withdraw(last) {
		t.Errorf("the last of what waits is at stage %v", last.Stage)
	}
}
