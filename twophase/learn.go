package twophase

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Class is what is learned of one track's questions. It belongs to one goroutine, as its runs do.
type Class struct {
	usual         time.Duration // the track's agreed time
	first, second took
	share         float64 // of blocks that were asked after a first phase
	cost          float64 // of a summary in parts of an answer's
	vain          float64 // share of first phases after which all blocks were asked
	passed        int     // questions in a row that were not asked in two phases
	fadedAt       time.Duration
	spoilt        map[Replica]time.Duration // until then their summaries are not believed
	known         map[Shard][]sighting
}

// sighting is the version of a block that a holder was last seen to have.
type sighting struct {
	holder  Replica
	version Version
	at      time.Duration
}

// took is how long a phase takes: mean and mean deviation.
type took struct{ mean, off float64 } // seconds

func (t took) usual() time.Duration { return time.Duration(t.mean * float64(time.Second)) }
func (t took) most() time.Duration {
	return time.Duration((t.mean + deviations*t.off) * float64(time.Second))
}

func (t *took) learns(d time.Duration) {
	off := d.Seconds() - t.mean
	t.mean += weighs * off
	t.off += weighs * (math.Abs(off) - t.off)
}

// NewClass begins without knowledge; agreed is the track's agreed time.
func NewClass(agreed time.Duration) *Class {
	guess := took{timeGuess * agreed.Seconds(), timeGuess * agreed.Seconds() / deviations}
	return &Class{usual: agreed, first: guess, second: guess, share: shareGuess, cost: firstGuess,
		spoilt: map[Replica]time.Duration{}, known: map[Shard][]sighting{}}
}

// pays tells whether two phases are expected to cost less work than one, in time. Guards against: first phases in vain, and
// in a jam any at all, as phases take long then. Should also cover: tracks whose questions change: one is tried now and then
// while there is time for it. Could hurt: by those tries.
func (t *Class) pays(blocks int, left time.Duration) bool {
	if blocks < fewBlocks {
		return false
	}
	takes := t.first.most() + gap + t.second.most()
	t.passed++
	ok := t.cost+t.share < pays && takes < scale(left, room)
	if !ok && t.passed >= tryEvery && takes < scale(left, tryWithin) {
		ok = true
	}
	if ok {
		t.passed = 0
	}
	return ok
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// fade has what is learned go back towards the guesses while nothing confirms it.
func (t *Class) fade(now time.Duration) {
	by := math.Exp(-float64(now-t.fadedAt) / float64(fades))
	t.fadedAt = now
	back := func(v *float64, guess float64) { *v = guess + (*v-guess)*by }
	guess := timeGuess * t.usual.Seconds()
	back(&t.first.mean, guess)
	back(&t.second.mean, guess)
	back(&t.first.off, guess/deviations)
	back(&t.second.off, guess/deviations)
	back(&t.share, shareGuess)
	back(&t.vain, 0)
}

// firstTook learns from a first phase; one that was cut short took at least so long.
func (t *Class) firstTook(d time.Duration, all bool) {
	if all || d > t.first.usual() {
		t.first.learns(d)
	}
}

func (t *Class) secondTook(d time.Duration) { t.second.learns(d) }

// ObserveCost tells the work of a summary in parts of an answer's, as attempts show it.
func (t *Class) ObserveCost(summary, answer time.Duration) {
	if summary > 0 && answer > 0 {
		t.cost += weighs * (min(mostCost, float64(summary)/float64(answer)) - t.cost)
	}
}

// WorkHint guesses the work of a part: an answer's is what its client guessed, if anything, or an equal part of what the
// track's agreed time allows; a summary's a share of it, as learned.
func (r *Query) WorkHint(summary bool, asked time.Duration) time.Duration {
	if asked == 0 {
		asked = scale(r.track.usual, workGuess)
	}
	if summary {
		return max(time.Millisecond/10, scale(asked, r.track.cost))
	}
	return asked
}

// ended learns what a question left.
func (t *Class) ended(two bool, blocks, asks int) {
	if !two {
		return
	}
	vain := 0.0
	if asks >= blocks {
		vain = 1
	}
	t.share += weighs * (float64(asks)/float64(blocks) - t.share)
	t.vain += weighs * (vain - t.vain)
}

// saw notes which version a holder has of a block; it tells whether all holders seen of late agree.
func (t *Class) saw(now time.Duration, id Shard, from Replica, v Version) bool {
	all := slices.DeleteFunc(t.known[id], func(s sighting) bool { return s.holder == from || now-s.at > knownFor })
	if len(all) >= mostKnown {
		all = all[1:]
	}
	if t.known[id] == nil && len(t.known) >= mostBlocks {
		clear(t.known) // learned again in a question or two
		all = nil
	}
	t.known[id] = append(all, sighting{from, v, now})
	return !slices.ContainsFunc(all, func(s sighting) bool { return s.version != v })
}

// spoil has a holder's summaries not believed for a while.
func (t *Class) spoil(now time.Duration, h Replica) {
	for o, until := range t.spoilt {
		if until <= now || len(t.spoilt) >= mostSpoilt {
			delete(t.spoilt, o)
		}
	}
	t.spoilt[h] = now + spoiltFor
}

func (t *Class) isSpoilt(now time.Duration, h Replica) bool { return t.spoilt[h] > now }

// String tells what is learned, for those who watch.
func (t *Class) String() string {
	return fmt.Sprintf("share=%.2f cost=%.2f vain=%.2f first=%v second=%v spoilt=%d", t.share, t.cost, t.vain,
		t.first.usual().Round(100*time.Microsecond), t.second.usual().Round(100*time.Microsecond), len(t.spoilt))
}
