package coordinator

import (
	"log"
	"time"
)

const maxLinesPerSecond = 10 // of the lines that clients, replicas and peers can cause

// limitedLog writes a limited number of lines per second, and then the number of lines that were suppressed. It is
// used for events that others can cause at any rate. It belongs to the event loop.
type limitedLog struct {
	log         *log.Logger
	secondBegan time.Duration // loop time
	written     int           // lines written in this second
	suppressed  int           // lines suppressed in this second
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
