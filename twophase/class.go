package twophase

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Conditions for two-phase execution.
const (
	minShards         = 4    // with fewer shards a can-match phase saves hardly any work
	maxRelativeWork   = 0.75 // expected work relative to one phase; the rest is margin for additional attempts
	maxObjectiveShare = 0.9  // expected time of both phases relative to the time until the objective
	probeInterval     = 32   // queries in one phase after which one is executed in two phases as a probe
	maxProbeShare     = 0.4  // like maxObjectiveShare, for a probe; this prevents probes under overload
)

// Initial values of the learned estimates, and their parameters.
const (
	initialSummaryCost    = 0.15 // work of a summary relative to that of an answer
	initialFetchedShare   = 0.3  // share of the shards fetched from after a can-match phase
	initialPhaseShare     = 0.2  // duration of a phase relative to the latency objective
	defaultWorkShare      = 0.05 // work of an answer relative to the latency objective, if the client gives no hint
	maxSummaryCost        = 0.3  // limit for observed costs: above it the round trip dominates the measurement
	minSummaryWork        = time.Millisecond / 10
	learningRate          = 0.1              // weight of one query in the estimates
	deviationsAllowed     = 3.0              // mean deviations above the mean in the upper estimate of a phase
	decayTimeConstant     = 60 * time.Second // time constant of the exponential decay to the initial values
	distrustTime          = 10 * time.Minute // how long summaries of a replica are distrusted after a false one
	maxDistrusted         = 1024             // distrusted replicas; beyond it some are removed early
	versionMemory         = 30 * time.Second // how long the version of a shard on a replica is remembered
	maxReplicasRemembered = 16               // replicas per shard whose versions are remembered
	maxShardsRemembered   = 4096             // shards whose versions are remembered; beyond it all are cleared
)

// Class holds the estimates learned from the queries of one class. It and its queries must be used by one goroutine.
type Class struct {
	objective       time.Duration // latency objective of the class
	canMatch, fetch phaseTime
	fetchedShare    float64 // share of the shards fetched from after a can-match phase
	summaryCost     float64 // work of a summary relative to that of an answer
	unprunedShare   float64 // share of the can-match phases after which all shards were fetched from
	sinceTwoPhases  int     // consecutive queries executed in one phase
	decayedAt       time.Duration
	distrustedUntil map[Replica]time.Duration // replicas that sent a false summary
	versions        map[Shard][]versionSeen
}

// versionSeen is the last known version of a shard on a replica.
type versionSeen struct {
	replica Replica
	version Version
	seenAt  time.Duration
}

// NewClass returns a Class with initial estimates. objective is the latency objective of the class.
func NewClass(objective time.Duration) *Class {
	initial := initialPhaseTime(objective)
	return &Class{
		objective:       objective,
		canMatch:        initial,
		fetch:           initial,
		fetchedShare:    initialFetchedShare,
		summaryCost:     initialSummaryCost,
		distrustedUntil: map[Replica]time.Duration{},
		versions:        map[Shard][]versionSeen{},
	}
}

