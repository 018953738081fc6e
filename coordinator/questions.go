package coordinator

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"terntray/eventloop"
	"terntray/internal/wire"
	"terntray/invariant"
	"terntray/scheduler"
	"terntray/twophase"
)

// Questions: queries whose parts may be asked in two phases, as package phases decides. The module places, sends and
// repeats the parts of both.

// questions is what belongs to them; it belongs to the turns.
type questions struct {
	takes    map[string]bool // tracks
	learns   map[string]*twophase.Class
	shared   bool // versions
	attempts int  // allowance of a part; 0: any number
}

// question is an open one.
type question struct {
	run       *twophase.Query
	form      twophase.Options
	asked     *wire.TwoPhaseQuery
	hints     map[twophase.Shard]time.Duration
	summaries bool // the present parts ask for them
	due       bool // a step is to be taken in the next turn
	wake      *eventloop.Timer
	took      [2]time.Duration // sums over replies: of summaries, of answers
	replies   [2]int
}

func (n *questions) begin(d *Deployment, config *scheduler.Config) error {
	*n = questions{takes: map[string]bool{}, learns: map[string]*twophase.Class{}}
	if d.Installation == nil {
		return nil
	}
	n.shared = d.Installation.TwoPhase.SharedVersions
	var bad error
	for _, name := range d.Installation.TwoPhase.Classes {
		at := slices.IndexFunc(config.Classes, func(class scheduler.ClassConfig) bool { return class.Name == name })
		if at < 0 || config.Classes[at].Effect != invariant.Idempotent {
			bad = errors.Join(bad, fmt.Errorf("installation: phases.tracks: found %q, wanted a replayable track", name))
			continue
		}
		n.takes[name], n.learns[name] = true, twophase.NewClass(config.Classes[at].Objective)
	}
	n.attempts = cmp.Or(config.MaxAttempts, 1<<30)
	return bad
}

// takeQuestion begins a question, whose module's query has not been told of yet.
func (c *Coordinator) takeQuestion(q *openQuery) error {
	t := c.questions.learns[q.query.Class]
	asked := q.query.TwoPhase
	form := twophase.Options{Ranked: asked.Best != nil, SharedVersions: c.questions.shared}
	if form.Ranked {
		form.Limit = *asked.Best
	}
	n := &question{form: form, asked: asked, hints: map[twophase.Shard]time.Duration{}}
	var blocks []twophase.Shard
	for _, p := range q.query.Subqueries {
		blocks = append(blocks, twophase.Shard(p.Shard))
		n.hints[twophase.Shard(p.Shard)] = p.Hint
	}
	var err error
	agreed := min(q.came+c.agreed[q.query.Class], q.cutOff)
	if n.run, err = t.Begin(c.loop.Now(), form, blocks, agreed, q.cutOff, c.questions.attempts); err == nil {
		q.question = n
	}
	return err
}

// takeSteps tells the module of a question and its first step.
func (c *Coordinator) takeSteps(q *openQuery, track scheduler.ClassIndex, left, hint time.Duration) {
	s := q.question.run.Next(c.loop.Now())
	c.module.QueryArrives(c.loop.Now(), scheduler.QueryArrival{ID: q.id, Number: q.number, Class: track, Tenant: c.tenantOf(q.query),
		TimeLeft: left, WorkHint: hint, Subqueries: max(1, len(s.Shards))})
	c.module.UsePhases(q.id, s.Action == twophase.CanMatch)
	if s.Action != twophase.CanMatch && s.Action != twophase.Fetch { // nothing is wanted
		c.stepSoon(q)
		return
	}
	c.stepParts(q, q.number, s)
}

// stepParts tells the module the parts of a step.
func (c *Coordinator) stepParts(q *openQuery, number scheduler.QueryNumber, s twophase.Step) {
	n := q.question
	n.summaries = s.Action == twophase.CanMatch
	for _, id := range s.Shards {
		p := &part{id: c.newID(), of: q, shard: int(id), wire: wire.SubqueryID(q.query.ID, int(id))}
		hint := n.hints[id]
		if n.summaries {
			p.wire += "s"
			p.text = wire.CanMatchRequest(n.asked, q.query.Text)
			hint = n.run.WorkHint(true, hint)
		} else {
			p.text = wire.FetchRequest(n.asked, n.run.Version(id), q.query.Text)
			hint = n.run.WorkHint(false, hint)
		}
		q.parts, c.parts[p.id] = append(q.parts, p), p
		c.held++
		c.module.SubqueryArrives(c.loop.Now(), scheduler.SubqueryArrival{ID: p.id, Query: number, Shard: scheduler.ShardNumber(p.shard),
			Weight: 1 / float64(len(s.Shards)), WorkHint: hint})
	}
}

