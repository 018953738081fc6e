package connpool

import (
	"fmt"
	"net"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// A connection is silent while later attempts are answered on another connection to the same replica. After
// maxOvertaken such replies the silent connection gets no new attempts.
func TestSilentConnectionOvertakenByLaterAttemptsIsSuspect(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 1, MaxConns: 2})
	first, silent := host.send("q.0", false)
	host.connUp(silent)
	markFullyWritten(first)
	for n := range maxOvertaken {
		if first.conn.suspect {
			t.Fatalf("suspect after %d replies", n)
		}
		host.now += time.Second
		later, conn := host.send(fmt.Sprint("q.", n+1), false)
		if !later.conn.wasEstablished {
			host.connUp(conn)
		}
		markFullyWritten(later)
		host.reply(conn, later)
	}
	if !first.conn.suspect {
		t.Error("the silent connection is not suspect")
	}
}

// A replica is slow, but its machine answers pings: the connection is kept. Then the machine vanishes: the connection
// is closed within a connect timeout, and the attempt on it may have run.
func TestPingDistinguishesVanishedMachineFromSlowReplica(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	host.now += time.Second
	attempt, _ := host.send("q.1", false)
	markFullyWritten(attempt)
	for range 5 {
		host.advance(130 * time.Millisecond)
		host.pool.BytesReceived(host.now, conn, host.now)
	}
	if host.pings[conn] < 4 || host.closed[conn] {
		t.Fatalf("%d pings, closed %t", host.pings[conn], host.closed[conn])
	}
	host.advance(251 * time.Millisecond)
	if !host.closed[conn] {
		t.Fatal("a silent connection is kept")
	}
	host.endConn(conn, net.ErrClosed)
	host.expectOutcomes(attempt, scheduler.MalformedReply)
}
