// Standin2 runs the cases 6 to 10 of the review. It starts the co-ordinator with the command of the deploy file and is
// its clients, its replicas and its discovery agent, on loopback addresses. A case writes what happened to a record and
// exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// Exit statuses.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	troubleOff   = "0"
	caseArgument = 1
	argumentsMin = 4
)

// setup is what a case needs to run.
type setup struct {
	root    string // of the repository
	temp    string // a folder of its own
	trouble bool   // false: the same without the disruption
	record  *record
}

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// cases are the cases by name. An error means that the case could not run.
var cases = map[string]func(*setup) (verdict, error){
	"ended-watch":    endedWatch,
	"long-length":    longLength,
	"late-remainder": lateRemainder,
	"older-list":     olderList,
	"stuck-clients":  stuckClients,
}

// init keeps the main goroutine on the main thread, which lives as long as the process: it starts the co-ordinator, and
// the kernel's notice of a parent's death goes by the thread that started the child.
func init() { runtime.LockOSThread() }

func main() {
	os.Exit(run(os.Args))
}

// run runs the case of the command line: its name, the root of the repository and the path of the record.
func run(args []string) int {
	if len(args) < argumentsMin || cases[args[caseArgument]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		return exitNotRun
	}
	root, err := filepath.Abs(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temp, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temp)
	record, err := newRecord(args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != troubleOff
	record.add("case %s trouble=%t", args[caseArgument], trouble)
	result, err := cases[args[caseArgument]](&setup{root: root, temp: temp, trouble: trouble, record: record})
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case result.broken:
		record.add("BROKEN: %s", result.summary)
		fmt.Println("broken:", result.summary)
		return exitBroken
	}
	record.add("held: %s", result.summary)
	fmt.Println("held:", result.summary)
	return exitHeld
}

// record is the file in which a case notes what was sent, answered and run. It may be used from any goroutine.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes a line with the time since the start of the case in seconds.
func (record *record) add(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, args...))
}

func (record *record) close() {
	record.mu.Lock()
	defer record.mu.Unlock()
	_ = record.file.Close()
}
