package coordinator

import (
	"log"
	"math"
	"sync/atomic"
	"time"

	"terntray/overload"
)

const sheddingLogInterval = 5 * time.Second // between two lines that say that load is shed

// admission sheds load while this process itself is short of CPU, whatever its replicas can do. Package overload
// decides which share of the arrivals is admitted; admission feeds it with measurements and publishes the share to
// the clients' goroutines, which reject the others, by their heads alone where these are simple.
//
// Shedding for want of replicas is not decided here but in package scheduler.
type admission struct {
	log *log.Logger

	// These belong to the event loop.
	controller overload.Controller
	cpu        cpuMeter
	loggedAt   time.Duration // the last line that says that load is shed

	// These are read and written by any goroutine.
	share    atomic.Uint64 // of arrivals to admit, as the bits of a float64
	arrivals atomic.Uint64 // so far
	shed     atomic.Uint64 // of them, not admitted
}

// start admits everything until measurements say otherwise. cores is the process' CPU allowance;
// it is rounded up.
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

// observeQueueDelay tells how long a query had waited for the event loop after it was read.
func (admission *admission) observeQueueDelay(now, delay time.Duration) {
	admission.controller.ObserveQueueDelay(now, delay)
}

// update follows the process' CPU use; it is called at the end of each iteration. It reports whether a measurement
// was due, which may have changed readDelay.
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

// readDelay is how long requests are estimated to wait unread.
func (admission *admission) readDelay() time.Duration { return admission.controller.ReadDelay() }

func (admission *admission) logShedding(now time.Duration, share float64) {
	if share >= 1 || now < admission.loggedAt+sheddingLogInterval {
		return
	}
	admission.loggedAt = now
	admission.log.Printf("event=shedding_load share=%.2f reason=%q", share,
		"this process is short of CPU, not the replicas: it rejects arrivals unread")
}

func (admission *admission) publish(share float64) { admission.share.Store(math.Float64bits(share)) }

func (admission *admission) publishedShare() float64 {
	return math.Float64frombits(admission.share.Load())
}
