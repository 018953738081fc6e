package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// minLoopDelay is the minimum delay of the event loop that excuses a query that is still open at its deadline: the loop
// fails queries from 20 ms before their deadline on and checks every 10 ms.
const minLoopDelay = 10 * time.Millisecond

// loopPanic is the log line that is no violation if the program panics on purpose.
const loopPanic = "event=loop_panic"

// logViolationMarkers are texts that are a violation if they appear in a program's log.
var logViolationMarkers = []string{
	"event=violation",
	loopPanic,
	"event=client_panic",
	"panic:",
	"DATA RACE",
	"fatal error",
}

const (
	maxQuotedLogBytes = 600
	maxQuotedLogLines = 30
)

// checkLog checks the log of a process that has ended, and saves it if a log folder is set.
func (s *Soak) checkLog(coordinator *coordinator, process *process) {
	log := process.program.Log()
	for _, marker := range logViolationMarkers {
		start := strings.Index(log, marker)
		if start < 0 || s.options.ExpectPanics && marker == loopPanic {
			continue
		}
		quoted := log[start:min(len(log), start+maxQuotedLogBytes)]
		s.violated(RuleLog, "", "%s logged %s", coordinator.name, lastLines(quoted, maxQuotedLogLines))
	}
	for line := range strings.Lines(log) {
		if delay, logged := loopDelay(line); logged && delay < minLoopDelay {
			s.violated(RuleLog, "", "%s left a query open until its deadline: %s", coordinator.name, line)
		}
	}
	s.saveLog(coordinator, process, log)
}

// loopDelay returns the delay of the event loop that a log line states. A delay that cannot be parsed counts as 0.
func loopDelay(line string) (delay time.Duration, logged bool) {
	_, value, logged := strings.Cut(strings.TrimSpace(line), "loop_late=")
	if !logged {
		return 0, false
	}
	delay, _ = time.ParseDuration(value)
	return delay, true
}

func (s *Soak) saveLog(coordinator *coordinator, process *process, log string) {
	if s.options.LogFolder == "" {
		return
	}
	name := fmt.Sprintf("seed%d-%s-%d.log", s.seed, coordinator.name, process.startedAt.Milliseconds())
	if err := os.WriteFile(filepath.Join(s.options.LogFolder, name), []byte(log), 0o600); err != nil {
		s.violated(RuleHarness, "", "saving the log: %v", err)
	}
}

// lastLines returns at most limit lines from the end of a text, joined into one line.
func lastLines(text string, limit int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-limit):], " / ")
}
