package scheduler

import (
	"fmt"
	"time"
)

// What other settings would decide, counted beside what is decided. Nothing here decides: the choices are those of
// this package, asked under other settings and not acted on.

// ShadowCounts counts queries and attempts and, by kind, where the other settings would have decided otherwise.
type ShadowCounts struct {
	Queries               int // looked at, as they came
	WouldReject           int // let in by their estimate, and by the other settings' not
	WouldAdmit            int // the other way round
	Subqueries            int // of those queries
	WouldPlaceElsewhere   int // parts whose fastest holder would have been another
	Attempts              int // sent
	WouldTimeOutOtherwise int // of them, those that would have had another time-out, or none where they have one
	WouldNotHedge         int // copies that went and would not have
	WouldHedge            int // attempts that got no copy at a time when they would have
}

type watcher struct {
	under  *Scheduler
	counts ShadowCounts
}

// EnableShadow counts from now on what other settings would have decided. It fails if they are
// not valid, or tell of other classes or other shards, as then nothing could be compared.
func (c *Scheduler) EnableShadow(config Config) error {
	under, err := New(c.host, c.random.seed, config)
	if err != nil {
		return err
	}
	if len(under.classes) != len(c.classes) || under.cells != c.cells || under.cellsPerShard != c.cellsPerShard {
		return fmt.Errorf("the settings to watch tell of other tracks or shards")
	}
	c.watched = &watcher{under: under}
	return nil
}

// ShadowCounts tells the counts so far; ok is false while nothing is watched.
func (c *Scheduler) ShadowCounts() (counts ShadowCounts, ok bool) {
	if c.watched == nil {
		return ShadowCounts{}, false
	}
	return c.watched.counts, true
}

// look asks what the other settings would decide, if any are watched: by a copy of this co-ordinator that knows and holds the
// same. Nothing may be changed through it.
func (c *Scheduler) look(ask func(as *Scheduler)) {
	if c.watched == nil {
		return
	}
	as := *c
	as.parameters = c.watched.under.parameters
	as.slowStart.settings = c.watched.under.slowStart.settings
	as.connectPolicies()
	if as.gossipEnabled {
		as.gossip.heardAt = c.now // as if the others told
	}
	ask(&as)
}

// attempt counts one that has just been sent.
func (w *watcher) attempt(limit, other time.Duration) {
	if w.counts.Attempts++; limit != other {
		w.counts.WouldTimeOutOtherwise++
	}
}

// copies counts where a copy of an attempt goes, and would go; each attempt once for a copy that it did not get.
func (w *watcher) copies(l *attempt, to, other *replicaState) {
	switch {
	case to != nil && other == nil:
		w.counts.WouldNotHedge++
	case to == nil && other != nil && !l.shadowCounted:
		l.shadowCounted = true
		w.counts.WouldHedge++
	}
}

// comes compares the decisions on a query that has just been placed.
func (w *watcher) comes(c, as *Scheduler, q *query, mine []*subquery) {
	t := *q
	t.class = &w.under.classes[q.class.index]
	learned := *q.class
	learned.objective, learned.deadline, learned.fetchSubqueries = t.class.objective, t.class.deadline, t.class.fetchSubqueries
	t.class, t.objectiveAt = &learned, q.objectiveAt+learned.objective-q.class.objective
	now, _ := c.admission.expectedExcess(c.now, q, c.unseenLoad())
	then, _ := as.admission.expectedExcess(as.now, &t, as.unseenLoad())
	w.counts.Queries++
	w.counts.Subqueries += len(mine)
	if now <= 0 && then > 0 {
		w.counts.WouldReject++
	}
	if now > 0 && then <= 0 {
		w.counts.WouldAdmit++
	}
	for _, p := range mine {
		if c.placement.fastest(p) != as.placement.fastest(p) {
			w.counts.WouldPlaceElsewhere++
		}
	}
}
