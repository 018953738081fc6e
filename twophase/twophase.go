// Package twophase decides about questions that are asked in two phases: first each block for its summary, then only those
// blocks for their part of the answer that can matter. It is told what comes in, one method for each thing that can
// happen with the time in it, and says what to do next. It does no I/O, has no clock and no goroutine, and places nothing:
// which replica gets a part, and whether again, is decided in package scheduler.
//
// It promises: an answer is the one that asking every block would have given, each block in a state that it had at some
// moment during the question, or there is none; a block is left out only on its own summary's proof, which the final answer
// still bears out; what can no longer be whole in time is refused at once and not sent out; the blocks asked in the second
// phase are asked once.
package twophase

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	fewBlocks  = 4                    // fewer are asked at once: a first phase would save hardly anything
	pays       = 0.75                 // of the work of one phase that two may be expected to cost; the rest is for the attempts
	mostCost   = 0.3                  // of a summary: it is to be cheap, and the way there and back hides how cheap
	firstGuess = 0.15                 // work of a summary in parts of an answer's, before any was seen
	shareGuess = 0.3                  // share of blocks left, before any was seen: tried, then known
	timeGuess  = 0.2                  // share of the agreed time that a phase takes, before any was seen
	workGuess  = 0.05                 // share of the agreed time that a block's answer is taken to work
	weighs     = 0.1                  // weight of a question in what is learned: about ten questions
	deviations = 3.0                  // mean deviations above the mean that a phase is allowed for
	gap        = 2 * time.Millisecond // for gathering and pruning
	room       = 0.9                  // of the agreed time that both phases may be expected to take
	tryEvery   = 32                   // questions of a track that do not pay, one of which is tried all the same
	tryWithin  = 0.4                  // share of the agreed time that such a try may be expected to take: none in a jam
	fades      = 60 * time.Second     // in which what is learned goes back to a third of its way to the guess
	mostWaves  = 3                    // waves of the second phase
	leastWave  = 4                    // blocks of a wave; less saves no work
	enough     = 0.8                  // share of summaries from which on stragglers are waited for only as long as is usual
	mostSpoilt = 1024                 // holders whose summaries are not believed
	spoiltFor  = 10 * time.Minute     // for so long after an answer above its own bound
	mostKnown  = 16                   // holders of a block whose versions are remembered
	knownFor   = 30 * time.Second     // versions of two holders that old are not compared
	mostBlocks = 4096                 // whose holders' versions are remembered
)

// Shard is a shard; Replica a replica that holds some. Version names a state of a block's data.
type (
	Shard   int
	Replica uint32
	Version string
)

// Options is what a question wants.
type Options struct {
	Ranked         bool // the best by score, else all that match
	Limit          int  // so many; only where ranked
	SharedVersions bool // blocks share one line of versions: an answer of another version ends a summary's proof
}

// Summary is what a block says of a question without answering it.
type Summary struct {
	Version Version
	Count   int     // that match
	Upper   float64 // none of them scores above; +Inf where it is not known
	Lower   float64 // all of them score at least so much; -Inf where it is not known
}

// sound tells whether a summary can be used as a proof; one that contradicts itself proves nothing.
func (s Summary) sound() bool {
	return s.Version != "" && s.Count >= 0 && !math.IsNaN(s.Upper) && !math.IsNaN(s.Lower) &&
		(s.Count == 0 || s.Lower <= s.Upper && !math.IsInf(s.Upper, -1) && !math.IsInf(s.Lower, 1))
}

// Hit is one answer; Score has no meaning where the question is not ranked.
type Hit struct {
	Shard Shard
	ID    string
	Score float64
}

// Before is the order of answers: the better score first, then the lower block, then the lesser id. Negative zero is zero.
func Before(a, b Hit) int {
	return cmp.Or(cmp.Compare(b.Score+0, a.Score+0), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.ID, b.ID))
}

// Answer is a block's part: of a ranked question its best hits in order, no more than are wanted.
type Answer struct {
	Version Version
	Hits    []Hit
}

// Action is what is to be done.
type Action int

// The acts.
const (
	Wait     Action = iota
	CanMatch        // ask Blocks for their summaries
	Fetch           // ask Blocks for their answers; what of them is still out for the first phase is given up
	Done            // the answer is whole: Hits
	Reject          // no whole answer can come in time
)

// Step is an act.
type Step struct {
	Action Action
	Shards []Shard
	Wakeup time.Duration // of Wait: when to ask again, at the latest
	Reason string        // for those who watch
}

type state int

const (
	unknown state = iota
	summarized
	without // no usable summary: it is asked
	pruned
	asked
	answered
)

type block struct {
	id      Shard
	state   state
	summary Summary
	holder  Replica
	doubted bool // its holders' versions differ, or its summaries are not believed
	answer  Answer
}

// Query is one question that is open.
type Query struct {
	track          *Class
	form           Options
	blocks         []*block
	byID           map[Shard]*block
	began          time.Duration
	agreed, cutOff time.Duration
	two            bool // asked in two phases
	phase          int  // 0: not begun, 1, 2: the second, by waves
	waves          int  // still to go, this one included
	secondAt       time.Duration
	refused        string
	asks           int
}

var errForm = errors.New("a form that cannot be")

