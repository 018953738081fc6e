package twophase

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// prune leaves out what is proved to add nothing. A block is left out if its summary says that nothing matches, or if none
// of its hits can score as much as the last of the wanted ones that are known to be there. What a summary promises
// counts until its block has answered. It is looked at anew before each wave and before the end, so what the answers do not
// bear out is asked after all. Guards against: ties (a bound that equals it proves nothing), promises that were not kept,
// versions that moved. Could hurt: by asking more than was
// needed.
func (r *Query) prune() {
	least, known := r.threshold()
	for _, b := range r.blocks {
		if b.state == pruned {
			b.state = summarized
		}
		if b.state != summarized || b.doubted || r.form.SharedVersions && r.moved(b.summary.Version) {
			continue
		}
		if b.summary.Count == 0 || r.form.Ranked && known && b.summary.Upper < least {
			b.state = pruned
		}
	}
}

// threshold is the score that the wanted number of hits is known to reach; not known while there are fewer. A block that
// helps to reach it by its own promise is never left out by it, so what is left out rests on answers alone in the end.
func (r *Query) threshold() (float64, bool) {
	if !r.form.Ranked {
		return 0, false
	}
	var scores []float64
	for _, b := range r.blocks {
		switch {
		case b.state == answered:
			for _, h := range b.answer.Hits {
				scores = append(scores, h.Score)
			}
		case (b.state == summarized || b.state == pruned) && !b.doubted && !math.IsInf(b.summary.Lower, -1):
			for range min(b.summary.Count, r.form.Limit) {
				scores = append(scores, b.summary.Lower)
			}
		}
	}
	if len(scores) < r.form.Limit {
		return 0, false
	}
	slices.Sort(scores)
	return scores[len(scores)-r.form.Limit], true
}

// moved tells whether an answer is of another version, where blocks share them.
func (r *Query) moved(v Version) bool {
	return slices.ContainsFunc(r.blocks, func(b *block) bool { return b.state == answered && b.answer.Version != v })
}

// Summarized tells a block's summary. One that cannot be used proves nothing: the block is asked. It says whether it could
// be used.
func (r *Query) Summarized(now time.Duration, id Shard, from Replica, s Summary) bool {
	b := r.byID[id]
	if b == nil || b.state != unknown || r.phase != 1 {
		return false
	}
	agree := r.track.saw(now, id, from, s.Version)
	if !s.sound() {
		b.state = without
		return false
	}
	b.state, b.summary, b.holder = summarized, s, from
	b.doubted = !agree || r.track.isSpoilt(now, from)
	return true
}

// NoSummary tells that no summary of a block will come: it is asked.
func (r *Query) NoSummary(id Shard) {
	if b := r.byID[id]; b != nil && b.state == unknown {
		b.state = without
	}
}

// Answered tells a block's answer; an error says why it cannot be used, and the block is still to be answered. An answer
// that its block's summary excludes, of the same version, whoever holds it, shows that summary to be false: its holder's are not
// believed for a while, and the question is refused, as others may have been left out by it.
func (r *Query) Answered(now time.Duration, id Shard, from Replica, a Answer) error {
	b := r.byID[id]
	if b == nil || b.state != asked {
		return fmt.Errorf("block %d was not asked", id)
	}
	if err := r.usable(id, a); err != nil {
		return err
	}
	r.track.saw(now, id, from, a.Version)
	if !b.doubted && b.summary.Version != "" && b.summary.Version == a.Version && r.belies(b.summary, a) {
		r.track.spoil(now, b.holder)
		r.refused = "a block's answer is beyond its own summary"
	}
	b.state, b.answer = answered, a
	if len(r.in(asked)) == 0 {
		r.track.secondTook(now - r.secondAt)
		r.secondAt = now
	}
	return nil
}

// usable checks an answer by itself.
func (r *Query) usable(id Shard, a Answer) error {
	switch {
	case a.Version == "":
		return fmt.Errorf("no version")
	case r.form.Ranked && len(a.Hits) > r.form.Limit:
		return fmt.Errorf("%d hits where %d are wanted", len(a.Hits), r.form.Limit)
	}
	seen := make(map[string]bool, len(a.Hits))
	for n, h := range a.Hits {
		switch {
		case h.Shard != id || h.ID == "" || seen[h.ID]:
			return fmt.Errorf("hit %d of block %d, id %.40q", n, h.Shard, h.ID)
		case math.IsNaN(h.Score) || math.IsInf(h.Score, 0):
			return fmt.Errorf("hit %d has no score", n)
		case n > 0 && Before(a.Hits[n-1], h) >= 0:
			return fmt.Errorf("hit %d is out of order", n)
		}
		seen[h.ID] = true
	}
	return nil
}

// belies tells whether an answer shows that a summary was false.
func (r *Query) belies(s Summary, a Answer) bool {
	want := s.Count
	if r.form.Ranked {
		want = min(want, r.form.Limit)
	}
	if len(a.Hits) != want {
		return true
	}
	return r.form.Ranked && slices.ContainsFunc(a.Hits, func(h Hit) bool { return h.Score > s.Upper || h.Score < s.Lower })
}

// Hits is the whole answer, once Next has said so: in order, no more than are wanted.
func (r *Query) Hits() []Hit {
	var all []Hit
	for _, b := range r.blocks {
		if b.state == answered {
			all = append(all, b.answer.Hits...)
		}
	}
	slices.SortFunc(all, Before)
	if r.form.Ranked {
		all = all[:min(len(all), r.form.Limit)]
	}
	return all
}

// Version is what an answer to a block's question must state as having been summarized; empty: none was.
func (r *Query) Version(id Shard) Version {
	if b := r.byID[id]; b != nil {
		return b.summary.Version
	}
	return ""
}

// Close tells that the question has ended, one way or another, for what is learned.
func (r *Query) Close(now time.Duration) {
	if r.phase == 2 {
		r.track.ended(r.two, len(r.blocks), r.asks)
	}
}

// Phases tells in how many the question is asked, and how many blocks were asked for answers.
func (r *Query) Phases() (phases, blocksAsked int) {
	if r.two {
		return 2, r.asks
	}
	return 1, r.asks
}
