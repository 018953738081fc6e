package replicaconn

import (
	"testing"
	"time"

	"terntray/connpool"
	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

// A replica reads nothing, so that a write stalls. The writer gives up after writeTimeout, even if the connect timeout
// is longer, and calls whose writing has not begun can be withdrawn. The bound of 5 s leaves room for a busy machine.
func TestStalledWriteTimesOut(t *testing.T) {
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
	start := time.Now()
	conn.write(near, near)
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("the writer gave up after %v", took)
	}
	last := calls[len(calls)-1]
	if last.Stage != replicaproto.Waiting || !conn.session.Withdraw(last) {
		t.Errorf("the last waiting call is at stage %v, or cannot be withdrawn", last.Stage)
	}
}
