package scheduler

// Slow start limits what a replica is sent that started a short while ago. Such a replica can do only a share of
// its full work, and falls over when all co-ordinators together send it more than a multiple of that. Inputs are
// the replica's start, the work sent to it, what warm replicas answer and what comes for the cells; the result is
// whether a subquery may go there now.
//
// Each co-ordinator uses its part of the budget of all: a subquery uses up budgetTime of it. There are two regimes.
//
// Spaced in time, where budgetTime is at most the burst: a subquery goes once what was sent before has used up the
// part to within the burst from now. The burst is how far ahead of its part a co-ordinator may send: OverloadFor x
// (1/slowStartSafety - 1).
//
// By chance, where budgetTime is more than that, as among many co-ordinators: each subquery goes with the probability
// affordable over arrivalsFor, so that all together send what the replica bears.

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slowStartParallelism is the largest number of subqueries side by side that a starting replica is counted on
	// for.
	slowStartParallelism = 2.0

	// slowStartSafety is the share of this co-ordinator's part of the budget that it uses.
	slowStartSafety = 0.8

	// slowStartProbabilityDivisor divides what this co-ordinator's part affords where that is less than a subquery at a
	// time, as chance may let several go at once.
	slowStartProbabilityDivisor = 2.0

	// slowStartProportionalShare is the share of the overload multiple, of what a warm replica answers, that a starting one
	// is sent beside that.
	slowStartProportionalShare = 0.5

	// slowStartDecaySeconds is the time in seconds in which answers and arrivals are forgotten to a third.
	slowStartDecaySeconds = 10.0
)

// slowStart is what a co-ordinator knows of the load on warm and starting replicas. When a replica's part is used up
// stands in its replicaState.
type slowStart struct {
	settings slowStartSettings

	warmAnswers  float64   // answers of warm replicas, as remembered
	warmReplicas float64   // how many are ready and warm, as of the last tick
	unobserved   float64   // share of the memory that lies before this co-ordinator's start: 1 at first
	arrivals     []float64 // by cell: subqueries that came for it, as remembered

	// usedUntil is replicaState.slowStartUsedUntil of replicas that are not listed yet, as an earlier Scheduler of
	// the process left it.
	usedUntil map[ReplicaID]time.Duration
}

// slowStartSettings do not change while the Scheduler lives.
type slowStartSettings struct {
	SlowStartConfig
	coordinators float64
	layout       cellLayout
}

func newSlowStart(config *Config) slowStart {
	return slowStart{
		settings: slowStartSettings{
			SlowStartConfig: config.SlowStart,
			coordinators:    float64(config.Coordinators),
			layout:          config.cellLayout(),
		},
		unobserved: 1,
		arrivals:   make([]float64, config.Cells),
	}
}

// warmingUp tells whether a replica's start was so short a while ago that it may be overloaded because of it.
func (s *slowStart) warmingUp(replica *replicaState, now time.Duration) bool {
	if s.settings.OverloadMultiple <= 0 || replica.startedAt == StartUnknown {
		return false
	}
	return now-replica.startedAt < s.settings.WarmAfter+s.settings.OverloadFor
}

// capacity is the share of its full capacity that a replica has, from StartCapacity to 1.
func (s *slowStart) capacity(replica *replicaState, now time.Duration) float64 {
	age := max(0, (now-replica.startedAt).Seconds()/s.settings.WarmAfter.Seconds())
	return min(1, s.settings.StartCapacity+(1-s.settings.StartCapacity)*age)
}

// admits tells whether a subquery may go to a replica now.
//
// The guard is against two failures: a fresh replica that is overloaded falls over and starts again, so its cell
// never recovers; and a fresh replica that is sent nothing leaves its load to the others until it is warm.
func (s *slowStart) admits(
	replica *replicaState, subquery *subquery, parallelism float64, now time.Duration, random *random,
) bool {
	if !s.warmingUp(replica, now) {
		return true
	}
	takes := s.budgetTime(replica, subquery.work, parallelism, now)
	burst := scale(s.settings.OverloadFor, 1/slowStartSafety-1)
	if takes <= burst {
		return now >= replica.slowStartUsedUntil+takes-burst
	}
	chance := random.forKeys(uint64(subquery.id), uint64(replica.id))
	return chance*s.arrivalsFor(replica) < s.affordable(replica, takes, now)
}

