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

const unlimitedAttempts = 1 << 30 // attempts per subquery if the settings have no limit

// twoPhaseQueries holds the state that two-phase queries share. The first phase is can-match, the second is fetch
// from the shards that may contribute, in one or more waves. Package twophase decides what to ask for; the scheduler
// handles each wave as a phase, and places and retries the subqueries like any others. The state belongs to the event
// loop, except for allowed, which does not change.
type twoPhaseQueries struct {
	allowed        map[string]bool            // classes whose queries may have two phases
	classes        map[string]*twophase.Class // estimates for each of these classes
	sharedVersions bool                       // all shards share one sequence of versions
	maxAttempts    int                        // per shard, over both phases
}

// twoPhaseState is the additional state of an open two-phase query.
type twoPhaseState struct {
	run             *twophase.Query
	request         *wire.TwoPhaseQuery
	workHints       map[twophase.Shard]time.Duration // work hints from the client
	canMatch        bool                             // the current subqueries ask for summaries, not for hits
	stepScheduled   bool                             // takeNextStep will be called in the next iteration
	wakeup          *eventloop.Timer                 // for takeNextStep
	canMatchLatency replyLatency
	fetchLatency    replyLatency
}

// replyLatency accumulates the latencies of replies.
type replyLatency struct {
	count int
	sum   time.Duration
}

func (latency *replyLatency) add(took time.Duration) {
	latency.count++
	latency.sum += took
}

func (latency *replyLatency) mean() time.Duration { return latency.sum / time.Duration(latency.count) }

// configure reads from the installation file which classes may have two phases. They have to be idempotent.
func (queries *twoPhaseQueries) configure(deployment *Deployment, config *scheduler.Config) error {
	*queries = twoPhaseQueries{allowed: map[string]bool{}, classes: map[string]*twophase.Class{}}
	if deployment.Installation == nil {
		return nil
	}
	queries.sharedVersions = deployment.Installation.TwoPhase.SharedVersions
	queries.maxAttempts = cmp.Or(config.MaxAttempts, unlimitedAttempts)
	var invalid error
	for _, name := range deployment.Installation.TwoPhase.Classes {
		hasName := func(class scheduler.ClassConfig) bool { return class.Name == name }
		index := slices.IndexFunc(config.Classes, hasName)
		if index < 0 || config.Classes[index].Effect != invariant.Idempotent {
			invalid = errors.Join(invalid, &twoPhaseClassError{name})
			continue
		}
		queries.allowed[name] = true
		queries.classes[name] = twophase.NewClass(config.Classes[index].Objective)
	}
	return invalid
}

// twoPhaseClassError reports that the installation file names a class whose queries cannot have two phases.
type twoPhaseClassError struct{ class string }

// Error returns the path of the setting, the class and the required effect.
func (err *twoPhaseClassError) Error() string {
	return fmt.Sprintf("installation: phases.tracks: found %q, wanted a track whose effect is pure", err.class)
}

// beginTwoPhase sets up the state of a two-phase query before the scheduler is notified of it. It returns an error if
// the client's request is invalid.
func (c *Coordinator) beginTwoPhase(query *queryState) error {
	request := query.request.TwoPhase
	options := twophase.Options{Ranked: request.Limit != nil, SharedVersions: c.twoPhase.sharedVersions}
	if options.Ranked {
		options.Limit = *request.Limit
	}
	hints := map[twophase.Shard]time.Duration{}
	var shards []twophase.Shard
	for _, requested := range query.request.Subqueries {
		shard := twophase.Shard(requested.Shard)
		shards = append(shards, shard)
		hints[shard] = requested.Hint
	}
	class := c.twoPhase.classes[query.request.Class]
	objective := min(query.arrived+c.classes[query.request.Class].objective, query.deadline)
	run, err := class.Begin(c.loop.Now(), options, shards, objective, query.deadline, c.twoPhase.maxAttempts)
	if err != nil {
		return err
	}
	query.twoPhase = &twoPhaseState{run: run, request: request, workHints: hints}
	return nil
}

// startFirstPhase notifies the scheduler of a two-phase query and of the subqueries of its first phase.
func (c *Coordinator) startFirstPhase(query *queryState) {
	step := query.twoPhase.run.Next(c.loop.Now())
	c.scheduler.QueryArrives(c.loop.Now(), c.arrivalOf(query, max(1, len(step.Shards))))
	c.scheduler.UsePhases(query.id, step.Action == twophase.CanMatch)
	if step.Action == twophase.CanMatch || step.Action == twophase.Fetch {
		c.startPhase(query, step)
	} else { // no shard has to be asked
		c.scheduleNextStep(query)
	}
}

// startPhase adds the subqueries of a phase and notifies the scheduler of them.
func (c *Coordinator) startPhase(query *queryState, step twophase.Step) {
	state := query.twoPhase
	state.canMatch = step.Action == twophase.CanMatch
	for _, shard := range step.Shards {
		wireID, text := c.phaseCall(query, shard)
		subquery := c.addSubquery(query, int(shard), wireID, text)
		c.scheduler.SubqueryArrives(c.loop.Now(), scheduler.SubqueryArrival{
			ID:       subquery.id,
			Query:    query.number,
			Shard:    scheduler.ShardNumber(shard),
			Weight:   1 / float64(len(step.Shards)),
			WorkHint: state.run.WorkHint(state.canMatch, state.workHints[shard]),
		})
	}
}

