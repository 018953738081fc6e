package scheduler

// Slow start limits the work sent to a replica that started recently. Such a replica has only part of its full
// capacity, and crashes if all co-ordinators together send it more than a multiple of that. Inputs are the replica's
// start time, the work sent to it, the answers of warm replicas and the subqueries that arrive for each cell; the
// result is whether a subquery may be sent to the replica now.
//
// Each co-ordinator has an equal share of the replica's budget, and a subquery uses up its share for budgetTime. There
// are two modes.
//
// Spacing, if budgetTime is at most the burst: a subquery is sent if the share, including that subquery, is then used
// up until at most one burst from now. The burst, OverloadFor x (1/slowStartSafety - 1), is how far ahead of its share
// a co-ordinator may send.
//
// Random admission, if budgetTime is more than the burst, as with many co-ordinators: each subquery is sent with
// probability affordable / arrivalsFor, so that all co-ordinators together send no more than the replica can take.

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slowStartParallelism is the largest parallelism that a starting replica is assumed to have.
	slowStartParallelism = 2.0

	// slowStartSafety is the fraction of its share of the budget that this co-ordinator uses.
	slowStartSafety = 0.8

	// slowStartProbabilityDivisor divides the share of the budget in random admission, as several subqueries may be
	// admitted at once by chance.
	slowStartProbabilityDivisor = 2.0

	// slowStartProportionalShare is the fraction of its overload multiple that a starting replica is sent in proportion
	// to the answers of a warm replica, in addition to this co-ordinator's share of the budget.
	slowStartProportionalShare = 0.5

	// slowStartDecaySeconds is the time constant, in seconds, with which counts of answers and arrivals decay.
	slowStartDecaySeconds = 10.0
)

// slowStart holds what a co-ordinator knows of the load on warm and starting replicas. The time until which its share
// of a replica's budget is used up is in the replica's replicaState.
type slowStart struct {
	settings slowStartSettings

	warmAnswers  float64   // answers of warm replicas, decaying
	warmReplicas float64   // replicas that are ready and warm, as of the last tick
	unobserved   float64   // weight in the decaying counts of the time before this co-ordinator's start, initially 1
	arrivals     []float64 // subqueries that arrived for each cell, decaying

	// usedUntil is replicaState.slowStartUsedUntil, from an earlier Scheduler of the process, for replicas that are
	// not listed yet.
	usedUntil map[ReplicaID]time.Duration
}

// slowStartSettings do not change during the lifetime of a Scheduler.
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

// warmingUp reports whether a replica started so recently that it may still be overloaded because of that.
func (s *slowStart) warmingUp(replica *replicaState, now time.Duration) bool {
	if s.settings.OverloadMultiple <= 0 || replica.startedAt == StartUnknown {
		return false
	}
	return now-replica.startedAt < s.settings.WarmAfter+s.settings.OverloadFor
}

// capacity returns the share of its full capacity that a replica has, from StartCapacity to 1.
func (s *slowStart) capacity(replica *replicaState, now time.Duration) float64 {
	age := max(0, (now-replica.startedAt).Seconds()/s.settings.WarmAfter.Seconds())
	return min(1, s.settings.StartCapacity+(1-s.settings.StartCapacity)*age)
}

// admits reports whether a subquery may be sent to a replica now.
//
// It prevents two failures: a starting replica that is overloaded crashes and restarts, so its cell never recovers;
// and a starting replica that is sent nothing leaves its load to the others until it is warm.
func (s *slowStart) admits(
	replica *replicaState, subquery *subquery, parallelism float64, now time.Duration, random *random,
) bool {
	if !s.warmingUp(replica, now) {
		return true
	}
	needed := s.budgetTime(replica, subquery.work, parallelism, now)
	burst := scale(s.settings.OverloadFor, 1/slowStartSafety-1)
	if needed <= burst {
		return now >= replica.slowStartUsedUntil+needed-burst
	}
	draw := random.forKeys(uint64(subquery.id), uint64(replica.id)) // fixed: asking again does not raise the chance
	return draw*s.arrivalsFor(replica) < s.affordable(replica, needed, now)
}

