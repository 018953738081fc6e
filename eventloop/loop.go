// Package eventloop runs functions one after the other on a single goroutine, so that the state they share needs no
// locks.
//
// Each iteration of a loop runs, in this order: the urgent functions posted by other goroutines, the functions
// scheduled with NextIteration during the previous iteration, the other functions posted, the timers that are due, and
// finally the owner's end-of-iteration function.
//
// The loop also detects that its process was stalled (a stopped machine, a starved core) or that an iteration took as
// long as a stall. Without that, timeouts and arrival times taken after a stall would be wrong; see
// Loop.EarliestArrival. After a stall no iteration starts before urgent input that has arrived is posted
// (WaitAfterStall), and other goroutines can wait until the loop has run again (IsBehind, AwaitIteration).
package eventloop

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"
)

const (
	inboxCapacity  = 256                   // posted functions waiting for an iteration; Post blocks while it is full
	urgentCapacity = 16                    // urgent ones; PostUrgent blocks while it is full
	maxIdle        = 20 * time.Millisecond // between iterations, so that a stall is detected soon after it ends
)

// Loop is an event loop. The goroutine of Run calls all functions passed to the loop. The loop's methods may be
// called from that goroutine only, unless their documentation says otherwise.
type Loop struct {
	start time.Time
	now   time.Duration // time of the current iteration, since start

	inbox    chan func()
	received []func() // taken from inbox and not called yet: one, or more after a panic
	urgent   chan func()
	taken    []func()      // taken from urgent and not called yet
	next     []func()      // to be called at the start of the next iteration
	current  []func()      // scheduled for the current iteration and not called yet
	ended    chan struct{} // closed when Run returns

	timers          timerHeap
	lastTimerNumber uint64            // number of the most recently set timer
	timersByName    map[string]*Timer // the most recently set timer of each name

	stall         stall
	lateBy        time.Duration // see LateBy
	lastCompleted time.Duration // time of the last iteration that ended without a panic
	caughtUp      func() bool   // see WaitAfterStall; may be nil

	iterated    *sync.Cond    // signalled when the fields below change; its mutex guards them
	running     bool          // Run is running
	urgentUntil time.Duration // time, since start, of the last iteration that has called its urgent functions
}

// New returns a loop whose clock starts now.
func New() *Loop {
	return &Loop{
		start:        time.Now(),
		inbox:        make(chan func(), inboxCapacity),
		urgent:       make(chan func(), urgentCapacity),
		ended:        make(chan struct{}),
		timersByName: map[string]*Timer{},
		iterated:     sync.NewCond(&sync.Mutex{}),
	}
}

// Post queues a function to be called in one of the next iterations, in the order of posting. It may be called from
// any goroutine except the loop's own: Post blocks while the inbox is full, so the loop would deadlock. Post returns
// false if the loop has ended and the function will never be called. True means only that the function was queued:
// it is not called if the loop ends first.
func (loop *Loop) Post(do func()) bool {
	select {
	case loop.inbox <- do:
		return true
	case <-loop.ended:
		return false
	}
}

// PostUrgent is Post for a function that has to be called before all others in its iteration. It blocks while too many
// of these wait.
func (loop *Loop) PostUrgent(do func()) bool {
	select {
	case loop.urgent <- do:
		return true
	case <-loop.ended:
		return false
	}
}

// Start returns the time at which the loop's clock started. It may be called from any goroutine.
func (loop *Loop) Start() time.Time { return loop.start }

// Since returns the time from the loop's start to at, by the monotonic clock. It may be called from any goroutine.
func (loop *Loop) Since(at time.Time) time.Duration { return at.Sub(loop.start) }

// Now returns the time of the current iteration. It does not change within an iteration.
func (loop *Loop) Now() time.Duration { return loop.now }

// NextIteration schedules a function for the start of the next iteration, which then follows without delay.
func (loop *Loop) NextIteration(do func()) { loop.next = append(loop.next, do) }

// TakeNextIteration removes and returns the functions scheduled with NextIteration that have not been called yet, in
// order. After a panic they include those that the interrupted iteration did not get to.
func (loop *Loop) TakeNextIteration() []func() {
	left := append(loop.current, loop.next...)
	loop.current, loop.next = nil, nil
	return left
}

