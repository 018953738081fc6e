// Package overload decides how much of what arrives a co-ordinator lets in when its own core, not its replicas, is what is
// short. It is told how long each query that was let in had waited for the co-ordinator's turn, and how much of its
// core it uses, and keeps the share to let in. It promises that a queue which drains within a window never closes it (a standstill, a burst), that a
// standing queue halves the share within about four windows, and that the share comes back by itself once none stands.
// It does no I/O, has no clock and no goroutine.
//
// The signal is the standing queue of CoDel (RFC 8289, section 4: the least time that anything waited in a window);
// the reaction is the additive growth and multiplicative decrease of a share, as published of DAGOR (Zhou et al., SoCC
// 2018, section 4).
package overload

import (
	"math"
	"time"
)

const (
	window   = 50 * time.Millisecond  // between looks at the queue; several turns of a busy core
	standing = 20 * time.Millisecond  // least wait in a window that shows a standing queue: what a turn may be late anyway
	patience = 2                      // windows in a row with one before the share falls: a drained standstill shows in one
	falls    = 0.95                   // times the share in a window while a queue stands, at the most: half in 0.7 s
	drops    = 0.75                   // the same at the least, where the wait is far too long: half in 0.12 s
	follows  = 0.25                   // power of how much too long the wait is by which it falls in between
	eases    = 0.4                    // power of the excess use by which the share falls at a look: what is open goes on for a while
	presses  = 0.92                   // times the share at a look at a core that never rests: half in 0.4 s
	rises    = 0.02                   // of all that arrives, added in a step without either, at the least
	smooth   = 0.35                   // weight of the last look at the core: about three looks
	grows    = 1.05                   // times the share in such a step, at the most
	springs  = 1.25                   // the same while the core rests a quarter of the time or more
	goal     = 0.92                   // share of the core to be used while not all is let in; room for what is open
	full     = 0.985                  // share that shows a core that never rests
	strained = 0.75                   // share from which on what comes is no longer read at once
	unread   = 10 * time.Millisecond  // for what comes to be read then: the runtime's own poll when its core never rests
	stands   = 200 * time.Millisecond // the same where the core is full: what stands before it then is not known
	least    = 0.02                   // share; something must always come in, or nothing shows that the queue is gone
)

// Controller is one co-ordinator's. The zero value is open.
type Controller struct {
	closed  float64       // share that is not let in
	ends    time.Duration // of the present window
	waited  time.Duration // least in it so far
	seen    bool          // any in it
	used    float64       // share of the core, of late
	crowded int           // windows in a row with a standing queue
}

// QueueDelay tells that a query's turn came at a time since the start, after it had waited here.
func (g *Controller) QueueDelay(now, waited time.Duration) {
	g.Tick(now)
	if !g.seen || waited < g.waited {
		g.waited = waited
	}
	g.seen = true
}

// CoreUsed tells what share of the core was used since it was last told. The share let in follows it towards the goal.
func (g *Controller) CoreUsed(now time.Duration, used float64) {
	g.used += smooth * (used - g.used)
	g.Tick(now)
	switch share := g.Share(); {
	case g.crowded >= patience || share == 1 && g.used < full:
	case g.used >= full: // by how much too much comes is not known
		g.set(share * presses)
	case g.used > goal:
		g.set(share * math.Pow(goal/g.used, eases))
	case g.used < strained: // what stood before it is gone
		g.set(max(share+rises, share*springs))
	default:
		g.set(max(share+rises, share*min(grows, goal/max(g.used, rises))))
	}
}

func (g *Controller) set(share float64) { g.closed = 1 - max(least, min(1, share)) }

// ReadDelay is for how long what comes over sockets may wait unread, as the core is used.
func (g *Controller) ReadDelay() time.Duration {
	switch {
	case g.used >= full || g.crowded > 0:
		return stands
	case g.used >= strained:
		return unread
	}
	return 0
}

// Tick tells the time; it decides once for a window that is over, whatever came after it.
func (g *Controller) Tick(now time.Duration) {
	if now < g.ends {
		return
	}
	if g.seen && g.waited > standing {
		if g.crowded++; g.crowded >= patience {
			g.set(g.Share() * max(drops, min(falls, math.Pow(float64(standing)/float64(g.waited), follows))))
		}
	} else { // also where nothing came in
		g.crowded = 0
	}
	g.ends, g.seen = now+window, false
}

// Share is the share of arrivals to let in, above 0 and up to 1.
func (g *Controller) Share() float64 { return 1 - g.closed }

// Admits tells whether the n-th arrival, counted from 1, is let in at a share: of any n in a row, within one of the share,
// evenly spread.
func Admits(n uint64, share float64) bool {
	return share >= 1 || math.Floor(float64(n)*share) != math.Floor(float64(n-1)*share)
}