// affordable returns the number of subqueries that a replica may be sent within slowStartDecaySeconds, if each needs
// the given budgetTime.
func (s *slowStart) affordable(replica *replicaState, needed, now time.Duration) float64 {
	warmShare := slowStartProportionalShare * s.settings.OverloadMultiple * s.capacity(replica, now)
	proportional := warmShare * s.warmAnswers / max(1, s.warmReplicas)
	ownShare := (1 - s.unobserved) * slowStartDecaySeconds / needed.Seconds() / slowStartProbabilityDivisor
	return proportional + ownShare
}

// arrivalsFor returns the decaying number of subqueries that arrived for the shards that a replica holds.
func (s *slowStart) arrivalsFor(replica *replicaState) float64 {
	arrivals := 0.0
	for cell := range s.settings.layout.heldBy(replica.cell) {
		arrivals += s.arrivals[cell]
	}
	return arrivals
}

// budgetTime returns the time for which the given work uses up this co-ordinator's share of a starting replica's
// budget. It assumes that the replica, once warm, will have the same capacity as the others.
func (s *slowStart) budgetTime(
	replica *replicaState, work time.Duration, parallelism float64, now time.Duration,
) time.Duration {
	budget := slowStartSafety * s.settings.OverloadMultiple * s.capacity(replica, now)
	share := budget * min(parallelism, slowStartParallelism) / s.settings.coordinators
	return scale(work, 1/share)
}

// subqueryArrived counts a subquery for a shard.
func (s *slowStart) subqueryArrived(shard ShardNumber) { s.arrivals[s.settings.layout.cellOf(shard)]++ }

// attemptStarted counts work that is sent to a replica against its budget.
func (s *slowStart) attemptStarted(replica *replicaState, work time.Duration, parallelism float64, now time.Duration) {
	if s.warmingUp(replica, now) {
		needed := s.budgetTime(replica, work, parallelism, now)
		replica.slowStartUsedUntil = max(replica.slowStartUsedUntil, now) + needed
	}
}

// answered counts an answer of a warm replica. Answers show what a warm replica can do; attempts do not, as it may be
// sent too many.
func (s *slowStart) answered(replica *replicaState, now time.Duration) {
	if !s.warmingUp(replica, now) {
		s.warmAnswers++
	}
}

// decay lets the counts decay for the given number of seconds. It resets the number of warm replicas, which
// countReadyReplica then counts again.
func (s *slowStart) decay(seconds float64) {
	factor := math.Exp(-seconds / slowStartDecaySeconds)
	s.warmAnswers *= factor
	s.warmReplicas = 0
	s.unobserved *= factor
	for cell := range s.arrivals {
		s.arrivals[cell] *= factor
	}
}

// countReadyReplica counts a ready replica if it is warm. It is called for each after decay.
func (s *slowStart) countReadyReplica(replica *replicaState, now time.Duration) {
	if !s.warmingUp(replica, now) {
		s.warmReplicas++
	}
}

// restoreUsage restores the budget usage that an earlier Scheduler of the process left for a replica that is listed
// for the first time.
func (s *slowStart) restoreUsage(replica *replicaState) {
	replica.slowStartUsedUntil = s.usedUntil[replica.id]
	delete(s.usedUntil, replica.id)
}

// snapshot returns a copy of the state for a later Scheduler of the same process.
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

// resume takes over the snapshot of an earlier Scheduler, except its settings.
func (s *slowStart) resume(earlier slowStart) {
	s.warmAnswers = earlier.warmAnswers
	s.warmReplicas = earlier.warmReplicas
	s.unobserved = earlier.unobserved
	s.usedUntil = earlier.usedUntil
	copy(s.arrivals, earlier.arrivals)
}

// slowStartAdmits reports whether slow start allows a subquery to be sent to a replica now; a nil subquery stands for
// any subquery at any time, and is always allowed.
func (scheduler *Scheduler) slowStartAdmits(replica *replicaState, subquery *subquery) bool {
	if subquery == nil {
		return true
	}
	parallelism := scheduler.estimates.parallelism
	return scheduler.slowStart.admits(replica, subquery, parallelism, scheduler.now, &scheduler.random)
}
