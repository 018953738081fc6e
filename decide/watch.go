package decide

import "fmt"

// What other settings would decide, counted beside what is decided. Nothing here decides: the choices are those of
// decide.go, asked under other settings and not acted on.

// Watched counts retrievals and, by kind, where the other settings would have decided otherwise.
type Watched struct {
	Retrievals int // looked at, as they came
	TurnedBack int // let in by their estimate, and by the other settings' not
	LetIn      int // the other way round
	Parts      int // of those retrievals
	Elsewhere  int // parts whose fastest holder would have been another
}

type watcher struct {
	under  *Coordinator
	counts Watched
}

// Watch counts from now on what other settings would have decided. It fails if a setting cannot be read, or if they
// tell of other tracks or other shards, as then nothing could be compared.
func (c *Coordinator) Watch(settings map[string]string) error {
	under, err := New(c.host, c.seed, settings)
	if err != nil {
		return err
	}
	if len(under.tracks) != len(c.tracks) || under.cells != c.cells || under.reach != c.reach {
		return fmt.Errorf("the settings to watch tell of other tracks or shards")
	}
	c.watched = &watcher{under: under}
	return nil
}

// Watched tells the counts so far; ok is false while nothing is watched.
func (c *Coordinator) Watched() (counts Watched, ok bool) {
	if c.watched == nil {
		return Watched{}, false
	}
	return c.watched.counts, true
}

// look compares the decisions on a retrieval that has just been placed. What is learned and held is the same for both.
func (c *Coordinator) look(q *retrieval, mine []*part) {
	w, as := c.watched, *c
	o := w.under
	as.balancers, as.unseen, as.spreads, as.tempo, as.zonePenalty = o.balancers, o.unseen, o.spreads, o.tempo, o.zonePenalty
	as.tells, as.sized, as.quickest, as.slowest = o.tells, o.sized, o.quickest, o.slowest
	as.tipMultiple, as.startShare, as.warmAfter, as.tipOver = o.tipMultiple, o.startShare, o.warmAfter, o.tipOver
	if as.tells {
		as.peersAt = c.now // as if the others told
	}
	t := *q
	t.track = &o.tracks[q.track.index]
	learned := *q.track
	learned.agreed, learned.cutOff, learned.fetch = t.track.agreed, t.track.cutOff, t.track.fetch
	t.track, t.agreed = &learned, q.agreed+learned.agreed-q.track.agreed
	now, _ := c.excess(q)
	then, _ := as.excess(&t)
	w.counts.Retrievals++
	w.counts.Parts += len(mine)
	if now <= 0 && then > 0 {
		w.counts.TurnedBack++
	}
	if now > 0 && then <= 0 {
		w.counts.LetIn++
	}
	for _, p := range mine {
		if c.fastest(p) != as.fastest(p) {
			w.counts.Elsewhere++
		}
	}
}
