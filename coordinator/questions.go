package coordinator

import (
	"errors"
	"fmt"
	"time"

	"terntray/eventloop"
	"terntray/internal/wire"
	"terntray/scheduler"
	"terntray/twophase"
)

// Questions: queries whose parts may be asked in two phases, as package phases decides. The module places, sends and
// repeats the parts of both.

// twoPhaseQueries is what belongs to them; it belongs to the turns.
type twoPhaseQueries struct {
	allowed        map[string]bool // tracks
	classes        map[string]*twophase.Class
	sharedVersions bool // versions
	maxAttempts    int  // allowance of a part; 0: any number
}

// twoPhaseState is an open one.
type twoPhaseState struct {
	run           *twophase.Query
	options       twophase.Options
	request       *wire.TwoPhaseQuery
	hints         map[twophase.Shard]time.Duration
	canMatch      bool // the present parts ask for them
	stepScheduled bool // a step is to be taken in the next turn
	wakeup        *eventloop.Timer
	took          [2]time.Duration // sums over replies: of summaries, of answers
	replies       [2]int
}

func (n *twoPhaseQueries) begin(d *Deployment, tracks map[string]scheduler.ClassIndex) error {
	*n = twoPhaseQueries{allowed: map[string]bool{}, classes: map[string]*twophase.Class{}}
	if d.Installation == nil {
		return nil
	}
	n.sharedVersions = d.Installation.TwoPhase.SharedVersions
	var bad error
	for _, name := range d.Installation.TwoPhase.Classes {
		at, known := tracks[name]
		path := fmt.Sprintf("lanes.%d.", at)
		if !known || d.settings[path+"effect"] != "pure" {
			bad = errors.Join(bad, fmt.Errorf("installation: phases.tracks: found %q, wanted a replayable track", name))
			continue
		}
		agreed, err := d.duration(path+"aim", time.Second)
		bad = errors.Join(bad, err)
		n.allowed[name], n.classes[name] = true, twophase.NewClass(agreed)
	}
	var err error
	n.maxAttempts, err = d.wholeNumber("bounds.maxAttempts", 1<<30)
	return errors.Join(bad, err)
}

// beginTwoPhase begins a question, whose module's query has not been told of yet.
func (c *Coordinator) beginTwoPhase(q *queryState) error {
	t := c.twoPhase.classes[q.request.Class]
	asked := q.request.TwoPhase
	form := twophase.Options{Ranked: asked.Best != nil, SharedVersions: c.twoPhase.sharedVersions}
	if form.Ranked {
		form.Limit = *asked.Best
	}
	n := &twoPhaseState{options: form, request: asked, hints: map[twophase.Shard]time.Duration{}}
	var blocks []twophase.Shard
	for _, p := range q.request.Subqueries {
		blocks = append(blocks, twophase.Shard(p.Shard))
		n.hints[twophase.Shard(p.Shard)] = p.Hint
	}
	var err error
	agreed := min(q.arrived+c.objectives[q.request.Class], q.deadline)
	if n.run, err = t.Begin(c.loop.Now(), form, blocks, agreed, q.deadline, c.twoPhase.maxAttempts); err == nil {
		q.twoPhase = n
	}
	return err
}

// startFirstPhase tells the module of a question and its first step.
func (c *Coordinator) startFirstPhase(q *queryState, track scheduler.ClassIndex, left, hint time.Duration) {
	s := q.twoPhase.run.Next(c.loop.Now())
	c.scheduler.QueryArrives(c.loop.Now(), scheduler.QueryArrival{ID: q.id, Number: q.number, Class: track, Tenant: c.tenantOf(q.request),
		TimeLeft: left, WorkHint: hint, Subqueries: max(1, len(s.Shards))})
	c.scheduler.UsePhases(q.id, s.Action == twophase.CanMatch)
	if s.Action != twophase.CanMatch && s.Action != twophase.Fetch { // nothing is wanted
		c.scheduleNextPhase(q)
		return
	}
	c.startSubqueries(q, q.number, s)
}

// startSubqueries tells the module the parts of a step.
func (c *Coordinator) startSubqueries(q *queryState, number scheduler.QueryNumber, s twophase.Step) {
	n := q.twoPhase
	n.canMatch = s.Action == twophase.CanMatch
	for _, id := range s.Shards {
		p := &subqueryState{id: c.newID(), query: q, shard: int(id), wireID: wire.SubqueryID(q.request.ID, int(id))}
		hint := n.hints[id]
		if n.canMatch {
			p.wireID += "s"
			p.text = wire.CanMatchRequest(n.request, q.request.Text)
			hint = n.run.WorkHint(true, hint)
		} else {
			p.text = wire.FetchRequest(n.request, n.run.Version(id), q.request.Text)
			hint = n.run.WorkHint(false, hint)
		}
		q.subqueries, c.subqueries[p.id] = append(q.subqueries, p), p
		c.unanswered++
		c.scheduler.SubqueryArrives(c.loop.Now(), scheduler.SubqueryArrival{ID: p.id, Query: number, Shard: scheduler.ShardNumber(p.shard),
			Weight: 1 / float64(len(s.Shards)), WorkHint: hint})
	}
}

