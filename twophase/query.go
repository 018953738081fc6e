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
	// phaseOverhead is the time that this process is expected to take between two phases or waves, for gathering and
	// pruning. It is added to the estimate of a fetch wherever the time that is left is judged.
	phaseOverhead = 2 * time.Millisecond
	// maxWaves is how many waves the fetch phase may have: hits of one may prove that shards of the next add nothing.
	maxWaves = 3
	// minWaveShards is how many shards a wave has at the least, as smaller ones cost time and save little work.
	minWaveShards = 4
	// quorumOfShards is the share of summaries from which on missing ones are waited for only as long as a can-match
	// phase usually takes (gather).
	quorumOfShards = 0.8
)

// ErrInvalidOptions is returned by Begin for options that contradict themselves, or for no shards.
var ErrInvalidOptions = errors.New("a form that cannot be")

// shardState is how far a query has come with one shard.
type shardState int

const (
	pending     shardState = iota // no summary has come yet
	summarized                    // its summary has come
	withoutInfo                   // no usable summary will come: it has to be fetched from
	pruned                        // its summary proves that it adds nothing
	fetching                      // it was asked for its hits
	answered                      // its hits are there
)

// shardProgress is what a query knows of one shard.
type shardProgress struct {
	id         Shard
	state      shardState
	summary    Summary
	summarizer Replica // the replica that the summary came from
	distrusted bool    // its replicas' versions differ, or the summarizer has given a false summary
	answer     Answer
}

// upperBound is the score that no hit of the shard exceeds; +Inf where nothing proves one.
func (shard *shardProgress) upperBound() float64 {
	if shard.state != summarized || shard.distrusted {
		return math.Inf(1)
	}
	return shard.summary.Upper
}

// phase is where a query stands.
type phase int

const (
	notBegun phase = iota
	canMatchPhase
	fetchPhase
)

// Query is one query that is executed in one or two phases. It belongs to the goroutine of its Class.
type Query struct {
	class       *Class
	options     Options
	shards      []*shardProgress // in the order in which the query named them
	byID        map[Shard]*shardProgress
	beganAt     time.Duration
	objectiveAt time.Duration // by when it should be complete
	deadlineAt  time.Duration // by when it must be
	twoPhases   bool
	phase       phase
	wavesLeft   int           // of the fetch phase, the next one included
	waveAt      time.Duration // when the present wave began
	fetched     int           // shards that were asked for hits
	rejection   string        // why it was rejected; empty: it was not
}

// Begin opens a query over some shards, which should be complete at objectiveAt and must be at deadlineAt.
// maxAttempts is how many attempts each shard may get in all; two phases need two. It fails with ErrInvalidOptions,
// or if a shard is named twice.
func (class *Class) Begin(now time.Duration, options Options, shards []Shard,
	objectiveAt, deadlineAt time.Duration, maxAttempts int) (*Query, error) {
	limitWithoutRank := !options.Ranked && options.Limit > 0
	if options.Limit < 0 || limitWithoutRank || len(shards) == 0 {
		return nil, ErrInvalidOptions
	}
	query := &Query{
		class:       class,
		options:     options,
		byID:        map[Shard]*shardProgress{},
		beganAt:     now,
		objectiveAt: objectiveAt,
		deadlineAt:  deadlineAt,
	}
	for _, id := range shards {
		if query.byID[id] != nil {
			return nil, fmt.Errorf("block %d stands twice", id)
		}
		shard := &shardProgress{id: id}
		query.shards = append(query.shards, shard)
		query.byID[id] = shard
	}
	class.fade(now)
	query.twoPhases = maxAttempts > 1 && class.worthTwoPhases(len(shards), objectiveAt-now)
	return query, nil
}

// Next returns the next step. CanMatch, and Fetch of the same shards, are returned once. After Done or Reject the query
// is over, a further call returns the same again, and its owner calls Close.
func (query *Query) Next(now time.Duration) Step {
	if query.rejection != "" {
		return Step{Action: Reject, Reason: query.rejection}
	}
	if query.options.Ranked && query.options.Limit == 0 {
		return Step{Action: Done, Reason: "no hits are wanted"}
	}
	switch {
	case query.phase == notBegun && query.twoPhases:
		query.phase = canMatchPhase
		return Step{Action: CanMatch, Shards: query.inState(pending)}
	case query.phase == notBegun:
		query.phase = fetchPhase
		query.waveAt = now
		return query.fetch(query.shards, "in one phase")
	case query.phase == canMatchPhase:
		return query.gather(now)
	}
	if len(query.inState(fetching)) == 0 {
		return query.nextWave(now)
	}
	if now >= query.deadlineAt {
		return query.reject("the deadline has passed")
	}
	return Step{Action: Wait, Wakeup: query.deadlineAt}
}

func (query *Query) reject(reason string) Step {
	query.rejection = reason
	return Step{Action: Reject, Reason: reason}
}

// inState lists the shards in a state.
func (query *Query) inState(state shardState) []Shard {
	var shards []Shard
	for _, shard := range query.shards {
		if shard.state == state {
			shards = append(shards, shard.id)
		}
	}
	return shards
}

