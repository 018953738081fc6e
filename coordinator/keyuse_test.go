package coordinator

import (
	"testing"
	"time"

	"terntray/invariant"
	"terntray/scheduler"
)

const (
	testKeyWindow = 400 * time.Millisecond

	stillRunning scheduler.Outcome = -1 // in place of the outcome of an attempt that has none yet
)

// newKeyedAttempts returns a coordinator and several attempts of one keyed subquery. No attempt has been written.
func newKeyedAttempts(t *testing.T, count int) (*Coordinator, []*attemptState) {
	t.Helper()
	c := newCoordinatorWith(t, map[string]string{"lanes.0.effect": "token", "lanes.0.window": "400000"})
	c.receive(c.newClient(), newQuery("q", time.Minute, 0), 0)
	subquery := c.queriesByRequestID["q"].subqueries[0]
	for len(subquery.attempts) < count {
		c.StartAttempt(subquery.id, subquery.attempts[0].replica, time.Second)
	}
	return c, subquery.attempts
}

// Guards against a keyed subquery taking effect twice: the first attempt may wait for its connection while a hedge of
// it runs. Then it is the later one, and must be written within the window that began with the hedge.
func TestKeyedAttemptsAreWrittenWithinOneWindow(t *testing.T) {
	for _, test := range []struct {
		name  string
		age   time.Duration // of the other attempt's writing
		ended scheduler.Outcome
		want  bool
	}{
		{"within the window", testKeyWindow - 1, scheduler.Failed, true},
		{"after the window", testKeyWindow, scheduler.Failed, false},
		{"after a reset", testKeyWindow, scheduler.ConnectionReset, false},
		{"after a malformed reply", testKeyWindow, scheduler.MalformedReply, false},
		{"after a timeout", testKeyWindow, scheduler.TimedOut, false},
		{"after a rejection", testKeyWindow, scheduler.Overloaded, true},
		{"after a failed connect", testKeyWindow, scheduler.Unreachable, true},
		{"hedge within the window", testKeyWindow - 1, stillRunning, true},
		{"hedge after the window", testKeyWindow, stillRunning, false},
	} {
		for _, order := range [][]int{{0, 1}, {1, 0}} {
			c, attempts := newKeyedAttempts(t, 2)
			other, last := attempts[order[0]], attempts[order[1]]
			now := c.loop.Now()
			if !c.mayWrite(other, now) {
				t.Fatal("the only attempt may not be written")
			}
			if test.ended != stillRunning {
				c.markEnded(other, test.ended)
			}
			if got := c.mayWrite(last, now+test.age); got != test.want {
				t.Errorf("%s, attempt %d after attempt %d: may be written: %t", test.name, order[1], order[0], got)
			}
		}
	}
}

// The window begins with the first attempt that may have run, not with the last.
func TestKeyWindowBeginsWithTheFirstAttempt(t *testing.T) {
	c, attempts := newKeyedAttempts(t, 3)
	now := c.loop.Now()
	for n, age := range []time.Duration{0, testKeyWindow / 2} {
		if !c.mayWrite(attempts[n], now+age) {
			t.Fatalf("attempt %d may not be written", n)
		}
	}
	if c.mayWrite(attempts[2], now+testKeyWindow) {
		t.Error("an attempt may be written after the window of the first")
	}
	if refused := c.refusedWrites.take(); len(refused) != 1 || refused[0].reason != invariant.KeyExpired {
		t.Errorf("refused: %v", refused)
	}
}

// An attempt that is moved to another connection after an incomplete write is not in its own way.
func TestKeyedAttemptMayBeWrittenAgainAfterAnIncompleteWrite(t *testing.T) {
	c, attempts := newKeyedAttempts(t, 1)
	now := c.loop.Now()
	if !c.mayWrite(attempts[0], now) || !c.mayWrite(attempts[0], now+testKeyWindow) {
		t.Error("the only attempt may not be written")
	}
}
