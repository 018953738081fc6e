package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxPendingLines = 4096        // lines; further ones are dropped and counted while so many wait
	flushTimeout    = time.Second // for the pending lines when the writer is closed
)

// asyncWriter writes log lines from a goroutine of its own, so that logging never blocks the service. Without it, a
// reader of the log that stops reading would fill the pipe and hold up the event loop at its next line. In a flood it
// drops lines instead and logs how many.
type asyncWriter struct {
	pending chan []byte
	dropped atomic.Int64  // since the last line that said so
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
		_, _ = output.Write(line) // there is nowhere to report an error to
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

// Close waits for the pending lines, for flushTimeout at the most. Nothing may be written after it.
func (writer *asyncWriter) Close() {
	close(writer.pending)
	select {
	case <-writer.done:
	case <-time.After(flushTimeout):
	}
}
