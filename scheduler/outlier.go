package scheduler

// Outlier ejection: which replicas get no ordinary attempts, for one class or for all, and how they are reinstated. A
// replica is ejected for all classes when it is unreachable, or when it is silent with attempts in flight. It is
// ejected for one class when several attempts of that class in a row end without an answer, or when it answers other
// classes only. Subqueries queued for it are placed again. The last usable holder of a shard is not ejected for silence
// or for answering other classes only, but it is for errors and for being unreachable. Only the first ejection is
// logged: there is no further log line when a replica that is ejected for one class is ejected for others.
//
// An ejected replica is sent probes, which are attempts of live queries that need one of its shards; without such
// queries there are none. The first probe is due firstProbeInterval after the ejection. A probe that is sent in place
// of an attempt at another replica doubles the interval, up to maxProbeInterval; any other resets it. Where hedges are
// allowed, a subquery that another holder can take is sent there first, and the probe is a further attempt in parallel
// with that one; its first attempt is the probe only if the probe is overdue by maxProbeInterval. An answer reinstates
// the replica for the class of the answered attempt, or for all classes, with a concurrency limit of one, if it was
// ejected for all. A restart of the replica reinstates it at once, without a log line. Inputs are the ends of attempts
// and the time since the last replies.

import (
	"fmt"
	"time"

	"terntray/invariant"
)

// The durations are for long latency objectives; parameters.timeScale shortens them.
const (
	// silentAfter is the time without a reply, with attempts in flight, after which a replica may count as silent. It
	// is longer than ordinary pauses.
	silentAfter = 800 * time.Millisecond

	// silentFactor is a multiple of the expected time, for stragglerAge. It keeps a slow replica from counting as
	// silent.
	silentFactor = 4.0

	overtakenLimit     = 4               // later attempts answered, after which an attempt is presumed lost
	errorLimit         = 3               // attempts of a class in a row without an answer that eject a replica
	firstProbeInterval = 1 * time.Second // from the ejection to the first probe
	maxProbeInterval   = 4 * time.Second // longest time between probes
)

// ejectionReason is why a replica was ejected, for the log.
type ejectionReason string

const (
	ejectedUnreachable ejectionReason = "unreachable"
	ejectedErrors      ejectionReason = "consecutive errors"
	ejectedOneClass    ejectionReason = "answers other classes only"
	ejectedSilent      ejectionReason = "no replies to attempts in flight"
)

// outlierDetector ejects and reinstates replicas. The ejections are stored in replicaState.
type outlierDetector struct {
	parameters *parameters
	replicas   *replicaSet
	classes    int
	limits     *concurrencyLimiter
	hasRoom    func(*replicaState, *subquery) bool // whether the slow-start budget allows the subquery
	log        func(string)
}

// eject ejects a replica for one class, or for all classes if only is nil.
func (d *outlierDetector) eject(now time.Duration, replica *replicaState, only *class, reason ejectionReason) {
	if !replica.ejectedForAny() {
		replica.nextProbeAt = now + replica.probeInterval
		d.log(fmt.Sprintf("replica %d ejected: %s", replica.id, reason))
	}
	for index := range replica.classes {
		if only == nil || only.index == index {
			replica.classes[index].ejected = true
		}
	}
}

// reinstate ends the ejection of a replica for a class after an answer. A replica that was ejected for all classes is
// reinstated for all, with a concurrency limit of one.
func (d *outlierDetector) reinstate(replica *replicaState, class *class) {
	if replica.ejectedForAll() {
		d.limits.restart(replica)
		d.reset(replica)
	}
	replica.forClass(class).ejected = false
	replica.probeInterval = d.initialInterval()
	replica.recentLatency = min(replica.recentLatency, replica.baselineLatency)
	d.log(fmt.Sprintf("replica %d reinstated: answered an attempt", replica.id))
}

// reset clears a replica's errors, its ejections and its probe interval.
func (d *outlierDetector) reset(replica *replicaState) {
	replica.classes = make([]replicaClassState, d.classes)
	replica.probeInterval = d.initialInterval()
}

func (d *outlierDetector) initialInterval() time.Duration {
	return scale(firstProbeInterval, d.parameters.timeScale)
}

func (d *outlierDetector) maxInterval() time.Duration {
	return scale(maxProbeInterval, d.parameters.timeScale)
}

// replied records that a replica replied to an attempt, and counts the earlier attempts in flight there as overtaken once
// more.
func (d *outlierDetector) replied(now time.Duration, answered *attempt) {
	replica := answered.replica
	replica.lastReplyAt = now
	replica.forClass(answered.subquery.query.class).lastReplyAt = now
	for _, other := range replica.outstanding {
		if other.sentAt < answered.sentAt {
			other.overtaken++
		}
	}
}

// succeeded records that a reply can be used. It clears the consecutive errors of a class at the replica.
func (d *outlierDetector) succeeded(replica *replicaState, class *class) {
	replica.forClass(class).consecutiveErrors = 0
}

// failed records that an attempt of a class ended without an answer, and ejects the replica for that class at
// errorLimit. Several attempts that end at the same time count as one.
func (d *outlierDetector) failed(now time.Duration, replica *replicaState, class *class) {
	state := replica.forClass(class)
	if replica.lastErrorAt != now {
		state.consecutiveErrors++
	}
	replica.lastErrorAt = now
	if state.consecutiveErrors >= errorLimit {
		d.eject(now, replica, class, ejectedErrors)
	}
}

