package coordinator

import (
	"log"
	"math"
	"sync/atomic"
	"time"

	"terntray/overload"
)

const sheddingLogInterval = 5 * time.Second // minimum time between two shedding_load lines

// admission sheds load while this process itself is short of CPU, whatever capacity its replicas have. Package
// overload decides which share of the arrivals is admitted. admission supplies it with measurements and publishes the
// share to the goroutines of client connections, which reject the other arrivals, if possible without parsing them.
//
// Load shedding for lack of replica capacity is decided in package scheduler.
type admission struct {
	log *log.Logger

	// These belong to the event loop.
	controller overload.Controller
	cpu        cpuMeter
	loggedAt   time.Duration // time of the last shedding_load line

	// These are read and written by any goroutine.
	share    atomic.Uint64 // of arrivals to admit, as the bits of a float64
	arrivals atomic.Uint64 // total
	shed     atomic.Uint64 // total of arrivals that were not admitted
}

// start initializes admission, which at first admits everything. cores is the CPU allowance of the process; it is
// rounded up.
func (admission *admission) start(cores float64, logger *log.Logger) {
	admission.log = logger
	admission.cpu.cores = max(1, math.Ceil(cores))
	admission.loggedAt = -sheddingLogInterval
	admission.publish(admission.controller.Share())
}

// admit counts an arrival and reports whether it is admitted. It may be called from any goroutine.
func (admission *admission) admit() bool {
	if overload.Admits(admission.arrivals.Add(1), admission.publishedShare()) {
		return true
	}
	admission.shed.Add(1)
	return false
}

// isShedding reports whether some arrivals are not admitted. It may be called from any goroutine.
func (admission *admission) isShedding() bool { return admission.publishedShare() < 1 }

// observeQueueDelay records how long a query waited for the event loop after it was parsed.
func (admission *admission) observeQueueDelay(now, delay time.Duration) {
	admission.controller.ObserveQueueDelay(now, delay)
}

// update measures CPU usage if a measurement is due, and publishes the share. It is called at the end of each
// iteration and reports whether it took a measurement, which may have changed readDelay.
func (admission *admission) update(now time.Duration) (measured bool) {
	measured = admission.cpu.measure(now)
	if measured {
		admission.controller.ObserveCPUUsage(now, admission.cpu.usedShare)
	}
	share := admission.controller.Share()
	if share != admission.publishedShare() {
		admission.logShedding(now, share)
		admission.publish(share)
	}
	return measured
}

// readDelay returns an estimate of how long requests wait before they are read.
func (admission *admission) readDelay() time.Duration { return admission.controller.ReadDelay() }

func (admission *admission) logShedding(now time.Duration, share float64) {
	if share >= 1 || now < admission.loggedAt+sheddingLogInterval {
		return
	}
	admission.loggedAt = now
	admission.log.Printf("event=shedding_load share=%.2f reason=%q", share,
		"this process, not its replicas, is short of CPU; rejecting part of the arriving queries")
}

func (admission *admission) publish(share float64) { admission.share.Store(math.Float64bits(share)) }

func (admission *admission) publishedShare() float64 {
	return math.Float64frombits(admission.share.Load())
}
