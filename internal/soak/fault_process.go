package soak

import (
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"terntray/internal/faultbuild"
)

// stopProcess stops a process for a moment, up to three times.
func stopProcess(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	for range 1 + random.IntN(3) {
		process := coordinator.current()
		if process == nil || process.program.Ended() {
			return ""
		}
		from := soak.now()
		process.program.Signal(syscall.SIGSTOP)
		time.Sleep(between(random, 50*time.Millisecond, 150*time.Millisecond))
		process.program.Signal(syscall.SIGCONT)
		soak.ledger.addFault(faultSpan{FaultStop, coordinator.name, from, soak.now()})
		time.Sleep(between(random, 50*time.Millisecond, 200*time.Millisecond))
	}
	return coordinator.name
}

// onProcess strikes a process that no other fault ends or starts meanwhile.
func onProcess(soak *Soak, random *rand.Rand, strike func(coordinator *coordinator)) string {
	coordinator := soak.drawCoordinator(random)
	if !coordinator.claim() {
		return ""
	}
	defer coordinator.release()
	strike(coordinator)
	return coordinator.name
}

// terminateProcess restarts a process as planned, with silent clients, and sometimes with a step of its wall clock.
func terminateProcess(soak *Soak, random *rand.Rand) string {
	return onProcess(soak, random, func(coordinator *coordinator) {
		silent := &client{soak: soak, random: random}
		for range 2 { // connections on which nothing comes, or half a request, until the process ends
			if conn := silent.dialTo(coordinator); conn != nil {
				defer conn.Close()
				io.WriteString(conn, "POST /look HTTP/1.1\r\n"[:random.IntN(10)])
			}
		}
		step := drawWallStep(random)
		if random.IntN(3) == 0 {
			wait := between(random, 0, 400*time.Millisecond)
			timer := time.AfterFunc(wait, func() { coordinator.page.SetWallClockOffset(step) })
			defer coordinator.page.SetWallClockOffset(0)
			defer timer.Stop()
		}
		coordinator.terminate(between(random, 200*time.Millisecond, 400*time.Millisecond))
		soak.startAgain(coordinator)
	})
}

func killProcess(soak *Soak, random *rand.Rand) string {
	return onProcess(soak, random, func(coordinator *coordinator) {
		coordinator.kill()
		time.Sleep(between(random, 0, 300*time.Millisecond))
		soak.startAgain(coordinator)
	})
}

// startAgain starts a coordinator's next process; a start that fails is a violation.
func (s *Soak) startAgain(coordinator *coordinator) {
	if err := coordinator.start(); err != nil {
		s.violated(RuleStart, "", "%v", err)
	}
}

// reloadProcess moves discovery to another agent; the old one sometimes falls silent soon after.
func reloadProcess(soak *Soak, random *rand.Rand) string {
	return onProcess(soak, random, func(coordinator *coordinator) {
		old := coordinator.agent()
		if err := coordinator.reload(); err != nil {
			soak.violated(RuleHarness, "", "reload: %v", err)
			return
		}
		if random.IntN(2) == 0 {
			time.Sleep(between(random, 0, 300*time.Millisecond))
			old.setDown(true)
		}
		time.Sleep(between(random, 0, time.Second))
	})
}

// wallSteps are by how much a wall clock is stepped.
var wallSteps = []time.Duration{
	time.Hour, -time.Hour,
	3 * time.Second, -3 * time.Second,
	20 * time.Second, -20 * time.Second,
}

func drawWallStep(random *rand.Rand) time.Duration { return wallSteps[random.IntN(len(wallSteps))] }

// stepWallClock steps a machine's wall clock, and later back.
func stepWallClock(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	coordinator.page.SetWallClockOffset(drawWallStep(random))
	time.Sleep(between(random, 300*time.Millisecond, 3*time.Second))
	coordinator.page.SetWallClockOffset(0)
	return coordinator.name
}

// failSystemCall has a system call fail for a moment: always, or one time of three.
func failSystemCall(setting faultbuild.Setting) strike {
	return func(soak *Soak, random *rand.Rand) string {
		coordinator := soak.drawCoordinator(random)
		rate := int64(faultbuild.Always)
		if random.IntN(2) == 0 {
			rate /= 3
		}
		coordinator.page.Set(setting, rate)
		time.Sleep(between(random, 30*time.Millisecond, 300*time.Millisecond))
		coordinator.page.Set(setting, soak.options.Rates[setting])
		return coordinator.name
	}
}

// lowerDescriptorLimit lowers a process's limit on descriptors for a moment to what it holds.
func lowerDescriptorLimit(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	process := coordinator.current()
	if process == nil || process.program.Ended() {
		return ""
	}
	pid := process.program.PID()
	var usual unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &usual) != nil {
		return ""
	}
	low := usual
	low.Cur = uint64(process.program.Descriptors())
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &low, nil)
	time.Sleep(between(random, 50*time.Millisecond, 300*time.Millisecond))
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &usual, nil)
	return coordinator.name
}