// detect ejects a replica that is silent with attempts in flight, or does not answer one class, if it is replaceable.
func (d *outlierDetector) detect(now time.Duration, replica *replicaState) {
	for index, attempt := range replica.outstanding {
		class := attempt.subquery.query.class
		state := replica.forClass(class)
		if state.ejected {
			continue
		}
		switch {
		case d.hangs(now, attempt) && state.lastReplyAt < attempt.sentAt && d.replaceable(replica, class):
			d.eject(now, replica, class, ejectedOneClass)
		case index == 0 && d.silent(now, attempt) && d.replaceable(replica, class):
			d.eject(now, replica, nil, ejectedSilent)
		}
	}
}

// silent reports whether an attempt's replica has been silent since the attempt was sent, for longer than a slow
// replica would be.
func (d *outlierDetector) silent(now time.Duration, attempt *attempt) bool {
	silence := now - max(attempt.sentAt, attempt.replica.lastReplyAt)
	return silence > scale(silentAfter, d.parameters.timeScale) && silence > attempt.stragglerAge(silentFactor)
}

// hangs reports whether an attempt is presumed lost: its replica is ejected for its class, or has answered several
// later attempts. Connections may stall without an error, and replicas may lose single attempts.
func (d *outlierDetector) hangs(now time.Duration, attempt *attempt) bool {
	if attempt.replica.forClass(attempt.subquery.query.class).ejected {
		return true
	}
	minAge := scale(attempt.expected+latencyJitter, silentFactor*attempt.replica.slowdown)
	return attempt.overtaken >= overtakenLimit && now-attempt.sentAt > minAge
}

// unloadLost removes attempts that hang and were overtaken from their replica's load. Otherwise they would count
// towards its concurrency limit until their deadlines.
func (d *outlierDetector) unloadLost(now time.Duration, replica *replicaState) {
	replica.removeOutstanding(func(attempt *attempt) bool { return attempt.overtaken > 0 && d.hangs(now, attempt) })
}

// replaceable reports whether each shard that a replica holds has another holder in use. The last holder may be silent
// only because it carries the load of the others.
func (d *outlierDetector) replaceable(replica *replicaState, class *class) bool {
	for cell := range d.replicas.layout.heldBy(replica.cell) {
		if !d.hasOtherHolder(cell, replica, class) {
			return false
		}
	}
	return true
}

func (d *outlierDetector) hasOtherHolder(cell CellNumber, replica *replicaState, class *class) bool {
	for _, other := range d.replicas.holdersOfCell(cell) {
		if other != replica && other.inUse(class) {
			return true
		}
	}
	return false
}

// inUse reports whether a replica may get ordinary attempts of a class.
func (r *replicaState) inUse(class *class) bool {
	return r.state == Ready && !r.forClass(class).ejected
}

// mayProbe reports whether an attempt of a subquery may be sent as a probe. A query with less than half of its time
// left could end before the probe is answered.
func (d *outlierDetector) mayProbe(now time.Duration, subquery *subquery, retries *retryBudget) bool {
	query := subquery.query
	tooOld := now-query.arrivedAt > (query.deadlineAt-query.arrivedAt)/2
	if tooOld || query.suspectedQueryOfDeath() {
		return false
	}
	if subquery.nextIsRetryOrHedge() && !retries.hasRoom() {
		return false
	}
	idempotent := query.class.effect == invariant.Idempotent
	mayHedge := idempotent && d.parameters.hedgeAllowed && !retries.atMostOneLeft(subquery)
	return mayHedge || !subquery.inFlight()
}

// claimProbe returns the ejected holder to which a subquery is to be sent as a probe now, and schedules that replica's
// next probe; it returns nil if no probe is due. Where hedges are allowed, the first attempt of a subquery that is
// queued for a usable replica is sent there, and a second attempt in parallel with it is the probe. The first attempt
// itself is the probe only if the probe is overdue by maxProbeInterval.
func (d *outlierDetector) claimProbe(now time.Duration, subquery *subquery) *replicaState {
	class := subquery.query.class
	queuedElsewhere := subquery.replica != nil
	delay := time.Duration(0)
	if len(subquery.attempts) == 0 && queuedElsewhere && d.parameters.hedgeAllowed {
		delay = d.maxInterval()
	}
	for _, replica := range d.replicas.holders(subquery.shard) {
		due := now >= replica.nextProbeAt+delay && replica.forClass(class).ejected
		if due && !subquery.mayHaveRunAt(replica) && d.hasRoom(replica, subquery) {
			d.scheduleNextProbe(now, replica, queuedElsewhere)
			return replica
		}
	}
	return nil
}

// scheduleNextProbe schedules a replica's next probe. The interval doubles if the subquery that is sent as a probe is
// queued for another replica, and is reset if it is not. A subquery whose first attempt was just sent is not queued for
// any, so a probe in parallel with that attempt resets the interval.
func (d *outlierDetector) scheduleNextProbe(now time.Duration, replica *replicaState, queuedElsewhere bool) {
	replica.nextProbeAt = now + replica.probeInterval
	replica.probeInterval = min(d.maxInterval(), 2*replica.probeInterval)
	if !queuedElsewhere {
		replica.probeInterval = d.initialInterval()
	}
}

// probeOverdue reports whether the probe of a replica that is ejected for a class is overdue by maxProbeInterval.
func (d *outlierDetector) probeOverdue(now time.Duration, replica *replicaState, class *class) bool {
	return replica.forClass(class).ejected && now >= replica.nextProbeAt+d.maxInterval()
}
