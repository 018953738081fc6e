package eventloop

import (
	"testing"
	"time"
)

// The process stands still while a request arrives, and reads it only afterwards. What is read at the end of the
// stall may have arrived at its beginning and counts from then; what is read well before or after it counts from
// its reading.
func TestArrivalsReadAfterAStallCountFromItsBeginning(t *testing.T) {
	loop := New()
	loop.AdvanceClock(10 * time.Second)
	loop.noteStallAndCatchUp(9900 * time.Millisecond)
	if read := loop.Since(time.Now()); loop.EarliestArrival(read) != 9900*time.Millisecond {
		t.Errorf("read at %v, arrived at %v", read, loop.EarliestArrival(read))
	}
	for _, read := range []time.Duration{9 * time.Second, loop.stall.until + time.Second} {
		if loop.EarliestArrival(read) != read {
			t.Errorf("read at %v, arrived at %v", read, loop.EarliestArrival(read))
		}
	}
	punctual := New()
	punctual.noteStallAndCatchUp(punctual.Since(time.Now()))
	if punctual.stall.until != 0 {
		t.Error("an iteration in time counts as a stall")
	}
}

// The process is stopped in the midst of an iteration. That is a stall as well: what arrived meanwhile counts from
// its beginning, and nothing is timed out before it is read.
func TestStallWithinAnIterationIsNoticed(t *testing.T) {
	loop := New()
	finished := false
	var began, read time.Duration
	go loop.Post(func() {
		began = loop.Now()
		time.Sleep(150 * time.Millisecond) // as if stopped
		read = loop.Since(time.Now())
	})
	go func() {
		time.Sleep(300 * time.Millisecond)
		loop.Post(func() { finished = true })
	}()
	loop.Run(func() {}, func(string) {}, func() bool { return finished })
	if arrived := loop.EarliestArrival(read); arrived > began+10*time.Millisecond {
		t.Errorf("read at %v, arrived at %v, though it stood still from %v on", read, arrived, began)
	}
}
