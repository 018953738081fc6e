// Package incarnation places the starts of replicas' processes, which discovery tells by the wall clock, on this
// process' monotonic clock. Slow start, and the closing of connections from before a restart, rest on them; a
// wall clock may be off, or be stepped by seconds or an hour at any time.
//
// What is known without any wall clock goes first. A start that differs from the one told before lies after the
// list before; so does, for all that is known, the start of a replica that no list had. Where the wall clock says
// otherwise it is wrong, and the replica counts as started now: to count as too cold is safe, to count as too
// warm is not. Where the wall clock has been seen to be stepped, the latest of the starts that it gives counts.
//
// All times are since this process' start, by the monotonic clock. The package does no I/O and reads no clock.
package incarnation

import (
	"math"
	"time"
)

// Unknown is the start of a replica whose start is not told: long ago.
const Unknown = time.Duration(math.MinInt64)

const (
	listLag       = time.Second     // by which a list may be behind a replica's start
	sameOffset    = 2 * time.Second // offsets of the wall clock that differ by less are one: slewing, and late reading
	maxOffsets    = 8               // offsets that are remembered, the latest ones
	maxRemembered = 16384           // replicas that are remembered: some times the largest fleet
)

// Tracker remembers the starts that were told. Make one with New.
type Tracker struct {
	offsets      []time.Duration  // of the wall clock from the monotonic one, as seen so far
	starts       map[string]start // by the replica's uid
	previousList time.Duration    // when the list before the present one came; below 0: none did
	currentList  time.Duration    // when the present list came; below 0: none did
	distrusted   int              // starts so far that contradicted the wall clock
}

// start is the start of a replica's process.
type start struct {
	bootMS     int64         // as discovery tells it: Unix time in milliseconds
	started    time.Duration // the latest time at which it may have been
	isExact    bool          // nothing contradicts the wall clock
	lastListed time.Duration
}

// New makes a tracker that knows nothing.
func New() *Tracker {
	return &Tracker{starts: map[string]start{}, previousList: -1, currentList: -1}
}

// ObserveWallClock notes what the wall clock says at a time. It is to be called before each list.
func (tracker *Tracker) ObserveWallClock(now time.Duration, wallClock time.Time) {
	offset := time.Duration(wallClock.UnixNano()) - now
	for _, seen := range tracker.offsets {
		if (offset - seen).Abs() < sameOffset {
			return
		}
	}
	if len(tracker.offsets) == maxOffsets {
		tracker.offsets = tracker.offsets[1:]
	}
	tracker.offsets = append(tracker.offsets, offset)
}

// ListReceived notes that a list from discovery has come: what it does not name is as it was before.
func (tracker *Tracker) ListReceived(now time.Duration) {
	tracker.previousList = tracker.currentList
	tracker.currentList = now
}

// StartTime is when the process of a replica started that the present list names. BootMS is the start as discovery
// tells it, in Unix time in milliseconds; 0 stands for long ago. Where isExact is false the wall clock is
// contradicted: the process may have started at any time since the list before, and started is the latest.
func (tracker *Tracker) StartTime(now time.Duration, uid string, bootMS int64) (started time.Duration, isExact bool) {
	if bootMS <= 0 {
		return Unknown, true
	}
	known, isKnown := tracker.starts[uid]
	if isKnown && known.bootMS == bootMS {
		known.lastListed = now
		tracker.starts[uid] = known
		return known.started, known.isExact
	}
	started = tracker.byWallClock(bootMS)
	isExact = tracker.isPossible(started, now)
	if !isExact {
		tracker.distrusted++
		started = now
	}
	tracker.remember(uid, start{bootMS: bootMS, started: started, isExact: isExact, lastListed: now})
	return started, isExact
}

// byWallClock is the latest start that the wall clock has given reason for.
func (tracker *Tracker) byWallClock(bootMS int64) time.Duration {
	latest := Unknown
	for _, offset := range tracker.offsets {
		latest = max(latest, time.Duration(bootMS)*time.Millisecond-offset)
	}
	return latest
}

// isPossible tells whether a start that is told for the first time may have been then: not in the future, and not
// before the previous list, which would have told it.
func (tracker *Tracker) isPossible(started, now time.Duration) bool {
	if started > now {
		return false
	}
	return tracker.previousList < 0 || started >= tracker.previousList-listLag
}

// Distrusted is how many starts have contradicted the wall clock so far.
func (tracker *Tracker) Distrusted() int { return tracker.distrusted }

func (tracker *Tracker) remember(uid string, told start) {
	_, isKnown := tracker.starts[uid]
	if !isKnown && len(tracker.starts) >= maxRemembered {
		tracker.forgetOldest()
	}
	tracker.starts[uid] = told
}

// forgetOldest forgets the replica that was told longest ago; of several the first by uid.
func (tracker *Tracker) forgetOldest() {
	oldestUID := ""
	oldest := time.Duration(math.MaxInt64)
	for uid, known := range tracker.starts {
		isOlder := known.lastListed < oldest || known.lastListed == oldest && uid < oldestUID
		if isOlder {
			oldestUID = uid
			oldest = known.lastListed
		}
	}
	delete(tracker.starts, oldestUID)
}
