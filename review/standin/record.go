// Command review-standin plays the scenarios of the review. It starts the co-ordinator as the deploy file says and takes
// the place of its clients, replicas and discovery agent.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run. Its times are since the start of the run.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// note writes a line.
func (record *recorder) note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.out, "%9.4f ", time.Since(record.start).Seconds())
	fmt.Fprintf(record.out, format, args...)
	fmt.Fprintln(record.out)
}

// say writes a line to the record and to standard output.
func (record *recorder) say(format string, args ...any) {
	record.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (record *recorder) close() {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.out.Flush()
	record.file.Close()
}
