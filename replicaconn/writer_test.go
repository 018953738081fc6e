package replicaconn

import (
	"bytes"
	"io"
	"testing"
	"time"

	"terntray/connpool"
	"terntray/internal/conntest"
	"terntray/internal/replicaproto"
	"terntray/internal/wire"
)

// A replica reads nothing, so that a write stalls. The writer gives up after writeTimeout, even if the connect timeout
// is longer, and calls whose writing has not begun can be withdrawn. The bound of 5 s leaves room for a busy machine.
func TestStalledWriteTimesOut(t *testing.T) {
	driver := newTestDriver(t, connpool.Limits{ConnectTimeout: 10 * time.Second})
	near, far := conntest.Pair(t)
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

// A connection is closed right after an attempt on it was abandoned, before its writer has run: the replica would work
// on for a query that is over. The notice is written before the close, and no call that still waits is written with it.
func TestAbandonedCallIsAnnouncedBeforeItsConnectionIsClosed(t *testing.T) {
	driver := newTestDriver(t, connpool.Limits{ConnectTimeout: time.Second})
	near, far := conntest.Pair(t)
	conn := newConn(driver, 1, driver.EndpointOf("s-a"), "127.0.0.1:1", replicaproto.Frames)
	conn.setSocket(near)
	abandoned := &replicaproto.Call{Attempt: 1, SubqueryID: wire.SubqueryID("q", 0), Deadline: time.Hour}
	waiting := &replicaproto.Call{Attempt: 2, SubqueryID: wire.SubqueryID("q", 1), Deadline: time.Hour}
	conn.session.Queue(abandoned)
	conn.session.Wrote(len(conn.session.Output(nil, 0, 0)))
	conn.session.Queue(waiting)
	conn.session.Abandon(abandoned)
	conn.close()
	conn.session.Queue(&replicaproto.Call{Attempt: 3, SubqueryID: wire.SubqueryID("q", 2), Deadline: time.Hour})
	<-conn.startWriter(near, near)
	far.SetReadDeadline(time.Now().Add(5 * time.Second))
	got, err := io.ReadAll(far)
	if want := wire.AppendAbandon(nil, abandoned.SubqueryID); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the replica read %q, error %v; want %q and the end", got, err, want)
	}
	if !conn.session.Withdraw(waiting) {
		t.Error("the call that was not written cannot be sent elsewhere")
	}
}
