package proof

import "time"

const (
	stallTick = 5 * time.Millisecond // between two looks at the clock

	// StallThreshold is the lateness above which a process was stalled; a busy core causes less.
	StallThreshold = 30 * time.Millisecond
)

// StallDetector detects that this process did not run for a while: the machine or its host gave it no processor. What
// clients measured meanwhile says nothing about the program.
type StallDetector struct {
	stop    chan struct{}
	ended   chan struct{}
	longest time.Duration // valid once ended is closed
}

// DetectStalls starts to look for stalls. The caller must call Stop.
func DetectStalls() *StallDetector {
	detector := &StallDetector{stop: make(chan struct{}), ended: make(chan struct{})}
	go detector.run()
	return detector
}

func (detector *StallDetector) run() {
	defer close(detector.ended)
	for isStopped := false; !isStopped; {
		start := time.Now()
		select {
		case <-detector.stop:
			isStopped = true
		case <-time.After(stallTick):
		}
		detector.longest = max(detector.longest, time.Since(start)-stallTick)
	}
}

// Stop ends the search and returns the longest stall.
func (detector *StallDetector) Stop() time.Duration {
	close(detector.stop)
	<-detector.ended
	return detector.longest
}
