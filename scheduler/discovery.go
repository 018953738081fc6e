package scheduler

// Endpoint discovery: what the endpoint list says of the replicas becomes their state, and endpointPoller decides
// when the list is polled. The way of a list from the agent to here is told in package discovery.

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	// firstPollBackoff is the mean time from a failed poll to the next; it doubles with each failure in a row.
	firstPollBackoff = 500 * time.Millisecond

	// maxPollBackoff bounds that time. With its random half on top, and the two seconds after which package discovery
	// gives up a request for the list, a change of the list is known within six seconds after discovery is back.
	maxPollBackoff = 2 * time.Second

	// pollTimeout is the time after which a poll that has no answer counts as lost.
	pollTimeout = 8 * time.Second
)

// endpointPoller decides when the list is polled where its changes come only after a poll. An answered poll is
// followed by all changes until a failure is reported.
//
// It guards against a list that is lost, by a failure that is reported or by silence: changes would stay unknown, and
// attempts go to replicas that have left. Polls of many co-ordinators could swamp a discovery service that is just
// back, so they wait longer with each failure, and by chance.
type endpointPoller struct {
	mustPoll     bool          // changes come only after a poll
	pollInterval time.Duration // longest time between two polls; math.MaxInt64: no limit

	following  bool          // a list has come since the last failure
	nextPollAt time.Duration // while not following
	backoff    time.Duration // mean time from the next failure to the poll after it
}

func newEndpointPoller(config *Config) endpointPoller {
	return endpointPoller{
		mustPoll:     config.Discovery == DiscoverySubscribe,
		pollInterval: cmp.Or(config.PollInterval, math.MaxInt64),
		backoff:      firstPollBackoff,
	}
}

// listReceived notes a list that has come from discovery.
func (p *endpointPoller) listReceived() {
	p.following = true
	p.backoff = firstPollBackoff
}

// pollFailed notes that a poll has pollFailed, or that the list is not followed any more. The chance, from 0 to 1, spreads
// the polls of many co-ordinators.
func (p *endpointPoller) pollFailed(now time.Duration, chance float64) {
	p.following = false
	p.nextPollAt = now + scale(p.backoff, 0.5+chance)
	p.backoff = min(maxPollBackoff, p.pollInterval/4, 2*p.backoff)
}

// pollPending tells whether a poll is due, now or at nextPollAt.
func (p *endpointPoller) pollPending() bool { return p.mustPoll && !p.following }

// claimPoll tells whether to poll now; if so, nextPollAt is when that poll counts as lost.
func (p *endpointPoller) claimPoll(now time.Duration) bool {
	if now < p.nextPollAt {
		return false
	}
	p.nextPollAt = now + min(pollTimeout, p.pollInterval/2)
	return true
}

// pollEndpoints polls the list if that is due, and asks to be woken for the next time.
func (scheduler *Scheduler) pollEndpoints() {
	if !scheduler.poller.pollPending() {
		return
	}
	if scheduler.poller.claimPoll(scheduler.now) {
		scheduler.host.PollEndpoints()
	}
	scheduler.wakeBy(scheduler.poller.nextPollAt)
}

// EndpointListBegins opens a list, whose entries follow by EndpointListed. After a full list replicas that are not in
// it are removed; otherwise they stay as they were. A restored list is one that the caller kept from before this
// Scheduler was made; it is no news of discovery.
func (scheduler *Scheduler) EndpointListBegins(now time.Duration, full, restored bool) {
	scheduler.advanceClock(now)
	scheduler.replicas.listChanged()
	if restored {
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

// EndpointListed takes one entry of the list that EndpointListBegins opened.
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

// addReplica gives a replica that is listed for the first time its state.
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

// replicaStarted forgets what held for an earlier incarnation of a replica.
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

// EndpointPollFailed tells that a poll of the list has failed, or that its changes do not come any more.
func (scheduler *Scheduler) EndpointPollFailed(now time.Duration) {
	scheduler.advanceClock(now)
	scheduler.poller.pollFailed(now, scheduler.random.next())
}
