// Package incarnation converts the start times of replica processes, which discovery reports in wall clock time, to the
// monotonic clock of this process. Slow start and the closing of connections that predate a restart depend on them, and
// a wall clock may be off, or be stepped by seconds or an hour, at any time.
//
// Knowledge that does not depend on a wall clock takes precedence. If a list states a start time for a replica that
// differs from the one listed before, the replica must have started after the previous list. The same is assumed of a
// replica that was not listed before. If the wall clock contradicts this it is wrong, and the replica is taken to have
// started now: it is safe to treat a replica as colder than it is, but not as warmer. If the wall clock has been
// stepped, the latest of the possible start times is used.
//
// All times are relative to the start of this process, on the monotonic clock. The package does no I/O and reads no
// clock.
package incarnation

import (
	"math"
	"time"
)

// Unknown is the start time of a replica for which discovery reports none; it counts as long ago.
const Unknown = time.Duration(math.MinInt64)

const (
	listLag       = time.Second     // how late a list may include a replica that has started
	sameOffset    = 2 * time.Second // offsets that differ by less, by slewing and late reads, are treated as equal
	maxOffsets    = 8               // most recent offsets remembered
	maxRemembered = 16384           // replicas remembered; several times the largest fleet
)

// Tracker remembers the start times of replicas. Use New to create one.
type Tracker struct {
	offsets      []time.Duration  // observed differences between the wall clock and the monotonic clock
	starts       map[string]start // by UID of the replica
	previousList time.Duration    // when the list before the current one was received; negative if none was
	currentList  time.Duration    // when the current list was received; negative if none was
	distrusted   int              // number of start times for which the wall clock was contradicted
}

// start is the start time of a replica process.
type start struct {
	bootMS     int64         // as reported by discovery: Unix time in milliseconds
	started    time.Duration // the latest possible start time
	isExact    bool          // not contradicted: started is the time according to the wall clock
	lastListed time.Duration
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{starts: map[string]start{}, previousList: -1, currentList: -1}
}

// ObserveWallClock records the current wall clock time. It must be called before each list is processed.
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

// ListReceived records that a list was received from discovery. Replicas that it does not name are unchanged.
func (tracker *Tracker) ListReceived(now time.Duration) {
	tracker.previousList = tracker.currentList
	tracker.currentList = now
}

// StartTime returns the start time of a replica process in the current list. bootMS is the start time reported by
// discovery, as Unix time in milliseconds, or 0 if it reports none. If isExact is false, the wall clock was
// contradicted: the process may have started at any time since the previous list, and started is the latest possible.
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
	started = tracker.latestByWallClock(bootMS)
	isExact = tracker.isPlausible(started, now)
	if !isExact {
		tracker.distrusted++
		started = now
	}
	tracker.remember(uid, start{bootMS: bootMS, started: started, isExact: isExact, lastListed: now})
	return started, isExact
}

// latestByWallClock returns the latest start time that follows from any of the observed wall clock offsets.
func (tracker *Tracker) latestByWallClock(bootMS int64) time.Duration {
	latest := Unknown
	for _, offset := range tracker.offsets {
		latest = max(latest, time.Duration(bootMS)*time.Millisecond-offset)
	}
	return latest
}

// isPlausible reports whether a newly reported start time is possible: not in the future and not before the previous
// list, which would already have reported it.
func (tracker *Tracker) isPlausible(started, now time.Duration) bool {
	if started > now {
		return false
	}
	return tracker.previousList < 0 || started >= tracker.previousList-listLag
}

// Distrusted returns the number of start times so far for which the wall clock was contradicted.
func (tracker *Tracker) Distrusted() int { return tracker.distrusted }

func (tracker *Tracker) remember(uid string, reported start) {
	_, isKnown := tracker.starts[uid]
	if !isKnown && len(tracker.starts) >= maxRemembered {
		tracker.forgetOldest()
	}
	tracker.starts[uid] = reported
}

// forgetOldest removes the replica that was listed longest ago; of several, the one with the lowest UID.
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