// affordable is the number of subqueries that a replica may be sent within the memory's time, each of which takes so
// long a time of this co-ordinator's part.
func (s *slowStart) affordable(replica *replicaState, takes, now time.Duration) float64 {
	warmShare := slowStartProportionalShare * s.settings.OverloadMultiple * s.capacity(replica, now)
	inProportion := warmShare * s.warmAnswers / max(1, s.warmReplicas)
	ownPart := (1 - s.unobserved) * slowStartDecaySeconds / takes.Seconds() / slowStartProbabilityDivisor
	return inProportion + ownPart
}

// arrivalsFor is the number of subqueries that came within the memory's time for the shards that a replica holds.
func (s *slowStart) arrivalsFor(replica *replicaState) float64 {
	arrivals := 0.0
	for cell := range s.settings.layout.heldBy(replica.cell) {
		arrivals += s.arrivals[cell]
	}
	return arrivals
}

// budgetTime is the time for which so much work uses up this co-ordinator's part of a starting replica's budget. Once
// warm, the replica is taken to do what others do.
func (s *slowStart) budgetTime(
	replica *replicaState, work time.Duration, parallelism float64, now time.Duration,
) time.Duration {
	budget := slowStartSafety * s.settings.OverloadMultiple * s.capacity(replica, now)
	part := budget * min(parallelism, slowStartParallelism) / s.settings.coordinators
	return scale(work, 1/part)
}

// subqueryArrived notes a subquery for a shard.
func (s *slowStart) subqueryArrived(shard ShardNumber) { s.arrivals[s.settings.layout.cellOf(shard)]++ }

// attemptStarted notes that a subquery's work goes to a replica.
func (s *slowStart) attemptStarted(replica *replicaState, work time.Duration, parallelism float64, now time.Duration) {
	if s.warmingUp(replica, now) {
		takes := s.budgetTime(replica, work, parallelism, now)
		replica.slowStartUsedUntil = max(replica.slowStartUsedUntil, now) + takes
	}
}

// answered notes an answer. The answers of a warm replica show what one can do; what it is sent does not show it, as
// that may be too much.
func (s *slowStart) answered(replica *replicaState, now time.Duration) {
	if !s.warmingUp(replica, now) {
		s.warmAnswers++
	}
}

// decay forgets what is old after so many seconds. It begins the count of warm replicas anew, which readyReplica
// goes on with.
func (s *slowStart) decay(passed float64) {
	left := math.Exp(-passed / slowStartDecaySeconds)
	s.warmAnswers *= left
	s.warmReplicas = 0
	s.unobserved *= left
	for cell := range s.arrivals {
		s.arrivals[cell] *= left
	}
}

// countReadyReplica counts a replica that is ready, after fade.
func (s *slowStart) countReadyReplica(replica *replicaState, now time.Duration) {
	if !s.warmingUp(replica, now) {
		s.warmReplicas++
	}
}

// restoreUsage sets what an earlier Scheduler of the process has sent to a replica that is restoreUsage for the first time.
func (s *slowStart) restoreUsage(replica *replicaState) {
	replica.slowStartUsedUntil = s.usedUntil[replica.id]
	delete(s.usedUntil, replica.id)
}

// snapshot is a copy of what is known, for a later Scheduler of the same process.
func (s *slowStart) snapshot(replicas map[ReplicaID]*replicaState) slowStart {
	copied := *s
	copied.arrivals = slices.Clone(s.arrivals)
	copied.usedUntil = maps.Clone(s.usedUntil)
	if copied.usedUntil == nil {
		copied.usedUntil = map[ReplicaID]time.Duration{}
	}
	for id, replica := range replicas {
		copied.usedUntil[id] = replica.slowStartUsedUntil
	}
	return copied
}

// resume takes over an earlier Scheduler's snapshot; the settings stay.
func (s *slowStart) resume(earlier slowStart) {
	s.warmAnswers = earlier.warmAnswers
	s.warmReplicas = earlier.warmReplicas
	s.unobserved = earlier.unobserved
	s.usedUntil = earlier.usedUntil
	copy(s.arrivals, earlier.arrivals)
}

// slowStartAdmits tells whether a subquery may go to a replica now as far as slow start is concerned; nil: whether
// any may at some time.
func (scheduler *Scheduler) slowStartAdmits(replica *replicaState, subquery *subquery) bool {
	if subquery == nil {
		return true
	}
	parallelism := scheduler.estimates.parallelism
	return scheduler.slowStart.admits(replica, subquery, parallelism, scheduler.now, &scheduler.random)
}
