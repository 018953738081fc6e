package main

import (
	"bufio"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against requests that SIGKILL finds unanswered: the process is held up as it stops taking requests, and one that came
// meanwhile on an open connection has a deadline behind the earliest SIGKILL. Its replica never answers, so an early final
// answer is all that its client can get.
func TestRequestsDuringShutdownAreAnsweredBeforeTheEarliestKill(t *testing.T) {
	const (
		deadline     = 420 * time.Millisecond
		earliestKill = 700*time.Millisecond + deadline // after SIGTERM; the protocol page
	)
	shortDeadlines := strings.ReplaceAll(settings, `"aim":2000000,"deadline":30000000`, `"aim":200000,"deadline":420000`)
	replica := newReplica(t, "s-a", 0, silent)
	program, _ := startDeployment(t, shortDeadlines, replica)
	client := program.connect()
	terminated := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(terminated.Add(after))) }
	program.cmd.Process.Signal(syscall.SIGTERM)
	at(650 * time.Millisecond)
	program.cmd.Process.Signal(syscall.SIGSTOP)
	at(760 * time.Millisecond)
	client.send(query("look", "q1", deadline.Seconds(), 3))
	at(800 * time.Millisecond)
	program.cmd.Process.Signal(syscall.SIGCONT)
	time.AfterFunc(time.Until(terminated.Add(earliestKill)), func() { program.cmd.Process.Kill() })
	response, err := http.ReadResponse(bufio.NewReader(client.Conn), nil)
	if err != nil {
		t.Fatalf("no answer %v after SIGTERM: %v", time.Since(terminated), err)
	}
	response.Body.Close()
	if response.StatusCode < http.StatusInternalServerError {
		t.Errorf("status %d", response.StatusCode)
	}
}

// Guards against a shutdown that a later signal interrupts: the platform repeats SIGTERM, and sends SIGHUP for a new
// configuration in between. The process ends as after one SIGTERM, with status 0.
func TestSignalsInSeriesDoNotInterruptAShutdown(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(query("look", "q1", 10, 3))
	program.cmd.Process.Signal(syscall.SIGTERM)
	client.expect(map[int]string{3: value(replica, 3)})
	for n := 0; ; n++ {
		select {
		case <-program.done:
			program.expectExit(t)
			return
		case <-time.After(100 * time.Microsecond):
			program.cmd.Process.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[n%3])
		}
	}
}
