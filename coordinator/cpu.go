package coordinator

import (
	"syscall"
	"time"
)

const cpuMeterInterval = 50 * time.Millisecond // between measurements of this process's CPU usage

// cpuMeter measures which share of its CPU allowance this process uses. It belongs to the event loop.
type cpuMeter struct {
	cores      float64       // CPU allowance, rounded up
	usedShare  float64       // share of the allowance used between the last two measurements
	measuredAt time.Duration // loop time of the last measurement
	cpuTime    time.Duration // user and system time used by this process until measuredAt
}

// measure takes a measurement if one is due, and reports whether it updated usedShare.
func (meter *cpuMeter) measure(now time.Duration) bool {
	if now < meter.measuredAt+cpuMeterInterval {
		return false
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return false
	}
	cpuTime := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	allowance := float64(now-meter.measuredAt) * meter.cores
	meter.usedShare = float64(cpuTime-meter.cpuTime) / allowance
	meter.measuredAt = now
	meter.cpuTime = cpuTime
	return true
}
