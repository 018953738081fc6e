package scheduler

// Outlier ejection: which replicas get no ordinary attempts, for one class or all, and how they are found sound
// again. A replica is ejected for all classes when it cannot be reached or is silent with attempts in flight, and
// for one class when several of its attempts in a row bring no answer or when it answers other classes only.
// Subqueries queued for it are placed anew. The last usable holder of a shard is not ejected for silence or for
// answering other classes only; it is for errors, and where it cannot be reached. Only the first ejection is
// logged: a replica that is ejected for one class already logs no line when it is ejected for others.
//
// While a replica is ejected it gets probes: attempts of live queries that need one of its shards; without such
// queries there is none. The first is due firstProbeInterval after the ejection, and the interval doubles up to
// maxProbeInterval. Where hedges are allowed, a subquery that another holder can take goes there first and probes
// beside that; its first attempt probes only once the probe is overdue by maxProbeInterval. An answer reinstates
// the replica for the class that it answered; one that was ejected for all classes it reinstates for all, with a
// concurrency limit of one. A new start of the replica reinstates it at once, without a log line. Inputs are the
// ends of attempts and the time since replies.

import (
	"fmt"
	"time"

	"terntray/invariant"
)

// Spans are those for long latency objectives; parameters.timeScale shortens them.
const (
	silentAfter        = 800 * time.Millisecond // without a reply, with attempts in flight; above ordinary pauses
	silentFactor       = 4.0                    // times the expected time, by stragglerAge: a slow replica is not silent
	overtakenLimit     = 4                      // later attempts answered, after which one counts as lost
	errorLimit         = 3                      // attempts of a class in a row without an answer, not at the same time
	firstProbeInterval = 1 * time.Second        // from the ejection to the first probe
	maxProbeInterval   = 4 * time.Second        // longest time between probes
)

// ejectionReason is why a replica is ejected, as the log tells it.
type ejectionReason string

const (
	ejectedUnreachable ejectionReason = "cannot be reached"
	ejectedErrors      ejectionReason = "brings errors only"
	ejectedOneClass    ejectionReason = "answers other classes only"
	ejectedSilent      ejectionReason = "has gone silent"
)

// outlierDetector ejects and reinstates replicas. Which are ejected is in replicaState.
type outlierDetector struct {
	parameters *parameters
	replicas   *replicaSet
	classes    int
	limits     *concurrencyLimiter
	hasRoom    func(*replicaState, *subquery) bool // within its slow-start budget
	log        func(string)
}

// eject takes a replica out of ordinary use for one class; for all if that is nil.
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

// reinstate takes an ejected replica back into use for a class that it has answered. One that was ejected for all
// classes is back for all, with a concurrency limit of one.
func (d *outlierDetector) reinstate(replica *replicaState, class *class) {
	if replica.ejectedForAll() {
		d.limits.restart(replica)
		d.reset(replica)
	}
	replica.forClass(class).ejected = false
	replica.probeInterval = d.initialInterval()
	replica.recentLatency = min(replica.recentLatency, replica.baselineLatency)
	d.log(fmt.Sprintf("replica %d reinstated: answers again", replica.id))
}

// reset drops all that speaks against a replica: its errors and its ejection for any class.
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

// replied records that a replica has answered an attempt: of its class's errors none counts any more, and the
// attempts in flight there that were sent before are overtaken once more.
func (d *outlierDetector) replied(now time.Duration, answered *attempt) {
	replica := answered.replica
	state := replica.forClass(answered.subquery.query.class)
	replica.lastReplyAt = now
	state.lastReplyAt = now
	state.consecutiveErrors = 0
	for _, other := range replica.outstanding {
		if other.sentAt < answered.sentAt {
			other.overtaken++
		}
	}
}

// failed records an attempt of a class that ended at a replica without an answer. Several that end at the same time
// count once.
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

// detect ejects a replica that has attempts in flight and is silent, or does not answer one class, if others can do
// its work.
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

// silent reports whether a replica has been silent since an attempt, for longer than a slow one is.
func (d *outlierDetector) silent(now time.Duration, attempt *attempt) bool {
	silence := now - max(attempt.sentAt, attempt.replica.lastReplyAt)
	return silence > scale(silentAfter, d.parameters.timeScale) && silence > attempt.stragglerAge(silentFactor)
}

// hangs reports whether an attempt can be given up for lost: its replica is ejected for its class, or has answered
// several later ones. Connections may fall silent, and replicas lose single attempts.
func (d *outlierDetector) hangs(now time.Duration, attempt *attempt) bool {
	if attempt.replica.forClass(attempt.subquery.query.class).ejected {
		return true
	}
	patience := scale(attempt.expected+latencyJitter, silentFactor*attempt.replica.slowdown)
	return attempt.overtaken >= overtakenLimit && now-attempt.sentAt > patience
}

// unloadLost takes attempts that hang and were overtaken off their replica's load, where they would hold a place
// under its limit until their deadlines.
func (d *outlierDetector) unloadLost(now time.Duration, replica *replicaState) {
	replica.removeOutstanding(func(attempt *attempt) bool { return attempt.overtaken > 0 && d.hangs(now, attempt) })
}

// replaceable reports whether each shard that a replica holds has another holder in use. The last one may be silent
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

// mayProbe reports whether an attempt of a subquery may go as a probe. A query with less than half of its time left
// would end before the probe's answer came.
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

// claimProbe gives the ejected holder that a subquery is to probe now, and sets its next probe; nil: none is due.
// Where hedges are allowed, the first attempt of a subquery that is queued for a usable replica goes there, and a
// second one beside it probes. Only when the probe is overdue by maxProbeInterval does the first attempt itself
// probe.
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

// scheduleNextProbe sets a replica's next probe. The interval grows with each subquery that is queued for another
// replica when it probes; by one that is not, it begins anew. One whose first attempt was just sent is queued for
// none.
func (d *outlierDetector) scheduleNextProbe(now time.Duration, replica *replicaState, queuedElsewhere bool) {
	replica.nextProbeAt = now + replica.probeInterval
	replica.probeInterval = min(d.maxInterval(), 2*replica.probeInterval)
	if !queuedElsewhere {
		replica.probeInterval = d.initialInterval()
	}
}

// probeOverdue reports whether a replica that is ejected for a class has long been due for a probe.
func (d *outlierDetector) probeOverdue(now time.Duration, replica *replicaState, class *class) bool {
	return replica.forClass(class).ejected && now >= replica.nextProbeAt+d.maxInterval()
}
