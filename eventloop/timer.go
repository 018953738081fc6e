package eventloop

import (
	"container/heap"
	"time"
)

// Timer is a function that a loop calls at a set time.
type Timer struct {
	due    time.Duration // since the loop's start
	number uint64        // in the order of creation; of timers due at the same time the lowest runs first
	index  int           // in the heap; -1 once called or cancelled
	do     func()
}

// After sets a timer that calls a function in the first iteration that starts after the delay. If a timer with the
// same non-empty name is already set for the same time, After sets none and returns nil.
func (loop *Loop) After(delay time.Duration, name string, do func()) *Timer {
	due := loop.now + max(0, delay)
	last := loop.timersByName[name]
	if name != "" && last != nil && last.index >= 0 && last.due == due {
		return nil
	}
	loop.lastTimerNumber++
	timer := &Timer{due: due, number: loop.lastTimerNumber, do: do}
	heap.Push(&loop.timers, timer)
	if name != "" {
		loop.timersByName[name] = timer
	}
	return timer
}

// Cancel removes a timer, so that what its function refers to can be collected. It does nothing if the timer is nil
// or was already called or cancelled.
func (loop *Loop) Cancel(timer *Timer) {
	if timer != nil && timer.index >= 0 {
		heap.Remove(&loop.timers, timer.index)
	}
}

// Timers returns the number of pending timers and the time at which the last of them is due. It is meant for tests.
func (loop *Loop) Timers() (count int, last time.Duration) {
	for _, timer := range loop.timers {
		last = max(last, timer.due)
	}
	return len(loop.timers), last
}

func (loop *Loop) runDueTimers() {
	for len(loop.timers) > 0 && loop.timers[0].due <= loop.now {
		heap.Pop(&loop.timers).(*Timer).do()
	}
}

// timerHeap implements heap.Interface, ordered by due time and then by order of creation.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(a, b int) bool {
	if h[a].due != h[b].due {
		return h[a].due < h[b].due
	}
	return h[a].number < h[b].number
}

func (h timerHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index = a
	h[b].index = b
}

func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	timer.index = -1
	return timer
}
