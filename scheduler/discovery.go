package scheduler

// Endpoint discovery: endpoint lists update the state of the replicas, and endpointPoller decides when to poll for a
// list. Package discovery documents how a list gets here from the discovery agent.

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	// firstPollBackoff is the mean time from a failed poll to the next. It doubles with each failure in a row.
	firstPollBackoff = 500 * time.Millisecond

	// maxPollBackoff bounds that mean time. Jitter adds up to half of it, and package discovery gives up a request for
	// the list after two seconds, so a change of the list is known within six seconds of discovery's return.
	maxPollBackoff = 2 * time.Second

	// pollTimeout is the time after which an unanswered poll counts as lost.
	pollTimeout = 8 * time.Second
)

// endpointPoller decides when to poll for the endpoint list, if changes are delivered only after a poll. After an
// answered poll all changes are delivered until a failure is reported.
//
// A lost subscription would leave changes unknown and send attempts to replicas that have left, so the list is polled
// again after a reported failure and after a poll without an answer. Polls of many co-ordinators could overload a
// discovery service that has just come back, so polls back off exponentially, with jitter.
type endpointPoller struct {
	mustPoll     bool          // changes are delivered only after a poll
	pollInterval time.Duration // Config.PollInterval, which bounds the waits between polls; math.MaxInt64: no bound

	following  bool          // a list has been received since the last failure
	nextPollAt time.Duration // when the next poll is due, unless following
	backoff    time.Duration // mean time from the next failure to the poll after it
}

func newEndpointPoller(config *Config) endpointPoller {
	return endpointPoller{
		mustPoll:     config.Discovery == DiscoverySubscribe,
		pollInterval: cmp.Or(config.PollInterval, math.MaxInt64),
		backoff:      firstPollBackoff,
	}
}

// listReceived records that a list was received from discovery.
func (p *endpointPoller) listReceived() {
	p.following = true
	p.backoff = firstPollBackoff
}

// pollFailed records that a poll failed, or that changes of the list are no longer delivered. jitter, a number from 0
// to 1, spreads the polls of many co-ordinators.
func (p *endpointPoller) pollFailed(now time.Duration, jitter float64) {
	p.following = false
	p.nextPollAt = now + scale(p.backoff, 0.5+jitter)
	p.backoff = min(maxPollBackoff, p.pollInterval/4, 2*p.backoff)
}

// pollPending reports whether a poll is due, now or at nextPollAt.
func (p *endpointPoller) pollPending() bool { return p.mustPoll && !p.following }

// claimPoll reports whether to poll now. If so, it sets nextPollAt to when that poll counts as lost.
func (p *endpointPoller) claimPoll(now time.Duration) bool {
	if now < p.nextPollAt {
		return false
	}
	p.nextPollAt = now + min(pollTimeout, p.pollInterval/2)
	return true
}

// pollEndpoints polls for the list if a poll is due, and schedules a wakeup for the next one.
func (scheduler *Scheduler) pollEndpoints() {
	if !scheduler.poller.pollPending() {
		return
	}
	if scheduler.poller.claimPoll(scheduler.now) {
		scheduler.host.PollEndpoints()
	}
	scheduler.wakeBy(scheduler.poller.nextPollAt)
}

// EndpointListBegins starts an endpoint list, whose entries are passed to EndpointListed. If the list is full, replicas
// that it does not contain are removed; otherwise they are unchanged. A restored list is one that the caller kept from
// before this Scheduler was created; it does not show that discovery is working.
func (scheduler *Scheduler) EndpointListBegins(now time.Duration, full, restored bool) {
	scheduler.advanceClock(now)
	scheduler.replicas.listChanged()
	if restored {
		// The time before this Scheduler was created must not decay the state that it resumes.
		scheduler.lastTickAt = now
	} else {
		scheduler.poller.listReceived()
	}
	if full {
		for _, replica := range scheduler.replicas.all {
			replica.state = Removed
		}
	}
}

// EndpointListed handles one entry of the list that EndpointListBegins started.
func (scheduler *Scheduler) EndpointListed(now time.Duration, endpoint Endpoint) {
	scheduler.replicas.listChanged()
	replica, known := scheduler.replicas.byID[endpoint.ID]
	if !known {
		replica = scheduler.addReplica(now, endpoint.ID)
	}
	replica.state = endpoint.State
	replica.cell = endpoint.Cell
	replica.zone = endpoint.Zone
	replica.size = cmp.Or(max(0, endpoint.Size), 1)
	if endpoint.Started > replica.startedAt {
		scheduler.replicaStarted(replica, endpoint.Started)
	}
}

// addReplica creates the state of a replica that is listed for the first time.
func (scheduler *Scheduler) addReplica(now time.Duration, id ReplicaID) *replicaState {
	replica := scheduler.replicas.newState(now, scheduler.oldestArrival())
	scheduler.replicas.byID[id] = replica
	replica.id = id
	replica.startedAt = StartUnknown
	replica.recovering = false
	replica.slowdown = 1
	replica.recentLatency = 1
	replica.baselineLatency = 1
	replica.limit = initialLimit
	replica.limitCeiling = maxLimit
	replica.retryTokens = initialRetryTokens
	replica.utilizationAt = 0
	replica.peerWork = 0
	replica.fullUntil = 0
	scheduler.slowStart.restoreUsage(replica)
	scheduler.outliers.reset(replica)
	return replica
}

// replicaStarted resets what was known of an earlier incarnation of a replica.
func (scheduler *Scheduler) replicaStarted(replica *replicaState, startedAt time.Duration) {
	replica.startedAt = startedAt
	replica.limit = initialLimit
	scheduler.outliers.reset(replica)
	if scheduler.slowStart.warmingUp(replica, scheduler.now) {
		replica.slowdown = 1 / math.Sqrt(scheduler.slowStart.capacity(replica, scheduler.now))
		replica.baselineLatency = 1
		scheduler.host.Log(fmt.Sprintf("replica %d is warming up: slow start", replica.id))
	}
}

// EndpointPollFailed handles a failed poll of the list, or the loss of the subscription to its changes.
func (scheduler *Scheduler) EndpointPollFailed(now time.Duration) {
	scheduler.advanceClock(now)
	scheduler.poller.pollFailed(now, scheduler.random.next())
}
