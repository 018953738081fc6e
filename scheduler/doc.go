// Package scheduler decides for one co-ordinator of queries over replicated shards: which queries are admitted, to
// which replica each subquery goes and when, what is retried and hedged, and when a query is answered or given up.
//
// # Use
//
// A driver makes a Scheduler with New from a Config, which ParseConfig reads from a deployment's settings. It calls a
// method for each event, with the time since its start:
//
//   - QueryArrives, then SubqueryArrives for each subquery; ForgetQuery when nobody waits for the answer any more
//   - AttemptEnds for the end of each attempt, and LoadReported where its replica told its load
//   - EndpointListBegins, then EndpointListed for each entry; EndpointPollFailed
//   - GossipReceived, Wakeup, ReadDelayed
//   - UsePhases and StartNextPhase for a query whose caller asks its subqueries in phases
//
// When all events of one time are told, it calls Decide. The Scheduler acts through the Host that it was made with,
// during Decide or the call for an event: it starts and cancels attempts, answers, rejects and fails queries, and
// asks for wakeups, polls and messages to its peers.
//
//	scheduler, err := scheduler.New(host, seed, config)
//	...
//	scheduler.QueryArrives(now, scheduler.QueryArrival{ID: 1, Number: 7, TimeLeft: time.Second, Subqueries: 1})
//	scheduler.SubqueryArrives(now, scheduler.SubqueryArrival{ID: 2, Query: 7, Shard: 3, Weight: 1})
//	scheduler.Decide(now) // calls host.StartAttempt(2, replica, timeout) if a replica has room
//
// # What the caller promises
//
// All calls come from one goroutine, the Host's methods call none of the Scheduler's, and time does not go back.
// The end of each attempt is told once, also of one that was cancelled. A wakeup that was asked for comes at its
// time or later.
//
// # What the Scheduler promises
//
// It does no I/O, reads no clock and starts no goroutine: the same seed, events and times give the same actions.
// Each query that arrived gets one of Host.Complete, Host.Reject and Host.Fail, unless its client disconnects before:
// ahead of its deadline, if Decide and wakeups come in time. A query of several phases gets a Host.Complete for each
// that succeeds. No subquery has more attempts than the settings allow, and none is repeated whose effect does not
// allow that. An event of something that is not known, or not any more, changes nothing.
//
// # Where to read on
//
// scheduler.go has the loop. Each policy has a file: placement.go and release.go (which replica, and when),
// admission.go and quota.go (what is rejected), deadline.go (when a query ends), retry.go, hedge.go, outlier.go
// (ejection and probes), concurrency.go (limits by replica), estimate.go (latency), slowstart.go, canary.go,
// discovery.go, gossip.go and shadow.go. replica.go, query.go and parameters.go hold the state that they share.
package scheduler
