package eventloop

import (
	"testing"
	"time"
)

// Functions are posted, and the iteration that has taken them panics before it comes to them. They are called in
// the next one: else a request would never be answered, or a change of the endpoint list be lost, because something
// else panicked.
func TestPanicLosesNothingThatWasPosted(t *testing.T) {
	for try := range 100 {
		loop := New()
		done := false
		finished := false
		loop.NextIteration(func() { panic("as if") })
		loop.inbox <- func() { done = true }
		time.AfterFunc(5*time.Millisecond, func() { loop.Post(func() { finished = true }) })
		loop.Run(func() {}, func(string) {}, func() bool { return finished })
		if !done {
			t.Fatalf("lost, at try %d", try)
		}
	}
}
