package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// feed passes a controller the queue delay of one query per millisecond.
func feed(controller *Controller, from, to time.Duration, delayAt func(time.Duration) time.Duration) {
	for now := from; now < to; now += ms {
		controller.ObserveQueueDelay(now, delayAt(now))
	}
}

// constantDelay returns a function of time that always returns the same delay.
func constantDelay(delay time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return delay }
}

// The process stalls for two seconds again and again. Queries that arrived during a stall have waited long, but the
// queue drains within a window each time, so nothing may be shed.
func TestDrainingQueueShedsNothing(t *testing.T) {
	var controller Controller
	for n := range 100 {
		start := time.Duration(n) * 400 * ms
		drained := start + 45*ms
		feed(&controller, start, drained, func(now time.Duration) time.Duration { return 2*time.Second - now + start })
		feed(&controller, drained, start+400*ms, constantDelay(ms))
		if controller.Share() != 1 {
			t.Fatalf("share %v after stall %d", controller.Share(), n)
		}
	}
}

// Under a standing queue the share falls to half within a second and finally to its minimum. When the queue ends
// because no more queries arrive, the share has to recover without any arrival.
func TestStandingQueueShedsUntilItEnds(t *testing.T) {
	var controller Controller
	feed(&controller, 0, 1000*ms, constantDelay(30*ms))
	if controller.Share() > 0.5 {
		t.Errorf("share %v after a second of a standing queue", controller.Share())
	}
	feed(&controller, 1000*ms, 20*time.Second, constantDelay(30*ms))
	if math.Abs(controller.Share()-minShare) > 1e-9 {
		t.Errorf("share %v at last, want the minimum of %v", controller.Share(), minShare)
	}
	controller.Tick(21 * time.Second)
	for now := 21 * time.Second; now < 25*time.Second; now += 2 * window {
		controller.ObserveCPUUsage(now, 0.01)
	}
	if controller.Share() != 1 {
		t.Errorf("share %v four seconds after the end of the queue", controller.Share())
	}
}

// A server is offered up to three times its capacity. It must keep serving most of what it can, and no admitted query
// may wait longer than two seconds. Rejecting a query costs a fifth of serving it.
func TestOverloadedServerStaysBusyAndItsQueueShort(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.5, 3} {
		done, longestWait := serveUnderLoad(load)
		attainable := min(1, load)
		if load > 1 { // part of the capacity is spent on rejections
			attainable = (1 - rejectCost*load) / (1 - rejectCost)
		}
		want := 0.85 * 20 * attainable * serverCapacity
		if done < want || longestWait > 2 {
			t.Errorf("load %v: %.0f served, want %.0f; longest wait %.3f s", load, done, want, longestWait)
		}
	}
}

const (
	serverCapacity = 4000.0 // queries per second
	rejectCost     = 0.2    // as a fraction of the cost of serving a query
)

// serveUnderLoad simulates 20 s of a server under a load, which is a multiple of its capacity. It returns the number
// of queries served, and the longest wait in seconds after the first two seconds.
func serveUnderLoad(load float64) (done, longestWait float64) {
	var controller Controller
	random := rand.New(rand.NewPCG(uint64(load*10), 1))
	queued, used := 0.0, 0.0
	arrivals := uint64(0)
	const step = ms
	capacity := serverCapacity * step.Seconds()
	for now := time.Duration(0); now < 20*time.Second; now += step {
		left := capacity
		for range poisson(random, load*capacity) {
			arrivals++
			if Admits(arrivals, controller.Share()) {
				queued++
			} else {
				left -= rejectCost
			}
		}
		worked := max(0, min(queued, left))
		queued -= worked
		done += worked
		used += min(1, (capacity-left+worked)/capacity)
		wait := queued / serverCapacity
		controller.ObserveQueueDelay(now, time.Duration(wait*float64(time.Second)))
		if now%(100*ms) == 99*ms {
			controller.ObserveCPUUsage(now, used/100)
			used = 0
		}
		if now > 2*time.Second {
			longestWait = max(longestWait, wait)
		}
	}
	return done, longestWait
}

// poisson draws a number from the Poisson distribution with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	events := 0
	for left := mean - random.ExpFloat64(); left >= 0; left -= random.ExpFloat64() {
		events++
	}
	return events
}

// After any number of arrivals, the number admitted differs from the share of them by at most one.
func TestAdmitsMatchesShare(t *testing.T) {
	for _, share := range []float64{minShare, 0.1, 0.333, 0.5, 0.97, 1} {
		admitted := 0
		for n := uint64(1); n <= 10000; n++ {
			if Admits(n, share) {
				admitted++
			}
			if math.Abs(float64(admitted)-share*float64(n)) > 1.001 {
				t.Fatalf("share %v: %d of %d admitted", share, admitted, n)
			}
		}
	}
}
