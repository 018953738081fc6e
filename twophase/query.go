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
	// phaseOverhead is the expected processing time of this process between two phases or waves. It is added to the
	// estimated duration of a fetch when checking whether the remaining time suffices.
	phaseOverhead = 2 * time.Millisecond
	// maxWaves is the maximum number of waves in the fetch phase. Hits of one wave can prune shards of the next.
	maxWaves = 3
	// minWaveShards is the minimum number of shards per wave: smaller waves take time and save little work.
	minWaveShards = 4
	// quorumOfShards is a share of the shards: once that many have replied, the query waits for the others only as
	// long as a can-match phase usually takes (awaitSummaries).
	quorumOfShards = 0.8
)

// ErrInvalidOptions is returned by Begin if the options contradict themselves or there are no shards. Its text is
// sent to the client.
var ErrInvalidOptions = errors.New("a form that cannot be")

// shardState is the state of one shard in a query.
type shardState int

const (
	pending    shardState = iota // no summary received yet
	summarized                   // summary received
	noSummary                    // no usable summary available: has to be fetched from
	pruned                       // its summary proves that it contributes nothing
	fetching                     // asked for its hits
	answered                     // hits received
)

// shardProgress is the state and the replies of one shard in a query.
type shardProgress struct {
	id         Shard
	state      shardState
	summary    Summary
	summarizer Replica // the replica that sent the summary
	distrusted bool    // the versions of its replicas differ, or the summarizer has sent a false summary
	answer     Answer
}

// upperBound returns the upper bound of the scores of the shard, or +Inf if none is proved.
func (shard *shardProgress) upperBound() float64 {
	if shard.state != summarized || shard.distrusted {
		return math.Inf(1)
	}
	return shard.summary.Upper
}

// phase is the current phase of a query.
type phase int

const (
	notStarted phase = iota
	canMatchPhase
	fetchPhase
)

// Query is a query executed in one or two phases. It must be used by the goroutine of its Class.
type Query struct {
	class         *Class
	options       Options
	shards        []*shardProgress // in the order passed to Begin
	byID          map[Shard]*shardProgress
	startedAt     time.Duration
	objectiveAt   time.Duration // time by which it should complete
	deadlineAt    time.Duration // time by which it must complete
	twoPhases     bool
	phase         phase
	wavesLeft     int           // waves left in the fetch phase, including the next one
	waveStartedAt time.Duration // start of the current wave
	fetched       int           // number of shards asked for hits
	rejection     string        // reason for rejecting the query; empty if it is not rejected
}

// Begin opens a query over some shards, which should complete by objectiveAt and must complete by deadlineAt.
// maxAttempts is the maximum number of attempts per shard; two phases need at least two. Begin returns
// ErrInvalidOptions for inconsistent options and an error, whose text is sent to the client, for a duplicate shard.
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
		startedAt:   now,
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
	class.decay(now)
	query.twoPhases = maxAttempts > 1 && class.worthTwoPhases(len(shards), objectiveAt-now)
	return query, nil
}

// Next returns the next step. CanMatch is returned at most once, and Fetch at most once for each shard. After Done or
// Reject the query has ended: further calls return the same step, and the owner has to call Close.
func (query *Query) Next(now time.Duration) Step {
	if query.rejection != "" {
		return Step{Action: Reject, Reason: query.rejection}
	}
	if query.options.Ranked && query.options.Limit == 0 {
		return Step{Action: Done, Reason: "no hits are wanted"}
	}
	switch {
	case query.phase == notStarted && query.twoPhases:
		query.phase = canMatchPhase
		return Step{Action: CanMatch, Shards: query.shardsInState(pending)}
	case query.phase == notStarted:
		query.phase = fetchPhase
		query.waveStartedAt = now
		return query.fetch(query.shards, "in one phase")
	case query.phase == canMatchPhase:
		return query.awaitSummaries(now)
	}
	if len(query.shardsInState(fetching)) == 0 {
		return query.nextWave(now)
	}
	if now >= query.deadlineAt {
		return query.reject("deadline exceeded")
	}
	return Step{Action: Wait, Wakeup: query.deadlineAt}
}

func (query *Query) reject(reason string) Step {
	query.rejection = reason
	return Step{Action: Reject, Reason: reason}
}

// shardsInState returns the shards that are in a state.
func (query *Query) shardsInState(state shardState) []Shard {
	var shards []Shard
	for _, shard := range query.shards {
		if shard.state == state {
			shards = append(shards, shard.id)
		}
	}
	return shards
}

