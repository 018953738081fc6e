package replicaconn

import (
	"testing"
	"time"

	"terntray/connpool"
	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

// A replica reads nothing, so that a write is not taken. The writer gives up before a client of it can be gone for
// 0.3 s, however long connections may take to come up, and what was not begun by then can be withdrawn.
func TestWriteThatIsNotTakenEndsSoon(t *testing.T) {
	driver := newTestDriver(t, connpool.Limits{ConnectTimeout: 10 * time.Second})
	near, far := tcpPair(t)
	near.SetWriteBuffer(4 << 10)
	far.SetReadBuffer(4 << 10)
	conn := newConn(driver, 1, driver.EndpointOf("s-a"), "127.0.0.1:1", replicaproto.Frames)
	var calls []*replicaproto.Call
	for n := range 60 {
		call := &replicaproto.Call{
			Attempt: uint64(n + 1), Group: uint64(n + 1), SubqueryID: wire.SubqueryID("q", n),
			Text: make([]byte, 60_000), Deadline: time.Hour,
		}
		calls = append(calls, call)
		conn.session.Queue(call)
	}
	began := time.Now()
	conn.write(near, near)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("it is written to for %v", took)
	}
	last := calls[len(calls)-1]
	if last.Stage != replicaproto.Waiting || !conn.session.Withdraw(last) {
		t.Errorf("the last of what waits is at stage %v", last.Stage)
	}
}
