// Package scheduler makes the decisions of one co-ordinator of queries over replicated shards: which queries are
// admitted, to which replica each subquery is sent and when, what is retried and hedged, and when a query is answered
// or given up.
//
// # Use
//
// The caller creates a Scheduler with New from a Config, which ParseConfig reads from a deployment's settings. It calls
// a method for each event, with the time since the caller's start:
//
//   - QueryArrives, then SubqueryArrives for each subquery; ForgetQuery when nobody waits for the answer any more
//   - AttemptEnds at the end of each attempt, ReplyUnconfirmed before it if the reply is withheld for a while, and
//     LoadReported when a replica reports its load
//   - EndpointListBegins, then EndpointListed for each entry; EndpointPollFailed
//   - GossipReceived, Wakeup, ReadDelayed
//   - UsePhases and StartNextPhase for a query whose caller controls its phases
//
// After all events of one time it calls Decide. During Decide or an event's call the Scheduler acts through the Host
// that was passed to New: it starts and cancels attempts, answers, rejects and fails queries, and requests wakeups,
// endpoint polls and messages to its peers.
//
//	scheduler, err := scheduler.New(host, seed, config)
//	...
//	scheduler.QueryArrives(now, scheduler.QueryArrival{ID: 1, Number: 7, TimeLeft: time.Second, Subqueries: 1})
//	scheduler.SubqueryArrives(now, scheduler.SubqueryArrival{ID: 2, Query: 7, Shard: 3, Weight: 1})
//	scheduler.Decide(now) // calls host.StartAttempt(2, replica, timeout) if a replica has room
//
// # Requirements on the caller
//
// All calls come from one goroutine, the Host's methods call no method of the Scheduler, and time does not go
// backwards. The end of each attempt is reported exactly once, even if it was cancelled. A requested wakeup arrives at
// its time or later.
//
// # Guarantees
//
// The Scheduler does no I/O, reads no clock and starts no goroutine: the same seed, events and times produce the same
// actions. Each query gets exactly one of Host.Complete, Host.Reject and Host.Fail, unless its client disconnects
// first; this happens before its deadline as long as Decide and wakeups are called in time. A query of several phases
// gets a Host.Complete for each phase that succeeds. No subquery has more attempts than the settings allow, and none is
// repeated whose effect forbids that. Events for unknown or finished items are ignored.
//
// # Source files
//
// scheduler.go has the main loop. Each policy has a file: placement.go and release.go (to which replica, and when),
// admission.go and quota.go (what is rejected), deadline.go (when a query ends), retry.go, hedge.go, outlier.go
// (ejection and probes), concurrency.go (limits by replica), estimate.go (latency), slowstart.go, canary.go,
// discovery.go, gossip.go and shadow.go. replica.go, query.go and parameters.go hold the shared state.
package scheduler