// gather waits for summaries as long as that serves the answer, then begins the fetch phase. All are waited for
// until the fetch phase would come too late; the last fifth only as long as a can-match phase usually takes.
// Otherwise one slow or silent shard would cost the whole answer. A shard whose summary is not waited for is
// fetched from.
func (query *Query) gather(now time.Duration) Step {
	missing := len(query.inState(pending))
	until := query.latestFetchStart()
	arrived := float64(len(query.shards) - missing)
	if arrived >= quorumOfShards*float64(len(query.shards)) {
		until = min(until, query.beganAt+query.class.canMatch.upperEstimate())
	}
	if missing > 0 && now < until {
		return Step{Action: Wait, Wakeup: until}
	}
	for _, shard := range query.shards {
		if shard.state == pending {
			shard.state = withoutInfo
		}
	}
	query.class.observeCanMatch(now-query.beganAt, missing == 0)
	query.phase = fetchPhase
	query.waveAt = now
	query.wavesLeft = query.wavesWithin(now)
	return query.nextWave(now)
}

// latestFetchStart is when the fetch phase has to begin to be complete by the objective or, where that is out of
// reach, by the deadline.
func (query *Query) latestFetchStart() time.Duration {
	needed := phaseOverhead + query.class.fetch.upperEstimate()
	if latest := query.objectiveAt - needed; latest > query.beganAt {
		return latest
	}
	return query.deadlineAt - needed
}

// wavesWithin is how many waves of fetching the time allows, where several can save work: the hits of the first may
// prove that further shards add nothing.
func (query *Query) wavesWithin(now time.Duration) int {
	if !query.options.Ranked {
		return 1
	}
	oneWave := max(phaseOverhead, query.class.fetch.upperEstimate()+phaseOverhead)
	waves := int((query.objectiveAt - now) / oneWave)
	return max(1, min(maxWaves, waves))
}

// nextWave fetches from the next shards that may contribute, or ends the query if there are none.
func (query *Query) nextWave(now time.Duration) Step {
	query.prune()
	left := query.unresolved()
	if len(left) == 0 {
		return Step{Action: Done, Reason: fmt.Sprintf("%d of %d shards fetched from", query.fetched, len(query.shards))}
	}
	if now+phaseOverhead+query.class.fetch.estimate() > query.deadlineAt {
		return query.reject("too little time is left to fetch from the remaining shards")
	}
	// The best bounds go first. A shard without a bound goes in the first wave in any case.
	slices.SortStableFunc(left, func(a, b *shardProgress) int { return cmp.Compare(b.upperBound(), a.upperBound()) })
	query.wavesLeft--
	if query.wavesLeft > 0 {
		left = left[:query.waveSize(left)]
	}
	return query.fetch(left, "")
}

// waveSize is how many of the shards that are left, best bounds first, go in the next wave of several: an equal
// share, all without a bound, and as many as promise enough hits.
func (query *Query) waveSize(left []*shardProgress) int {
	size := max(minWaveShards, (len(left)+query.wavesLeft)/(query.wavesLeft+1))
	for size < len(left) {
		unbounded := math.IsInf(left[size].upperBound(), 1)
		if !unbounded && promisedHits(left[:size]) >= query.options.Limit {
			break
		}
		size++
	}
	return min(size, len(left))
}

// unresolved lists the shards that are neither fetched from nor proved to add nothing.
func (query *Query) unresolved() []*shardProgress {
	var left []*shardProgress
	for _, shard := range query.shards {
		if shard.state == summarized || shard.state == withoutInfo {
			left = append(left, shard)
		}
	}
	return left
}

// promisedHits is how many hits the trusted summaries of some shards promise.
func promisedHits(shards []*shardProgress) int {
	hits := 0
	for _, shard := range shards {
		if shard.state == summarized && !shard.distrusted {
			hits += shard.summary.Count
		}
	}
	return hits
}

// fetch marks shards as asked for their hits and returns the step that asks them.
func (query *Query) fetch(shards []*shardProgress, reason string) Step {
	step := Step{Action: Fetch, Reason: reason}
	for _, shard := range shards {
		shard.state = fetching
		step.Shards = append(step.Shards, shard.id)
	}
	slices.Sort(step.Shards)
	query.fetched += len(step.Shards)
	return step
}

// Hits is the complete answer, once Next has returned Done: in order, Options.Limit at the most where it is ranked.
func (query *Query) Hits() []Hit {
	var hits []Hit
	for _, shard := range query.shards {
		if shard.state == answered {
			hits = append(hits, shard.answer.Hits...)
		}
	}
	slices.SortFunc(hits, CompareHits)
	if query.options.Ranked {
		hits = hits[:min(len(hits), query.options.Limit)]
	}
	return hits
}

// Version is the version of a shard's summary, for the request for its hits; empty: there was no summary.
func (query *Query) Version(id Shard) Version {
	if shard := query.byID[id]; shard != nil {
		return shard.summary.Version
	}
	return ""
}

// Close ends the query, however that came about, and has the class learn from it.
func (query *Query) Close() {
	if query.phase == fetchPhase && query.twoPhases {
		query.class.observePruning(len(query.shards), query.fetched)
	}
}

// Phases returns in how many phases the query is executed and how many shards were asked for hits.
func (query *Query) Phases() (phases, shardsFetched int) {
	if query.twoPhases {
		return 2, query.fetched
	}
	return 1, query.fetched
}
