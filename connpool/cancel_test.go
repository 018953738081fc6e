package connpool

import (
	"fmt"
	"testing"
	"time"

	"terntray/internal/replicaproto"
)

// Three attempts are abandoned, two of them written. The replica may still work on those two: they hold their places
// until a late reply comes, or until their deadline.
func TestAbandonedAttemptsHoldTheirPlaces(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 9, MaxConns: 1})
	var attempts []*Attempt
	for n := range 3 {
		attempt, id := host.send(fmt.Sprint("q.", n), false)
		if n == 0 {
			host.up(id)
		}
		attempts = append(attempts, attempt)
	}
	writtenWhole(attempts[:2]...)
	conn := attempts[0].conn
	for _, attempt := range attempts {
		host.pool.Abandon(host.now, attempt)
		host.pool.Forget(host.now, attempt)
	}
	if running := conn.abandonedRunning(host.pool.now); running != 2 || len(host.abandoned) != 2 {
		t.Errorf("%d places are held, the replica was told of %v", running, host.abandoned)
	}
	if _, late := host.reply(conn.id, attempts[0]); !late || conn.abandonedRunning(host.pool.now) != 1 {
		t.Errorf("%d places are held after a late reply", conn.abandonedRunning(host.pool.now))
	}
	host.pool.now += time.Second
	if conn.abandonedRunning(host.pool.now) != 0 {
		t.Error("places are held for ever")
	}
}

// A hundred attempts are abandoned at once. The replica is told of a burst, and of the others at a steady rate; those
// hold their places until then.
func TestCancellationsInARushArePaced(t *testing.T) {
	host, conn := newSharedConn(t, 100)
	host.answersPings = true
	var attempts []*Attempt
	for n := range 100 {
		attempt, _ := host.send(fmt.Sprint("q.", n), false)
		writtenWhole(attempt)
		attempts = append(attempts, attempt)
	}
	for _, attempt := range attempts {
		host.pool.Abandon(host.now, attempt)
		host.pool.Forget(host.now, attempt)
	}
	told, held := len(host.abandoned), len(attempts[99].conn.outstanding)
	if told < int(cancelBurst) || told > int(cancelBurst)+1 || held != 100-told {
		t.Errorf("%d told, %d places held", told, held)
	}
	host.advance(time.Second)
	if told := len(host.abandoned); told < 85 || told > 92 {
		t.Errorf("%d told after a second", told)
	}
	host.advance(time.Second)
	if len(host.abandoned) != 100 || len(host.pool.conns[conn].outstanding) != 0 {
		t.Errorf("%d told in the end", len(host.abandoned))
	}
}