// Run runs iterations until finished returns true. It calls endIteration at the end of each iteration. After a panic
// in an iteration it calls onPanic with the cause and continues with the next iteration, which also calls the posted
// functions that the interrupted one had taken from the inbox and not called. A panic in onPanic is ignored.
func (loop *Loop) Run(endIteration func(), onPanic func(cause string), finished func() bool) {
	clock := time.NewTimer(0)
	defer clock.Stop()
	defer close(loop.ended)
	loop.setRunning(true)
	defer loop.setRunning(false)
	for !finished() {
		loop.wait(clock)
		cause := Recover(func() { loop.RunIteration(func() {}, endIteration) })
		if cause != "" {
			Recover(func() { onPanic(cause) })
		}
	}
}

// wait blocks until the next iteration has something to do, for at most maxIdle. It detects stalls of the process
// during the wait and during the previous iteration.
func (loop *Loop) wait(clock *time.Timer) {
	if loop.now > 0 {
		loop.detectStallAndCatchUp(loop.now)
	}
	lastIterationTook := loop.lateBy
	waitFrom := loop.Since(time.Now())
	due := loop.nextDue(waitFrom)
	clock.Reset(max(0, due-waitFrom))
	select {
	case do := <-loop.inbox:
		loop.received = append(loop.received, do)
	case do := <-loop.urgent:
		loop.taken = append(loop.taken, do)
	case <-clock.C:
	}
	loop.detectStallAndCatchUp(max(due, waitFrom))
	loop.lateBy = max(loop.lateBy, lastIterationTook)
}

// nextDue returns the latest time at which the next iteration has to start.
func (loop *Loop) nextDue(now time.Duration) time.Duration {
	if len(loop.next) > 0 {
		return 0 // in the past, so that the iteration starts at once
	}
	due := now + maxIdle
	if len(loop.timers) > 0 {
		due = min(due, loop.timers[0].due)
	}
	return due
}

// RunIteration runs one iteration. It calls event after the functions scheduled with NextIteration and before the
// posted ones; Run passes an empty function, and tests that drive a loop without Run pass the event under test. Of
// the posted functions it calls those that are in the inbox when their turn comes; those posted later wait for the
// next iteration. RunIteration does not recover from panics.
func (loop *Loop) RunIteration(event, endIteration func()) {
	loop.now = loop.Since(time.Now())
	loop.callUrgent()
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
	loop.lastCompleted = loop.now
}

// callUrgent calls the urgent functions posted so far.
func (loop *Loop) callUrgent() {
	loop.takeUrgent()
	for len(loop.taken) > 0 {
		do := loop.taken[0]
		loop.taken = loop.taken[1:]
		do()
	}
	loop.iterated.L.Lock()
	loop.urgentUntil = loop.now
	loop.iterated.L.Unlock()
	loop.iterated.Broadcast()
}

func (loop *Loop) setRunning(running bool) {
	loop.iterated.L.Lock()
	loop.running = running
	loop.iterated.L.Unlock()
	loop.iterated.Broadcast()
}

// takeUrgent takes the urgent functions from their queue, so that their senders need not wait.
func (loop *Loop) takeUrgent() {
	for waiting := len(loop.urgent); waiting > 0; waiting-- {
		loop.taken = append(loop.taken, <-loop.urgent)
	}
}

// Receive waits for the next posted function and returns it without calling it. It is meant for tests that drive a
// loop without Run.
func (loop *Loop) Receive() func() { return <-loop.inbox }

// AdvanceClock moves the loop's clock forward, as if the loop had started earlier. It is meant for tests.
func (loop *Loop) AdvanceClock(by time.Duration) { loop.start = loop.start.Add(-by) }

// Recover calls a function. If the function panics, Recover returns the panic value and the stack as text; otherwise
// it returns an empty string.
func Recover(call func()) (cause string) {
	defer func() {
		if value := recover(); value != nil {
			cause = fmt.Sprintf("%v: %s", value, debug.Stack())
		}
	}()
	call()
	return ""
}