// Begin takes a question for its blocks, to be answered by the agreed time and at the cut-off at the latest. Allowance is
// how many attempts each block may be sent in all; with one there can be no first phase.
func (t *Class) Begin(now time.Duration, f Options, blocks []Shard, agreed, cutOff time.Duration, allowance int) (*Query, error) {
	if f.Limit < 0 || !f.Ranked && f.Limit > 0 || len(blocks) == 0 {
		return nil, errForm
	}
	r := &Query{track: t, form: f, byID: map[Shard]*block{}, began: now, agreed: agreed, cutOff: cutOff}
	for _, id := range blocks {
		if r.byID[id] != nil {
			return nil, fmt.Errorf("block %d stands twice", id)
		}
		b := &block{id: id}
		r.blocks, r.byID[id] = append(r.blocks, b), b
	}
	t.fade(now)
	r.two = allowance > 1 && t.pays(len(blocks), agreed-now)
	return r, nil
}

// Next says what is to be done now. Each act is said once.
func (r *Query) Next(now time.Duration) Step {
	switch {
	case r.refused != "":
		return Step{Action: Reject, Reason: r.refused}
	case r.form.Ranked && r.form.Limit == 0:
		return Step{Action: Done, Reason: "nothing is wanted"}
	case r.phase == 0 && r.two:
		r.phase = 1
		return Step{Action: CanMatch, Shards: r.in(unknown)}
	case r.phase == 0:
		r.phase, r.secondAt = 2, now
		return r.ask(r.blocks, "in one phase")
	case r.phase == 1:
		return r.gather(now)
	}
	if len(r.in(asked)) > 0 {
		if now >= r.cutOff {
			return r.refuse("the cut-off")
		}
		return Step{Action: Wait, Wakeup: r.cutOff}
	}
	return r.wave(now)
}

func (r *Query) refuse(why string) Step {
	r.refused = why
	return Step{Action: Reject, Reason: why}
}

func (r *Query) in(s state) (all []Shard) {
	for _, b := range r.blocks {
		if b.state == s {
			all = append(all, b.id)
		}
	}
	return all
}

// gather waits for summaries as long as that serves the answer. Stragglers among the last fifth are waited for as long as
// a first phase usually takes; all, until what the second needs would be gone. Guards against: a slow block that costs the
// whole answer. Should also cover: blocks that say nothing at all. Could hurt: by asking a block that had nothing.
func (r *Query) gather(now time.Duration) Step {
	out := len(r.in(unknown))
	usual := r.began + r.track.first.most()
	latest := r.latest()
	until := latest
	if float64(len(r.blocks)-out) >= enough*float64(len(r.blocks)) {
		until = min(until, usual)
	}
	if out > 0 && now < until {
		return Step{Action: Wait, Wakeup: until}
	}
	for _, b := range r.blocks {
		if b.state == unknown {
			b.state = without
		}
	}
	r.track.firstTook(now-r.began, out == 0)
	r.phase, r.secondAt = 2, now
	r.waves = r.wavesFor(now)
	return r.wave(now)
}

// latest is when the second phase must have begun to be whole in time: by the agreed time if it can, else by the cut-off.
func (r *Query) latest() time.Duration {
	need := gap + r.track.second.most()
	if at := r.agreed - need; at > r.began {
		return at
	}
	return r.cutOff - need
}

// wavesFor is how many waves the time allows, where they can save work.
func (r *Query) wavesFor(now time.Duration) int {
	if !r.form.Ranked {
		return 1
	}
	n := int((r.agreed - now) / max(gap, r.track.second.most()+gap))
	return max(1, min(mostWaves, n))
}

// wave asks the next blocks that may matter, or ends.
func (r *Query) wave(now time.Duration) Step {
	r.prune()
	left := r.left()
	if len(left) == 0 {
		return Step{Action: Done, Reason: fmt.Sprintf("%d of %d blocks asked", r.asks, len(r.blocks))}
	}
	if now+gap+r.track.second.usual() > r.cutOff {
		return r.refuse("too little time is left for what must still be asked")
	}
	// best bounds first; what has none is asked in the first wave in any case
	slices.SortStableFunc(left, func(a, b *block) int { return cmp.Compare(b.upper(), a.upper()) })
	if r.waves--; r.waves > 0 {
		n := max(leastWave, (len(left)+r.waves)/(r.waves+1))
		for n < len(left) && (math.IsInf(left[n].upper(), 1) || r.covers(left[:n]) < r.form.Limit) {
			n++
		}
		left = left[:min(n, len(left))]
	}
	return r.ask(left, "")
}

// left are the blocks that are neither asked nor proved to add nothing.
func (r *Query) left() (all []*block) {
	for _, b := range r.blocks {
		if b.state == summarized || b.state == without {
			all = append(all, b)
		}
	}
	return all
}

// covers is how many hits blocks say that they have.
func (r *Query) covers(blocks []*block) (n int) {
	for _, b := range blocks {
		if b.state == summarized && !b.doubted {
			n += b.summary.Count
		}
	}
	return n
}

func (b *block) upper() float64 {
	if b.state != summarized || b.doubted {
		return math.Inf(1)
	}
	return b.summary.Upper
}

func (r *Query) ask(blocks []*block, why string) Step {
	s := Step{Action: Fetch, Reason: why}
	for _, b := range blocks {
		b.state = asked
		s.Shards = append(s.Shards, b.id)
	}
	slices.Sort(s.Shards)
	r.asks += len(s.Shards)
	return s
}