// worthTwoPhases reports whether a query over a number of shards is executed in two phases: if that is expected to cost
// less work than one phase and to complete in time. Under overload, phases take long, so queries use one phase. As
// queries of a class change over time, some are executed in two phases as a probe if there is enough time.
func (class *Class) worthTwoPhases(shards int, untilObjective time.Duration) bool {
	if shards < minShards {
		return false
	}
	expected := class.canMatch.upperEstimate() + phaseOverhead + class.fetch.upperEstimate()
	class.sinceTwoPhases++
	savesWork := class.summaryCost+class.fetchedShare < maxRelativeWork
	worth := savesWork && expected < scale(untilObjective, maxObjectiveShare)
	probe := class.sinceTwoPhases >= probeInterval && expected < scale(untilObjective, maxProbeShare)
	if worth || probe {
		class.sinceTwoPhases = 0
		return true
	}
	return false
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

// decay moves the estimates towards their initial values, depending on the time since the last query.
func (class *Class) decay(now time.Duration) {
	kept := math.Exp(-float64(now-class.decayedAt) / float64(decayTimeConstant))
	class.decayedAt = now
	decayTo := func(value *float64, initial float64) { *value = initial + (*value-initial)*kept }
	initial := initialPhaseTime(class.objective)
	decayTo(&class.canMatch.mean, initial.mean)
	decayTo(&class.fetch.mean, initial.mean)
	decayTo(&class.canMatch.deviation, initial.deviation)
	decayTo(&class.fetch.deviation, initial.deviation)
	decayTo(&class.fetchedShare, initialFetchedShare)
	decayTo(&class.unprunedShare, 0)
}

// observeCanMatch updates the estimates with a can-match phase. An incomplete phase gives a lower bound of its
// duration.
func (class *Class) observeCanMatch(took time.Duration, complete bool) {
	if complete || took > class.canMatch.estimate() {
		class.canMatch.observe(took)
	}
}

// observePruning updates the estimates with the number of shards fetched from in a two-phase query.
func (class *Class) observePruning(shards, fetched int) {
	unpruned := 0.0
	if fetched >= shards {
		unpruned = 1
	}
	class.fetchedShare += learningRate * (float64(fetched)/float64(shards) - class.fetchedShare)
	class.unprunedShare += learningRate * (unpruned - class.unprunedShare)
}

// ObserveCost updates the relative cost of a summary with the mean work of a summary and of an answer; 0 is unknown.
func (class *Class) ObserveCost(summary, answer time.Duration) {
	if summary <= 0 || answer <= 0 {
		return
	}
	cost := min(maxSummaryCost, float64(summary)/float64(answer))
	class.summaryCost += learningRate * (cost - class.summaryCost)
}

// WorkHint returns the expected work of a subquery. For an answer it is the client's hint or, without one, a share
// of the latency objective; for a summary it is the learned share of that.
func (query *Query) WorkHint(summary bool, clientHint time.Duration) time.Duration {
	work := clientHint
	if work == 0 {
		work = scale(query.class.objective, defaultWorkShare)
	}
	if summary {
		return max(minSummaryWork, scale(work, query.class.summaryCost))
	}
	return work
}

// observeVersion records the version of a shard on a replica and reports whether all replicas of the shard seen within
// versionMemory have the same version.
func (class *Class) observeVersion(now time.Duration, id Shard, from Replica, version Version) (agree bool) {
	others := slices.DeleteFunc(class.versions[id], func(seen versionSeen) bool {
		return seen.replica == from || now-seen.seenAt > versionMemory
	})
	if len(others) >= maxReplicasRemembered {
		others = others[1:]
	}
	if class.versions[id] == nil && len(class.versions) >= maxShardsRemembered {
		clear(class.versions) // they are relearned within one or two queries
		others = nil
	}
	class.versions[id] = append(others, versionSeen{from, version, now})
	return !slices.ContainsFunc(others, func(seen versionSeen) bool { return seen.version != version })
}

// distrust excludes the summaries of a replica from use as proofs for distrustTime.
func (class *Class) distrust(now time.Duration, replica Replica) {
	for other, until := range class.distrustedUntil {
		if until <= now || len(class.distrustedUntil) >= maxDistrusted {
			delete(class.distrustedUntil, other)
		}
	}
	class.distrustedUntil[replica] = now + distrustTime
}

func (class *Class) distrusts(now time.Duration, replica Replica) bool {
	return class.distrustedUntil[replica] > now
}

// String formats the estimates for the operator page.
func (class *Class) String() string {
	const precision = 100 * time.Microsecond
	return fmt.Sprintf("share=%.2f cost=%.2f vain=%.2f first=%v second=%v spoilt=%d",
		class.fetchedShare, class.summaryCost, class.unprunedShare, class.canMatch.estimate().Round(precision),
		class.fetch.estimate().Round(precision), len(class.distrustedUntil))
}

// phaseTime estimates the duration of a phase, in seconds.
type phaseTime struct {
	mean      float64
	deviation float64 // mean absolute deviation
}

// initialPhaseTime returns the initial estimate for a class with a latency objective.
func initialPhaseTime(objective time.Duration) phaseTime {
	mean := initialPhaseShare * objective.Seconds()
	return phaseTime{mean: mean, deviation: mean / deviationsAllowed}
}

// estimate returns the expected duration.
func (t phaseTime) estimate() time.Duration { return time.Duration(t.mean * float64(time.Second)) }

// upperEstimate returns a duration that few phases exceed.
func (t phaseTime) upperEstimate() time.Duration {
	return time.Duration((t.mean + deviationsAllowed*t.deviation) * float64(time.Second))
}

// observe updates the estimate with the duration of one phase.
func (t *phaseTime) observe(took time.Duration) {
	diff := took.Seconds() - t.mean
	t.mean += learningRate * diff
	t.deviation += learningRate * (math.Abs(diff) - t.deviation)
}
