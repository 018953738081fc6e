package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	linesWaiting = 4096        // lines; what comes while so many wait is dropped and counted
	lastLines    = time.Second // for those that wait at the end
)

// logs writes lines without ever holding up who logs. Guards against: a reader of the log that stops reading.
// Should also cover: one that goes away. Could hurt: lines lost in a flood, of which the log tells how many.
type logs struct {
	lines   chan []byte
	dropped atomic.Int64
	written chan struct{}
}

func newLogs(to io.Writer) *logs {
	l := &logs{lines: make(chan []byte, linesWaiting), written: make(chan struct{})}
	go func() {
		defer close(l.written)
		for line := range l.lines {
			to.Write(line)
			if n := l.dropped.Swap(0); n > 0 {
				fmt.Fprintf(to, "event=lines_dropped n=%d\n", n)
			}
		}
	}()
	return l
}

func (l *logs) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// end waits a moment for the lines that have not been written. Nothing may be logged after it.
func (l *logs) end() {
	close(l.lines)
	select {
	case <-l.written:
	case <-time.After(lastLines):
	}
}
