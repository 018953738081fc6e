package eventloop

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// A request that arrives during a stall of the process is read only after it. Data read at the end of a stall must be
// dated to the start of the stall; data read well before or after it is dated to the time of reading.
func TestArrivalReadAfterStallIsDatedToItsStart(t *testing.T) {
	loop := New()
	loop.AdvanceClock(10 * time.Second)
	loop.detectStallAndCatchUp(9900 * time.Millisecond)
	if read := loop.Since(time.Now()); loop.EarliestArrival(read) != 9900*time.Millisecond {
		t.Errorf("read at %v, arrived at %v", read, loop.EarliestArrival(read))
	}
	for _, read := range []time.Duration{9 * time.Second, loop.stall.until + time.Second} {
		if loop.EarliestArrival(read) != read {
			t.Errorf("read at %v, arrived at %v", read, loop.EarliestArrival(read))
		}
	}
	punctual := New()
	punctual.detectStallAndCatchUp(punctual.Since(time.Now()))
	if punctual.stall.until != 0 {
		t.Error("an iteration that started on time was taken for a stall")
	}
}

// The process is stopped in the middle of an iteration. That is a stall as well: data that arrived meanwhile must be
// dated to its start, so that nothing times out before it is read.
func TestStallWithinIterationIsDetected(t *testing.T) {
	loop := New()
	finished := false
	var began, read time.Duration
	go loop.Post(func() {
		began = loop.Now()
		time.Sleep(150 * time.Millisecond) // simulates a stopped process
		read = loop.Since(time.Now())
	})
	go func() {
		time.Sleep(300 * time.Millisecond)
		loop.Post(func() { finished = true })
	}()
	loop.Run(func() {}, func(string) {}, func() bool { return finished })
	if arrived := loop.EarliestArrival(read); arrived > began+10*time.Millisecond {
		t.Errorf("read at %v, dated to %v, although the stall began at %v", read, arrived, began)
	}
}

// Guards against decisions by old input after a stall: urgent input has arrived, but its reader has not posted it yet.
// The next iteration must wait for it, and call it before everything else, whatever was posted first.
func TestIterationAfterStallWaitsForUrgentInput(t *testing.T) {
	loop := New()
	var calls []string
	var posted atomic.Bool
	loop.WaitAfterStall(posted.Load)
	loop.NextIteration(func() { calls = append(calls, "next") })
	loop.Post(func() { calls = append(calls, "posted") })
	time.AfterFunc(30*time.Millisecond, func() {
		loop.PostUrgent(func() { calls = append(calls, "urgent") })
		posted.Store(true)
	})
	loop.detectStallAndCatchUp(loop.Since(time.Now()) - time.Second)
	loop.RunIteration(func() {}, func() {})
	if got := fmt.Sprint(calls); got != "[urgent next posted]" {
		t.Errorf("called %s", got)
	}
}

// Urgent input that is never posted delays the iteration after a stall by maxCatchUp only, and more of it than the
// queue holds must not block its senders meanwhile.
func TestWaitForUrgentInputIsBounded(t *testing.T) {
	const count = 3 * urgentCapacity
	loop := New()
	loop.WaitAfterStall(func() bool { return false })
	called := 0
	go func() {
		for range count {
			loop.PostUrgent(func() { called++ })
		}
	}()
	began := time.Now()
	loop.detectStallAndCatchUp(loop.Since(began) - time.Second)
	const mostOnABusyMachine = 20 * maxCatchUp
	if took := time.Since(began); took < maxCatchUp || took > mostOnABusyMachine {
		t.Errorf("the loop waited %v", took)
	}
	loop.RunIteration(func() {}, func() {})
	if called != count {
		t.Errorf("%d of %d urgent functions were called", called, count)
	}
}

// A loop that runs is behind from behindThreshold after the start of its last iteration on. A loop that does not run
// yet, or has ended, is never behind: nothing would wait for it.
func TestIsBehind(t *testing.T) {
	loop := New()
	if loop.IsBehind(time.Hour) {
		t.Error("a loop that has not started is behind")
	}
	var now time.Duration
	loop.Post(func() {
		now = loop.Now()
		if loop.IsBehind(now+behindThreshold) || !loop.IsBehind(now+behindThreshold+1) {
			t.Error("wrong threshold")
		}
	})
	loop.Run(func() {}, func(string) {}, func() bool { return now > 0 })
	if loop.IsBehind(time.Hour) {
		t.Error("a loop that has ended is behind")
	}
}
