package scheduler

// Messages between co-ordinators: what they tell of their attempts, and what is made of it.

import (
	"fmt"
	"math"
	"time"
)

const (
	peersQuiet = 1 * time.Second        // without a message, after which none is counted on
	toldLate   = 2.0                    // times the expected time; from then on others are told how late
	tellWait   = 100 * time.Millisecond // from an attempt's end until the others are told, as messages cost
)

// waits is the work that other co-ordinators have out at a replica, by what they told of attempts sent and ended,
// less with time, as what is lost would stay. It stands in for the controller, which knows all work ahead.
func (c *Scheduler) waits(r *replicaState) time.Duration {
	return scale(r.peerWork, math.Exp(-float64(c.now-r.peerWorkAt)/float64(toldFresh)))
}

// GossipReceived takes what another co-ordinator says of its attempts. Late ones count for the pace as own replies do.
func (c *Scheduler) GossipReceived(now time.Duration, from PeerIndex, message []byte) error {
	c.clock(now)
	err := decodeAhead(message, c.cells, func(l attemptsAt) {
		for _, r := range c.holders(ShardNumber(l.cell)) {
			if r.cell != l.cell {
				continue
			}
			work := time.Duration(l.attempts) * l.work
			if l.kind == endedAttempts {
				c.parallelism = min(mostLanes, c.parallelism*math.Pow(l.lanes/c.parallelism, lanesStep))
			}
			if l.kind != sentAttempts {
				work = -work
				if off := math.Log(max(1, l.late) / r.slowdown); l.kind == lateAttempts || off < 0 {
					r.slowdown *= math.Exp(paceStep * float64(l.attempts) * max(-maxSurprise, min(maxSurprise, off)))
				}
			}
			r.peerWork, r.peerWorkAt = max(0, min(scale(c.shortestObjective, c.parallelism), c.waits(r)+work)), now
		}
	}, func(tenant TenantIndex) {
		if int(tenant) < len(c.tenantQuotas) {
			c.allowance[tenant] = max(0, c.allowance[tenant]-1)
		}
	})
	if err != nil {
		return fmt.Errorf("co-ordinator %d: %w", from, err)
	}
	c.peersAt = now
	return nil
}

// others is how many times the expected finish what others have waiting may make of it, unless they tell.
func (c *Scheduler) others() float64 {
	if c.heard() {
		return 1
	}
	return c.unseenLoadFactor
}

// heard tells whether the others tell what they send.
func (c *Scheduler) heard() bool { return c.peersAt > 0 && c.now < c.peersAt+peersQuiet }
