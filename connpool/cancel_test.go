package connpool

import (
	"fmt"
	"testing"
	"time"

	"terntray/internal/replicaproto"
)

// Three attempts are abandoned, two of them fully written. As the replica may still be working on those two, they
// hold their slots until a late reply or their deadline.
func TestAbandonedAttemptsHoldTheirSlots(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 9, MaxConns: 1})
	var attempts []*Attempt
	for n := range 3 {
		attempt, id := host.send(fmt.Sprint("q.", n), false)
		if n == 0 {
			host.connUp(id)
		}
		attempts = append(attempts, attempt)
	}
	markFullyWritten(attempts[:2]...)
	conn := attempts[0].conn
	for _, attempt := range attempts {
		host.pool.Abandon(host.now, attempt)
		host.pool.Forget(host.now, attempt)
	}
	if running := conn.abandonedRunning(host.pool.now); running != 2 || len(host.abandoned) != 2 {
		t.Errorf("%d slots are held, cancellations %v were sent", running, host.abandoned)
	}
	if _, late := host.reply(conn.id, attempts[0]); !late || conn.abandonedRunning(host.pool.now) != 1 {
		t.Errorf("%d slots are held after a late reply", conn.abandonedRunning(host.pool.now))
	}
	host.pool.now += time.Second
	if conn.abandonedRunning(host.pool.now) != 0 {
		t.Error("slots are still held after the deadline")
	}
}

// A hundred attempts are abandoned at once. The replica is notified of a burst of them, and of the others at a steady
// rate; those hold their slots until then.
func TestCancellationBurstIsRateLimited(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	host.answersPings = true
	var attempts []*Attempt
	for n := range 100 {
		attempt, _ := host.send(fmt.Sprint("q.", n), false)
		markFullyWritten(attempt)
		attempts = append(attempts, attempt)
	}
	for _, attempt := range attempts {
		host.pool.Abandon(host.now, attempt)
		host.pool.Forget(host.now, attempt)
	}
	sent, held := len(host.abandoned), len(attempts[99].conn.outstanding)
	if sent < int(cancelBurst) || sent > int(cancelBurst)+1 || held != 100-sent {
		t.Errorf("%d cancellations sent, %d slots held", sent, held)
	}
	host.advance(time.Second)
	if sent := len(host.abandoned); sent < 85 || sent > 92 {
		t.Errorf("%d cancellations sent after a second", sent)
	}
	host.advance(time.Second)
	if len(host.abandoned) != 100 || len(host.pool.conns[conn].outstanding) != 0 {
		t.Errorf("%d cancellations sent after two seconds", len(host.abandoned))
	}
}
