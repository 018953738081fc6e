package coordinator

import (
	"fmt"
	"runtime/debug"
	"slices"
	"time"
)

const (
	inboxRoom  = 256                   // happenings that wait for the next turn; who brings more waits itself
	beat       = 20 * time.Millisecond // between turns at the most, so that a standstill is noticed
	standstill = 30 * time.Millisecond // a turn that comes so much late shows one; more than a busy core's doing
	catchUp    = 2 * time.Millisecond  // for the readers to bring what came meanwhile
)

// turns runs what happens, one thing after the other, on the one goroutine that owns the module.
type turns struct {
	born   time.Time
	now    time.Duration // of the present turn
	inbox  chan func()
	next   []func() // what the module is told at the start of the next turn
	timers []*timer // by time due

	stoodFrom, stoodTo time.Duration // the last standstill of this process
	ended              chan struct{}
}

type timer struct {
	due  time.Duration
	name string // of a look that the module asked for; two alike are one
	do   func()
}

func newTurns() turns {
	return turns{born: time.Now(), inbox: make(chan func(), inboxRoom), ended: make(chan struct{})}
}

// post hands over what has happened, from any goroutine. It waits while the inbox is full, and tells
// whether anybody will still look at it.
func (t *turns) post(do func()) bool {
	select {
	case t.inbox <- do:
		return true
	case <-t.ended:
		return false
	}
}

func (t *turns) since(at time.Time) time.Duration { return at.Sub(t.born) }

// after has something done in a later turn; it returns nil if that is so already.
func (t *turns) after(in time.Duration, name string, do func()) *timer {
	due := t.now + max(0, in)
	at, _ := slices.BinarySearchFunc(t.timers, due, func(o *timer, due time.Duration) int {
		if o.due <= due {
			return -1
		}
		return 1
	})
	if name != "" && at > 0 && t.timers[at-1].due == due && t.timers[at-1].name == name {
		return nil
	}
	set := &timer{due, name, do}
	t.timers = slices.Insert(t.timers, at, set)
	return set
}

// callOff lets go of a timer and of all that it holds.
func (t *turns) callOff(o *timer) {
	if at := slices.Index(t.timers, o); at >= 0 {
		t.timers = slices.Delete(t.timers, at, at+1)
	}
}

// run takes turns until over says that nothing is left to do. In each, all that waits is told, in the
// order in which it came, then the timers that are due, and then ends is called; broken takes what panicked.
func (t *turns) run(ends func(), broken func(cause string), over func() bool) {
	clock := time.NewTimer(0)
	defer clock.Stop()
	defer close(t.ended)
	for !over() {
		due := time.Since(t.born) + beat
		if len(t.timers) > 0 {
			due = min(due, t.timers[0].due)
		}
		if len(t.next) > 0 {
			due = 0
		}
		before := time.Since(t.born)
		clock.Reset(max(0, due-before))
		first := func() {}
		select {
		case first = <-t.inbox:
		case <-clock.C:
		}
		t.noteStandstill(max(due, before))
		if cause := guard(func() { t.turn(first, ends) }); cause != "" {
			guard(func() { broken(cause) })
		}
	}
}

// noteStandstill has the readers catch up if this turn comes far too late. Guards against: time-outs told of
// legs whose replies are in but unread. Should also cover: requests that waited unread, which count from its
// start (see cameAt). Could hurt: by a few milliseconds on a starved machine.
func (t *turns) noteStandstill(due time.Duration) {
	if now := time.Since(t.born); now-due > standstill {
		time.Sleep(catchUp)
		t.stoodFrom, t.stoodTo = due, time.Since(t.born)
	}
}

// cameAt is when something that was read at a time came at the earliest: what is read at the end of a
// standstill may have waited since its start.
func (t *turns) cameAt(read time.Duration) time.Duration {
	if t.stoodTo > 0 && read >= t.stoodFrom && read <= t.stoodTo+catchUp {
		return t.stoodFrom
	}
	return read
}

// guard calls a function and returns the cause if that panicked.
func guard(call func()) (cause string) {
	defer func() {
		if r := recover(); r != nil {
			cause = fmt.Sprintf("%v: %s", r, debug.Stack())
		}
	}()
	call()
	return ""
}

// turn is one turn.
func (t *turns) turn(first, ends func()) {
	t.now = time.Since(t.born)
	told := t.next
	t.next = nil
	for _, do := range told {
		do()
	}
	first()
	for waits := len(t.inbox); waits > 0; waits-- {
		(<-t.inbox)()
	}
	for len(t.timers) > 0 && t.timers[0].due <= t.now {
		due := t.timers[0]
		t.timers = slices.Delete(t.timers, 0, 1)
		due.do()
	}
	ends()
}
