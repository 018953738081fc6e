package eventloop

import (
	"testing"
	"time"
)

// An iteration panics before it calls the posted functions that it has taken from the inbox. The next iteration must
// call them. Otherwise an unrelated panic could leave a request unanswered or lose a change of the endpoint list.
func TestPostedFunctionsSurviveAPanic(t *testing.T) {
	for try := range 100 {
		loop := New()
		done := false
		finished := false
		loop.NextIteration(func() { panic("injected") })
		loop.inbox <- func() { done = true }
		time.AfterFunc(5*time.Millisecond, func() { loop.Post(func() { finished = true }) })
		loop.Run(func() {}, func(string) {}, func() bool { return finished })
		if !done {
			t.Fatalf("try %d: the posted function was not called", try)
		}
	}
}
