package incarnation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// epoch is the true time of the start of this process.
var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// receiveList simulates receiving a list at time now, with a wall clock that is off by the given amount.
func receiveList(tracker *Tracker, now, off time.Duration) {
	tracker.ObserveWallClock(now, epoch.Add(now+off))
	tracker.ListReceived(now)
}

func bootAt(at time.Duration) int64 { return epoch.Add(at).UnixMilli() }

// With an accurate wall clock, start times are those reported by discovery, also when they are reported again.
func TestStartTimesWithAccurateClock(t *testing.T) {
	tracker := New()
	receiveList(tracker, 0, 0)
	if got, _ := tracker.StartTime(0, "a", bootAt(-time.Minute)); got != -time.Minute {
		t.Errorf("started a minute ago: %v", got)
	}
	if got, _ := tracker.StartTime(0, "b", 0); got != Unknown {
		t.Errorf("no start time reported: %v", got)
	}
	receiveList(tracker, 10*time.Second, 0)
	if got, _ := tracker.StartTime(10*time.Second, "a", bootAt(9*time.Second)); got != 9*time.Second {
		t.Errorf("restarted a second ago: %v", got)
	}
	receiveList(tracker, 20*time.Second, 0)
	if got, _ := tracker.StartTime(20*time.Second, "a", bootAt(9*time.Second)); got != 9*time.Second {
		t.Errorf("reported again: %v", got)
	}
}

// The wall clock is an hour slow, so a replica appears to have started in the future. It counts as started now.
func TestFutureStartCountsAsNow(t *testing.T) {
	tracker := New()
	receiveList(tracker, 0, -time.Hour)
	if got, exact := tracker.StartTime(0, "a", bootAt(-time.Minute)); got != 0 || exact {
		t.Errorf("%v, exact %t", got, exact)
	}
}

// A replica restarts or appears between two lists while the wall clock is stepped back and forth. It never counts as
// started more than listLag before the first of the two lists, whatever the wall clock showed: a cold replica would
// count as warm.
func TestRestartIsNeverTakenForOlderThanItCanBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		off := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(-4000, 4000).Draw(t, name)) * time.Second
		}
		tracker, now := New(), time.Duration(0)
		receiveList(tracker, now, off("first"))
		lastBoot := bootAt(-time.Hour)
		lastStart, _ := tracker.StartTime(now, "a", lastBoot)
		for index := range rapid.IntRange(1, 6).Draw(t, "lists") {
			before := now
			now += time.Duration(rapid.IntRange(1, 9000).Draw(t, fmt.Sprint("wait", index))) * time.Millisecond
			receiveList(tracker, now, off(fmt.Sprint("off", index)))
			boot := before + time.Duration(rapid.Int64Range(0, int64(now-before)).Draw(t, fmt.Sprint("boot", index)))
			started, _ := tracker.StartTime(now, "a", bootAt(boot))
			if bootAt(boot) == lastBoot { // drawn in the same millisecond: listed again, not restarted
				if started != lastStart {
					t.Fatalf("listed again between %v and %v: start time %v, before %v",
						before, now, started, lastStart)
				}
			} else if started > now || started < before-listLag {
				t.Fatalf("restarted between %v and %v: start time %v", before, now, started)
			}
			lastBoot, lastStart = bootAt(boot), started
			if got, _ := tracker.StartTime(now, fmt.Sprint("new", index), bootAt(boot)); got > now ||
				got < before-listLag {
				t.Fatalf("first listed between %v and %v: start time %v", before, now, got)
			}
		}
	})
}

// The wall clock is stepped back by an hour. The later of the start times according to the two offsets is used.
func TestLatestOfTwoClockOffsetsCounts(t *testing.T) {
	tracker := New()
	receiveList(tracker, 0, time.Hour)
	tracker.ObserveWallClock(time.Second, epoch.Add(time.Second))
	if got, _ := tracker.StartTime(time.Second, "a", bootAt(-time.Minute)); got != -time.Minute {
		t.Errorf("%v", got)
	}
}

// Replicas are replaced and the wall clock is stepped repeatedly. Memory stays bounded, and the replica that was listed
// longest ago is removed first.
func TestMemoryIsBounded(t *testing.T) {
	tracker := New()
	for n := range maxRemembered + 50 {
		now := time.Duration(n) * time.Millisecond
		receiveList(tracker, now, time.Duration(n)*time.Minute)
		tracker.StartTime(now, fmt.Sprint(n), bootAt(now))
	}
	if len(tracker.starts) > maxRemembered || len(tracker.offsets) > maxOffsets {
		t.Errorf("%d replicas, %d offsets", len(tracker.starts), len(tracker.offsets))
	}
	if _, had := tracker.starts["0"]; had {
		t.Error("the oldest replica was not removed")
	}
}
