package eventloop

import (
	"container/heap"
	"time"
)

// Timer is a function that is to be called at a time.
type Timer struct {
	due    time.Duration // since the loop's start
	number uint64        // in the order of setting; of two that are due at once the earlier goes first
	index  int           // in the heap; -1 once it was called or cancelled
	do     func()
}

// After has a function called in the first iteration that begins after a delay. Where a timer of the same name is
// already set for the same time, it sets none and returns nil; an empty name is never the same.
func (loop *Loop) After(delay time.Duration, name string, do func()) *Timer {
	due := loop.now + max(0, delay)
	last := loop.namedTimer[name]
	if name != "" && last != nil && last.index >= 0 && last.due == due {
		return nil
	}
	loop.lastTimer++
	timer := &Timer{due: due, number: loop.lastTimer, do: do}
	heap.Push(&loop.timers, timer)
	if name != "" {
		loop.namedTimer[name] = timer
	}
	return timer
}

// Cancel takes a timer back and releases what its function holds. It does nothing to one that is nil, was called or
// was cancelled before.
func (loop *Loop) Cancel(timer *Timer) {
	if timer != nil && timer.index >= 0 {
		heap.Remove(&loop.timers, timer.index)
	}
}

// Timers is how many timers are set, and when the last of them is due. It is for tests.
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

// timerHeap implements heap.Interface: by time due, then in the order of setting.
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
