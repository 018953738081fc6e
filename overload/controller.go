// Package overload decides which share of arriving queries a co-ordinator admits while the co-ordinator itself, not
// its replicas, is short of CPU.
//
// Inputs are the time that each admitted query waited for the event loop (ObserveQueueDelay) and the fraction of its
// CPU allowance that the process uses (ObserveCPUUsage). Two rules set the share:
//
//   - A standing queue lowers it. A queue is standing, as in CoDel (RFC 8289, section 4), if the minimum delay within
//     a window is above a target. The decrease is multiplicative, as in DAGOR (Zhou et al., SoCC 2018, section 4). A
//     queue that drains within a window, as after a stall or a burst, changes nothing.
//   - Without a standing queue the share follows CPU usage. A saturated CPU lowers it. Once it is below 1, it is
//     adjusted until usage is at targetCPUUsage, and rises to 1 again when the load falls. An increase is additive or
//     multiplicative, whichever is larger.
//
// The package does no I/O, reads no clock and starts no goroutine.
package overload

import (
	"math"
	"time"
)

// How the share reacts to the queue.
const (
	window           = 50 * time.Millisecond // for the minimum delay; several iterations of a busy event loop
	targetDelay      = 20 * time.Millisecond // a minimum delay above it means a standing queue
	windowsToReact   = 2                     // consecutive windows with a standing queue to react to; stalls affect one
	smallestDecrease = 0.95                  // factor on the share after a window with a delay near the target
	largestDecrease  = 0.75                  // the same for a delay far above the target
	delayExponent    = 0.25                  // between the two, the factor is targetDelay/delay to this power
)

// How the share reacts to CPU usage, which is the used fraction of the process's CPU allowance, 0 to 1.
const (
	cpuUsageWeight    = 0.35  // weight of the latest measurement in the moving average; about three measurements count
	targetCPUUsage    = 0.92  // while shedding; the rest is left to queries that are already open
	saturatedCPUUsage = 0.985 // from here on the CPU is never idle, so the excess of load cannot be measured
	busyCPUUsage      = 0.75  // from here on arriving data is no longer read at once
	saturatedDecrease = 0.92  // factor on the share at each measurement of a saturated CPU
	cpuUsageExponent  = 0.4   // above the target the factor is targetCPUUsage/usage to this power
	minIncrease       = 0.02  // smallest increase of the share at each measurement below the target
	maxIncrease       = 1.05  // largest factor on the share between busyCPUUsage and the target
	idleIncrease      = 1.25  // factor on the share below busyCPUUsage
	minShare          = 0.02  // if nothing were admitted, the end of the queue could not be observed
)

// How long data may wait in sockets before it is read.
const (
	busyReadDelay      = 10 * time.Millisecond  // interval of the Go runtime's network polls while no core is idle
	saturatedReadDelay = 200 * time.Millisecond // assumed with a saturated CPU or standing queue; the delay is unknown
)

// Controller holds the admitted share of one co-ordinator. The zero value admits everything. It must be used from one
// goroutine only.
type Controller struct {
	shed float64 // share of arrivals that is not admitted

	windowEnd       time.Duration // end of the current window, since the start of the process
	minDelay        time.Duration // minimum delay in the current window
	hasDelay        bool          // minDelay is set
	standingWindows int           // consecutive windows with a standing queue

	cpuUsage float64 // moving average
}

// ObserveQueueDelay records how long a query waited until the event loop handled it.
func (controller *Controller) ObserveQueueDelay(now, delay time.Duration) {
	controller.Tick(now)
	if !controller.hasDelay || delay < controller.minDelay {
		controller.minDelay = delay
	}
	controller.hasDelay = true
}

// Tick advances the controller's time. At the end of a window it lowers the share if a queue is standing. A window
// without any observed delay counts as one without a standing queue.
func (controller *Controller) Tick(now time.Duration) {
	if now < controller.windowEnd {
		return
	}
	isStanding := controller.hasDelay && controller.minDelay > targetDelay
	if isStanding {
		controller.standingWindows++
	} else {
		controller.standingWindows = 0
	}
	if controller.standingWindows >= windowsToReact {
		controller.setShare(controller.Share() * queueDecreaseFactor(controller.minDelay))
	}
	controller.windowEnd = now + window
	controller.hasDelay = false
}

// queueDecreaseFactor returns the factor on the share after a window with a standing queue.
func queueDecreaseFactor(delay time.Duration) float64 {
	factor := math.Pow(float64(targetDelay)/float64(delay), delayExponent)
	return max(largestDecrease, min(smallestDecrease, factor))
}

// ObserveCPUUsage records which fraction of the CPU allowance was used since the last call, and adjusts the share of
// admitted arrivals. While a queue is standing, only Tick adjusts it. While everything is admitted, only a saturated
// CPU changes that.
func (controller *Controller) ObserveCPUUsage(now time.Duration, usage float64) {
	controller.cpuUsage += cpuUsageWeight * (usage - controller.cpuUsage)
	controller.Tick(now)
	share := controller.Share()
	admitsAll := share == 1 && controller.cpuUsage < saturatedCPUUsage
	if admitsAll || controller.standingWindows >= windowsToReact {
		return
	}
	controller.setShare(shareForCPUUsage(share, controller.cpuUsage))
}

// shareForCPUUsage returns the next share of admitted arrivals, given the current share and CPU usage.
func shareForCPUUsage(share, usage float64) float64 {
	switch {
	case usage >= saturatedCPUUsage:
		return share * saturatedDecrease
	case usage > targetCPUUsage:
		return share * math.Pow(targetCPUUsage/usage, cpuUsageExponent)
	case usage < busyCPUUsage:
		return max(share+minIncrease, share*idleIncrease)
	}
	increase := min(maxIncrease, targetCPUUsage/usage)
	return max(share+minIncrease, share*increase)
}

func (controller *Controller) setShare(share float64) {
	controller.shed = 1 - max(minShare, min(1, share))
}

// Share returns the share of arrivals to admit, above 0 and up to 1.
func (controller *Controller) Share() float64 { return 1 - controller.shed }

// ReadDelay estimates how long data may currently wait in sockets before it is read.
func (controller *Controller) ReadDelay() time.Duration {
	switch {
	case controller.cpuUsage >= saturatedCPUUsage, controller.standingWindows > 0:
		return saturatedReadDelay
	case controller.cpuUsage >= busyCPUUsage:
		return busyReadDelay
	}
	return 0
}

// Admits reports whether the n-th arrival, counted from 1, is admitted at a share. The admitted arrivals are evenly
// spread: of any number of consecutive arrivals the share is admitted, give or take one.
func Admits(n uint64, share float64) bool {
	return share >= 1 || math.Floor(float64(n)*share) != math.Floor(float64(n-1)*share)
}
