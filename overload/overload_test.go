package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// feed tells a gate of an arrival each millisecond.
func feed(g *Controller, from, to time.Duration, waited func(time.Duration) time.Duration) {
	for now := from; now < to; now += ms {
		g.QueueDelay(now, waited(now))
	}
}

func TestDrainedStandstillNeverCloses(t *testing.T) {
	var g Controller
	for n := range 100 {
		at := time.Duration(n) * 400 * ms
		feed(&g, at, at+45*ms, func(now time.Duration) time.Duration { return 2*time.Second - now + at })
		feed(&g, at+45*ms, at+400*ms, func(time.Duration) time.Duration { return ms })
		if g.Share() != 1 {
			t.Fatalf("share %v after standstill %d", g.Share(), n)
		}
	}
}

func TestStandingQueueClosesAndItsEndOpens(t *testing.T) {
	var g Controller
	feed(&g, 0, 1000*ms, func(time.Duration) time.Duration { return 30 * ms })
	if g.Share() > 0.5 {
		t.Errorf("share %v after a second of a standing queue", g.Share())
	}
	feed(&g, 1000*ms, 20*time.Second, func(time.Duration) time.Duration { return 30 * ms })
	if math.Abs(g.Share()-least) > 1e-9 {
		t.Errorf("share %v at the least, want %v", g.Share(), least)
	}
	g.Tick(21 * time.Second) // nothing comes in: it must open all the same
	for now := 21 * time.Second; now < 25*time.Second; now += 2 * window {
		g.CoreUsed(now, 0.01)
	}
	if g.Share() != 1 {
		t.Errorf("share %v four seconds after the queue is gone", g.Share())
	}
}

// A plain queue in front of one server: whatever comes, up to five times what it does, it goes on doing most of that
// and what is let in waits no longer than two seconds. Turning back costs a fifth of serving.
func TestServerBehindTheGateStaysBusyAndItsQueueShort(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.5, 3} {
		var g Controller
		rnd := rand.New(rand.NewPCG(uint64(load*10), 1))
		const capacity, turning = 4000.0, 0.2 // a second; of a serving
		queue, done, longest, came, used := 0.0, 0.0, 0.0, uint64(0), 0.0
		const step = ms
		for now := time.Duration(0); now < 20*time.Second; now += step {
			left := capacity * step.Seconds()
			room := left
			for range poisson(rnd, load*capacity*step.Seconds()) {
				came++
				if Admits(came, g.Share()) {
					queue++
				} else {
					left -= turning
				}
			}
			worked := max(0, min(queue, left))
			queue, done = queue-worked, done+worked
			used += min(1, (room-left+worked)/room)
			wait := queue / capacity
			g.QueueDelay(now, time.Duration(wait*float64(time.Second)))
			if now%(100*ms) == 99*ms {
				g.CoreUsed(now, used/100)
				used = 0
			}
			if now > 2*time.Second {
				longest = max(longest, wait)
			}
		}
		could := min(1, load)
		if load > 1 {
			could = (1 - turning*load) / (1 - turning) // serving some and turning back the rest
		}
		if want := 0.85 * 20 * could * capacity; done < want || longest > 2 {
			t.Errorf("load %v: %.0f done, want %.0f; longest wait %.3f s", load, done, want, longest)
		}
	}
}

func poisson(rnd *rand.Rand, mean float64) (n int) {
	for left := mean; ; n++ {
		if left -= rnd.ExpFloat64(); left < 0 {
			return n
		}
	}
}

func TestLetsKeepsToItsShare(t *testing.T) {
	for _, share := range []float64{least, 0.1, 0.333, 0.5, 0.97, 1} {
		in := 0
		for n := uint64(1); n <= 10000; n++ {
			if Admits(n, share) {
				in++
			}
			if math.Abs(float64(in)-share*float64(n)) > 1.001 {
				t.Fatalf("share %v: %d of %d let in", share, in, n)
			}
		}
	}
}
