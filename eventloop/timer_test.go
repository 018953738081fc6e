package eventloop

import (
	"fmt"
	"testing"
	"time"
)

// Timers are called in the order in which they are due. Of timers with the same name and time only one is set, and a
// cancelled timer is not called.
func TestTimersRunInOrderAndDuplicatesOnce(t *testing.T) {
	loop := New()
	var got []string
	add := func(delay time.Duration, name string) {
		loop.After(delay, name, func() { got = append(got, name) })
	}
	for _, delay := range []time.Duration{3, 1, 2, 1, 3} {
		add(delay*time.Millisecond, fmt.Sprint(int(delay)))
	}
	add(time.Hour, "never")
	loop.Cancel(loop.After(time.Millisecond, "", func() { got = append(got, "cancelled") }))
	time.Sleep(4 * time.Millisecond)
	loop.RunIteration(func() {}, func() {})
	if fmt.Sprint(got) != "[1 2 3]" || len(loop.timers) != 1 {
		t.Errorf("called %v, want [1 2 3]; %d timers are left, want 1", got, len(loop.timers))
	}
}
