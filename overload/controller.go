// Package overload decides which share of arrivals a co-ordinator admits when its own core, not its replicas, is
// short.
//
// The Controller is told how long each admitted query waited for the event loop (ObserveQueueDelay) and how
// much of its CPU allowance the process uses (ObserveCPUUsage). Two rules set the share:
//
//   - A standing queue, as CoDel defines it (RFC 8289, section 4: the least delay within a window), lowers it. It falls
//     by multiplication, as in DAGOR (Zhou et al., SoCC 2018, section 4). It rises by addition or multiplication,
//     whichever is more, and only while no queue stands. A queue that drains
//     within a window, as after a stall or a burst, changes nothing.
//   - Without a standing queue the share moves so that the core is used to targetCoreUse, and rises to 1 once less
//     comes.
//
// The package does no I/O, has no clock and no goroutine.
package overload

import (
	"math"
	"time"
)

// The queue, and how the share follows it.
const (
	window           = 50 * time.Millisecond // in which the least delay counts; several iterations of a busy event loop
	targetDelay      = 20 * time.Millisecond // a least delay above it is a standing queue
	windowsToReact   = 2                     // with standing queues in a row; a stall shows in one
	gentlestDecrease = 0.95                  // factor on the share in a window with a delay near the target
	steepestDecrease = 0.75                  // the same with a delay far above the target
	delayExponent    = 0.25                  // between them the factor is targetDelay/delay to this power
)

// The core, and how the share follows it. The core stands for the process' whole CPU allowance; its use is
// a share of that, 0 to 1.
const (
	coreUseWeight     = 0.35  // weight of the latest measurement in the moving average: about three measurements count
	targetCoreUse     = 0.92  // while some arrivals are shed; the rest is for queries that are open already
	saturatedCoreUse  = 0.985 // from here on the core never rests, and what it lacks is not known
	busyCoreUse       = 0.75  // from here on what comes is no longer read at once
	saturatedDecrease = 0.92  // factor on the share at each measurement of a saturated core
	coreUseExponent   = 0.4   // above the target the factor is targetCoreUse/use to this power
	minIncrease       = 0.02  // of all arrivals, added at each measurement below the target
	maxIncrease       = 1.05  // factor on the share at such a measurement
	restingIncrease   = 1.25  // the same below busyCoreUse
	minShare          = 0.02  // if nothing were admitted nothing would show that the queue is gone
)

// How long what comes over sockets may wait before it is read.
const (
	busyReadDelay      = 10 * time.Millisecond  // the runtime polls the network so often when its core never rests
	saturatedReadDelay = 200 * time.Millisecond // assumed where the core never rests, as the delay is not known then
)

// Controller holds one co-ordinator's share. The zero value admits everything. It belongs to one goroutine.
type Controller struct {
	shed float64 // share of arrivals that is not admitted

	windowEnd       time.Duration // of the present window, since the process' start
	leastDelay      time.Duration // in it
	hasDelay        bool          // leastDelay is set
	standingWindows int           // windows in a row that had a standing queue

	coreUse float64 // moving average
}

// ObserveQueueDelay tells that a query came to its turn on the event loop, and how long it had waited for that.
func (controller *Controller) ObserveQueueDelay(now, delay time.Duration) {
	controller.Tick(now)
	if !controller.hasDelay || delay < controller.leastDelay {
		controller.leastDelay = delay
	}
	controller.hasDelay = true
}

// Tick tells the time. At the end of a window it lowers the share if a queue is standing; a window in which nothing
// came to its turn shows none.
func (controller *Controller) Tick(now time.Duration) {
	if now < controller.windowEnd {
		return
	}
	isStanding := controller.hasDelay && controller.leastDelay > targetDelay
	if isStanding {
		controller.standingWindows++
	} else {
		controller.standingWindows = 0
	}
	if controller.standingWindows >= windowsToReact {
		controller.setShare(controller.Share() * queueDecrease(controller.leastDelay))
	}
	controller.windowEnd = now + window
	controller.hasDelay = false
}

// queueDecrease is the factor on the share after a window with a standing queue.
func queueDecrease(delay time.Duration) float64 {
	factor := math.Pow(float64(targetDelay)/float64(delay), delayExponent)
	return max(steepestDecrease, min(gentlestDecrease, factor))
}

// ObserveCPUUsage tells which share of the core was used since the last call, and moves the share of arrivals by that.
// While a queue is standing only Tick moves it.
func (controller *Controller) ObserveCPUUsage(now time.Duration, use float64) {
	controller.coreUse += coreUseWeight * (use - controller.coreUse)
	controller.Tick(now)
	share := controller.Share()
	isOpen := share == 1 && controller.coreUse < saturatedCoreUse
	if isOpen || controller.standingWindows >= windowsToReact {
		return
	}
	controller.setShare(shareForCoreUse(share, controller.coreUse))
}

// shareForCoreUse is the share of arrivals that follows another at a use of the core.
func shareForCoreUse(share, use float64) float64 {
	switch {
	case use >= saturatedCoreUse:
		return share * saturatedDecrease
	case use > targetCoreUse:
		return share * math.Pow(targetCoreUse/use, coreUseExponent)
	case use < busyCoreUse:
		return max(share+minIncrease, share*restingIncrease)
	}
	increase := min(maxIncrease, targetCoreUse/use)
	return max(share+minIncrease, share*increase)
}

func (controller *Controller) setShare(share float64) {
	controller.shed = 1 - max(minShare, min(1, share))
}

// Share is the share of arrivals to admit, above 0 and up to 1.
func (controller *Controller) Share() float64 { return 1 - controller.shed }

// ReadDelay is how long what comes over sockets may wait before it is read, as the core is used now.
func (controller *Controller) ReadDelay() time.Duration {
	switch {
	case controller.coreUse >= saturatedCoreUse, controller.standingWindows > 0:
		return saturatedReadDelay
	case controller.coreUse >= busyCoreUse:
		return busyReadDelay
	}
	return 0
}

// Admits tells whether the n-th arrival, counted from 1, is admitted at a share. Of any number of arrivals in a row
// as many are admitted as the share says, within one, evenly spread.
func Admits(n uint64, share float64) bool {
	return share >= 1 || math.Floor(float64(n)*share) != math.Floor(float64(n-1)*share)
}
