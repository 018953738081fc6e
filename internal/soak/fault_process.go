package soak

import (
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"terntray/internal/faultbuild"
)

// stopProcess briefly stops a process, up to three times.
func stopProcess(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	for range 1 + random.IntN(3) {
		process := coordinator.currentProcess()
		if process == nil || process.program.Ended() {
			return ""
		}
		from := soak.now()
		process.program.Signal(syscall.SIGSTOP)
		time.Sleep(drawDuration(random, 50*time.Millisecond, 150*time.Millisecond))
		process.program.Signal(syscall.SIGCONT)
		soak.ledger.addFault(faultSpan{FaultStop, coordinator.name, from, soak.now()})
		time.Sleep(drawDuration(random, 50*time.Millisecond, 200*time.Millisecond))
	}
	return coordinator.name
}

// withClaimedProcess claims a co-ordinator's process and injects a fault. It does nothing and returns "" if another
// fault has claimed the process or none is running.
func withClaimedProcess(soak *Soak, random *rand.Rand, inject func(coordinator *coordinator)) string {
	coordinator := soak.drawCoordinator(random)
	if !coordinator.claim() {
		return ""
	}
	defer coordinator.release()
	inject(coordinator)
	return coordinator.name
}

// terminateProcess performs a planned restart with idle clients connected, sometimes with a step of the wall clock.
func terminateProcess(soak *Soak, random *rand.Rand) string {
	return withClaimedProcess(soak, random, func(coordinator *coordinator) {
		idleClient := &client{soak: soak, random: random}
		for range 2 { // connections that send nothing or the start of a request until the process ends
			if conn := idleClient.dialTo(coordinator); conn != nil {
				defer conn.Close()
				io.WriteString(conn, "POST /look HTTP/1.1\r\n"[:random.IntN(10)])
			}
		}
		offset := drawWallClockOffset(random)
		if random.IntN(3) == 0 {
			wait := drawDuration(random, 0, 400*time.Millisecond)
			timer := time.AfterFunc(wait, func() { coordinator.faultPage.SetWallClockOffset(offset) })
			defer coordinator.faultPage.SetWallClockOffset(0)
			defer timer.Stop()
		}
		if soak.restarts {
			coordinator.terminateAtEarliestTerms(random)
		} else {
			coordinator.terminate(drawDuration(random, 200*time.Millisecond, 400*time.Millisecond))
		}
		soak.restart(coordinator)
	})
}

func killProcess(soak *Soak, random *rand.Rand) string {
	return withClaimedProcess(soak, random, func(coordinator *coordinator) {
		coordinator.kill()
		time.Sleep(drawDuration(random, 0, 300*time.Millisecond))
		soak.restart(coordinator)
	})
}

// restart starts a new process of a co-ordinator. A failure to start is a violation.
func (s *Soak) restart(coordinator *coordinator) {
	if err := coordinator.start(); err != nil {
		s.violated(RuleStart, "", "%v", err)
	}
}

// reloadProcess switches a co-ordinator to a new discovery agent; sometimes the old agent goes down soon after.
func reloadProcess(soak *Soak, random *rand.Rand) string {
	return withClaimedProcess(soak, random, func(coordinator *coordinator) {
		old := coordinator.agent()
		if err := coordinator.reload(); err != nil {
			soak.violated(RuleHarness, "", "reload: %v", err)
			return
		}
		if random.IntN(2) == 0 {
			time.Sleep(drawDuration(random, 0, 300*time.Millisecond))
			old.setDown(true)
		}
		time.Sleep(drawDuration(random, 0, time.Second))
	})
}

// wallClockOffsets are the amounts by which a wall clock is stepped.
var wallClockOffsets = []time.Duration{
	time.Hour, -time.Hour,
	3 * time.Second, -3 * time.Second,
	20 * time.Second, -20 * time.Second,
}

func drawWallClockOffset(random *rand.Rand) time.Duration {
	return wallClockOffsets[random.IntN(len(wallClockOffsets))]
}

// stepWallClock steps a co-ordinator's wall clock, and later back.
func stepWallClock(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	coordinator.faultPage.SetWallClockOffset(drawWallClockOffset(random))
	time.Sleep(drawDuration(random, 300*time.Millisecond, 3*time.Second))
	coordinator.faultPage.SetWallClockOffset(0)
	return coordinator.name
}

// failSystemCall returns an injector that briefly makes a system call fail, either always or one time in three.
func failSystemCall(setting faultbuild.Setting) injector {
	return func(soak *Soak, random *rand.Rand) string {
		coordinator := soak.drawCoordinator(random)
		rate := int64(faultbuild.Always)
		if random.IntN(2) == 0 {
			rate /= 3
		}
		coordinator.faultPage.Set(setting, rate)
		time.Sleep(drawDuration(random, 30*time.Millisecond, 300*time.Millisecond))
		coordinator.faultPage.Set(setting, soak.options.Rates[setting])
		return coordinator.name
	}
}

// lowerDescriptorLimit briefly lowers a process's limit on descriptors to the number that it has open.
func lowerDescriptorLimit(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	process := coordinator.currentProcess()
	if process == nil || process.program.Ended() {
		return ""
	}
	pid := process.program.PID()
	var original unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &original) != nil {
		return ""
	}
	lowered := original
	lowered.Cur = uint64(process.program.Descriptors())
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil)
	time.Sleep(drawDuration(random, 50*time.Millisecond, 300*time.Millisecond))
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &original, nil)
	return coordinator.name
}