// scheduleNextPhase has a question's next step taken at the start of the next turn.
func (c *Coordinator) scheduleNextPhase(q *queryState) {
	if n := q.twoPhase; !n.stepScheduled {
		n.stepScheduled = true
		c.loop.NextIteration(func() {
			if n.stepScheduled = false; !q.closed.Load() {
				c.takeNextStep(q)
			}
		})
	}
}

// takeNextStep does what is to be done next.
func (c *Coordinator) takeNextStep(q *queryState) {
	n := q.twoPhase
	c.loop.Cancel(n.wakeup)
	n.wakeup = nil
	switch s := n.run.Next(c.loop.Now()); s.Action {
	case twophase.Wait:
		n.wakeup = c.loop.After(s.Wakeup-c.loop.Now(), "", func() { c.scheduleNextPhase(q) })
	case twophase.Fetch:
		c.endPhase(q)
		c.scheduler.StartNextPhase(c.loop.Now(), q.id, len(s.Shards))
		c.startSubqueries(q, q.number, s)
	case twophase.Done:
		c.trace("retrieval=%s question whole words=%q", q.request.ID, s.Reason)
		c.scheduler.StartNextPhase(c.loop.Now(), q.id, 0)
		c.answerOnce(q.id, &c.counts.Succeeded, func(q *queryState, last bool) []byte {
			return wire.HitsResponse(n.run.Hits(), last)
		})
	case twophase.Reject:
		c.counts.TwoPhaseRejected++
		c.trace("retrieval=%s question refused words=%q", q.request.ID, s.Reason)
		c.Reject(q.id, 0)
		c.scheduler.ClientDisconnects(c.loop.Now(), q.id)
	}
}

// endPhase lets go of the parts of a step that is over.
func (c *Coordinator) endPhase(q *queryState) {
	parts := q.subqueries
	q.subqueries = nil
	for _, p := range parts {
		p.abandoned.Store(true)
		if !p.answered {
			c.unanswered--
		}
		c.releaseAttempts(p)
	}
}

// phaseReplyReceived gives a question what a box replied; it phaseReplyReceived how the attempt ended.
func (c *Coordinator) phaseReplyReceived(l *attemptState, value []byte, took time.Duration) scheduler.Outcome {
	q := l.subquery.query
	n, id, from := q.twoPhase, twophase.Shard(l.subquery.shard), twophase.Replica(l.replica)
	if l.subquery.unwanted() {
		return scheduler.Succeeded
	}
	defer c.scheduleNextPhase(q)
	if n.canMatch {
		s, err := wire.ReadSummary(value)
		if err != nil || !n.run.Summarized(c.loop.Now(), id, from, s) {
			c.counts.MalformedSummaries++
			n.run.NoSummary(id)
		}
		n.took[0], n.replies[0] = n.took[0]+took, n.replies[0]+1
		return scheduler.Succeeded
	}
	a, err := wire.ReadAnswer(l.subquery.shard, value)
	if err == nil {
		err = n.run.Answered(c.loop.Now(), id, from, a)
	}
	if err != nil {
		c.logLimited("event=bad_answer replica=%s part=%s cause=%q", c.fleet.uid(l.replica), l.subquery.wireID, err)
		return scheduler.Failed
	}
	n.took[1], n.replies[1] = n.took[1]+took, n.replies[1]+1
	return scheduler.Succeeded
}

// closeTwoPhase learns from a question that is over.
func (c *Coordinator) closeTwoPhase(q *queryState) {
	n := q.twoPhase
	c.loop.Cancel(n.wakeup)
	t := c.twoPhase.classes[q.request.Class]
	if n.replies[0] > 0 && n.replies[1] > 0 {
		t.ObserveCost(n.took[0]/time.Duration(n.replies[0]), n.took[1]/time.Duration(n.replies[1]))
	}
	n.run.Close(c.loop.Now())
	two, asked := n.run.Phases()
	c.counts.TwoPhaseQueries++
	if two == 2 {
		c.counts.CanMatchPhases++
		c.counts.ShardsPruned += len(q.request.Subqueries) - asked
	}
}

// callText is what a part's call carries.
func (p *subqueryState) callText() []byte {
	if p.text != nil {
		return p.text
	}
	return p.query.request.Text
}
