package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// minLoopDelay is by how much the event loop must be late for a query to be open at its deadline: it fails queries from
// 20 ms before their deadline on, and looks every 10 ms.
const minLoopDelay = 10 * time.Millisecond

// loopPanic is what a program that panics on purpose may log.
const loopPanic = "event=loop_panic"

// violationsInLogs are words of a program's log that are violations of their own.
var violationsInLogs = []string{
	"event=violation",
	loopPanic,
	"event=client_panic",
	"panic:",
	"DATA RACE",
	"fatal error",
}

const (
	quotedLogBytes = 600
	quotedLogLines = 30
)

// readLog judges the log of a process that has ended, and keeps it if the options say so.
func (s *Soak) readLog(coordinator *coordinator, process *process) {
	log := process.program.Log()
	for _, words := range violationsInLogs {
		at := strings.Index(log, words)
		if at < 0 || s.options.ExpectPanics && words == loopPanic {
			continue
		}
		quoted := log[at:min(len(log), at+quotedLogBytes)]
		s.violated(RuleLog, "", "%s says %s", coordinator.name, lastLines(quoted, quotedLogLines))
	}
	for line := range strings.Lines(log) {
		if delay, logged := loopDelay(line); logged && delay < minLoopDelay {
			s.violated(RuleLog, "", "%s left a query open until its deadline: %s", coordinator.name, line)
		}
	}
	s.keepLog(coordinator, process, log)
}

// loopDelay is by how much a log line says that the event loop was late; a delay that cannot be read counts as none.
func loopDelay(line string) (delay time.Duration, logged bool) {
	_, value, logged := strings.Cut(strings.TrimSpace(line), "loop_late=")
	if !logged {
		return 0, false
	}
	delay, _ = time.ParseDuration(value)
	return delay, true
}

func (s *Soak) keepLog(coordinator *coordinator, process *process, log string) {
	if s.options.LogFolder == "" {
		return
	}
	name := fmt.Sprintf("seed%d-%s-%d.log", s.seed, coordinator.name, process.started.Milliseconds())
	if err := os.WriteFile(filepath.Join(s.options.LogFolder, name), []byte(log), 0o600); err != nil {
		s.violated(RuleHarness, "", "log: %v", err)
	}
}

// lastLines are the last lines of a text, at most so many, on one line.
func lastLines(text string, most int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-most):], " / ")
}
