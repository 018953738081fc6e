package coordinator

import (
	"syscall"
	"time"
)

const cpuMeterInterval = 50 * time.Millisecond // between measurements of this process' CPU use

// cpuMeter measures how much of its CPU allowance this process uses. It belongs to the event loop.
type cpuMeter struct {
	cores      float64       // allowance, rounded up
	usedShare  float64       // of the allowance, between the last two measurements
	measuredAt time.Duration // loop time
	cpuTime    time.Duration // used by this process until then, in user and system mode
}

// measure takes a measurement if one is due, and reports whether usedShare is new.
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