// stepSoon has a question's next step taken at the start of the next turn.
func (c *Coordinator) stepSoon(q *openQuery) {
	if n := q.question; !n.due {
		n.due = true
		c.loop.NextIteration(func() {
			if n.due = false; !q.closed.Load() {
				c.step(q)
			}
		})
	}
}

// step does what is to be done next.
func (c *Coordinator) step(q *openQuery) {
	n := q.question
	c.loop.Cancel(n.wake)
	n.wake = nil
	switch s := n.run.Next(c.loop.Now()); s.Action {
	case twophase.Wait:
		n.wake = c.loop.After(s.Wakeup-c.loop.Now(), "", func() { c.stepSoon(q) })
	case twophase.Fetch:
		c.endStep(q)
		c.module.StartNextPhase(c.loop.Now(), q.id, len(s.Shards))
		c.stepParts(q, q.number, s)
	case twophase.Done:
		c.trace("retrieval=%s question whole words=%q", q.query.ID, s.Reason)
		c.module.StartNextPhase(c.loop.Now(), q.id, 0)
		c.reply(q.id, &c.counts.Fulfilled, func(q *openQuery, last bool) []byte {
			return wire.HitsResponse(n.run.Hits(), last)
		})
	case twophase.Reject:
		c.counts.RefusedQuestions++
		c.trace("retrieval=%s question refused words=%q", q.query.ID, s.Reason)
		c.Reject(q.id, 0)
		c.module.ClientDisconnects(c.loop.Now(), q.id)
	}
}

// endStep lets go of the parts of a step that is over.
func (c *Coordinator) endStep(q *openQuery) {
	parts := q.parts
	q.parts = nil
	for _, p := range parts {
		p.done.Store(true)
		if !p.in {
			c.held--
		}
		c.letGo(p)
	}
}

// tells gives a question what a box replied; it tells how the attempt ended.
func (c *Coordinator) tells(l *attempt, value []byte, took time.Duration) scheduler.Outcome {
	q := l.part.of
	n, id, from := q.question, twophase.Shard(l.part.shard), twophase.Replica(l.to)
	if l.part.over() {
		return scheduler.Succeeded
	}
	defer c.stepSoon(q)
	if n.summaries {
		s, err := wire.ReadSummary(value)
		if err != nil || !n.run.Summarized(c.loop.Now(), id, from, s) {
			c.counts.BadSummaries++
			n.run.NoSummary(id)
		}
		n.took[0], n.replies[0] = n.took[0]+took, n.replies[0]+1
		return scheduler.Succeeded
	}
	a, err := wire.ReadAnswer(l.part.shard, value)
	if err == nil {
		err = n.run.Answered(c.loop.Now(), id, from, a)
	}
	if err != nil {
		c.seldom("event=bad_answer replica=%s part=%s cause=%q", c.fleet.uid(l.to), l.part.wire, err)
		return scheduler.Failed
	}
	n.took[1], n.replies[1] = n.took[1]+took, n.replies[1]+1
	return scheduler.Succeeded
}

// endQuestion learns from a question that is over.
func (c *Coordinator) endQuestion(q *openQuery) {
	n := q.question
	c.loop.Cancel(n.wake)
	t := c.questions.learns[q.query.Class]
	if n.replies[0] > 0 && n.replies[1] > 0 {
		t.ObserveCost(n.took[0]/time.Duration(n.replies[0]), n.took[1]/time.Duration(n.replies[1]))
	}
	n.run.Close(c.loop.Now())
	two, asked := n.run.Phases()
	c.counts.Questions++
	if two == 2 {
		c.counts.TwoPhases++
		c.counts.Pruned += len(q.query.Subqueries) - asked
	}
}

// textOf is what a part's call carries.
func (p *part) textOf() []byte {
	if p.text != nil {
		return p.text
	}
	return p.of.query.Text
}
