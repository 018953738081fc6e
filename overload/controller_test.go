package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// feed has a query come to its turn in each millisecond.
func feed(controller *Controller, from, to time.Duration, delayAt func(time.Duration) time.Duration) {
	for now := from; now < to; now += ms {
		controller.ObserveQueueDelay(now, delayAt(now))
	}
}

// always is a delay that does not change.
func always(delay time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return delay }
}

// The process stands still for two seconds, again and again; what came meanwhile has waited long, but that queue
// drains within a window each time. Nothing is shed.
func TestQueueThatDrainsShedsNothing(t *testing.T) {
	var controller Controller
	for n := range 100 {
		start := time.Duration(n) * 400 * ms
		drained := start + 45*ms
		feed(&controller, start, drained, func(now time.Duration) time.Duration { return 2*time.Second - now + start })
		feed(&controller, drained, start+400*ms, always(ms))
		if controller.Share() != 1 {
			t.Fatalf("share %v after stall %d", controller.Share(), n)
		}
	}
}

// A queue stands: the share falls to half within a second, and to its least in the end. Then the queue is gone, as
// nothing comes in at all: the share has to come back without any arrival.
func TestStandingQueueShedsAndItsEndAdmitsAgain(t *testing.T) {
	var controller Controller
	feed(&controller, 0, 1000*ms, always(30*ms))
	if controller.Share() > 0.5 {
		t.Errorf("share %v after a second of a standing queue", controller.Share())
	}
	feed(&controller, 1000*ms, 20*time.Second, always(30*ms))
	if math.Abs(controller.Share()-minShare) > 1e-9 {
		t.Errorf("share %v at the least, want %v", controller.Share(), minShare)
	}
	controller.Tick(21 * time.Second)
	for now := 21 * time.Second; now < 25*time.Second; now += 2 * window {
		controller.ObserveCPUUsage(now, 0.01)
	}
	if controller.Share() != 1 {
		t.Errorf("share %v four seconds after the queue is gone", controller.Share())
	}
}

// A queue in front of one server gets up to three times what the server can do. The server goes on doing most of what
// it can, and what is admitted waits no longer than two seconds. Rejecting costs a fifth of serving.
func TestOverloadedServerStaysBusyAndItsQueueShort(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.5, 3} {
		done, longestWait := serveUnderLoad(load)
		attainable := min(1, load)
		if load > 1 { // serving some and rejecting the rest
			attainable = (1 - rejectCost*load) / (1 - rejectCost)
		}
		want := 0.85 * 20 * attainable * serverCapacity
		if done < want || longestWait > 2 {
			t.Errorf("load %v: %.0f done, want %.0f; longest wait %.3f s", load, done, want, longestWait)
		}
	}
}

const (
	serverCapacity = 4000.0 // queries a second
	rejectCost     = 0.2    // of a query that is served
)

// serveUnderLoad plays 20 s of a server at a load, in parts of its capacity. It returns how many queries were served,
// and the longest wait in seconds, after the first two.
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

// poisson draws how many events happen where so many are usual.
func poisson(random *rand.Rand, mean float64) int {
	events := 0
	for left := mean - random.ExpFloat64(); left >= 0; left -= random.ExpFloat64() {
		events++
	}
	return events
}

// Of any number of arrivals as many are admitted as the share says.
func TestAdmitsKeepsToTheShare(t *testing.T) {
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
