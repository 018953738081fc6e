package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxPendingLines = 4096        // further lines are dropped and counted
	flushTimeout    = time.Second // for writing the pending lines on Close
)

// asyncWriter writes log lines from a separate goroutine, so that logging never blocks the service. Otherwise a reader
// of the log that stops reading would fill the pipe and block the event loop at its next line. When too many lines are
// pending, further ones are dropped and their number is logged.
type asyncWriter struct {
	pending chan []byte
	dropped atomic.Int64  // since the last line that reported it
	done    chan struct{} // closed once all pending lines are written
}

func newAsyncWriter(output io.Writer) *asyncWriter {
	writer := &asyncWriter{pending: make(chan []byte, maxPendingLines), done: make(chan struct{})}
	go writer.run(output)
	return writer
}

func (writer *asyncWriter) run(output io.Writer) {
	defer close(writer.done)
	for line := range writer.pending {
		_, _ = output.Write(line) // there is nowhere to report an error
		if dropped := writer.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(output, "event=lines_dropped n=%d\n", dropped)
		}
	}
}

// Write queues a copy of a line. It never blocks and never fails.
func (writer *asyncWriter) Write(line []byte) (int, error) {
	select {
	case writer.pending <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the pending lines, waiting up to flushTimeout. Write must not be called after it.
func (writer *asyncWriter) Close() {
	close(writer.pending)
	select {
	case <-writer.done:
	case <-time.After(flushTimeout):
	}
}
