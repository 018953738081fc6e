package twophase

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// When two phases are worth it.
const (
	minShards         = 4    // fewer are fetched from at once: a can-match phase would save hardly anything
	maxRelativeWork   = 0.75 // of the work of one phase that two may be expected to cost; the rest is for the attempts
	maxObjectiveShare = 0.9  // of the time until the objective that both phases may be expected to take
	probeInterval     = 32   // queries that are not worth it, after which one is executed in two phases all the same
	maxProbeShare     = 0.4  // of the time until the objective that such a probe may be expected to take: none in a jam
)

// What is assumed before anything was learned.
const (
	initialSummaryCost    = 0.15 // work of a summary, as a share of that of an answer
	initialFetchedShare   = 0.3  // of shards that are fetched from after a can-match phase
	initialPhaseShare     = 0.2  // of the latency objective that a phase takes
	defaultWorkShare      = 0.05 // of the latency objective that an answer works, where the client gives no hint
	maxSummaryCost        = 0.3  // of an answer's work: beyond it the round trip hides how cheap a summary is
	minSummaryWork        = time.Millisecond / 10
	learningRate          = 0.1              // weight of one query in what is learned
	deviationsAllowed     = 3.0              // mean deviations above the mean in the upper estimate of a phase
	decayTimeConstant     = 60 * time.Second // in which what is learned loses two thirds of its distance to the initial value
	distrustTime          = 10 * time.Minute // for which summaries of a replica are distrusted after a false one
	maxDistrusted         = 1024             // replicas; beyond it some are forgotten early
	versionMemory         = 30 * time.Second // after which the version that a replica had is no longer compared
	maxReplicasRemembered = 16               // replicas of a shard whose versions are remembered
	maxShardsRemembered   = 4096             // shards whose replicas' versions are remembered; beyond it all are forgotten
)

// Class is what is learned of the queries of one class. It belongs to one goroutine, as its queries do.
type Class struct {
	objective       time.Duration // the class's latency objective
	canMatch, fetch phaseTime
	fetchedShare    float64 // of shards that are fetched from after a can-match phase
	summaryCost     float64 // work of a summary, as a share of that of an answer
	unprunedShare   float64 // of can-match phases after which all shards were fetched from
	sinceTwoPhases  int     // queries in a row that were executed in one phase
	decayedAt       time.Duration
	distrustedUntil map[Replica]time.Duration // replicas that gave a false summary
	versions        map[Shard][]versionSeen
}

// versionSeen is the version of a shard that a replica had when it was last heard.
type versionSeen struct {
	replica Replica
	version Version
	at      time.Duration
}

// NewClass returns a Class that has learned nothing. The objective is the class's latency objective.
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

// worthTwoPhases decides whether a query over so many shards is executed in two phases: if that is expected to cost
// less work than one phase, and to be complete in time. In a jam phases take long, so that none is begun in vain
// then. Since a class's queries change, one is executed in two phases now and then all the same, while there is
// time for it.
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

// decay moves what is learned back towards the initial values, by the time since the last query.
func (class *Class) decay(now time.Duration) {
	kept := math.Exp(-float64(now-class.decayedAt) / float64(decayTimeConstant))
	class.decayedAt = now
	fadeTo := func(value *float64, initial float64) { *value = initial + (*value-initial)*kept }
	initial := initialPhaseTime(class.objective)
	fadeTo(&class.canMatch.mean, initial.mean)
	fadeTo(&class.fetch.mean, initial.mean)
	fadeTo(&class.canMatch.deviation, initial.deviation)
	fadeTo(&class.fetch.deviation, initial.deviation)
	fadeTo(&class.fetchedShare, initialFetchedShare)
	fadeTo(&class.unprunedShare, 0)
}

// observeCanMatch learns from a can-match phase. One that was cut short would have taken at least as long.
func (class *Class) observeCanMatch(took time.Duration, complete bool) {
	if complete || took > class.canMatch.estimate() {
		class.canMatch.observe(took)
	}
}

// observePruning learns from a query in two phases how many of its shards were fetched from.
func (class *Class) observePruning(shards, fetched int) {
	useless := 0.0
	if fetched >= shards {
		useless = 1
	}
	class.fetchedShare += learningRate * (float64(fetched)/float64(shards) - class.fetchedShare)
	class.unprunedShare += learningRate * (useless - class.unprunedShare)
}

// ObserveCost learns the work of a summary beside that of an answer, as the scheduler's estimates have them; 0:
// unknown.
func (class *Class) ObserveCost(summary, answer time.Duration) {
	if summary <= 0 || answer <= 0 {
		return
	}
	cost := min(maxSummaryCost, float64(summary)/float64(answer))
	class.summaryCost += learningRate * (cost - class.summaryCost)
}

// WorkHint is the expected work of a subquery: for an answer what the client said, if anything, or a share of the
// latency objective; for a summary a share of that, as learned.
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

// observeVersion notes which version a replica has of a shard, and reports whether all its replicas that were heard
// of late have the same.
func (class *Class) observeVersion(now time.Duration, id Shard, from Replica, version Version) (agree bool) {
	others := slices.DeleteFunc(class.versions[id], func(seen versionSeen) bool {
		return seen.replica == from || now-seen.at > versionMemory
	})
	if len(others) >= maxReplicasRemembered {
		others = others[1:]
	}
	if class.versions[id] == nil && len(class.versions) >= maxShardsRemembered {
		clear(class.versions) // they are learned again within a query or two
		others = nil
	}
	class.versions[id] = append(others, versionSeen{from, version, now})
	return !slices.ContainsFunc(others, func(seen versionSeen) bool { return seen.version != version })
}

// distrust has a replica's summaries prove nothing for distrustTime.
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

// String describes what was learned, for a person to read.
func (class *Class) String() string {
	const precision = 100 * time.Microsecond
	return fmt.Sprintf("share=%.2f cost=%.2f vain=%.2f first=%v second=%v spoilt=%d",
		class.fetchedShare, class.summaryCost, class.unprunedShare, class.canMatch.estimate().Round(precision),
		class.fetch.estimate().Round(precision), len(class.distrustedUntil))
}

// phaseTime is how long a phase takes, in seconds.
type phaseTime struct {
	mean      float64
	deviation float64 // mean absolute deviation
}

// initialPhaseTime is what is assumed of a class with this latency objective.
func initialPhaseTime(objective time.Duration) phaseTime {
	mean := initialPhaseShare * objective.Seconds()
	return phaseTime{mean: mean, deviation: mean / deviationsAllowed}
}

// estimate is the expected time.
func (t phaseTime) estimate() time.Duration { return time.Duration(t.mean * float64(time.Second)) }

// upperEstimate is a time that few phases exceed.
func (t phaseTime) upperEstimate() time.Duration {
	return time.Duration((t.mean + deviationsAllowed*t.deviation) * float64(time.Second))
}

// observe learns from one phase.
func (t *phaseTime) observe(took time.Duration) {
	off := took.Seconds() - t.mean
	t.mean += learningRate * off
	t.deviation += learningRate * (math.Abs(off) - t.deviation)
}
