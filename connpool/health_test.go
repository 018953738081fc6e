package connpool

import (
	"fmt"
	"net"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// A connection falls silent while later attempts are answered on another one to the same replica. After some of those
// replies nothing new goes on the silent one.
func TestSilentConnectionThatLaterAttemptsOvertakeIsSuspect(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 1, MaxConns: 2})
	first, silent := host.send("q.0", false)
	host.up(silent)
	writtenWhole(first)
	for n := range maxOvertaken {
		if first.conn.suspect {
			t.Fatalf("suspect after %d replies", n)
		}
		host.now += time.Second
		later, conn := host.send(fmt.Sprint("q.", n+1), false)
		if !later.conn.wasEstablished {
			host.up(conn)
		}
		writtenWhole(later)
		host.reply(conn, later)
	}
	if !first.conn.suspect {
		t.Error("it is not suspect")
	}
}

// A replica works slowly, but its machine answers pings: its connection stays. Then the machine vanishes: within a
// connect timeout the connection is closed, and what was on it may have run.
func TestPingTellsAVanishedMachineFromASlowReplica(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	host.now += time.Second
	attempt, _ := host.send("q.1", false)
	writtenWhole(attempt)
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
	host.breaks(conn, net.ErrClosed)
	host.expect(attempt, scheduler.MalformedReply)
}
