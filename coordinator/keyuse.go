package coordinator

import (
	"slices"
	"sync"
	"time"

	"terntray/invariant"
	"terntray/scheduler"
)

// keyUse records when the attempts of a keyed subquery were written, except those that never ran. Replicas recognise a
// repeat for some time after the first attempt; invariant.KeyUse holds that rule. It may be used from any goroutine. A
// nil keyUse belongs to a subquery that is not keyed, and records nothing.
type keyUse struct {
	window time.Duration // how long replicas recognise a repeat; immutable
	mu     sync.Mutex
	writes []keyedWrite
}

// keyedWrite is an attempt that may run, and the loop time at which its writing began.
type keyedWrite struct {
	attempt *attemptState
	at      time.Duration
}

// written records that an attempt is written now. An earlier, incomplete write of the same attempt no longer counts.
func (use *keyUse) written(attempt *attemptState, now time.Duration) {
	if use == nil {
		return
	}
	use.mu.Lock()
	defer use.mu.Unlock()
	use.remove(attempt)
	use.writes = append(use.writes, keyedWrite{attempt, now})
}

// neverRan forgets an attempt that provably never ran.
func (use *keyUse) neverRan(attempt *attemptState) {
	if use == nil {
		return
	}
	use.mu.Lock()
	defer use.mu.Unlock()
	use.remove(attempt)
}

// remove removes an attempt's record. The caller holds the mutex.
func (use *keyUse) remove(attempt *attemptState) {
	use.writes = slices.DeleteFunc(use.writes, func(write keyedWrite) bool { return write.attempt == attempt })
}

// by returns the use of the key by other attempts than the given one.
func (use *keyUse) by(attempt *attemptState, now time.Duration) invariant.KeyUse {
	if use == nil {
		return invariant.KeyUse{}
	}
	use.mu.Lock()
	defer use.mu.Unlock()
	byOthers := invariant.KeyUse{Window: use.window}
	for _, write := range use.writes {
		if write.attempt != attempt {
			byOthers.Used = true
			byOthers.Age = max(byOthers.Age, now-write.at)
		}
	}
	return byOthers
}

// withdrawOnKeyExpiry sets a timer that withdraws an attempt if it is still unwritten when the window of its key ends,
// so that its query need not wait for a connection in vain.
func (c *Coordinator) withdrawOnKeyExpiry(attempt *attemptState) {
	use := attempt.subquery.key.by(attempt, c.loop.Now())
	if !use.Used {
		return
	}
	attempt.keyTimer = c.loop.After(use.Window-use.Age, "", func() {
		if !attempt.ended && c.replicas.Withdraw(&attempt.Attempt) {
			c.countRefused(attempt, invariant.KeyExpired, "waiting")
			c.notifyEndedSoon(attempt, scheduler.NeverSent)
		}
	})
}
