// Package incarnation places the starts of replicas, which discovery tells by the wall clock, on this process' monotonic
// clock. Slow start and the closing of connections from before a restart rest on them, and a wall clock may be off, or be
// stepped by seconds or an hour at any time.
//
// What is known without any wall clock goes first: a start that differs from the one told before lies after the listing
// before, and so does, for all that is known, the start of a replica that no listing had. Where the wall clock says
// otherwise it is off, and the replica counts as started now: too cold is safe, too warm is not. Where the wall clock has
// been seen to be stepped, the later of the starts that it gives counts.
//
// It does no I/O and reads no clock.
package incarnation

import (
	"math"
	"time"
)

const (
	// Unknown is the start of a replica whose start is not told.
	Unknown = time.Duration(math.MinInt64)

	listingLag  = time.Second     // by which a listing may be behind a replica's start
	sameOffset  = 2 * time.Second // offsets of the wall clock that differ by less are one: slewing, and reading late
	mostOffsets = 8               // that are remembered, the last ones
	mostKnown   = 16384           // replicas that are remembered: some times the largest fleet
)

// Tracker remembers the starts that were told. Its zero value is not of use; see New.
type Tracker struct {
	offsets  []time.Duration // of the wall clock from the monotonic one, as seen so far
	known    map[string]start
	lastTold time.Duration // when the listing before the present one was told
	told     time.Duration // when the present one was; below 0: none was
	distrust int           // starts that contradicted the wall clock
}

type start struct {
	bootMS  int64
	started time.Duration
	exact   bool
	at      time.Duration // when it was last told
}

// New makes a clock that knows nothing.
func New() *Tracker { return &Tracker{known: map[string]start{}, lastTold: -1, told: -1} }

// ObserveWallClock tells what the wall clock says at a time since the process' start.
func (c *Tracker) ObserveWallClock(now time.Duration, wall time.Time) {
	offset := time.Duration(wall.UnixNano()) - now
	for _, seen := range c.offsets {
		if (offset - seen).Abs() < sameOffset {
			return
		}
	}
	if len(c.offsets) == mostOffsets {
		c.offsets = c.offsets[1:]
	}
	c.offsets = append(c.offsets, offset)
}

// ListReceived tells that discovery has told something: what it does not name is as it was before.
func (c *Tracker) ListReceived(now time.Duration) { c.lastTold, c.told = c.told, now }

// StartOf is when a replica started that the present listing names, as time since the process' start; 0 in bootMS, the Unix
// time in milliseconds that discovery tells, stands for long ago. Exact tells that the wall clock is not contradicted; else
// the replica may have started at any time since the listing before, and started is the latest.
func (c *Tracker) StartOf(now time.Duration, uid string, bootMS int64) (started time.Duration, exact bool) {
	if bootMS <= 0 {
		return Unknown, true
	}
	before, had := c.known[uid]
	if had && before.bootMS == bootMS {
		before.at = now
		c.known[uid] = before
		return before.started, before.exact
	}
	started = c.byWallClock(bootMS)
	exact = started <= now && (c.lastTold < 0 || started >= c.lastTold-listingLag)
	if !exact {
		c.distrust++
		started = now
	}
	c.remember(uid, start{bootMS, started, exact, now})
	return started, exact
}

// byWallClock is the latest start that the wall clock has given reason for.
func (c *Tracker) byWallClock(bootMS int64) time.Duration {
	latest := Unknown
	for _, offset := range c.offsets {
		latest = max(latest, time.Duration(bootMS)*time.Millisecond-offset)
	}
	return latest
}

// Distrusted is how many starts have contradicted the wall clock so far.
func (c *Tracker) Distrusted() int { return c.distrust }

func (c *Tracker) remember(uid string, s start) {
	if _, had := c.known[uid]; !had && len(c.known) >= mostKnown {
		c.forgetOldest()
	}
	c.known[uid] = s
}

// forgetOldest forgets the replica that was told longest ago.
func (c *Tracker) forgetOldest() {
	oldest, at := "", time.Duration(math.MaxInt64)
	for uid, s := range c.known {
		if s.at < at || s.at == at && uid < oldest {
			oldest, at = uid, s.at
		}
	}
	delete(c.known, oldest)
}
