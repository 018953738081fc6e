package incarnation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// epoch is the true time at the process' start.
var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// told plays a listing at a time, with a wall clock that is off.
func told(c *Tracker, now, off time.Duration) {
	c.ObserveWallClock(now, epoch.Add(now+off))
	c.ListReceived(now)
}

func bootAt(at time.Duration) int64 { return epoch.Add(at).UnixMilli() }

func TestStartsByATrueClock(t *testing.T) {
	c := New()
	told(c, 0, 0)
	if got, _ := c.StartOf(0, "a", bootAt(-time.Minute)); got != -time.Minute {
		t.Errorf("a minute before: %v", got)
	}
	if got, _ := c.StartOf(0, "b", 0); got != Unknown {
		t.Errorf("not told: %v", got)
	}
	told(c, 10*time.Second, 0)
	if got, _ := c.StartOf(10*time.Second, "a", bootAt(9*time.Second)); got != 9*time.Second {
		t.Errorf("restarted a second ago: %v", got)
	}
	told(c, 20*time.Second, 0)
	if got, _ := c.StartOf(20*time.Second, "a", bootAt(9*time.Second)); got != 9*time.Second {
		t.Errorf("told again: %v", got)
	}
}

func TestStartInTheFutureIsNow(t *testing.T) {
	c := New()
	told(c, 0, -time.Hour)
	if got, exact := c.StartOf(0, "a", bootAt(-time.Minute)); got != 0 || exact {
		t.Errorf("%v, exact %t", got, exact)
	}
}

// A replica that restarts between two listings never counts as started before the first of them, whatever the wall clock
// said at any time.
func TestRestartIsNeverTakenForOlderThanItCanBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		off := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(-4000, 4000).Draw(t, name)) * time.Second
		}
		c, now := New(), time.Duration(0)
		told(c, now, off("first"))
		c.StartOf(now, "a", bootAt(-time.Hour))
		for n := range rapid.IntRange(1, 6).Draw(t, "listings") {
			before := now
			now += time.Duration(rapid.IntRange(1, 9000).Draw(t, fmt.Sprint("wait", n))) * time.Millisecond
			told(c, now, off(fmt.Sprint("off", n)))
			boot := before + time.Duration(rapid.Int64Range(0, int64(now-before)).Draw(t, fmt.Sprint("boot", n)))
			if got, _ := c.StartOf(now, "a", bootAt(boot)); got > now || got < before-listingLag {
				t.Fatalf("between %v and %v, told as %v", before, now, got)
			}
			if got, _ := c.StartOf(now, fmt.Sprint("new", n), bootAt(boot)); got > now || got < before-listingLag {
				t.Fatalf("new between %v and %v, told as %v", before, now, got)
			}
		}
	})
}

// A step that was seen makes the later start count.
func TestLaterOfTwoClocksCounts(t *testing.T) {
	c := New()
	told(c, 0, time.Hour)
	c.ObserveWallClock(time.Second, epoch.Add(time.Second))
	if got, _ := c.StartOf(time.Second, "a", bootAt(-time.Minute)); got != -time.Minute {
		t.Errorf("%v", got)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	c := New()
	for n := range mostKnown + 50 {
		now := time.Duration(n) * time.Millisecond
		told(c, now, time.Duration(n)*time.Minute)
		c.StartOf(now, fmt.Sprint(n), bootAt(now))
	}
	if len(c.known) > mostKnown || len(c.offsets) > mostOffsets {
		t.Errorf("%d replicas, %d offsets", len(c.known), len(c.offsets))
	}
	if _, had := c.known["0"]; had {
		t.Error("the oldest is remembered")
	}
}
