package eventloop

import (
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
