package incarnation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// epoch is the true time at the process' start.
var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// receiveList plays the coming of a list at a time, with a wall clock that is off.
func receiveList(tracker *Tracker, now, off time.Duration) {
	tracker.ObserveWallClock(now, epoch.Add(now+off))
	tracker.ListReceived(now)
}

func bootAt(at time.Duration) int64 { return epoch.Add(at).UnixMilli() }

// With a true wall clock starts are what discovery tells, also when they are told again later.
func TestStartsByATrueClock(t *testing.T) {
	tracker := New()
	receiveList(tracker, 0, 0)
	if got, _ := tracker.StartTime(0, "a", bootAt(-time.Minute)); got != -time.Minute {
		t.Errorf("a minute before: %v", got)
	}
	if got, _ := tracker.StartTime(0, "b", 0); got != Unknown {
		t.Errorf("not told: %v", got)
	}
	receiveList(tracker, 10*time.Second, 0)
	if got, _ := tracker.StartTime(10*time.Second, "a", bootAt(9*time.Second)); got != 9*time.Second {
		t.Errorf("restarted a second ago: %v", got)
	}
	receiveList(tracker, 20*time.Second, 0)
	if got, _ := tracker.StartTime(20*time.Second, "a", bootAt(9*time.Second)); got != 9*time.Second {
		t.Errorf("told again: %v", got)
	}
}

// The wall clock is an hour slow, so that a replica seems to have started in the future. It counts as started now.
func TestStartInTheFutureIsNow(t *testing.T) {
	tracker := New()
	receiveList(tracker, 0, -time.Hour)
	if got, exact := tracker.StartTime(0, "a", bootAt(-time.Minute)); got != 0 || exact {
		t.Errorf("%v, exact %t", got, exact)
	}
}

// A replica restarts between two lists, or appears, while the wall clock is stepped to and fro. It never counts
// as started before the first of the two, whatever the wall clock said at any time: it would count as warm while
// it is cold.
func TestRestartIsNeverTakenForOlderThanItCanBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		off := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(-4000, 4000).Draw(t, name)) * time.Second
		}
		tracker, now := New(), time.Duration(0)
		receiveList(tracker, now, off("first"))
		lastBoot := bootAt(-time.Hour)
		lastStart, _ := tracker.StartTime(now, "a", lastBoot)
		for n := range rapid.IntRange(1, 6).Draw(t, "lists") {
			before := now
			now += time.Duration(rapid.IntRange(1, 9000).Draw(t, fmt.Sprint("wait", n))) * time.Millisecond
			receiveList(tracker, now, off(fmt.Sprint("off", n)))
			boot := before + time.Duration(rapid.Int64Range(0, int64(now-before)).Draw(t, fmt.Sprint("boot", n)))
			started, _ := tracker.StartTime(now, "a", bootAt(boot))
			if bootAt(boot) == lastBoot { // drawn in the same millisecond: the same process is listed again, it has not restarted
				if started != lastStart {
					t.Fatalf("between %v and %v, told as %v, before as %v", before, now, started, lastStart)
				}
			} else if started > now || started < before-listLag {
				t.Fatalf("between %v and %v, told as %v", before, now, started)
			}
			lastBoot, lastStart = bootAt(boot), started
			if got, _ := tracker.StartTime(now, fmt.Sprint("new", n), bootAt(boot)); got > now || got < before-listLag {
				t.Fatalf("new between %v and %v, told as %v", before, now, got)
			}
		}
	})
}

// The wall clock is stepped back by an hour. Of the starts that the two offsets give, the later counts.
func TestLaterOfTwoClocksCounts(t *testing.T) {
	tracker := New()
	receiveList(tracker, 0, time.Hour)
	tracker.ObserveWallClock(time.Second, epoch.Add(time.Second))
	if got, _ := tracker.StartTime(time.Second, "a", bootAt(-time.Minute)); got != -time.Minute {
		t.Errorf("%v", got)
	}
}

// Replicas are replaced and the wall clock is stepped again and again. What is remembered stays bounded, and the
// replica that was told longest ago is forgotten first.
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
		t.Error("the oldest is remembered")
	}
}
