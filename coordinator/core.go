package coordinator

import (
	"syscall"
	"time"
)

const coreEvery = 50 * time.Millisecond // between looks at this process's own core

// cpuMeter tells how much of its own processor this process uses. It belongs to the goroutine that takes the turns.
type cpuMeter struct {
	cores  float64 // it may use
	at     time.Duration
	before time.Duration // processor time used until then
	used   float64       // share of the cores between the last two looks
}

// look takes a look if it is time; it tells whether used is new.
func (k *cpuMeter) look(now time.Duration) bool {
	if now < k.at+coreEvery {
		return false
	}
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return false
	}
	sum := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	k.used = float64(sum-k.before) / (float64(now-k.at) * k.cores)
	k.at, k.before = now, sum
	return true
}
