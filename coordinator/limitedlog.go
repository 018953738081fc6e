package coordinator

import (
	"log"
	"time"
)

const maxLinesPerSecond = 10 // that replicas, peers and clients may cause

// limitedLog writes lines that others can cause as often as they like: some in each second, and then how many were
// left out. It belongs to the event loop.
type limitedLog struct {
	log         *log.Logger
	secondBegan time.Duration // loop time
	written     int           // lines in this second
	suppressed  int           // lines since then that were left out
}

func (limited *limitedLog) printf(now time.Duration, format string, args ...any) {
	if now-limited.secondBegan >= time.Second {
		limited.beginSecond(now)
	}
	if limited.written >= maxLinesPerSecond {
		limited.suppressed++
		return
	}
	limited.written++
	limited.log.Printf(format, args...)
}

func (limited *limitedLog) beginSecond(now time.Duration) {
	if limited.suppressed > 0 {
		limited.log.Printf("event=lines_suppressed n=%d", limited.suppressed)
	}
	limited.secondBegan = now
	limited.written = 0
	limited.suppressed = 0
}