// phaseCall returns the id and text of the current phase's calls to replicas of a shard.
func (c *Coordinator) phaseCall(query *queryState, shard twophase.Shard) (wireID string, text []byte) {
	state := query.twoPhase
	wireID = wire.SubqueryID(query.request.ID, int(shard))
	if state.canMatch {
		return canMatchID(wireID), wire.CanMatchRequest(state.request, query.request.Text)
	}
	return wireID, wire.FetchRequest(state.request, state.run.Version(shard), query.request.Text)
}

// canMatchID returns the id on the wire of a subquery's can-match call. It differs from that of the fetch call, so
// that a late reply to one is not taken for a reply to the other.
func canMatchID(subqueryID string) string { return subqueryID + "s" }

// scheduleNextStep schedules takeNextStep for the start of the next iteration.
func (c *Coordinator) scheduleNextStep(query *queryState) {
	state := query.twoPhase
	if state.stepScheduled {
		return
	}
	state.stepScheduled = true
	c.loop.NextIteration(func() {
		state.stepScheduled = false
		if !query.closed.Load() {
			c.takeNextStep(query)
		}
	})
}

// takeNextStep carries out the next step that package twophase decides on.
func (c *Coordinator) takeNextStep(query *queryState) {
	state := query.twoPhase
	c.loop.Cancel(state.wakeup)
	state.wakeup = nil
	switch step := state.run.Next(c.loop.Now()); step.Action {
	case twophase.Wait:
		state.wakeup = c.loop.After(step.Wakeup-c.loop.Now(), "", func() { c.scheduleNextStep(query) })
	case twophase.Fetch:
		c.endPhase(query)
		c.scheduler.StartNextPhase(c.loop.Now(), query.id, len(step.Shards))
		c.startPhase(query, step)
	case twophase.Done:
		c.trace("two_phase_complete=%s reason=%q", query.request.ID, step.Reason)
		c.scheduler.StartNextPhase(c.loop.Now(), query.id, 0)
		c.answer(query.id, succeeded, func(_ *queryState, last bool) []byte {
			return wire.HitsResponse(state.run.Hits(), last)
		})
	case twophase.Reject:
		c.counts.TwoPhaseRejected++
		c.trace("two_phase_rejected=%s reason=%q", query.request.ID, step.Reason)
		c.Reject(query.id, 0)
		c.scheduler.ForgetQuery(c.loop.Now(), query.id)
	}
}

// endPhase releases the subqueries of a phase that is over.
func (c *Coordinator) endPhase(query *queryState) {
	ended := query.subqueries
	query.subqueries = nil
	for _, subquery := range ended {
		subquery.phaseOver.Store(true)
		c.releaseSubquery(subquery)
	}
}

// phaseReplyReceived handles a replica's reply to a subquery of a two-phase query, and returns the outcome of the
// attempt.
func (c *Coordinator) phaseReplyReceived(attempt *attemptState, value []byte, took time.Duration) scheduler.Outcome {
	if attempt.subquery.unwanted() {
		return scheduler.Succeeded
	}
	defer c.scheduleNextStep(attempt.subquery.query)
	if attempt.subquery.query.twoPhase.canMatch {
		c.canMatchReplyReceived(attempt, value, took)
		return scheduler.Succeeded
	}
	if err := c.fetchReplyReceived(attempt, value, took); err != nil {
		c.logLimited("event=malformed_fetch_reply replica=%s subquery=%s cause=%q",
			c.replicas.UID(attempt.replica), attempt.subquery.wireID, err)
		return scheduler.Failed
	}
	return scheduler.Succeeded
}

// canMatchReplyReceived handles a shard's summary. An unusable summary cannot rule the shard out, so the shard is
// asked in the second phase.
func (c *Coordinator) canMatchReplyReceived(attempt *attemptState, value []byte, took time.Duration) {
	state := attempt.subquery.query.twoPhase
	shard := twophase.Shard(attempt.subquery.shard)
	summary, err := wire.ReadSummary(value)
	usable := err == nil && state.run.Summarized(c.loop.Now(), shard, twophase.Replica(attempt.replica), summary)
	if !usable {
		c.counts.MalformedSummaries++
		state.run.NoSummary(shard)
	}
	state.canMatchLatency.add(took)
}

// fetchReplyReceived handles a shard's hits.
func (c *Coordinator) fetchReplyReceived(attempt *attemptState, value []byte, took time.Duration) error {
	state := attempt.subquery.query.twoPhase
	hits, err := wire.ReadAnswer(attempt.subquery.shard, value)
	if err != nil {
		return err
	}
	shard := twophase.Shard(attempt.subquery.shard)
	if err := state.run.Answered(c.loop.Now(), shard, twophase.Replica(attempt.replica), hits); err != nil {
		return err
	}
	state.fetchLatency.add(took)
	return nil
}

// closeTwoPhase counts a closed two-phase query and updates the estimates for its class.
func (c *Coordinator) closeTwoPhase(query *queryState) {
	state := query.twoPhase
	c.loop.Cancel(state.wakeup)
	if state.canMatchLatency.count > 0 && state.fetchLatency.count > 0 {
		class := c.twoPhase.classes[query.request.Class]
		class.ObserveCost(state.canMatchLatency.mean(), state.fetchLatency.mean())
	}
	state.run.Close()
	phases, fetched := state.run.Phases()
	c.counts.TwoPhaseQueries++
	if phases == 2 {
		c.counts.CanMatchPhases++
		c.counts.ShardsPruned += len(query.request.Subqueries) - fetched
	}
}