// awaitSummaries waits for summaries and then starts the fetch phase. It waits until the fetch phase would start
// too late or, once quorumOfShards have replied, only as long as a can-match phase usually takes. Otherwise a
// single slow or unresponsive shard could prevent an answer. Shards without a summary are fetched from.
func (query *Query) awaitSummaries(now time.Duration) Step {
	missing := len(query.shardsInState(pending))
	until := query.latestFetchStart()
	arrived := float64(len(query.shards) - missing)
	if arrived >= quorumOfShards*float64(len(query.shards)) {
		until = min(until, query.startedAt+query.class.canMatch.upperEstimate())
	}
	if missing > 0 && now < until {
		return Step{Action: Wait, Wakeup: until}
	}
	for _, shard := range query.shards {
		if shard.state == pending {
			shard.state = noSummary
		}
	}
	query.class.observeCanMatch(now-query.startedAt, missing == 0)
	query.phase = fetchPhase
	query.waveStartedAt = now
	query.wavesLeft = query.wavesWithin(now)
	return query.nextWave(now)
}

// latestFetchStart returns the latest time at which the fetch phase has to start in order to complete by the objective
// or, if that is not possible, by the deadline.
func (query *Query) latestFetchStart() time.Duration {
	needed := phaseOverhead + query.class.fetch.upperEstimate()
	if latest := query.objectiveAt - needed; latest > query.startedAt {
		return latest
	}
	return query.deadlineAt - needed
}

// wavesWithin returns how many waves of fetching fit before the objective. Only ranked queries have several waves, in
// which hits of earlier waves can prune shards of later ones.
func (query *Query) wavesWithin(now time.Duration) int {
	if !query.options.Ranked {
		return 1
	}
	oneWave := max(phaseOverhead, query.class.fetch.upperEstimate()+phaseOverhead)
	waves := int((query.objectiveAt - now) / oneWave)
	return max(1, min(maxWaves, waves))
}

// nextWave fetches from the next shards that may contribute, or completes the query if there are none.
func (query *Query) nextWave(now time.Duration) Step {
	query.prune()
	left := query.unresolved()
	if len(left) == 0 {
		return Step{Action: Done, Reason: fmt.Sprintf("fetched from %d of %d shards", query.fetched, len(query.shards))}
	}
	if now+phaseOverhead+query.class.fetch.estimate() > query.deadlineAt {
		return query.reject("not enough time left to fetch from the remaining shards")
	}
	// Shards with the highest bounds are fetched from first. waveSize puts all shards without a bound in the first
	// wave.
	slices.SortStableFunc(left, func(a, b *shardProgress) int { return cmp.Compare(b.upperBound(), a.upperBound()) })
	query.wavesLeft--
	if query.wavesLeft > 0 {
		left = left[:query.waveSize(left)]
	}
	return query.fetch(left, "")
}

// waveSize returns how many of the remaining shards, sorted by descending bound, are in the next of several waves: at
// least an equal share, all shards without a bound, and enough shards to promise the wanted number of hits.
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

// unresolved returns the shards that are neither fetched from nor pruned.
func (query *Query) unresolved() []*shardProgress {
	var left []*shardProgress
	for _, shard := range query.shards {
		if shard.state == summarized || shard.state == noSummary {
			left = append(left, shard)
		}
	}
	return left
}

// promisedHits returns the number of hits that the trusted summaries of some shards promise.
func promisedHits(shards []*shardProgress) int {
	hits := 0
	for _, shard := range shards {
		if shard.state == summarized && !shard.distrusted {
			hits += shard.summary.Count
		}
	}
	return hits
}

// fetch marks shards as fetching and returns the step that asks them for their hits.
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

// Hits returns the complete answer in order, after Next has returned Done; for a ranked query, at most
// Options.Limit hits.
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

// Version returns the version of a shard's summary, for the fetch request; empty if there is no summary.
func (query *Query) Version(id Shard) Version {
	if shard := query.byID[id]; shard != nil {
		return shard.summary.Version
	}
	return ""
}

// Close ends the query, whatever its outcome, and updates the estimates of the class.
func (query *Query) Close() {
	if query.phase == fetchPhase && query.twoPhases {
		query.class.observePruning(len(query.shards), query.fetched)
	}
}

// Phases returns the number of phases of the query and the number of shards asked for hits.
func (query *Query) Phases() (phases, shardsFetched int) {
	if query.twoPhases {
		return 2, query.fetched
	}
	return 1, query.fetched
}
