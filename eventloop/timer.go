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
func (l *Loop) After(delay time.Duration, name string, do func()) *Timer {
	due := l.now + max(0, delay)
	last := l.namedTimer[name]
	if name != "" && last != nil && last.index >= 0 && last.due == due {
		return nil
	}
	l.lastTimer++
	timer := &Timer{due: due, number: l.lastTimer, do: do}
	heap.Push(&l.timers, timer)
	if name != "" {
		l.namedTimer[name] = timer
	}
	return timer
}

// Cancel takes a timer back and releases what its function holds. It does nothing to one that is nil, was called or
// was cancelled before.
func (l *Loop) Cancel(timer *Timer) {
	if timer != nil && timer.index >= 0 {
		heap.Remove(&l.timers, timer.index)
	}
}

// Timers is how many timers are set, and when the last of them is due.
func (l *Loop) Timers() (count int, last time.Duration) {
	for _, timer := range l.timers {
		last = max(last, timer.due)
	}
	return len(l.timers), last
}

func (l *Loop) runDueTimers() {
	for len(l.timers) > 0 && l.timers[0].due <= l.now {
		heap.Pop(&l.timers).(*Timer).do()
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
