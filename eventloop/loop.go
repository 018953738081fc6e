// Package eventloop runs everything that happens in a process on one goroutine, one function after the other, so
// that the state which these functions use needs no locks.
//
// A loop takes iterations. Each runs, in this order: what NextIteration was given in the iteration before, what
// other goroutines have posted, the timers that are due, and at last the owner's own function. The loop decides
// nothing: it knows when functions run, not what they do.
//
// The loop also notices when its process stood still (a stopped machine, a starved core), because time-outs and the
// times of arrival that are taken after a stall would otherwise be wrong; see Loop.EarliestArrival.
package eventloop

import (
	"fmt"
	"runtime/debug"
	"time"
)

const (
	inboxCapacity = 256                   // posted functions that wait for an iteration; beyond it Post blocks
	maxIdle       = 20 * time.Millisecond // between iterations, so that a stall is noticed soon after its end
)

// Loop is an event loop. One goroutine, that of Run, calls everything that the loop is given, and only from there
// may its methods be called, except those that say otherwise.
type Loop struct {
	start time.Time
	now   time.Duration // time of the present iteration, since start

	inbox    chan func()
	received []func()      // taken from inbox and not called yet: one, or more after a panic
	next     []func()      // to be called at the start of the next iteration
	current  []func()      // the rest of those that the present iteration began with
	ended    chan struct{} // closed at the end of Run

	timers     timerHeap
	lastTimer  uint64            // number of the timer that was set last
	namedTimer map[string]*Timer // the one set last under each name

	stall     stall
	lateBy    time.Duration // see LateBy
	completed time.Duration // time of the last iteration that came to its end without a panic
}

// New makes a loop whose clock starts now.
func New() *Loop {
	return &Loop{
		start:      time.Now(),
		inbox:      make(chan func(), inboxCapacity),
		ended:      make(chan struct{}),
		namedTimer: map[string]*Timer{},
	}
}

// Post has a function called in an iteration soon, in the order of posting. It may be called from any goroutine but
// the loop's own, which would wait for itself, as Post blocks while the inbox is full. False says that the loop has
// ended and that the function is never called. True says no more than that the function is in the inbox: if the loop
// ends first, it is not called either.
func (loop *Loop) Post(do func()) bool {
	select {
	case loop.inbox <- do:
		return true
	case <-loop.ended:
		return false
	}
}

// Start is when the loop's clock began. It may be called from any goroutine.
func (loop *Loop) Start() time.Time { return loop.start }

// Since is the time between the start and a moment, by the monotonic clock. It may be called from any goroutine.
func (loop *Loop) Since(at time.Time) time.Duration { return at.Sub(loop.start) }

// Now is the time of the present iteration: the same for all that it calls.
func (loop *Loop) Now() time.Duration { return loop.now }

// NextIteration has a function called at the start of the next iteration, which follows at once.
func (loop *Loop) NextIteration(do func()) { loop.next = append(loop.next, do) }

// TakeNextIteration takes back what NextIteration was given and was not called yet, in order. After a panic that
// includes what the broken iteration had still to call.
func (loop *Loop) TakeNextIteration() []func() {
	left := append(loop.current, loop.next...)
	loop.current, loop.next = nil, nil
	return left
}

// Run takes iterations until finished reports that nothing is left to do. At the end of each it calls endIteration.
// After a panic in an iteration it calls onPanic with the cause and goes on: posted functions that the iteration
// had taken and not called are called in the next.
func (loop *Loop) Run(endIteration func(), onPanic func(cause string), finished func() bool) {
	clock := time.NewTimer(0)
	defer clock.Stop()
	defer close(loop.ended)
	for !finished() {
		loop.wait(clock)
		cause := Recover(func() { loop.RunIteration(func() {}, endIteration) })
		if cause != "" {
			Recover(func() { onPanic(cause) })
		}
	}
}

// wait waits until there is something to do in an iteration, and notes whether the process stood still meanwhile or
// in the iteration before.
func (loop *Loop) wait(clock *time.Timer) {
	if loop.now > 0 {
		loop.noteStallAndCatchUp(loop.now)
	}
	lastIterationTook := loop.lateBy
	waitFrom := loop.Since(time.Now())
	due := loop.nextDue(waitFrom)
	clock.Reset(max(0, due-waitFrom))
	select {
	case do := <-loop.inbox:
		loop.received = append(loop.received, do)
	case <-clock.C:
	}
	loop.noteStallAndCatchUp(max(due, waitFrom))
	loop.lateBy = max(loop.lateBy, lastIterationTook)
}

// nextDue is when the next iteration has to begin at the latest.
func (loop *Loop) nextDue(now time.Duration) time.Duration {
	if len(loop.next) > 0 {
		return 0
	}
	due := now + maxIdle
	if len(loop.timers) > 0 {
		due = min(due, loop.timers[0].due)
	}
	return due
}

// RunIteration runs one iteration. event is called after what NextIteration was given and before what was posted;
// Run passes an empty one, tests that drive a loop without Run pass what is to happen. It takes as many
// functions from the inbox as wait there when it comes to that; later ones wait for the next iteration. A panic is
// passed on to the caller.
func (loop *Loop) RunIteration(event, endIteration func()) {
	loop.now = loop.Since(time.Now())
	loop.current, loop.next = loop.next, nil
	for len(loop.current) > 0 {
		do := loop.current[0]
		loop.current = loop.current[1:]
		do()
	}
	event()
	for len(loop.received) > 0 {
		do := loop.received[0]
		loop.received = loop.received[1:]
		do()
	}
	for waiting := len(loop.inbox); waiting > 0; waiting-- {
		(<-loop.inbox)()
	}
	loop.runDueTimers()
	endIteration()
	loop.completed = loop.now
}

// Receive waits for the next posted function and returns it without calling it. It is for tests that drive a loop
// without Run.
func (loop *Loop) Receive() func() { return <-loop.inbox }

// AdvanceClock sets the loop's clock forward, as if it had been started earlier. It is for tests.
func (loop *Loop) AdvanceClock(by time.Duration) { loop.start = loop.start.Add(-by) }

// Recover calls a function and returns the cause, with the stack, if it panicked; else an empty string.
func Recover(call func()) (cause string) {
	defer func() {
		if value := recover(); value != nil {
			cause = fmt.Sprintf("%v: %s", value, debug.Stack())
		}
	}()
	call()
	return ""
}
